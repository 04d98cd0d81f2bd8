package fleet

import (
	"context"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/signals"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing and memory of a gateway.
const (
	// demandInterval is the interval of demand reports.
	demandInterval = 500 * time.Millisecond
	// demandBatchDelay is how long a report of missing copies waits for further ones.
	demandBatchDelay = 20 * time.Millisecond
	// tidyInterval is the interval of checks for idle connections.
	tidyInterval = time.Second
	// linkProbeInterval is the interval of dials to services that this gateway can't connect to.
	linkProbeInterval = 150 * time.Millisecond
	// gatewayGCPercent lets a gateway's heap double between two collections: with the 40 % of other
	// processes, an idle gateway spent a fifth of its time on collections. A gateway uses some 14
	// MB of its 184 MB.
	gatewayGCPercent = 100
	// memoryShare is the Go memory limit as a part of the process's memory.
	memoryShare = 0.7
	// retainShare is the part that request and response bodies may take together; the rest is for
	// the state of the installation and the connections.
	retainShare = 0.25
)

// GatewayMain runs moorspool-fleet-gateway and returns its exit code.
func GatewayMain(arguments []string, external Interface) int {
	watch := signals.Notify() // first, since a signal ends a process that does not handle it
	return process.Main(arguments, process.Program{
		Name: "moorspool-fleet-gateway",
		Load: func(flags option.Flags) (func() error, error) {
			settings, err := option.LoadFleetGateway(flags.Settings)
			return func() error { return RunGateway(settings, flags.Settings, external, watch) }, err
		},
	})
}

// gateway is a running gateway.
type gateway struct {
	settings option.FleetGateway
	file     string
	external Interface
	proc     *process.Process
	fleet    *exchange.Fleet
	handler  *exchange.Handler
	demand   *exchange.Demand
	follower *feed.Follower
	gate     *admission.Gate
	// unitReturns are granted units that will not be used.
	unitReturns *unitReturns
	tracker     *quarantine.Tracker
	releases    queueReleases
	origins     *streamOrigins
	closes      *gatewayCloses
	peer        peerState
	stopping    atomic.Bool
	// replicas is set once any replica is known.
	replicas atomic.Bool
}

// RunGateway runs a gateway until a signal ends it.
func RunGateway(settings option.FleetGateway, file string, external Interface, watch *signals.Watch) error {
	limitMemory(settings.MemoryMB)
	g := &gateway{settings: settings, file: file, external: external, demand: exchange.NewDemand(), releases: queueReleases{added: wakeup.New()}}
	proc, err := process.New("gateway", settings.Common(), func(*wire.Status) {})
	if err != nil {
		return err
	}
	g.proc = proc
	debug.SetGCPercent(gatewayGCPercent)
	g.fleet = exchange.NewFleet(settings.Zone, simulateCuts(file, settings.ListenAddress(), external.Dial), proc.Ring(), time.Now, clock.Now)
	g.fleet.SetRegions(settings.Zones)
	g.origins = newStreamOrigins(maxGatewayOrigins)
	g.closes = newGatewayCloses(proc.Ring())
	terms := quotaParameters(settings.Quota)
	g.unitReturns = newUnitReturns()
	g.gate = admission.NewGate(admission.GateOptions{
		Request:  g.askAdmission,
		Trust:    settings.Trust.Std(),
		GrantTTL: terms.GrantTTL,
		GiveBack: g.unitReturns.add,
		Ring:     proc.Ring(),
		Now:      clock.Now,
		Sleep:    admission.Sleep,
	})
	g.tracker = quarantine.NewTracker(newQuarantineTable(proc.Ring()))
	g.handler = exchange.NewHandler(exchange.Options{
		Codec:  external.Codec,
		Fleet:  g.fleet,
		Budget: exchange.BudgetLimits{Ratio: settings.Retry.Ratio, Extra: settings.Retry.Extra, Window: settings.Retry.Window.Std()},
		Admission: exchange.Admission{
			Admit:             g.gate.Admit,
			Return:            g.gate.Return,
			Confirmed:         g.gate.Confirmed,
			AwaitConfirmation: g.gate.AwaitConfirmation,
			Now:               clock.Now,
		},
		Slots:   exchange.Slots{Request: g.requestSlot, Release: g.releaseSlot},
		Places:  exchange.Places{Request: g.requestPlace, Release: g.releasePlace},
		Permits: exchange.Permits{Request: g.askPermit},
		Origins: exchange.Origins{Store: g.storeOrigin, Withdraw: g.withdrawOrigin, Find: g.findOrigin, SoleVersion: g.soleVersion},
		Tracker: g.tracker,
		Demand:  g.demand,
		Ring:    proc.Ring(),
		Metrics: exchange.NewMetrics(proc.Metrics()),
		Now:     time.Now,
		Node:    settings.Node,
		Zone:    settings.Zone,
		Unknown: newUnknownNames(proc).record,

		ShortCloses:      g.closes.options(),
		DialGateway:      exchange.Dial,
		ConfigConfirmed:  func() bool { return g.follower.Confirmed() },
		AwaitSettled:     watch.AwaitSettled,
		MaxRetainedBytes: int64(retainShare * float64(settings.MemoryMB) * (1 << 20)),
	})
	forwarded, err := g.listenForwarded()
	if err != nil {
		return err
	}
	g.buildFollower()
	proc.SetRefresh(func(m *metric.Registry) {
		setGatewayGauges(clock.Now(), m, g.handler.Table(), g.follower.View())
		setAvailabilityGauges(m, g.fleet)
		setLoadViewGauges(time.Now(), m, g.fleet)
		m.Gauge(gaugeStreamOrigins, float64(g.origins.table.Len()))
	})
	if err := proc.Serve(); err != nil {
		return err
	}
	defer proc.Close()
	return g.serve(watch, forwarded)
}

// serve runs the gateway until a signal to stop.
func (g *gateway) serve(watch *signals.Watch, forwarded *server) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients, err := listen(g.settings.Clients, g.handler)
	if err != nil {
		return err
	}
	ready, err := listen(g.settings.Ready, g.external.Ready(g.ready))
	if err != nil {
		return err
	}
	defer ready.close()
	go g.follower.Run(ctx)
	go g.reportDemand(ctx)
	go g.tidy(ctx)
	go g.probeLinks(ctx)
	go g.sharePeerState(ctx)
	go g.shareLoad(ctx)
	go g.shareBacklog(ctx)
	go g.shareEnds(ctx)
	go g.sendReleases(ctx)
	go g.sendOrigins(ctx)
	go g.closes.tell(ctx, g.reportShortCloses)
	go g.gate.Run(ctx, g.inForce)
	go g.giveUnitsBack(ctx)
	go watch.HandleReloads(ctx, g.reload)
	signal := <-watch.Stop()
	g.proc.NoteStopSignal(signal.Delay())
	g.handler.NoteStopSignal(signal.SentAfter)
	g.stopSteps(clients, forwarded).run(newStopTimes(signal, g.settings.BalancerLag.Std(), g.settings.StopLimit.Std()))
	return nil
}

