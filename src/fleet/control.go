package fleet

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/closes"
	"github.com/moorspool/moorspool/src/control"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/owner"
	"github.com/moorspool/moorspool/src/placer"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/signals"
	"github.com/moorspool/moorspool/src/store"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
	"github.com/moorspool/moorspool/src/work"
)

// The timing of a control node.
const (
	// handOverWait is how long a stopping leader waits for its successor.
	handOverWait = 600 * time.Millisecond
	// silentHeartbeats is the number of missed heartbeats after which a replica counts as silent.
	silentHeartbeats = 4
	// forgetReplicas is how long a deregistered replica is remembered.
	forgetReplicas = 2 * time.Minute
	// storageRetry is the pause before a failed disk is tried again.
	storageRetry = time.Second
	// notifyTimeout bounds one notification to another node.
	notifyTimeout = 500 * time.Millisecond
)

// ControlMain runs moorspool-fleet-control and returns its exit code.
func ControlMain(arguments []string, external Interface) int {
	watch := signals.Notify() // first, since a signal ends a process that does not handle it
	return process.Main(arguments, process.Program{
		Name: "moorspool-fleet-control",
		Load: func(flags option.Flags) (func() error, error) {
			settings, err := option.LoadFleetControl(flags.Settings)
			return func() error { return RunControl(settings, flags.Settings, external, watch) }, err
		},
	})
}

// controlNode is a running control node.
type controlNode struct {
	settings    option.FleetControl
	file        string
	external    Interface
	proc        *process.Process
	links       *control.Links
	node        *control.Node
	cluster     *control.Cluster
	publisher   *feed.Publisher
	relay       *feed.Relay
	follower    *feed.Follower
	usage       *exchange.Demand
	tableCache  tableCache
	placer      *placer.Placer
	board       *loadview.Board
	backlog     *loadview.Backlog
	states      *loadview.States
	granter     *admission.Granter
	dispatchers *dispatch.Dispatchers
	replicas    *owner.Replicas
	queues      *owner.Queues
	router      *owner.Router
	permits     permits
	origins     *resume.Table
	witness     *versionWitness
	// closes holds the software that is known to close short, sharedCloses what gateways are told of it, nil while there is
	// none.
	closes       *closes.Table
	sharedCloses atomic.Pointer[[]closes.Entry]
	unknown      *unknownNames

	quarantine *quarantine.Table
	// sharedQuarantine is the part of it that is sent to gateways, nil while there is none.
	sharedQuarantine atomic.Pointer[wire.Quarantine]
	quarantineFile   *store.QuarantineFile
	// toSave is raised when sharedQuarantine has changed.
	toSave wakeup.Flag

	watch *signals.Watch
}

// errStorage means that the node's disk failed and the node must be restarted within the process.
var errStorage = errors.New("the data folder could not be used")

// RunControl runs a control node until a signal ends it. After a disk failure it waits until the
// disk works again and rebuilds the node from the disk's content, as after a restart of the
// process.
func RunControl(settings option.FleetControl, file string, external Interface, watch *signals.Watch) error {
	limitMemory(settings.MemoryMB)
	for diskFailed := false; ; diskFailed = true {
		err := runControlOnce(settings, file, external, watch, diskFailed)
		if !errors.Is(err, errStorage) {
			return err
		}
		select {
		case <-watch.Stop():
			return nil
		case <-time.After(storageRetry):
		}
	}
}

// storageError marks an error as a disk failure.
func storageError(err error) error { return errors.Wrap(errStorage, err.Error()) }

// runControlOnce builds and runs a control node until a signal or a disk failure. After a disk failure it
// first checks that the disk works again.
func runControlOnce(settings option.FleetControl, file string, external Interface, watch *signals.Watch, diskFailed bool) error {
	c := &controlNode{settings: settings, file: file, external: external, watch: watch}
	proc, err := process.New("control", settings.Common(), func(*wire.Status) {})
	if err != nil {
		return err
	}
	c.proc = proc
	c.unknown = newUnknownNames(proc)
	folder, start, err := store.Open(store.Options{
		Path:     settings.Folder,
		Cluster:  settings.Common().Cluster,
		Name:     settings.Peer(),
		Founder:  settings.Found && isFounder(settings),
		Founders: founders(settings),

		CheckWritable: diskFailed,
	})
	if err != nil {
		proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: err.Error()})
		proc.CloseLog()
		if errors.Is(err, store.ErrForeign) || errors.Is(err, store.ErrVersion) || errors.Is(err, store.ErrDamaged) {
			return err
		}
		return storageError(err)
	}
	defer folder.Close()
	if err := c.build(folder, start); err != nil {
		return err
	}
	if err := proc.Serve(); err != nil {
		return err
	}
	defer proc.Close()
	return c.serve()
}

// isFounder reports whether this node is one of the first voters.
func isFounder(settings option.FleetControl) bool {
	for _, peer := range settings.SeedPeers() {
		if peer == settings.Peer() {
			return true
		}
	}
	return false
}

