package planner

import (
	"github.com/google/uuid"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/wire"
)

// Main runs moorspool-planner and returns its exit code.
func Main(arguments []string) int {
	return process.Main(arguments, process.Program{Name: "moorspool-planner", Load: func(flags option.Flags) (func() error, error) {
		settings, err := option.LoadPlanner(flags.Settings)
		return func() error { return run(settings) }, err
	}})
}

// run runs a planner with its settings until a signal stops it.
func run(settings option.Planner) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	var runner *Runner
	proc, err := process.New("planner", settings.Common, func(status *wire.Status) {
		status.Planner = runner.Status()
		status.Revision = runner.Revision()
	})
	if err != nil {
		return err
	}
	control, err := engine.NewControlClient(proc.Cut(), proc.Meter().AddExternal)
	if err != nil {
		return err
	}
	list, err := discovery.NewReader(settings.Platform, proc.Cut())
	if err != nil {
		return err
	}
	follower := follow.New(settings.ControlNodes, settings.Zone, proc.Meter(), proc.Cut(), proc.Ring(), proc.Heartbeat)
	zone := NewZone(settings.Zone, settings.StoreShare, proc.Ring())
	// A restarted process is a new holder, since it does not know the earlier orders.
	holder := settings.Node + "/" + uuid.NewString()[:8]
	runner = NewRunner(zone, settings.Zone, holder, settings.Control, follower, control, list, proc.Ring(), clock.Now)
	follower.Register(proc.Mux())
	runner.Register(proc.Mux())
	if err := proc.Serve(); err != nil {
		return err
	}
	defer proc.Close()
	go follower.Run(ctx)
	if !follower.Await(ctx, settings.ConfigWait.Std()) {
		proc.Ring().Add(event.Event{Kind: event.ProcessDegraded, Reason: "no control node or peer gave a configuration in time"})
	}
	proc.SetReady(true)
	runner.Run(ctx)
	proc.SetLeaving()
	return nil
}