// buildFollower creates the follower, which keeps configuration and replicas up to date.
func (g *gateway) buildFollower() {
	options := feed.Options{Node: g.settings.Node, Zone: g.settings.Zone, Gateway: true, Seeds: g.settings.SeedPeers(), Peer: g.peer.get}
	sink := feed.Sink{
		Document: g.setDocument,
		Replicas: func(changes registry.Changes) {
			g.fleet.SetReplicas(changes)
			if len(changes.Entries) > 0 {
				g.replicas.Store(true)
			}
		},
		Holdings: g.fleet.SetHoldings,
		Drains:   g.fleet.SetDrains,
		Gateways: g.handler.SetGateways,
		Peers:    g.handler.SetOtherGateways,
		Loads:    g.fleet.SetLoads,
		Backlogs: g.fleet.SetBacklogs,
		Limits:   g.fleet.SetLimits,

		Quarantine:  func(received []quarantine.Entry) { g.tracker.MergeFromControl(time.Now(), received) },
		ShortCloses: func(told *wire.ShortCloses) { g.closes.setTold(time.Now(), told) },
	}
	g.follower = feed.NewFollower(options, sink, g.proc.Meter(), nil, g.proc.Ring(), clock.Now)
}

// setDocument decodes a configuration and puts it into use.
func (g *gateway) setDocument(held wire.Document) error {
	document, err := decode(held, g.external.Decode)
	if err != nil {
		return errors.Wrap(err, "version "+strconv.FormatUint(held.Version, 10))
	}
	g.handler.SetTable(catalog.NewTable(document))
	return nil
}

