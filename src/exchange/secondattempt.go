package exchange

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/resume"
)

// sentAttempt is an attempt that was sent and has not ended, with what it holds. Only the goroutine of its call uses
// it; the head of its response is read by another one.
type sentAttempt struct {
	peer      *Peer
	choice    Choice
	startedAt time.Time
	response  *replicaResponse
	watch     *attemptWatch
	// cancel closes its connection.
	cancel context.CancelFunc
	grant  grant
	slot   assignedSlot
	place  heldPlace
	// backup keeps a copy of the run.
	backup *Peer
	// pendingPrefill is the part of the peer's backlog that is the attempt's prompt.
	pendingPrefill time.Duration
	// forwarded is set if the peer is a gateway, overdue once a second attempt was made beside this one.
	forwarded, overdue bool
	// announced is how many replicas may have run the request at the gateway, as it has announced.
	announced atomic.Int64
	// besideFrom is from when on another gateway is offered the request too, the zero time for never.
	besideFrom time.Time
}

// close ends what is counted for the attempt at its peer, its watch and its connection.
func (s *sentAttempt) close() {
	s.peer.read(s.pendingPrefill)
	s.peer.finishRequest()
	s.watch.stop()
	s.cancel()
}

// hasEnded reports whether the head of the response has arrived or can't arrive any more.
func (s *sentAttempt) hasEnded() bool {
	select {
	case <-s.response.ended:
		return true
	default:
		return false
	}
}

// origin returns what writes the response, whose head has arrived.
func (s *sentAttempt) origin() resume.Origin {
	if s.forwarded {
		return forwardedOrigin(s.response.response.Header)
	}
	return s.peer.writerOrigin()
}

// untilHead returns a context that ends once the head of the response has arrived or can't arrive any more.
func (s *sentAttempt) untilHead(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.response.ended:
			cancel()
		case <-waiting.Done():
		}
	}()
	return waiting, cancel
}

// attemptResult is how an attempt ended. err is set if a gateway sent the request to no replica.
type attemptResult struct {
	ended   outcome
	failure *errorResponse
	err     error
}

// settle waits for the head of an attempt's response and passes the response on. Once the head is overdue, a second
// attempt begins if another peer takes the request. The first head that ends the request wins, and the other attempt
// is aborted before a byte reaches the client. An attempt that ends in another way leaves the other one as it is.
func (c *call) settle(ctx context.Context, attempt *sentAttempt) attemptResult {
	var second *sentAttempt
	var before *attemptResult
	for {
		offered, secondEnded := attempt.watch.offered, (<-chan struct{})(nil)
		if second != nil {
			offered, secondEnded = nil, second.response.ended
		}
		select {
		case <-attempt.response.ended:
		case <-secondEnded:
			attempt, second = second, attempt
		case next := <-offered:
			second = c.sendBeside(ctx, attempt, next)
			continue
		}
		if second != nil && c.endsRequest(attempt) {
			c.abandon(second)
			second = nil
		}
		if second == nil {
			return c.finish(ctx, attempt).after(before)
		}
		result := c.finishBeside(ctx, attempt).after(before)
		before = &result
		attempt, second = second, nil
		c.watchAlone(attempt)
	}
}

// after adds what an earlier attempt ended with. A request that it may have run is not one that was taken by nobody.
func (r attemptResult) after(before *attemptResult) attemptResult {
	if before == nil {
		return r
	}
	if r.failure == nil {
		r.failure = before.failure
	}
	if r.err != nil && before.err == nil {
		r.ended, r.err = before.ended, nil
	}
	return r
}

// endsRequest reports whether the head of an attempt's response ends the request, so that no other attempt is needed.
// The response of a gateway may be its own refusal.
func (c *call) endsRequest(s *sentAttempt) bool {
	a := s.response
	switch {
	case a.headErr != nil, s.watch.gaveUp(), a.reply.NotRun, a.response.StatusCode >= http.StatusInternalServerError:
		return false
	case s.forwarded && a.response.StatusCode >= http.StatusBadRequest:
		return false
	case c.route.Kind == catalog.Streaming && a.response.StatusCode == http.StatusOK && maybeEventStream(a.response.Header):
		return c.origin.Allows(s.origin())
	}
	return c.stream == nil || !c.stream.started
}

// sendBeside makes a second attempt beside an overdue one, and returns nil if nothing was sent. The request looks for
// another peer again then, unless it must not be sent.
func (c *call) sendBeside(ctx context.Context, first *sentAttempt, next *nextPeer) *sentAttempt {
	c.denied = false
	second := c.prepareBeside(ctx, first, next)
	switch now := c.handler.options.Now(); {
	case second != nil:
		first.overdue = true
		c.handler.options.Metrics.Retries.Inc(1)
		first.watch.setElsewhere(nowhere, now, time.Time{})
	case c.denied:
		first.watch.setElsewhere(nowhere, now, time.Time{})
	default:
		c.watchAlone(first)
	}
	return second
}

