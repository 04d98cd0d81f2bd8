package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/moorspool/moorspool/src/route"
)

// Timing of admission.
const (
	defaultRetryAfter = time.Second
	// stopRetryAfter is sent as the gateway stops: the next request reaches another one.
	stopRetryAfter = 50 * time.Millisecond
	// queuePollInterval is how often a queued request looks for a free slot
	// without being notified: requests of other gateways free slots as well.
	queuePollInterval = 20 * time.Millisecond
)

// admit selects the host for a request's next attempt. While every suitable
// host is full, the request waits in its model's queue. A request whose expected
// wait exceeds its limit is refused at once instead of being queued first.
func (s *Server) admit(ctx context.Context, r *request) (*route.Host, *Refusal) {
	host, verdict := s.pick(r)
	if verdict == route.Full {
		host, verdict = s.waitInQueue(ctx, r)
		if refusal := r.waitRefusal(verdict); refusal != nil {
			return nil, refusal
		}
	}
	if verdict == route.Unreachable {
		return nil, s.refuseNoCopy(r)
	}
	if !r.deadline.IsZero() && s.now().After(r.deadline) {
		return nil, r.refuse(consts.StatusGatewayTimeout, ReasonDeadline, DidNotRun, "the deadline has passed")
	}
	if s.mayOutlastStop(r) {
		return nil, r.refuse(consts.StatusServiceUnavailable, ReasonStopping, DidNotRun, "the gateway stops before the request may end").retryAfter(stopRetryAfter)
	}
	return host, nil
}

// mayOutlastStop reports whether a request that has not been sent yet may still run as the stop ends. One without a
// deadline counts as taking half of the drain limit.
func (s *Server) mayOutlastStop(r *request) bool {
	end := s.stopEnd.Load()
	if end == nil || r.retries > 0 {
		return false
	}
	latest := r.deadline
	if latest.IsZero() {
		latest = s.now().Add(s.settings.DrainLimit.Std() / 2)
	}
	return latest.After(*end)
}

// The outcomes of a wait, in addition to the verdicts of package route.
const (
	verdictQueueFull route.Verdict = 100 + iota
	verdictDeadline
	verdictOvertaken
	verdictClientGone
)

func (r *request) waitRefusal(verdict route.Verdict) *Refusal {
	switch verdict {
	case verdictQueueFull:
		return r.refuse(consts.StatusTooManyRequests, ReasonQueueFull, DidNotRun, "the queue of this model is full").retryAfter(defaultRetryAfter)
	case verdictDeadline:
		return r.refuse(consts.StatusServiceUnavailable, ReasonDeadline, DidNotRun, "no place will be free in time").retryAfter(defaultRetryAfter)
	case verdictOvertaken:
		return r.refuse(consts.StatusServiceUnavailable, ReasonOvertaken, DidNotRun, "a request of higher priority took the place in the queue").retryAfter(defaultRetryAfter)
	case verdictClientGone:
		return r.refuse(statusClientClosedRequest, ReasonDeadline, DidNotRun, "the client has gone")
	}
	return nil
}

// statusClientClosedRequest is the status that proxies such as nginx log when
// the client closes the connection before the response.
const statusClientClosedRequest = 499

func (s *Server) refuseNoCopy(r *request) *Refusal {
	name := r.requirements.Model
	if r.requirements.Pool != "" {
		name = r.requirements.Pool
	} else {
		s.routes.Unserved(r.requirements.Model)
	}
	message := "no ready copy of " + name + " is in reach of this availability zone"
	if r.retries > 0 {
		return r.refuse(consts.StatusServiceUnavailable, ReasonAttemptsExhausted, DidNotRun, message+" besides those tried").retryAfter(defaultRetryAfter)
	}
	return r.refuse(consts.StatusServiceUnavailable, ReasonNoCopy, DidNotRun, message).retryAfter(defaultRetryAfter)
}

func (r *request) queueName() string {
	if r.requirements.Pool != "" {
		return "service/" + r.requirements.Pool
	}
	return r.requirements.Model
}

// waitInQueue queues a request until a host has a free slot.
func (s *Server) waitInQueue(ctx context.Context, r *request) (*route.Host, route.Verdict) {
	start := s.now()
	until := start.Add(s.queueWait(r))
	if !r.deadline.IsZero() && r.deadline.Before(until) {
		until = r.deadline
	}
	if start.Add(s.expectedWait(r)).After(until) {
		return nil, verdictDeadline
	}
	defer func() { s.metrics.queued.RecordDuration(s.now().Sub(start)) }()
	for {
		ticket := s.queues.Join(r.queueName(), r.priority, start)
		if ticket == nil {
			return nil, verdictQueueFull
		}
		verdict := s.waitForTurn(ctx, ticket, until)
		s.queues.Leave(ticket)
		if verdict != route.Chosen {
			return nil, verdict
		}
		if host, verdict := s.pick(r); verdict != route.Full {
			return host, verdict
		}
	}
}

// ticket is the part of limit.Ticket that waitForTurn uses.
type ticket interface {
	Ready() <-chan struct{}
	Evicted() <-chan struct{}
}

// queueWait returns how long a request may be queued. The settings limit it, and
// so does half of the target for the time to the first token, which leaves the
// other half to the engine. The target does not apply once part of the answer was
// sent.
func (s *Server) queueWait(r *request) time.Duration {
	maxWait := s.settings.Limits.QueueWait.Std()
	if r.answerStarted {
		return maxWait
	}
	if target := r.target.FirstToken.Std(); target > 0 {
		return min(maxWait, target/2)
	}
	return maxWait
}

func (s *Server) waitForTurn(ctx context.Context, t ticket, until time.Time) route.Verdict {
	remaining := until.Sub(s.now())
	if remaining <= 0 {
		return verdictDeadline
	}
	timer := time.NewTimer(min(remaining, queuePollInterval))
	defer timer.Stop()
	select {
	case <-t.Ready():
	case <-timer.C:
	case <-t.Evicted():
		return verdictOvertaken
	case <-ctx.Done():
		return verdictClientGone
	}
	return route.Chosen
}

// expectedWait estimates the time in the queue from the number of requests
// ahead and the duration of recent requests.
func (s *Server) expectedWait(r *request) time.Duration {
	waiting := s.queues.Waiting(r.queueName())
	return s.routes.Table().EstimateWait(r.requirements, waiting)
}
