package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/trace"
)

// completion serves a chat or text completion request.
func (s *Server) completion(ctx context.Context, c *app.RequestContext) {
	r, refusal := readHeaders(c, s.now())
	if refusal == nil {
		refusal = r.readCompletion(c.Request.Body(), s.follower.Set())
	}
	c.Response.Header.Set(headerRequestID, r.id)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	r.path = string(c.Path())
	span := s.tracer.Start(trace.Extract(ctx, r.trace), "client request", r.id, r.requirements.Model, "")
	defer span.End(nil)
	claim, refusal := s.claimKey(ctx, r)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	x := newExchange(s, r, c)
	refusal = x.run(span.Context())
	claim.settle(refusal)
	if refusal != nil {
		x.fail(refusal)
	}
}

// exchange is a completion request with the part of its answer that was relayed
// so far. It is used by one goroutine.
type exchange struct {
	server *Server
	r      *request
	out    *answerWriter
	// lastToken is the id of the last relayed token, 0 before the first one.
	lastToken   uint64
	lastTokenAt time.Time
	timeToFirst time.Duration
	// hostTime is how long the last attempt took.
	hostTime time.Duration
	// writeEnd completes the response to the client.
	writeEnd func() error
	// requestSent is set once a byte of the request may have been written to a
	// backend server.
	requestSent bool
}

func newExchange(s *Server, r *request, c *app.RequestContext) *exchange {
	out := newAnswerWriter(c, r.path, r.stream, r.requestedModel, r.id)
	return &exchange{server: s, r: r, out: out, writeEnd: out.writeEnd}
}

// run attempts the request on one host after another until the answer is complete.
func (x *exchange) run(ctx context.Context) *Refusal {
	s := x.server
	for attempt := 1; ; attempt++ {
		host, refusal := s.admit(ctx, x.r)
		if refusal != nil {
			return x.correctNotRun(refusal)
		}
		err := x.attempt(ctx, host)
		if err == nil {
			x.finish(host)
			return nil
		}
		if refusal := x.handleFailure(ctx, host, attempt, err); refusal != nil {
			return refusal
		}
	}
}

// correctNotRun adjusts a refusal of admit, which considers only the next
// attempt, when an earlier attempt ran or may have run.
func (x *exchange) correctNotRun(refusal *Refusal) *Refusal {
	if x.lastToken > 0 {
		refusal.NotRun = DidRun
	} else if x.requestSent {
		refusal.NotRun = RunUnknown
	}
	return refusal
}

// attempt sends the request to one host and relays the answer, from the first
// token that the client does not have.
func (x *exchange) attempt(ctx context.Context, host *route.Host) error {
	s, r := x.server, x.r
	start := s.now()
	span := s.tracer.Start(ctx, "backend attempt", r.id, r.requirements.Model, host.Name())
	host.Begin()
	r.tried.Add(host)
	s.ring.Add(event.Event{Kind: event.RequestRouted, Request: r.id, Model: r.requirements.Model, Host: host.Name(), Zone: host.Zone()})
	err := x.relay(ctx, host, span.Traceparent())
	x.hostTime = s.now().Sub(start)
	if err != nil {
		host.EndUnanswered()
	} else {
		host.End(x.hostTime, x.attainedByHost(start))
	}
	s.queues.Release(r.queueName())
	span.End(err)
	return err
}

// applyLoad records the load and state that a host reported in response headers.
func (s *Server) applyLoad(host *route.Host, load engine.Load) {
	if load.Known {
		host.RecordLoad(load.Running, load.Waiting, s.now())
	}
	if load.Leaving {
		host.SetLeaving()
	}
}

// errAnswerTooLong means that an engine went on with an answer that is collected.
var errAnswerTooLong = errors.New("the answer is too long")

// errClientGone means that the client disconnected before the answer was complete.
var errClientGone = errors.New("the client has gone")

func (x *exchange) relay(ctx context.Context, host *route.Host, traceparent string) error {
	s, r := x.server, x.r
	call := engine.Request{Path: r.path, Body: r.body, ID: r.id, Priority: r.priority, ResumeFrom: x.lastToken, Trace: traceparent}
	if !r.deadline.IsZero() {
		call.Deadline = max(r.deadline.Sub(s.now()), time.Millisecond)
	}
	stream, err := s.streams.Open(ctx, host.Address(), call)
	if err != nil {
		return err
	}
	x.requestSent = true
	defer stream.Close()
	s.applyLoad(host, stream.Load())
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	return x.relayTokens(ctx, stream)
}

// relayTokens relays tokens to the client in order, each exactly once, and then the
// end of the answer.
func (x *exchange) relayTokens(ctx context.Context, stream *engine.Stream) error {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			if x.writeEnd() != nil {
				return errClientGone
			}
			return nil
		}
		if ctx.Err() != nil {
			return errClientGone
		}
		if err != nil {
			return err
		}
		if token.ID <= x.lastToken {
			// The engine resumed from an earlier token than requested.
			continue
		}
		if token.ID != x.lastToken+1 {
			return errors.Wrapf(engine.ErrBroken, "token %d follows %d", token.ID, x.lastToken)
		}
		if x.out.full() {
			return errAnswerTooLong
		}
		x.recordToken()
		if err := x.out.token(token); err != nil {
			return errClientGone
		}
		x.lastToken = token.ID
		x.r.answerStarted = true
	}
}

