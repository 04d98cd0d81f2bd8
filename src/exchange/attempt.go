package exchange

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/work"
)

// outcome is the result of one attempt.
type outcome uint8

const (
	// answered means that the client has received the response or the start of it.
	answered outcome = iota
	// notRun means that the replica has not run the request and will not.
	notRun
	// unknown means that the replica may have run the request.
	unknown
	// failed means that the replica ran the request and returned an error, which is kept.
	failed
	// truncated means that the client's response has begun and cannot be continued.
	truncated
	// notAccepted means that nothing was sent because the replica accepts no requests now.
	notAccepted
)

// mayRetry reports whether another replica may be tried.
func (c *call) mayRetry(ctx context.Context, ended outcome) bool {
	if c.timeOver(ctx) || c.runsNoFurther() {
		return false
	}
	c.revokeDoubted()
	if c.stream != nil && c.stream.started && !c.route.Idempotent() || c.origin.Unresolved() {
		return false
	}
	if c.possibleRuns >= max(c.route.Attempts, 1) {
		return false
	}
	if ended != notRun && (ended != notAccepted || c.possibleRuns > 0) && !c.route.Idempotent() {
		return false
	}
	if ended == notAccepted {
		return true
	}
	if c.sends-c.restSends >= maxSends {
		return false
	}
	if c.possibleArrivals == 0 {
		return true
	}
	now := c.handler.options.Now()
	taken := c.repeatTaken
	c.repeatTaken = false
	if !taken && !c.takeRetry(now) {
		c.reason += "; the retry budget is spent"
		return false
	}
	c.handler.options.Metrics.Retries.Inc(1)
	return true
}

// attempt sends the request to a replica and passes its response on.
func (c *call) attempt(ctx context.Context, choice Choice) (outcome, *errorResponse) {
	c.settled = choice.Peer
	if choice.Copy != nil {
		c.copied = nil
	}
	c.forgetStopOrders()
	sent, ended := c.sendTo(ctx, ctx, choice)
	if sent == nil {
		return ended, nil
	}
	result := c.settle(ctx, sent)
	return result.ended, result.failure
}

// sendTo sends the request to a replica, to which a connection must be established before dialing ends. If nothing
// was sent it returns nil and the outcome.
func (c *call) sendTo(ctx, dialing context.Context, choice Choice) (*sentAttempt, outcome) {
	h := c.handler
	peer := choice.Peer
	now := h.options.Now()
	c.tried = append(c.tried, peer)
	c.brokenBy, c.headless, c.rejection = nil, false, Reply{}
	c.reason = choice.Reason
	if c.permitWait > 0 {
		c.reason += ", waited " + c.permitWait.String() + " for a permit"
	}
	o := c.outgoingRequest(choice, now)
	attemptCtx, cancel := context.WithCancel(ctx)
	s := &sentAttempt{peer: peer, choice: choice, startedAt: now, cancel: cancel, pendingPrefill: choice.PrefillTime, backup: c.backup}
	s.watch = c.watchAttempt(attemptCtx, peer, now, c.headDue(now), c.elsewhere(s), cancel)
	peer.startRequest(choice.PrefillTime)
	s.grant = c.takeGrant()
	h.options.Fleet.Sent(now, peer, c.requestInfo.Model, c.requestInfo.Parts, choice.PrefillTime)
	c.sends++
	response, err := send(attemptCtx, dialing, peer.pool, o, c.requestInfo.ID, c.replicaHooks(s, now), choice.connectTimeout(), c.headDeadline(), now)
	if err != nil {
		defer s.close()
		return nil, c.undoSend(ctx, dialing, s, err)
	}
	s.response = response
	s.slot, c.assignedSlot = c.assignedSlot, assignedSlot{}
	s.place, c.heldPlace = c.heldPlace, heldPlace{}
	return s, answered
}

// replicaHooks returns what is called while the request is sent to a replica.
func (c *call) replicaHooks(s *sentAttempt, now time.Time) sendHooks {
	h, peer := c.handler, s.peer
	var sent sentRequest
	hooks := sendHooks{
		ready:   c.readyConn(now, peer),
		sending: func(raw net.Conn) { c.noteSending(s.watch, raw) },
		admit: func() bool {
			if !c.inTimeToSend() {
				return false
			}
			sent = sentRequest{sentAt: h.options.Fleet.bootNow(), term: c.sendPermit.term, grant: c.sendPermit.number}
			if s.choice.Copy == nil && c.runsNoFurther() || !c.usePermit(peer) || !h.options.Fleet.admit(peer) {
				return false
			}
			c.announceRun()
			return true
		},
		read: func(status int, header http.Header) Reply { return c.applyReply(peer, status, header, sent) },
	}
	if c.needsStartCheck(s.choice) {
		hooks.confirm = func(conn *conn) error {
			err := conn.confirmStart(&h.options.Codec, peer, h.options.Now().Add(startCheckTimeout))
			if err == nil {
				peer.noteConfirmedStart()
			}
			return err
		}
	}
	return hooks
}

