package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/route"
)

// failedAttempt is a failed attempt that may be followed by another one.
type failedAttempt struct {
	attempt int
	host    *route.Host
	// outcome is reported to the client if there is no further attempt.
	outcome NotRun
	// answerStarted is set if part of the answer was sent to the client.
	answerStarted bool
	err           error
}

// prepareRetry decides whether a request may be attempted once more. If so, it
// waits for the backoff and returns nil; otherwise it returns a refusal at once.
func (s *Server) prepareRetry(ctx context.Context, r *request, t failedAttempt) *Refusal {
	if t.attempt >= s.settings.Limits.Attempts {
		return r.refuse(consts.StatusBadGateway, ReasonAttemptsExhausted, t.outcome, "every attempt failed: "+t.err.Error()).retryAfter(defaultRetryAfter)
	}
	if !s.budget.Take() {
		return r.refuse(consts.StatusServiceUnavailable, ReasonAttemptsExhausted, t.outcome, "too many requests fail; no retry is left").retryAfter(defaultRetryAfter)
	}
	s.recordRetry(r, t)
	select {
	case <-time.After(s.backoff(t.attempt)):
	case <-ctx.Done():
	}
	return nil
}

func (s *Server) recordRetry(r *request, t failedAttempt) {
	r.retries++
	kind := event.RequestRetried
	if t.answerStarted {
		kind = event.RequestResumed
		s.counts.resumed.Add(1)
		s.metrics.resumed.Inc(1)
	} else {
		s.counts.retried.Add(1)
		s.metrics.retried.Inc(1)
	}
	s.ring.Add(event.Event{Kind: kind, Request: r.id, Model: r.queueName(), Host: t.host.Name(), Reason: t.err.Error()})
}