// prepareBeside chooses a peer for a second attempt and sends it, unless the head of the first response arrives
// before. It returns nil if nothing was sent.
func (c *call) prepareBeside(ctx context.Context, first *sentAttempt, next *nextPeer) *sentAttempt {
	now := c.handler.options.Now()
	c.revokeDoubted()
	runs := first.runs()
	if first.hasEnded() || c.sends >= maxSends || first.forwarded && c.possibleRuns+runs >= c.route.Attempts || c.origin.Unresolved() || c.timeOver(ctx) {
		next.drop(now)
		return nil
	}
	preparing, cancel := first.untilHead(ctx)
	defer cancel()
	reason, retryIn := c.reason, c.retryIn
	c.beside = true
	c.addRuns(runs)
	var second *sentAttempt
	if first.forwarded {
		second = c.forwardBeside(ctx, preparing, next.peer, now)
	} else {
		c.reason = ""
		second = c.replicaBeside(ctx, preparing, next)
		c.reason = withSeparator(c.reason)
	}
	c.addRuns(-runs)
	c.reason, c.retryIn = reason+c.reason, retryIn
	if second == nil {
		next.budget.GiveBack(next.takenAt)
		c.beside = false
	}
	return second
}

// withSeparator returns a text that follows others in the reason of a call.
func withSeparator(text string) string {
	if text == "" || strings.HasPrefix(text, "; ") {
		return text
	}
	return "; " + text
}

// replicaBeside sends the request to a second replica, on the connection that it has accepted.
func (c *call) replicaBeside(ctx, preparing context.Context, next *nextPeer) *sentAttempt {
	c.next = next
	defer func() { c.dropNext(c.handler.options.Now()) }()
	waiting, endWait := c.handler.waitContext(preparing)
	defer endWait()
	ended, result := notAccepted, (*sentAttempt)(nil)
	if choice := c.choose(waiting); choice.Verdict == Chosen && c.maySend(preparing) && preparing.Err() == nil {
		result, ended = c.sendTo(ctx, preparing, choice)
	}
	if result == nil {
		c.release(c.slotOutcome(ended))
		c.releasePlace()
	}
	c.placeRequests = 0
	return result
}

// forwardBeside forwards the request to a second gateway.
func (c *call) forwardBeside(ctx, preparing context.Context, to *Peer, now time.Time) *sentAttempt {
	c.tried = append(c.tried, to)
	second, err := c.sendForward(ctx, preparing, to, now)
	if err != nil {
		c.reason = "; not forwarded to " + to.ID() + ": " + err.Error()
		return nil
	}
	c.reason = ""
	return second
}

// watchAlone lets a further attempt be made beside one that is the only one under way again.
func (c *call) watchAlone(s *sentAttempt) {
	c.beside = false
	c.moveLast(s.peer)
	due := s.besideFrom
	if !s.forwarded {
		due = c.headDue(s.startedAt)
	}
	s.watch.setElsewhere(c.elsewhere(s), c.handler.options.Now(), due)
}

// moveLast makes a peer the last one of those that were tried.
func (c *call) moveLast(peer *Peer) {
	if at := slices.Index(c.tried, peer); at >= 0 {
		c.tried = append(slices.Delete(c.tried, at, at+1), peer)
	}
}

// hold makes what an attempt holds that of the call.
func (c *call) hold(s *sentAttempt) {
	c.watch, c.backup, c.assignedSlot, c.heldPlace = s.watch, s.backup, s.slot, s.place
}

// finish handles the head of an attempt's response, or that there is none, and passes the response on.
func (c *call) finish(ctx context.Context, s *sentAttempt) attemptResult {
	defer s.close()
	c.hold(s)
	c.moveLast(s.peer)
	c.settled = s.peer
	before := c.early
	c.brokenBy, c.early = nil, earlyEnd{}
	var result attemptResult
	if s.forwarded {
		result.ended, result.err = c.finishAtGateway(ctx, s)
	} else {
		result.ended, result.failure = c.finishAtReplica(ctx, s)
	}
	c.keepEarlyEnd(before, result.ended)
	return result
}

// keepEarlyEnd keeps what ended an earlier attempt if the last one was not run or not passed on.
func (c *call) keepEarlyEnd(before earlyEnd, ended outcome) {
	if (ended == notRun || ended == unknown) && c.early.cause == causeNone && !c.clientLeft() {
		c.early = earlyEnd{cause: before.cause, evidence: before.evidence}
	}
}

// finishBeside ends an attempt that does not end the request, while another one is under way.
func (c *call) finishBeside(ctx context.Context, s *sentAttempt) attemptResult {
	c.beside = true
	s.watch.dropNext()
	result := c.finish(ctx, s)
	if result.ended == unknown && !s.forwarded {
		c.noteLostReplica(ctx, s.peer)
	}
	c.release(c.slotOutcome(result.ended))
	c.releasePlace()
	return result
}

// abandon aborts an attempt that another one makes needless. It may have run. A peer whose head was overdue is
// avoided for a while.
func (c *call) abandon(s *sentAttempt) {
	c.beside = false
	now := c.handler.options.Now()
	c.hold(s)
	c.release(dispatch.Failed)
	c.releasePlace()
	s.close()
	if s.overdue {
		s.peer.failed(now, true)
	}
	if s.forwarded {
		c.countForwarded(s)
		return
	}
	c.possibleArrivals++
	c.possibleRuns++
	c.reason += "; aborted at " + s.peer.ID()
	c.handler.crashDetector.addSuspect(now, s.peer, c.quarantineRequest())
}
