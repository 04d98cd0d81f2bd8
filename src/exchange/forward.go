package exchange

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/work"
)

// Limits of forwarding.
const (
	// maxOwnDials is how many replicas that can't be connected to a request tries before it is forwarded.
	maxOwnDials = 2
	// maxForwardAttempts is how many gateways a request is offered to.
	maxForwardAttempts = 3
	// maxForwardedRunning is how many requests of other gateways a gateway serves at a time.
	maxForwardedRunning = 128
)

// The headers between gateways. They are passed neither to clients nor to replicas.
const (
	// headerForwardID carries the ID of the request, in the request and in its response.
	headerForwardID = "Moorspool-Forward-Id"
	// headerForwardVersion is the version of the configuration by which the route was found.
	headerForwardVersion = "Moorspool-Forward-Version"
	// headerForwardRuns is how many replicas may have run the request already. In a response, interim ones included, it
	// is how many may have run it at the gateway that responds.
	headerForwardRuns = "Moorspool-Forward-Runs"
	// headerForwardCounts is set in a request if its stream may contain announcements of runs.
	headerForwardCounts = "Moorspool-Forward-Counts"
	// headerForwardAlone is for how many milliseconds no other gateway is offered the request beside the one that gets it,
	// which then begins no further run unless its response has begun before.
	headerForwardAlone = "Moorspool-Forward-Alone"
	// headerForwardService and headerForwardSoftware are the service and the software version that began
	// the stream. A request has them once its client holds events, a response if they are known.
	headerForwardService  = "Moorspool-Forward-Service"
	headerForwardSoftware = "Moorspool-Forward-Software"
	// headerNotSent is set in a response if nothing was sent to a replica and another gateway may take
	// the request. Its value is the reason.
	headerNotSent = "Moorspool-Not-Sent"
)

// The reasons for which a gateway does not take a request.
const (
	// notSentUnable means that the gateway can't serve the request's service now, or that it stops.
	notSentUnable = "1"
	// notSentHere means that the reason holds for this request at that gateway: no replica accepts it from
	// there now, none is known with the software that began the stream, or the configuration is an older
	// one.
	notSentHere = "here"
)

// errNotTaken means that a gateway sent the request to no replica.
var errNotTaken = errors.New("it did not take the request")

// mustForward reports whether the request is to be forwarded: this gateway can't connect to the
// replicas of its service. A request that another gateway forwarded is never forwarded again.
func (c *call) mustForward() bool {
	if c.forwarded || c.notForwardable || c.handler.gatewayList == nil {
		return false
	}
	return c.unconnected >= maxOwnDials || c.handler.options.Fleet.links.Unreachable(c.service)
}

// preferForwarding lets a request that has found no replica be forwarded if one could not be connected
// to. It reports whether the request is to be forwarded.
func (c *call) preferForwarding() bool {
	if c.unconnected == 0 || c.clientLeft() {
		return false
	}
	c.unconnected = max(c.unconnected, maxOwnDials)
	return c.mustForward()
}

// forwardOnArrival forwards a request whose service is out of reach before anything is counted for it.
// It reports whether the client has a response.
func (c *call) forwardOnArrival() bool {
	if !c.mustForward() {
		return false
	}
	ctx, cancel := c.runContext()
	defer cancel()
	for {
		ended, taken := c.forward(ctx)
		if !taken {
			return false
		}
		if ended == answered {
			return true
		}
		if !c.mayRetry(ctx, ended) {
			c.endAfterAttempt(ctx, ended, nil)
			return true
		}
	}
}

// forward offers the request to other gateways until one takes it. What the request counted as at this
// gateway is withdrawn then: the gateway that sends it counts it.
func (c *call) forward(ctx context.Context) (ended outcome, taken bool) {
	fleet := c.handler.options.Fleet
	want := c.requirements()
	allowed := func(zone string) bool { return fleet.residencyAllows(&want, zone) }
	for range maxForwardAttempts {
		now := c.handler.options.Now()
		to := c.handler.gatewayList.pick(now, c.service, c.tried, allowed)
		if to == nil {
			break
		}
		c.tried = append(c.tried, to)
		ended, err := c.forwardTo(ctx, to, now)
		if err == nil {
			return ended, true
		}
		c.reason += "; not forwarded to " + to.ID() + ": " + err.Error()
	}
	c.notForwardable = true
	return notRun, false
}