// founders returns the IDs of the first voters.
func founders(settings option.FleetControl) []raft.ID {
	var ids []raft.ID
	for _, peer := range settings.SeedPeers() {
		identity := store.Identity{Name: peer, Incarnation: store.FounderIncarnation}
		ids = append(ids, identity.ID())
	}
	return ids
}

// build creates the node's parts and registers their methods.
func (c *controlNode) build(folder *store.Folder, start raft.InitialState) error {
	id := folder.Identity().ID()
	disk := control.Disk{Save: folder.Save, SaveSnapshot: folder.SaveSnapshot}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	replica, err := control.NewReplica(id, start, disk, raft.DefaultOptions(), random, c.proc.Ring(), clock.Now())
	if err != nil {
		return err
	}
	c.links = control.NewLinks(c.proc.Meter(), nil)
	c.node = control.NewNode(replica, c.links.Send, c.proc.Ring(), clock.Now)
	options := control.ClusterOptions{ID: id, Voters: 2*c.settings.Tolerance + 1, Seeds: c.settings.SeedPeers(), ResendZoneOrders: c.settings.ResendOrders.Std()}
	options.FirstConfirmed = func() { c.relay.StateChanged() }
	c.cluster = control.NewCluster(c.node, c.links, options, c.proc.Ring(), clock.Now)
	c.cluster.Register(c.proc.Mux())
	accounts := accountGauges{named: map[string]bool{}}
	c.proc.SetRefresh(func(m *metric.Registry) {
		setQuorumGauges(m, c.cluster.Quorum())
		setDelayGauges(m, c.node.Delays())
		m.Gauge("zones_drained", float64(len(c.cluster.Drains().Zones)))
		m.Gauge(gaugeStreamOrigins, float64(c.origins.Len()))
		accounts.set(m, c.granter.DemandRates())
	})
	times := registry.Times{Silence: silentHeartbeats * c.settings.Heartbeat.Std(), Forget: forgetReplicas}
	c.quarantine = newQuarantineTable(c.proc.Ring())
	c.quarantineFile = folder.Quarantine()
	c.toSave = wakeup.New()
	cluster := feed.Cluster{
		Version:  c.cluster.Version,
		Document: c.cluster.Document,
		Changed:  c.cluster.Changed,

		Confirmed:         c.cluster.Confirmed,
		MajorityConfirmed: c.cluster.MajorityConfirmed,

		Members:       c.cluster.Members,
		Peers:         c.cluster.Peers,
		Majority:      c.cluster.Majority,
		Leading:       func() bool { return c.cluster.Leadership().Self },
		SendDeparture: c.sendRecord,

		Quarantine:  c.sharedQuarantine.Load,
		ShortCloses: c.sharedCloses.Load,
		Drains:      c.cluster.Drains,

		Save: c.saveReplicas(folder.Replicas()),

		Starts:           func(name string) []registry.Record { return c.follower.Starts(name) },
		Serves:           c.serves,
		HeartbeatRefused: c.heartbeatRefused,
	}
	c.publisher = feed.NewPublisher(c.settings.Node, c.settings.Zone, times, cluster, clock.Now)
	c.restoreReplicas(folder.Replicas())
	c.publisher.Register(c.proc.Mux())
	c.tableCache = tableCache{decode: c.external.Decode, unusable: func(version uint64, err error) {
		c.proc.Ring().Add(event.Event{Kind: event.ConfigUnusable, Reason: "version " + strconv.FormatUint(version, 10) + ": " + err.Error()})
	}}
	c.placer = placer.New(placer.Options{
		Holder:  c.settings.Node,
		Calls:   c.external.Orders(orderClient(c.responseTooLong)),
		Leading: c.leading,
		Table:   func() *catalog.Table { return c.tableCache.get(c.cluster.Version(), c.cluster.Document) },
		Publish: c.publisher.SetHoldings,
		Lease:   c.settings.Lease.Std(),
		Ring:    c.proc.Ring(),
		Now:     clock.Now,
		Speed:   c.replicaSpeed,
	})
	c.buildDispatchers()
	c.buildQueues()
	c.buildWitness(clock.Now)
	c.usage = exchange.NewDemand()
	c.proc.Mux().Handle(wire.MethodUsage, rpc.Typed(c.handleUsage))
	c.proc.Mux().Handle(wire.MethodUsageSum, rpc.Typed(c.handleUsageSum))
	c.buildFollower(cluster)
	c.board = loadview.NewBoard()
	c.proc.Mux().Handle(wire.MethodLoad, rpc.Typed(c.handleLoad))
	c.proc.Mux().Handle(wire.MethodLoadSum, rpc.Typed(c.handleLoadSum))
	c.backlog = loadview.NewBacklog()
	c.states = loadview.NewStates(work.NewFactors())
	c.proc.Mux().Handle(wire.MethodSent, rpc.Typed(c.handleSent))
	c.proc.Mux().Handle(wire.MethodSentSum, rpc.Typed(c.handleSentSum))
	c.restoreQuarantine()
	c.proc.Mux().Handle(wire.MethodQuarantine, rpc.Typed(c.handleQuarantine))
	c.proc.Mux().Handle(wire.MethodQuarantineList, rpc.Typed(c.listQuarantine))
	c.proc.Mux().Handle(wire.MethodQuarantineLift, rpc.Typed(c.liftQuarantine))
	c.registerOrigins()
	c.registerCloses()
	c.registerZones()
	c.buildPermits()
	c.buildGranter()
	return nil
}