// undoSend handles an attempt of which nothing was sent.
func (c *call) undoSend(ctx, dialing context.Context, s *sentAttempt, err error) outcome {
	c.progress.noteNotRun(s.peer)
	if c.clientLeft() {
		c.early = earlyEnd{}
	}
	switch {
	case errors.Is(err, errNotAccepted), ctx.Err() == nil && dialing.Err() != nil:
		c.undoAttempt(s.grant)
		return notAccepted
	case errors.Is(err, errOtherStart):
		if c.noteTooLong(s.peer, err) {
			s.peer.failed(c.handler.options.Now(), true)
		}
		c.notSent = true
		c.reason += "; " + s.peer.ID() + ": " + err.Error()
	default:
		c.handleSendError(ctx, s.peer, err)
	}
	c.restoreGrant(s.grant)
	return notRun
}

// finishAtReplica handles the head of a replica's response, or that there is none, and passes the response on.
func (c *call) finishAtReplica(ctx context.Context, s *sentAttempt) (outcome, *errorResponse) {
	h, peer, a := c.handler, s.peer, s.response
	if a.headErr != nil {
		c.headless = true
		return c.handleSendError(ctx, peer, a.headErr), nil
	}
	c.possibleArrivals++
	c.notSent = false
	s.watch.noteHead(a.response)
	h.options.Fleet.noteContact(peer)
	c.bodyEnd = a.end
	a.origin = peer.writerOrigin()
	_ = a.conn.raw.SetDeadline(c.headDeadline())
	h.options.Fleet.UpdateLoad(h.options.Now(), peer, a.reply.Load)
	if a.reply.NotRun {
		c.progress.noteNotRun(peer)
		c.restoreGrant(s.grant)
		ended := c.handleRejection(peer, a)
		c.noteRefusedRest(&s.choice, a.response.Status)
		return ended, nil
	}
	if s.watch.gaveUp() {
		a.abort()
		return c.handleSendError(ctx, peer, noResponse(errGivenUp)), nil
	}
	c.possibleRuns++
	if copied := s.choice.Copy; copied != nil && !copied.backup {
		h.restOutcomes.note(h.options.Now(), c.service, copied.restart, true)
	}
	if a.response.StatusCode >= http.StatusInternalServerError {
		return c.bufferError(ctx, peer, a)
	}
	if c.route.Kind == catalog.Streaming {
		c.timing = newTiming(&s.choice)
		ended := c.relayStream(ctx, peer, a, &s.pendingPrefill, work.Prefill{Began: s.startedAt, Tokens: s.choice.PrefillTokens, Model: c.requestInfo.Model, Factor: s.choice.Factor})
		if copied := s.choice.Copy; copied != nil && !copied.backup && (ended == answered || a.end == endByClose) {
			h.vainCopies.note(h.options.Now(), c.service, ended == answered)
		}
		return ended, nil
	}
	return c.relayBuffered(ctx, peer, a), nil
}

// noteSending records that the request is sent on a connection.
func (c *call) noteSending(watch *attemptWatch, raw net.Conn) {
	c.sentAt = c.handler.options.Now()
	watch.noteSent(raw)
	c.noteUnderWay(watch.peer)
}

// undoAttempt reverts the accounting of an attempt that was not sent. It used no quota, and its
// replica counts as untried because it may accept the request shortly after.
func (c *call) undoAttempt(spent grant) {
	c.restoreGrant(spent)
	c.sends--
	c.tried = c.tried[:len(c.tried)-1]
	c.notSent = true
}

// applyReply decodes the head of a response from a replica, whichever request it belongs to, and
// updates the replica's state from it.
func (c *call) applyReply(peer *Peer, status int, header http.Header, sent sentRequest) Reply {
	reply := c.handler.options.Codec.Reply(status, header)
	if reply.Backoff > 0 {
		c.handler.options.Metrics.Backoffs.Inc(1)
	}
	if len(reply.Unknown) > 0 && c.handler.options.Unknown != nil {
		c.handler.options.Unknown(peer.ID(), reply.Unknown)
	}
	answers := reply.answers(c.requestInfo.ID)
	c.handler.options.Fleet.applyReply(peer, &reply)
	if answers || reply.RejectionLimit.Told {
		c.handler.options.Fleet.noteRejectionLimit(peer, reply.RejectionLimit)
	}
	sent.succeeded = answers && !reply.NotRun && status < http.StatusInternalServerError
	c.handler.noteLimit(peer, reply.Limit, sent)
	return reply
}

// headDue returns from when on the head of the response is overdue, which leaves time for another attempt. It
// returns the zero time if there is none.
func (c *call) headDue(now time.Time) time.Time {
	if !c.mayRunAgain() {
		return time.Time{}
	}
	return now.Add(c.overdueAfter(now))
}

// overdueAfter returns how long after it was sent the head of a response is overdue.
func (c *call) overdueAfter(now time.Time) time.Duration {
	return max(3*c.route.Target/2, c.deadline.Sub(now)/3)
}