// forwardTo forwards the request to a gateway and passes its response on. It returns an error if the
// gateway sent the request to no replica.
func (c *call) forwardTo(ctx context.Context, to *Peer, now time.Time) (outcome, error) {
	sent, err := c.sendForward(ctx, ctx, to, now)
	if err != nil {
		return notRun, err
	}
	result := c.settle(ctx, sent)
	return result.ended, result.err
}

// sendForward sends the request to a gateway, to which a connection must be established before dialing ends. It
// returns an error if nothing was sent.
func (c *call) sendForward(ctx, dialing context.Context, to *Peer, now time.Time) (*sentAttempt, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	s := &sentAttempt{peer: to, startedAt: now, cancel: cancel, forwarded: true}
	alone := c.timeAlone(now)
	s.watch = c.watchAttempt(attemptCtx, to, now, time.Time{}, c.elsewhere(s), cancel)
	to.startRequest(0)
	hooks := sendHooks{
		sending: func(raw net.Conn) {
			c.noteSending(s.watch, raw)
			c.offerBeside(s, alone)
		},
		admit:   c.inTimeToSend,
		read:    func(_ int, header http.Header) Reply { return Reply{ID: FieldValue(header, headerForwardID)} },
		interim: s.noteAnnounced,
	}
	response, err := send(attemptCtx, dialing, to.pool, c.forwardedRequest(now, alone), c.requestInfo.ID, hooks, dialAttempt, c.headDeadline(), now)
	if err != nil {
		c.progress.noteNotRun(to)
		s.close()
		if !errors.Is(err, errNotAccepted) && !c.clientLeft() && (ctx.Err() != nil || dialing.Err() == nil) {
			c.handler.gatewayList.markDown(to)
		}
		return nil, err
	}
	s.response = response
	return s, nil
}

// finishAtGateway handles the head of another gateway's response, or that there is none, and passes the response
// on. It returns an error if the gateway sent the request to no replica.
func (c *call) finishAtGateway(ctx context.Context, s *sentAttempt) (outcome, error) {
	to, a, err := s.peer, s.response, s.response.headErr
	if err == nil && a.response.Header.Get(headerNotSent) != "" {
		a.abort()
		c.progress.noteNotRun(to)
		c.noteNotTaken(to, a.response.Header)
		return notRun, errNotTaken
	}
	if err == nil {
		s.noteAnnounced(a.response.Header)
	}
	c.countForwarded(s)
	if err == nil && s.watch.gaveUp() {
		a.abort()
		err = noResponse(errGivenUp)
	}
	if err != nil {
		if !c.timeOver(ctx) {
			to.failed(c.handler.options.Now(), true)
		}
		c.reason += "; " + err.Error()
		c.noteEarlyEnd(ctx, err)
		return unknown, nil
	}
	s.watch.noteHead(a.response)
	if c.beside {
		_ = a.conn.raw.SetDeadline(c.deadline)
		ended, _ := c.bufferError(ctx, to, a)
		c.connectionBroke = false
		return ended, nil
	}
	return c.relayForwarded(ctx, s), nil
}

// noteNotTaken handles the refusal of a gateway that sent the request to no replica. One that refuses
// this request alone is not avoided, and may know when to come back.
func (c *call) noteNotTaken(by *Peer, header http.Header) {
	if header.Get(headerNotSent) != notSentHere {
		by.failed(c.handler.options.Now(), true)
		return
	}
	if wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && wait > 0 {
		retryIn := time.Duration(wait * float64(time.Second))
		if c.retryIn == 0 || retryIn < c.retryIn {
			c.retryIn = retryIn
		}
	}
}

// countForwarded counts a request that another gateway has taken, and the runs that it has announced.
func (c *call) countForwarded(s *sentAttempt) {
	h := c.handler
	if c.possibleArrivals == 0 && !c.countedAt.IsZero() {
		h.budgets.get(c.service).Withdraw(c.countedAt)
		h.options.Demand.Withdraw(c.service, c.requestInfo)
		c.countedAt = time.Time{}
	}
	h.options.Metrics.Forwarded.Inc(1)
	c.sends++
	c.addRuns(s.runs())
	c.reason += "; forwarded to " + s.peer.ID()
}