// ready reports whether the gateway accepts new connections.
func (g *gateway) ready() bool {
	return !g.stopping.Load() && g.handler.Table() != nil && g.replicas.Load()
}

// reportDemand reports the requests' demand to the nearest control node: at an interval while there
// is any, and at once when a copy is missing.
func (g *gateway) reportDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.demand.Changed():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(demandInterval):
		case <-g.demand.MissingCopy():
			time.Sleep(demandBatchDelay)
		}
		if models := g.demand.Drain(); len(models) > 0 {
			g.follower.NotifyBest(ctx, wire.MethodUsage, wire.Usage{Node: g.settings.Node, Models: models})
		}
	}
}

// shareLoad reports this gateway's running requests: at once after it has sent one, then at an
// interval until there are none. Control nodes send back the total of all gateways.
func (g *gateway) shareLoad(ctx context.Context) {
	idle := true
	for {
		gateways, replicas := g.handler.Gateways(), g.fleet.Replicas()
		var nextReport <-chan time.Time
		if !idle {
			nextReport = time.After(loadview.ReportInterval(gateways, replicas))
		}
		select {
		case <-ctx.Done():
			return
		case <-nextReport:
		case <-g.fleet.RequestSent():
		}
		report := wire.LoadReport{Node: g.settings.Node, Loads: g.fleet.Loads()}
		g.follower.NotifyBest(ctx, wire.MethodLoad, report)
		idle = len(report.Loads) == 0
		time.Sleep(loadview.RoundInterval(gateways, replicas))
	}
}

// shareBacklog reports the prompts sent to replicas that do not report their own backlog, and the
// loads that replicas of engines with small batches told.
func (g *gateway) shareBacklog(ctx context.Context) {
	node := reporterName(g.settings.Node, clock.Now())
	for awaitReports(ctx, g.fleet.PromptsSent(), g.fleet.LoadsTold()) {
		report := g.fleet.DrainPrompts()
		if stampReport(&report, node, clock.Now()) {
			g.follower.NotifyBest(ctx, wire.MethodSent, report)
		}
	}
}

// tidy closes idle connections and removes expired state.
func (g *gateway) tidy(ctx context.Context) {
	every(ctx, tidyInterval, func() {
		now := time.Now()
		g.fleet.Expire(now)
		g.fleet.CheckLoadView(now)
		g.handler.Expire(now)
		g.tracker.Sweep(now)
	})
}

// probeLinks looks for the return of services that this gateway can't connect to.
func (g *gateway) probeLinks(ctx context.Context) {
	every(ctx, linkProbeInterval, func() { g.handler.ProbeLinks(ctx) })
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// reload reads the settings again; only new seeds take effect.
func (g *gateway) reload() {
	settings, err := option.LoadFleetGateway(g.file)
	if err != nil {
		g.proc.Ring().Add(event.Event{Kind: event.SettingsReloaded, Reason: "the previous settings stay in use: " + err.Error()})
		return
	}
	g.follower.AddSeeds(settings.SeedPeers())
	g.proc.Ring().Add(event.Event{Kind: event.SettingsReloaded})
}

// limitMemory sets the Go memory limit well below the memory of the process.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}