// replicaSpeed returns the speed of a replica relative to the mean one, 1 if it is not known.
func (c *controlNode) replicaSpeed(replica string) float64 {
	return 1 / c.states.Slowness(clock.Now(), replica)
}

// serves reports whether the configuration contains a service.
func (c *controlNode) serves(service string) bool {
	table := c.tableCache.get(c.cluster.Version(), c.cluster.Document)
	return table != nil && table.Service(service) != nil
}

// leading returns what the placer needs to know of this node's leadership.
func (c *controlNode) leading() placer.Leading {
	lead := c.cluster.Leadership()
	return placer.Leading{Self: lead.Self, Token: lead.Term, Since: lead.Since}
}

// responseTooLong records that a replica sent more than is read of a response to an order or a report request.
func (c *controlNode) responseTooLong(address string, err *exchange.LimitError) {
	c.proc.Metrics().Count("responses_too_long_total").Inc(1)
	c.proc.Ring().Add(event.Event{Kind: event.ResponseTooLong, Host: address, Reason: err.Error()})
}

// sendRecord sends a replica's record to another control node.
func (c *controlNode) sendRecord(ctx context.Context, address string, record registry.Record) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return c.links.Client(address).Call(ctx, wire.MethodNote, wire.NoteRequest{Record: record}, nil)
}

// serve runs the node until a signal or a disk failure.
func (c *controlNode) serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.node.Run(ctx) }()
	go c.cluster.MaintainMembership(ctx)
	go c.cluster.MaintainConfirmation(ctx)
	go c.publisher.Run(ctx)
	go c.placer.Run(ctx)
	go c.shareLoad(ctx)
	go c.shareBacklog(ctx)
	go c.forwardSent(ctx)
	go c.forwardUsage(ctx)
	go c.shareLimits(ctx)
	go c.queues.Run(ctx)
	go c.granter.Run(ctx)
	go c.relay.Run(ctx)
	go c.forwardQuarantine(ctx)
	go c.collectQuarantine(ctx)
	go c.saveQuarantine(ctx)
	go c.shareCloses(ctx)
	go c.follower.Run(ctx)
	go every(ctx, memberNoteInterval, c.witness.noteMembers)
	calls, err := listen(c.settings.Calls, c.external.Calls(c.calls()))
	if err != nil {
		return err
	}
	defer calls.close()
	go c.watch.HandleReloads(ctx, c.reload)
	c.proc.SetReady(true)
	select {
	case err := <-ended:
		return storageError(err)
	case signal := <-c.watch.Stop():
		c.proc.NoteStopSignal(signal.Delay())
		c.stop(calls)
		return nil
	}
}

// buildFollower creates the follower, which receives the updates of every control node, this one
// included, and the relay, which forwards them to gateways.
func (c *controlNode) buildFollower(cluster feed.Cluster) {
	options := feed.Options{Node: c.settings.Node, Zone: c.settings.Zone, Seeds: c.settings.SeedPeers()}
	sink := feed.Sink{
		Replicas: func(changes registry.Changes) {
			c.witness.setReplicas(changes)
			c.placer.SetReplicas(changes)
			c.dispatchers.SetReplicas(changes)
			c.replicas.SetReplicas(changes)
			c.removeEnded(changes)
		},
		Drains: c.setDrains,
	}
	c.follower = feed.NewFollower(options, sink, c.proc.Meter(), nil, c.proc.Ring(), clock.Now)
	c.relay = feed.NewRelay(c.settings.Node, c.settings.Zone, c.follower, cluster, clock.Now)
	c.publisher.SetRelay(c.relay)
}

// reload reads the settings again; only new seeds take effect.
func (c *controlNode) reload() {
	settings, err := option.LoadFleetControl(c.file)
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.SettingsReloaded, Reason: "the previous settings stay in use: " + err.Error()})
		return
	}
	c.follower.AddSeeds(settings.SeedPeers())
	c.cluster.AddKnownAddresses(settings.SeedPeers()...)
	c.proc.Ring().Add(event.Event{Kind: event.SettingsReloaded})
}

// stop hands over leadership and ends the node.
func (c *controlNode) stop(calls *server) {
	c.proc.SetLeaving()
	c.cluster.TransferLeadership()
	ctx, cancel := context.WithTimeout(context.Background(), handOverWait)
	defer cancel()
	_ = calls.stop(ctx)
	<-ctx.Done()
}