// relayForwarded passes the response of another gateway on. Whether a replica failed is known there.
func (c *call) relayForwarded(ctx context.Context, s *sentAttempt) outcome {
	to, a := s.peer, s.response
	_ = a.conn.raw.SetDeadline(c.headDeadline())
	c.bodyEnd = a.end
	a.origin = forwardedOrigin(a.response.Header)
	c.timing = streamTiming{}
	var ended outcome
	if c.route.Kind == catalog.Streaming {
		defer c.countAnnounced(s)()
		none := time.Duration(0)
		ended = c.relayStream(ctx, to, a, &none, work.Prefill{})
	} else {
		ended = c.relayBuffered(ctx, to, a)
	}
	c.connectionBroke = false
	return ended
}

// forwardedRequest returns the request as it is sent to another gateway: as the client sent it, with the
// remaining time, and for how long no other gateway is offered it, 0 if none is. Each uses a connection of its own, so
// that none is lost as an idle one is closed.
func (c *call) forwardedRequest(now time.Time, alone time.Duration) *outgoingRequest {
	header := make(http.Header, len(c.request.Header)+6)
	dropped := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if !hopByHop[name] && !dropped[name] {
			header[name] = values
		}
	}
	c.handler.options.Codec.EncodeForwarded(header, c.remaining(now), c.resumeAfter())
	header.Set("Connection", "close")
	header.Set(headerForwardID, c.requestInfo.ID)
	header.Set(headerForwardVersion, strconv.FormatUint(c.version, 10))
	header.Set(headerForwardCounts, "1")
	if origin, known := c.origin.Origin(); known {
		header.Set(headerForwardService, origin.Service)
		header.Set(headerForwardSoftware, origin.SoftwareVersion)
	}
	if alone > 0 {
		header.Set(headerForwardAlone, strconv.FormatInt(alone.Milliseconds(), 10))
	}
	if c.possibleRuns > 0 {
		header.Set(headerForwardRuns, strconv.Itoa(c.possibleRuns))
	}
	return &outgoingRequest{method: c.request.Method, target: c.request.RequestURI, host: c.request.Host, header: header, body: c.body}
}

// ServeForwarded serves a request that another gateway forwarded. It must be reachable for gateways only:
// what marks such a request is where it arrives.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	defer h.forwardedRunning.Add(-1)
	running := h.forwardedRunning.Add(1)
	h.options.Metrics.ForwardedServed.Inc(1)
	w.Header().Set(headerForwardID, r.Header.Get(headerForwardID))
	if running > maxForwardedRunning || h.stopping.Load() {
		w.Header().Set(headerNotSent, notSentUnable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.serve(w, r, true)
}

// beginForwarded takes over what another gateway knows of its request. It returns false, and refuses the
// request, if that gateway has a newer configuration.
func (c *call) beginForwarded() bool {
	version, err := strconv.ParseUint(c.request.Header.Get(headerForwardVersion), 10, 64)
	if err != nil || version > c.version {
		c.refuse(http.StatusServiceUnavailable, "the gateway that forwarded the request has a newer configuration")
		return false
	}
	c.setForwardedOrigin()
	if runs, err := strconv.Atoi(c.request.Header.Get(headerForwardRuns)); err == nil && runs > 0 {
		c.possibleRuns, c.possibleArrivals, c.runsBefore = runs, runs, runs
	}
	if ms, err := strconv.Atoi(c.request.Header.Get(headerForwardAlone)); err == nil && ms > 0 {
		c.aloneUntil = c.startedAt.Add(time.Duration(ms) * time.Millisecond)
	}
	return true
}

// markNotSent tells the gateway that forwarded a request which is refused whether another one may take
// it: nothing was sent to a replica, for a reason that does not hold there.
func (c *call) markNotSent(status int) {
	if !c.forwarded || status != http.StatusServiceUnavailable || c.possibleArrivals > 0 {
		return
	}
	if c.unconnected > 0 || c.handler.stopping.Load() || c.handler.options.Fleet.links.Unreachable(c.service) {
		c.writer.Header().Set(headerNotSent, notSentUnable)
		return
	}
	if c.route == nil || c.noReturn || c.notAccepted {
		c.writer.Header().Set(headerNotSent, notSentHere)
	}
}
