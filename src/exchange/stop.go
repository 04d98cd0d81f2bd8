package exchange

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// retryAfterStop is the value of Retry-After of a stopping gateway. Its clients' next requests reach others.
const retryAfterStop = 50 * time.Millisecond

// errCutOff is why the attempts of a request end by CutOff.
var errCutOff = errors.New("the gateway has ended")

// stopState is what a handler's requests need to know of its stop. It is safe for concurrent use.
type stopState struct {
	// last is set once the handler stops.
	last atomic.Pointer[lastSends]
	// marked ends by mark as the time of last begins.
	marked context.Context
	mark   context.CancelFunc
	// cut ends by cutOff.
	cut    context.Context
	cutOff context.CancelFunc
	// signalled is when the signal to stop was sent at the earliest, nil before the stop.
	signalled atomic.Pointer[time.Time]
	// underWay are the requests that a kill of the process would end.
	underWay underWay
}

// lastSends are the requests that are sent from a time on. They must end until another time.
type lastSends struct{ from, end time.Time }

func newStopState() *stopState {
	s := &stopState{underWay: underWay{requests: map[*progress]struct{}{}}}
	s.marked, s.mark = context.WithCancel(context.Background())
	s.cut, s.cutOff = context.WithCancel(context.Background())
	return s
}

// ended reports whether the requests in progress were ended.
func (s *stopState) ended() bool { return s.cut.Err() != nil }

// sinceSignal returns when something happened after the signal to stop, false if there was none.
func (s *stopState) sinceSignal(at time.Time) (time.Duration, bool) {
	signalled := s.signalled.Load()
	if signalled == nil {
		return 0, false
	}
	return at.Sub(*signalled), true
}

// NoteStopSignal tells the handler when the signal to stop was sent at the earliest, for its log lines. Without it, or
// if it comes after Stop, that is the time of Stop.
func (h *Handler) NoteStopSignal(at time.Time) { h.stop.signalled.CompareAndSwap(nil, &at) }

// Stop makes the handler close each connection after its current response.
func (h *Handler) Stop() {
	h.NoteStopSignal(h.options.Now())
	h.stopping.Store(true)
}

// EndWaits ends the waits of requests that have not been sent yet: for a place, a slot, a permit, a model or a
// replica that accepts them. They are refused, and so are later ones that would have to wait, while there is
// still time for their clients to turn to another gateway.
func (h *Handler) EndWaits() { h.endWaits() }

// RefuseBeyond makes the handler refuse, from a time on, requests that have not been sent and may last beyond the
// end. Those that are under way then are logged, at once if the time has passed.
func (h *Handler) RefuseBeyond(from, end time.Time) {
	h.stop.last.Store(&lastSends{from: from, end: end})
	if wait := time.Until(from); wait > 0 {
		time.AfterFunc(wait, h.passMark)
		return
	}
	h.passMark()
}

// CutOff ends the requests in progress. Those whose response has not begun are answered.
func (h *Handler) CutOff() {
	if number := h.stop.underWay.number(); number > 0 {
		h.options.Metrics.UnderWayAtStop.end.Inc(int64(number))
	}
	h.stop.cutOff()
}

// runContext returns the context of a request's attempts, which ends with that of the request, at its deadline
// or by CutOff.
func (c *call) runContext() (context.Context, context.CancelFunc) {
	cuttable, cut := context.WithCancelCause(c.request.Context())
	ctx, cancel := context.WithDeadline(cuttable, c.deadline)
	stopWatch := context.AfterFunc(c.handler.stop.cut, func() { cut(errCutOff) })
	return ctx, func() {
		stopWatch()
		cancel()
		cut(nil)
	}
}

// noteCutOff gives the end of the gateway as the reason for the end of a request.
func (c *call) noteCutOff() {
	if c.handler.stop.ended() {
		c.reason += "; the gateway has ended"
	}
}

// tooLateToSend reports whether the request must not be sent any more because it may last longer than the
// stopping gateway. Its time counts from its last byte, the latest that its client may count from. One that may
// have run is repeated all the same, since it could not be refused.
func (c *call) tooLateToSend(now time.Time) bool {
	last := c.handler.stop.last.Load()
	if last == nil || now.Before(last.from) || c.possibleRuns > 0 {
		return false
	}
	received := c.receivedAt
	if received.IsZero() {
		received = now
	}
	return received.Add(c.timeLimit()).After(last.end)
}

// awaitSettled lets a process that stood still read what came meanwhile: news from control nodes, or a signal to stop.
func (c *call) awaitSettled() {
	if await := c.handler.options.AwaitSettled; await != nil {
		await(c.request.Context(), c.handler.options.Now())
	}
}

// inTimeToSend reports whether the request may be sent right now, as far as a stop is concerned.
func (c *call) inTimeToSend() bool {
	c.awaitSettled()
	return !c.tooLateToSend(c.handler.options.Now())
}

// refusedByStop refuses a request that is too late to send. It reports whether it has done so.
func (c *call) refusedByStop() bool {
	if !c.tooLateToSend(c.handler.options.Now()) {
		return false
	}
	c.retryIn = retryAfterStop
	c.writer.Header().Set("Connection", "close")
	c.refuse(http.StatusServiceUnavailable, "the gateway stops before the request's deadline")
	return true
}

// waitsBy returns the context of the request's next wait. A stream that its client has a part of can't be refused, so that
// it waits for its rest for as long as what runs may go on.
func (c *call) waitsBy(ctx, waiting context.Context) context.Context {
	if c.stream != nil && c.stream.started {
		return ctx
	}
	return waiting
}

// waitContext returns a context for the waits of a request, which ends with that of the request or by
// EndWaits.
func (h *Handler) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	stopWatch := context.AfterFunc(h.waits, cancel)
	return waiting, func() {
		stopWatch()
		cancel()
	}
}