// remaining returns how long a peer may work on the request. A stream is passed on until the client's deadline,
// so what is left is rounded up to the milliseconds of a header; the end of any other response needs time for its
// way back.
func (c *call) remaining(now time.Time) time.Duration {
	if c.route.Kind == catalog.Streaming {
		return (c.deadline.Sub(now) + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	return c.deadline.Sub(now) - responseMargin
}

// headDeadline returns until when a response may begin. A peer refuses a stream that has not begun only at its
// deadline, so the gateway does so before, and needs time for its way back.
func (c *call) headDeadline() time.Time {
	if c.route.Kind == catalog.Streaming && (c.stream == nil || !c.stream.started) {
		return c.deadline.Add(-responseMargin)
	}
	return c.deadline
}

// timeOver reports whether the context of the request has ended or nothing but a refusal can reach the client in
// time. What ends then is no failure of a replica, which stops by itself as its time is over.
func (c *call) timeOver(ctx context.Context) bool {
	return ctx.Err() != nil || !c.handler.options.Now().Add(responseMargin).Before(c.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *call) outgoingRequest(choice Choice, now time.Time) *outgoingRequest {
	peer := choice.Peer
	codec := &c.handler.options.Codec
	header := make(http.Header, len(c.request.Header)+4)
	dropped := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if hopByHop[name] || slices.Contains(codec.ReservedHeaders, name) || dropped[name] {
			continue
		}
		header[name] = values
	}
	attempt := Attempt{
		Replica:     peer.name(),
		Backup:      c.chooseBackup(now, peer),
		Remaining:   c.remaining(now),
		Priority:    c.priority(),
		Account:     c.accountName(),
		ResumeAfter: c.resumeAfter(),
	}
	if choice.Copy != nil {
		attempt.ContinueFrom, attempt.CopyHandle = choice.Copy.keeper().pool.address, choice.Copy.handle
	}
	codec.EncodeRequest(header, c.requestInfo, attempt)
	return &outgoingRequest{method: c.request.Method, target: c.request.RequestURI, host: c.request.Host, header: header, body: c.body}
}

// connectionHeaders returns the header names listed in the Connection header.
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

func (c *call) handleSendError(ctx context.Context, peer *Peer, err error) outcome {
	h := c.handler
	if !c.clientLeft() {
		c.reason += "; " + err.Error()
	}
	tooLong := c.noteTooLong(peer, err)
	sent := !errors.Is(err, errNotSent)
	c.notSent = !sent
	if !sent && !c.clientLeft() {
		c.unconnected++
	}
	if sent {
		c.possibleArrivals++
		c.possibleRuns++
		c.noteEarlyEnd(ctx, err)
	}
	if !c.timeOver(ctx) {
		c.connectionBroke = sent && !tooLong && !errors.Is(err, errOtherRequest)
		pause := noteFailure(h.options.Now(), peer, err)
		h.options.Ring.Add(event.Event{Kind: event.HostEjected, Request: c.requestInfo.ID, Host: peer.ID(), Reason: err.Error() + "; avoided for " + pause.String()})
	}
	if sent {
		return unknown
	}
	return notRun
}

// noteFailure records a failed attempt, and returns for how long the replica is ejected.
func noteFailure(now time.Time, peer *Peer, err error) time.Duration {
	if errors.Is(err, errNotSent) {
		return peer.notConnected(now)
	}
	return peer.failed(now, !errors.Is(err, errOtherRequest))
}

// noteTooLong records that a replica sent more than is read in one place of a response. It returns false
// for any other error.
func (c *call) noteTooLong(peer *Peer, err error) bool {
	var tooLong *LimitError
	if !errors.As(err, &tooLong) {
		return false
	}
	c.handler.options.Metrics.ResponsesTooLong.Inc(1)
	c.handler.options.Ring.Add(event.Event{Kind: event.ResponseTooLong, Request: c.requestInfo.ID, Host: peer.ID(), Reason: tooLong.Error()})
	return true
}

// handleRejection discards the response of a replica that did not run the request.
func (c *call) handleRejection(peer *Peer, a *replicaResponse) outcome {
	h := c.handler
	bodyErr := a.discardBody(h.options.Now())
	tooLong := c.noteTooLong(peer, bodyErr)
	if bodyErr != nil {
		a.abort()
	} else {
		a.reuseConn(h.options.Now())
	}
	rejection := a.response.Status + a.reply.describeRequests()
	c.reason += "; " + peer.ID() + " did not run it: " + rejection
	c.rejection = a.reply
	if a.reply.Misdirected && c.requestInfo.Model != "" {
		peer.noteMissingCopy(h.options.Now(), c.requestInfo.Model, c.requestInfo.Adapter)
	}
	// A replica that asked for a backoff has not failed. It is avoided for that time and then used
	// as before.
	if tooLong || !a.reply.Misdirected && a.reply.Backoff == 0 {
		peer.failed(h.options.Now(), tooLong)
	}
	h.options.Ring.Add(event.Event{Kind: event.RequestRetried, Request: c.requestInfo.ID, Host: peer.ID(), Model: c.requestInfo.Model, Reason: rejection + ", " + c.reason})
	return notRun
}
