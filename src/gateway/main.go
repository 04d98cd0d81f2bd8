package gateway

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/limit"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/trace"
	"github.com/moorspool/moorspool/src/wire"
)

// Timing of startup.
const (
	routesTimeout = 3 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// Main runs moorspool-gateway and returns its exit code.
func Main(arguments []string) int {
	return process.Main(arguments, process.Program{Name: "moorspool-gateway", Load: func(flags option.Flags) (func() error, error) {
		settings, err := option.LoadGateway(flags.Settings)
		return func() error { return run(settings) }, err
	}})
}

// run starts a gateway, serves until a signal, and shuts it down.
func run(settings option.Gateway) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	var s *Server
	proc, err := process.New("gateway", settings.Common, func(status *wire.Status) {
		status.Entry = s.Status()
		status.Revision = s.follower.Set().Revision()
	})
	if err != nil {
		return err
	}
	s, err = newServer(settings, proc)
	if err != nil {
		return err
	}
	defer s.tracer.Close(context.Background())
	s.follower.Register(proc.Mux())
	s.routes.Register(proc.Mux())
	if err := proc.Serve(); err != nil {
		return err
	}
	defer proc.Close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := s.start(ctx, background, proc); err != nil {
		return err
	}
	<-ctx.Done()
	s.stop(proc)
	return nil
}

func newServer(settings option.Gateway, proc *process.Process) (*Server, error) {
	streams, err := engine.NewStreamClient(proc.Cut(), settings.Limits.TokenWait.Std())
	if err != nil {
		return nil, err
	}
	services, err := service.New(proc.Cut(), settings.Limits.HeaderWait.Std())
	if err != nil {
		return nil, err
	}
	tracer, err := trace.New(settings.Node, settings.Trace)
	if err != nil {
		return nil, err
	}
	queues := limit.NewQueues(settings.Limits.Queue)
	follower := follow.New(settings.ControlNodes, settings.Zone, proc.Meter(), proc.Cut(), proc.Ring(), proc.Heartbeat)
	routes := NewRoutes(settings.Node, settings.Zone, follower, proc.Meter(), proc.Cut(), time.Now, queues.ReleaseAll)
	return New(settings, Dependencies{
		Follower:     follower,
		Routes:       routes,
		StreamClient: streams,
		Services:     services,
		Queues:       queues,
		Tracer:       tracer,
		Ring:         proc.Ring(),
		Metrics:      proc.Metrics(),
		Now:          time.Now,
	}), nil
}

// start fetches configuration and routes, then opens the listener for clients.
// If they do not arrive in time, it opens the listener without them.
func (s *Server) start(ctx, background context.Context, proc *process.Process) error {
	go s.follower.Run(background)
	if !s.follower.Await(ctx, s.settings.ConfigWait.Std()) {
		proc.Ring().Add(event.Event{Kind: event.ProcessDegraded, Reason: "no control node or peer gave a configuration in time"})
	}
	go s.routes.Run(background)
	s.awaitRoutes(ctx)
	if err := s.Listen(); err != nil {
		return err
	}
	proc.SetReady(true)
	return nil
}

// awaitRoutes waits, up to routesTimeout, until the routes of every zone are
// known. After half of that time it asks other gateways for them as well.
func (s *Server) awaitRoutes(ctx context.Context) {
	until := s.now().Add(routesTimeout)
	asked := false
	for s.now().Before(until) && ctx.Err() == nil {
		zones := len(s.follower.Set().OfKind(config.KindAuthority))
		if zones > 0 && s.routes.KnownZones() >= zones {
			return
		}
		if !asked && until.Sub(s.now()) < routesTimeout/2 {
			asked = true
			s.routes.FetchFromPeers(ctx)
		}
		time.Sleep(pollInterval)
	}
}

// stop shuts the gateway down gracefully. It reports itself unready, keeps
// serving for as long as the load balancer takes to notice, then closes the
// listener and waits for the end of all connections. Requests on connections
// that are still open are served unless they may outlast the drain limit, and their
// connections closed.
func (s *Server) stop(proc *process.Process) {
	proc.SetLeaving()
	end := s.now().Add(s.settings.BalancerLag.Std() + s.settings.DrainLimit.Std())
	s.stopEnd.Store(&end)
	s.leaving.Store(true)
	time.Sleep(s.settings.BalancerLag.Std())
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainLimit.Std())
	defer cancel()
	_ = s.listener.Stop(ctx)
}
