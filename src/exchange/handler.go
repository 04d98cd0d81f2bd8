package exchange

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
)

// The handler's times and bounds.
const (
	// maxSends bounds the replicas that one request is offered to, when each
	// says that it did not run it.
	maxSends = 4
	// defaultTimeout holds where neither client nor route name one.
	defaultTimeout = 30 * time.Second
	// answerMargin is kept from a request's time for the answer's way back.
	answerMargin = 20 * time.Millisecond
	// missingPoll is how often a request looks for a copy that is being loaded.
	missingPoll = 10 * time.Millisecond
	// missingShare is the part of the target that a request waits for a copy.
	missingShare = 0.22
	// gatheringShare is that part while the gateway's list of replicas is young.
	gatheringShare = 0.6
	// startHold is how long a request waits in a gateway that has just started and
	// knows no configuration yet: after a loss of power control nodes come up some
	// 0.3 s later than gateways, and a refused client is late for certain.
	startHold = 300 * time.Millisecond
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
)

// Options are what a handler needs.
type Options struct {
	Codec  Codec
	Fleet  *Fleet
	Budget BudgetLimits
	// Demand learns what requests ask for.
	Demand  *Demand
	Ring    *event.Ring
	Metrics *Metrics
	Now     func() time.Time
}

// Handler serves clients' requests; it is safe for concurrent use.
type Handler struct {
	options Options
	table   atomic.Pointer[catalog.Table]
	// configured is closed once there is a configuration.
	configured chan struct{}
	configure  sync.Once
	budgets    budgets
	gateways   atomic.Int64
	stopping   atomic.Bool
	running    atomic.Int64
}

// NewHandler returns a handler without a configuration.
func NewHandler(options Options) *Handler {
	h := &Handler{options: options, budgets: newBudgets(options.Budget), configured: make(chan struct{})}
	h.gateways.Store(1)
	return h
}

// SetTable puts a configuration in force.
func (h *Handler) SetTable(t *catalog.Table) {
	h.table.Store(t)
	h.configure.Do(func() { close(h.configured) })
}

// Table returns the configuration in force, nil if there is none yet.
func (h *Handler) Table() *catalog.Table { return h.table.Load() }

// SetGateways says how many gateways share the retry budgets.
func (h *Handler) SetGateways(n int) { h.gateways.Store(int64(n)) }

// Stop makes every answer the last one on its connection.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Running returns the number of requests under way.
func (h *Handler) Running() int { return int(h.running.Load()) }

// call is one client's request on its way.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	route   *catalog.Route
	version uint64
	service string
	facts   Facts
	body    []byte
	began   time.Time
	// deadline is when the client must have its answer.
	deadline time.Time
	tried    []*Peer
	// sends counts the replicas that were tried, arrivals those that the request
	// may have reached, ran those that may have run it.
	sends    int
	arrivals int
	ran      int
	// status is what the client was answered.
	status int
	reason string
	first  time.Time
	stream *eventStream
	pauses pauses
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{handler: h, writer: w, request: r, began: h.options.Now()}
	c.deadline = c.began.Add(defaultTimeout)
	defer c.note()
	table := c.awaitTable()
	if table == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	c.version = table.Version()
	c.route = table.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, "no route")
		return
	}
	c.service = c.route.Pick(rand.Float64())
	c.facts = h.options.Codec.Facts(r)
	c.deadline = c.began.Add(c.allowed())
	if !c.readBody(table.Document().Limits.BodyBytes) {
		return
	}
	h.options.Demand.Ask(c.service, c.facts, false)
	h.budgets.of(c.service).Request(c.began)
	c.run()
}

// awaitTable returns the configuration in force; where there is none yet it waits
// for the first one, up to startHold.
func (c *call) awaitTable() *catalog.Table {
	h := c.handler
	if table := h.table.Load(); table != nil {
		return table
	}
	select {
	case <-h.configured:
	case <-time.After(startHold):
	case <-c.request.Context().Done():
	}
	return h.table.Load()
}

