package gateway

import (
	"context"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/trace"
)

// plainCall serves a call to a plain service.
func (s *Server) plainCall(ctx context.Context, c *app.RequestContext) {
	r, refusal := readHeaders(c, s.now())
	if refusal == nil {
		refusal = s.readCall(r, c)
	}
	c.Response.Header.Set(headerRequestID, r.id)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	span := s.tracer.Start(trace.Extract(ctx, r.trace), "client request", r.id, r.requirements.Pool, "")
	defer span.End(nil)
	claim, refusal := s.claimKey(ctx, r)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	call := plainExchange{server: s, r: r, method: string(c.Method()), contentType: string(c.ContentType())}
	answer, refusal := call.run(span.Context())
	claim.settle(refusal)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	c.Response.Header.SetContentType(answer.ContentType)
	c.Response.SetStatusCode(answer.Status)
	if answer.EndsByClose {
		writeUnframed(ctx, c, answer.Body)
		return
	}
	c.Response.SetBody(answer.Body)
}

// readCall resolves the service of a call and determines whether the call may
// be repeated.
func (s *Server) readCall(r *request, c *app.RequestContext) *Refusal {
	name := c.Param("name")
	definition := s.follower.Set().Service(name)
	if definition == nil {
		return r.refuse(consts.StatusNotFound, ReasonUnknownModel, DidNotRun, "there is no service "+name)
	}
	r.requirements = route.Requirements{Pool: name}
	r.path = "/" + strings.TrimPrefix(c.Param("path"), "/")
	r.once = r.once || isOnceCall(definition, string(c.Method()), r.path)
	if query := string(c.URI().QueryString()); query != "" {
		r.path += "?" + query
	}
	r.body = append([]byte(nil), c.Request.Body()...)
	return nil
}

// isOnceCall reports whether the configuration forbids repeating a call.
func isOnceCall(definition *config.Service, method, path string) bool {
	for _, call := range definition.Calls {
		if call.AtMostOnce && call.Method == method && strings.HasPrefix(path, call.Path) {
			return true
		}
	}
	return false
}

// plainExchange is one call to a plain service, over all its attempts.
type plainExchange struct {
	server      *Server
	r           *request
	method      string
	contentType string
	requestSent bool
}

func (x *plainExchange) run(ctx context.Context) (service.Answer, *Refusal) {
	s := x.server
	for attempt := 1; ; attempt++ {
		host, refusal := s.admit(ctx, x.r)
		if refusal != nil {
			if x.requestSent {
				refusal.NotRun = RunUnknown
			}
			return service.Answer{}, refusal
		}
		answer, err := x.attempt(ctx, host)
		if err == nil {
			s.budget.Succeeded()
			s.metrics.finished.Inc(1)
			s.ring.Add(event.Event{Kind: event.RequestFinished, Request: x.r.id, Model: x.r.requirements.Pool, Host: host.Name()})
			return answer, nil
		}
		if refusal := x.handleFailure(ctx, host, attempt, err); refusal != nil {
			return service.Answer{}, refusal
		}
	}
}

func (x *plainExchange) attempt(ctx context.Context, host *route.Host) (service.Answer, error) {
	s, r := x.server, x.r
	start := s.now()
	span := s.tracer.Start(ctx, "backend attempt", r.id, r.requirements.Pool, host.Name())
	host.Begin()
	r.tried.Add(host)
	s.ring.Add(event.Event{Kind: event.RequestRouted, Request: r.id, Model: r.requirements.Pool, Host: host.Name(), Zone: host.Zone()})
	call := service.Call{Method: x.method, Path: r.path, ContentType: x.contentType, Body: r.body, ID: r.id, Key: r.key, AtMostOnce: r.once, Trace: span.Traceparent()}
	answer, err := s.services.Do(ctx, host.Address(), call)
	if err != nil {
		host.EndUnanswered()
	} else {
		host.End(s.now().Sub(start), true)
	}
	if err == nil {
		s.applyLoad(host, answer.Load)
	}
	s.queues.Release(r.queueName())
	span.End(err)
	return answer, err
}

// handleFailure decides what follows a failed attempt. It returns nil when the
// call is to be attempted again.
func (x *plainExchange) handleFailure(ctx context.Context, host *route.Host, attempt int, err error) *Refusal {
	s, r := x.server, x.r
	var failure *service.Failure
	notRun := errors.As(err, &failure) && failure.NotRun
	x.requestSent = x.requestSent || !notRun
	s.recordHostFailure(host, serviceHostFailure(err))
	outcome := RunUnknown
	if !x.requestSent {
		outcome = DidNotRun
	}
	switch {
	case ctx.Err() != nil:
		return r.refuse(statusClientClosedRequest, ReasonAnswerBroken, outcome, "the client has gone")
	case r.once && !notRun:
		return r.refuse(consts.StatusBadGateway, ReasonOutcomeUnknown, RunUnknown, "the call may not be repeated and its answer was lost")
	}
	return s.prepareRetry(ctx, r, failedAttempt{attempt: attempt, host: host, outcome: outcome, err: err})
}

func serviceHostFailure(err error) hostFailure {
	f := hostFailure{reason: err.Error()}
	var failure *service.Failure
	if errors.As(err, &failure) {
		f.leaving = failure.Leaving
		f.healthy = failure.NotRun && failure.Status != 0
	}
	return f
}
