package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/graceful"
	"github.com/moorspool/moorspool/src/limit"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/trace"
	"github.com/moorspool/moorspool/src/wire"
)

// Server serves client requests. It is safe for concurrent use.
type Server struct {
	node     string
	settings option.Gateway
	follower *follow.Follower
	routes   *Routes
	streams  *engine.StreamClient
	services *service.Client
	queues   *limit.Queues
	budget   *limit.RetryBudget
	prefixes *route.Prefixes
	tracer   *trace.Tracer
	ring     *event.Ring
	metrics  serverMetrics
	now      func() time.Time

	hertz    *server.Hertz
	listener *graceful.Listener
	leaving  atomic.Bool
	// stopEnd is when the stop cuts off what still runs, nil before it begins.
	stopEnd  atomic.Pointer[time.Time]
	inFlight atomic.Int64
	counts   counters
	random   sync.Pool
}

// counters are totals since the process started.
type counters struct {
	requests atomic.Uint64
	refused  atomic.Uint64
	retried  atomic.Uint64
	resumed  atomic.Uint64
}

// Dependencies are the components that a server uses.
type Dependencies struct {
	Follower     *follow.Follower
	Routes       *Routes
	StreamClient *engine.StreamClient
	Services     *service.Client
	Queues       *limit.Queues
	Tracer       *trace.Tracer
	Ring         *event.Ring
	Metrics      *metric.Registry
	Now          func() time.Time
}

// New returns a server; Listen or Serve starts it.
func New(settings option.Gateway, d Dependencies) *Server {
	s := &Server{
		node:     settings.Node,
		settings: settings,
		follower: d.Follower,
		routes:   d.Routes,
		streams:  d.StreamClient,
		services: d.Services,
		queues:   d.Queues,
		budget:   limit.NewRetryBudget(settings.Limits.RetryShare),
		prefixes: &route.Prefixes{},
		tracer:   d.Tracer,
		ring:     d.Ring,
		metrics:  newServerMetrics(d.Metrics),
		now:      d.Now,
	}
	s.random.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return s
}

// Listen opens the listener for clients and serves requests on it.
func (s *Server) Listen() error {
	ln, err := graceful.Listen(s.settings.Clients)
	if err != nil {
		return errors.Wrap(err, "clients")
	}
	s.Serve(ln)
	return nil
}

// Serve serves client requests on a listener, in the background.
func (s *Server) Serve(ln *graceful.Listener) {
	ln.SetIdleAfterWrites()
	s.listener = ln
	h := process.NewServer(ln, int(s.settings.Limits.Body), server.WithOnAccept(withClientConn))
	h.Use(s.trackRequest)
	h.POST(engine.PathChat, s.completion)
	h.POST(engine.PathCompletions, s.completion)
	h.GET("/v1/models", s.models)
	h.Any("/services/:name/*path", s.plainCall)
	h.Any("/services/:name", s.plainCall)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		s.refuse(c, refuse(consts.StatusNotFound, ReasonBadRequest, DidNotRun, "there is no such path; see docs/CLIENTS.md"))
	})
	s.hertz = h
	go func() { _ = h.Run() }()
}

func (s *Server) trackRequest(ctx context.Context, c *app.RequestContext) {
	s.inFlight.Add(1)
	s.counts.requests.Add(1)
	if s.leaving.Load() {
		// Makes the client send its next request on a new connection, which the load
		// balancer directs to another gateway.
		c.SetConnectionClose()
	}
	c.Next(ctx)
	s.inFlight.Add(-1)
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Status returns the gateway's part of the process status.
func (s *Server) Status() *wire.GatewayStatus {
	table := s.routes.Table()
	return &wire.GatewayStatus{
		Requests:  s.counts.requests.Load(),
		InFlight:  s.inFlight.Load(),
		Refused:   s.counts.refused.Load(),
		Retried:   s.counts.retried.Load(),
		Resumed:   s.counts.resumed.Load(),
		Hosts:     table.Hosts(),
		Reachable: table.Models(),
	}
}

func (s *Server) refuse(c *app.RequestContext, refusal *Refusal) {
	s.counts.refused.Add(1)
	s.metrics.refused.Inc(1)
	s.ring.Add(event.Event{Kind: event.RequestRefused, Request: refusal.Request, Reason: refusal.Error() + ", not run: " + string(refusal.NotRun)})
	refusal.write(c)
}

// pick selects a host for the request's next attempt. The random sources are
// pooled, since one must not be used by two goroutines at once.
func (s *Server) pick(r *request) (*route.Host, route.Verdict) {
	random := s.random.Get().(*rand.Rand)
	defer s.random.Put(random)
	return s.routes.Table().Pick(s.now(), route.Request{Requirements: r.requirements, Tried: &r.tried, Prefix: r.prefix, Mode: s.settings.Routing}, s.prefixes, random)
}

func (s *Server) backoff(n int) time.Duration {
	random := s.random.Get().(*rand.Rand)
	defer s.random.Put(random)
	return limit.Backoff(n, random)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
	Ready   bool   `json:"ready"`
}

// models lists the names of all models and adapters, and whether each has a
// ready copy.
func (s *Server) models(_ context.Context, c *app.RequestContext) {
	set, table := s.follower.Set(), s.routes.Table()
	list := modelList{Object: "list"}
	for _, name := range set.ModelNames() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "moorspool", Ready: table.Has(route.Requirements{Model: name})})
		for _, adapter := range set.AdapterNames(name) {
			ready := table.Has(route.Requirements{Model: name, Adapter: adapter})
			list.Data = append(list.Data, modelEntry{ID: adapter, Object: "model", OwnedBy: "moorspool", Parent: name, Ready: ready})
		}
	}
	c.JSON(consts.StatusOK, list)
}