// allowed is how long the request may be held.
func (c *call) allowed() time.Duration {
	allowed := c.route.Timeout
	if allowed <= 0 {
		allowed = defaultTimeout
	}
	if d := c.facts.Deadline; d > 0 {
		allowed = min(allowed, d)
	}
	return allowed
}

func (c *call) readBody(limit int) bool {
	if limit <= 0 {
		limit = 4 << 20
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.began.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, int64(limit)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
			return false
		}
		c.refuse(http.StatusBadRequest, "the body could not be read: "+err.Error())
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return true
}

// outcome says how one attempt ended.
type outcome uint8

const (
	// answered means that the client has the answer, or its beginning.
	answered outcome = iota
	// notRun means that the replica has not run the request and will not.
	notRun
	// unknown means that it may have run.
	unknown
	// failed means that it ran and the replica answered with a failure that is kept.
	failed
	// cut means that the client's answer has begun and can't go on as it was.
	cut
)

// run is the loop of attempts.
func (c *call) run() {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	var kept *keptAnswer
	for {
		choice := c.choose(ctx)
		if choice.Verdict != Chosen {
			c.giveUp(kept, choice)
			return
		}
		ended, answer := c.attempt(ctx, choice)
		if answer != nil {
			kept = answer
		}
		if ended == answered {
			return
		}
		if !c.again(ctx, ended) {
			c.end(ctx, ended, kept)
			return
		}
	}
}

// choose picks a replica; it waits a while for a copy that is not there yet.
func (c *call) choose(ctx context.Context) Choice {
	want := c.want()
	h := c.handler
	asked := false
	for {
		now := h.options.Now()
		choice := h.options.Fleet.Pick(now, want, c.tried)
		if choice.Verdict == Chosen && c.paced(now, choice) {
			if !sleep(ctx, paceStep) {
				return choice
			}
			continue
		}
		if choice.Verdict == Chosen || len(c.tried) > 0 || !now.Before(c.began.Add(c.patience(now, choice.Verdict))) {
			return choice
		}
		if choice.Verdict == Missing && !asked {
			h.options.Demand.Ask(c.service, c.facts, true)
			asked = true
		}
		select {
		case <-ctx.Done():
			return choice
		case <-time.After(missingPoll):
		}
	}
}

// patience is how long a request without a replica waits for one: for a copy that
// may be on its way, and for replicas that this gateway has not had the time to
// learn of.
func (c *call) patience(now time.Time, verdict Verdict) time.Duration {
	share := 0.0
	if verdict == Missing {
		share = missingShare
	}
	if c.handler.options.Fleet.Gathering(now) {
		share = gatheringShare
	}
	return time.Duration(float64(c.route.Target) * share)
}

func (c *call) want() Want {
	return Want{Service: c.service, Model: c.facts.Model, Adapter: c.facts.Adapter, Prompt: c.facts.PromptTokens, Parts: c.facts.Parts}
}

// again reports whether another replica may be tried.
func (c *call) again(ctx context.Context, ended outcome) bool {
	if ctx.Err() != nil || c.handler.options.Now().Add(answerMargin).After(c.deadline) {
		return false
	}
	if ended != notRun {
		if !c.route.Idempotent() || c.ran >= max(c.route.Attempts, 1) {
			return false
		}
	}
	if c.sends >= maxSends {
		return false
	}
	if c.arrivals == 0 {
		return true
	}
	now := c.handler.options.Now()
	if !c.handler.budgets.of(c.service).Take(now, int(c.handler.gateways.Load())) {
		c.reason += "; the retry budget is spent"
		return false
	}
	c.handler.options.Metrics.Retries.Inc(1)
	return true
}