func (x *exchange) recordToken() {
	now := x.server.now()
	if x.lastToken == 0 {
		x.timeToFirst = now.Sub(x.r.started)
		x.server.metrics.firstToken.RecordDuration(x.timeToFirst)
	}
	x.lastTokenAt = now
}

// finish records the request as finished.
func (x *exchange) finish(host *route.Host) {
	s, r := x.server, x.r
	s.budget.Succeeded()
	s.prefixes.Note(r.prefix, host)
	s.routes.Served(r.requirements.Model, x.hostTime)
	s.metrics.finished.Inc(1)
	if x.lastToken > 1 {
		s.metrics.tokenInterval.RecordDuration(x.meanTokenInterval())
	}
	if x.attained() {
		s.metrics.attained.Inc(1)
	}
	s.ring.Add(event.Event{Kind: event.RequestFinished, Request: r.id, Model: r.requirements.Model, Host: host.Name()})
}

// attained reports whether the answer met the latency target of its model,
// measured from the arrival of the request, so including the time in the queue.
func (x *exchange) attained() bool {
	target := x.r.target
	if target.FirstToken > 0 && x.timeToFirst > target.FirstToken.Std() {
		return false
	}
	return x.tokensInTime()
}

// attainedByHost reports the same, measured from when the request was sent to
// the host that completed it. This is what the host itself is rated by.
func (x *exchange) attainedByHost(sent time.Time) bool {
	timeToFirst := x.r.started.Add(x.timeToFirst).Sub(sent)
	if target := x.r.target.FirstToken; target > 0 && timeToFirst > target.Std() {
		return false
	}
	return x.tokensInTime()
}

// tokensInTime reports whether the time between tokens met its target.
func (x *exchange) tokensInTime() bool {
	target := x.r.target
	if target.BetweenTokens > 0 && x.lastToken > 1 {
		return x.meanTokenInterval() <= target.BetweenTokens.Std()
	}
	return true
}

// meanTokenInterval returns the mean time between the tokens of an answer that
// has at least two.
func (x *exchange) meanTokenInterval() time.Duration {
	return x.lastTokenAt.Sub(x.r.started.Add(x.timeToFirst)) / time.Duration(x.lastToken-1)
}

// handleFailure decides what follows a failed attempt. It returns nil when the
// request is to be attempted again.
func (x *exchange) handleFailure(ctx context.Context, host *route.Host, attempt int, err error) *Refusal {
	s, r := x.server, x.r
	if errors.Is(err, errClientGone) || ctx.Err() != nil {
		return r.refuse(statusClientClosedRequest, ReasonAnswerBroken, x.notRun(err), "the client has gone")
	}
	s.recordHostFailure(host, engineHostFailure(err))
	var failure *engine.Failure
	notRun := errors.As(err, &failure) && failure.NotRun
	if !notRun {
		x.requestSent = true
	}
	if r.once && !notRun {
		return r.refuse(consts.StatusBadGateway, ReasonOutcomeUnknown, RunUnknown, "the call may not be repeated and its answer was lost")
	}
	if failure != nil && failure.Status >= 400 && failure.Status < 500 && !notRun {
		return r.refuse(failure.Status, ReasonBadRequest, DidRun, failure.Error())
	}
	return s.prepareRetry(ctx, r, failedAttempt{attempt: attempt, host: host, outcome: x.notRun(err), answerStarted: x.lastToken > 0, err: err})
}

// notRun returns what is known about the execution of the request after an error.
func (x *exchange) notRun(err error) NotRun {
	var failure *engine.Failure
	switch {
	case x.lastToken > 0:
		return DidRun
	case !x.requestSent && errors.As(err, &failure) && failure.NotRun:
		return DidNotRun
	}
	return RunUnknown
}

// hostFailure is what a failed attempt reveals about its host.
type hostFailure struct {
	leaving bool
	busy    bool
	// healthy means that the host works but the route to it was out of date.
	healthy bool
	reason  string
}

func engineHostFailure(err error) hostFailure {
	f := hostFailure{reason: err.Error()}
	var failure *engine.Failure
	if errors.As(err, &failure) {
		f.leaving = failure.Leaving
		f.busy = failure.Busy
		f.healthy = failure.Missing || (failure.NotRun && failure.Status != 0)
	}
	return f
}

// recordHostFailure updates a host's routing state after a failed attempt.
func (s *Server) recordHostFailure(host *route.Host, f hostFailure) {
	switch {
	case f.leaving:
		host.SetLeaving()
	case f.busy:
		host.ReduceLimit()
	case f.healthy:
	case host.RecordFailure(s.now()):
		s.ring.Add(event.Event{Kind: event.HostEjected, Host: host.Name(), Reason: f.reason})
	}
}

// fail ends an exchange that is not attempted again.
func (x *exchange) fail(refusal *Refusal) {
	if !x.out.started() {
		x.server.refuse(x.out.c, refusal)
		return
	}
	x.server.counts.refused.Add(1)
	x.server.metrics.refused.Inc(1)
	x.server.ring.Add(event.Event{Kind: event.RequestRefused, Request: x.r.id, Reason: refusal.Error()})
	x.out.abort(refusal)
}