// attempt offers the request to a replica.
func (c *call) attempt(ctx context.Context, choice Choice) (outcome, *keptAnswer) {
	h := c.handler
	peer := choice.Peer
	now := h.options.Now()
	c.tried = append(c.tried, peer)
	c.reason = choice.Reason
	o := c.outgoing(peer, now)
	peer.begin(choice.ReadTime)
	defer peer.end()
	unread := choice.ReadTime
	defer func() { peer.read(unread) }()
	h.options.Fleet.Sent(peer, c.facts.Model, c.facts.Parts)
	c.sends++
	a, err := send(ctx, peer.pool, o, c.facts.ID, h.options.Codec.Reply, choice.dialWithin(), c.headBy(now), now)
	if err != nil {
		return c.sendFailed(ctx, peer, err), nil
	}
	c.arrivals++
	_ = a.conn.raw.SetDeadline(c.deadline)
	peer.told(h.options.Now(), a.reply.Load)
	if a.reply.NotRun {
		return c.rejected(peer, a), nil
	}
	c.ran++
	if a.response.StatusCode >= http.StatusInternalServerError {
		return c.keep(peer, a)
	}
	if c.route.Kind == catalog.Streaming {
		return c.passStream(ctx, peer, a, &unread, reading{began: now, tokens: choice.Read, model: c.facts.Model}), nil
	}
	return c.passWhole(ctx, peer, a), nil
}

// headBy is when the head of a replica's answer must be here: where another
// replica may be tried, early enough for that.
func (c *call) headBy(now time.Time) time.Time {
	if !c.route.Idempotent() || c.ran+1 >= c.route.Attempts {
		return c.deadline
	}
	wait := max(3*c.route.Target/2, c.deadline.Sub(now)/3)
	return earlier(c.deadline, now.Add(wait))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *call) outgoing(peer *Peer, now time.Time) *outgoing {
	codec := &c.handler.options.Codec
	header := make(http.Header, len(c.request.Header)+4)
	dropped := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if hopByHop[name] || slices.Contains(codec.Replace, name) || dropped[name] {
			continue
		}
		header[name] = values
	}
	codec.Prepare(header, c.facts, Attempt{
		Replica:     peer.ID(),
		Remaining:   c.deadline.Sub(now) - answerMargin,
		Priority:    c.route.Priority,
		ResumeAfter: c.resumeAfter(),
	})
	return &outgoing{method: c.request.Method, target: c.request.RequestURI, host: c.request.Host, header: header, body: c.body}
}

// connectionHeaders are those that the client's Connection header names.
func connectionHeaders(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header.Values("Connection") {
		for _, name := range splitList(value) {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(name)] = true
		}
	}
	return named
}

func (c *call) sendFailed(ctx context.Context, peer *Peer, err error) outcome {
	h := c.handler
	if !c.left() {
		c.reason += "; " + err.Error()
	}
	sent := !errors.Is(err, errNotSent)
	if sent {
		c.arrivals++
		c.ran++
	}
	if ctx.Err() == nil {
		pause := peer.failed(h.options.Now(), !errors.Is(err, errForeign))
		h.options.Ring.Add(event.Event{Kind: event.HostEjected, Request: c.facts.ID, Host: peer.ID(), Reason: err.Error() + "; avoided for " + pause.String()})
	}
	if sent {
		return unknown
	}
	return notRun
}

// rejected drops the answer of a replica that did not run the request.
func (c *call) rejected(peer *Peer, a *answer) outcome {
	h := c.handler
	if _, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxKept)); err != nil {
		a.abort()
	} else {
		a.finish(h.options.Now())
	}
	c.reason += "; " + peer.ID() + " did not run it: " + a.response.Status
	if a.reply.Elsewhere && c.facts.Model != "" {
		peer.lacks(h.options.Now(), c.facts.Model, c.facts.Adapter)
	}
	if !a.reply.Elsewhere {
		peer.failed(h.options.Now(), false)
	}
	h.options.Ring.Add(event.Event{Kind: event.RequestRetried, Request: c.facts.ID, Host: peer.ID(), Model: c.facts.Model, Reason: c.reason})
	return notRun
}
