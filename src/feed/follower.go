package feed

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of a follower.
const (
	// streamSilenceLimit is the time without a message after which a stream's connection is checked
	// with a ping; the ping may take as long again.
	streamSilenceLimit = 600 * time.Millisecond
	// minResubscribeDelay is the delay before the first attempt to reopen a lost stream.
	minResubscribeDelay = 150 * time.Millisecond
	// disconnectedResubscribeDelay is that delay while no control node is connected.
	disconnectedResubscribeDelay = 20 * time.Millisecond
	// maxResubscribeDelay bounds the delay after repeated failures while other control nodes are
	// connected.
	maxResubscribeDelay = 1200 * time.Millisecond
	// callTimeout bounds each call to a control node.
	callTimeout = time.Second
	// otherZoneFetchDelay is how long only control nodes of the own availability zone are asked for
	// a new configuration, since traffic between zones is expensive.
	otherZoneFetchDelay = 150 * time.Millisecond
	// fetchFailurePenalty is how long a node that failed to deliver a configuration ranks behind
	// others.
	fetchFailurePenalty = 2 * time.Second
	// lostSourceTrust is how long the reports of a lost control node are trusted while others are
	// connected.
	lostSourceTrust = 6 * time.Second
	// forgetAfter is how long a replica that has left is remembered.
	forgetAfter = 2 * time.Minute
)

// Sink holds a follower's callbacks. They are called one at a time. All but Replicas may be nil.
type Sink struct {
	// Document applies a newer configuration. After an error the previous one stays in force, and the
	// newer one is fetched again.
	Document func(held wire.Document) error
	// Replicas receives the changes of the merged replicas.
	Replicas func(registry.Changes)
	// Holdings receives newer holdings.
	Holdings func(*wire.Holdings)
	// Quarantine receives the suspected and quarantined request contents: those that replicas were
	// running when they ended.
	Quarantine func([]quarantine.Entry)
	// ShortCloses receives the software that a control node knows to close short, nil as the updates of one begin that
	// knows none, before the replicas of the same update.
	ShortCloses func(*wire.ShortCloses)
	// Drains receives newer drained zones, before the replicas of the same update.
	Drains func(*wire.ZoneDrains)
	// Gateways receives the number of gateways.
	Gateways func(int)
	// Peers receives the gateways that requests can be forwarded to.
	Peers func([]wire.GatewayPeer)
	// Loads receives the requests under way at all gateways together.
	Loads func(wire.LoadReport)
	// Backlogs receives the prompts that replicas have yet to read.
	Backlogs func(wire.Backlogs)
	// Limits receives the rate limits of replicas, including those that have ended.
	Limits func(wire.Limits)
}

// Options identify the follower. Seeds are the addresses of the first control nodes to contact.
type Options struct {
	Node    string
	Zone    string
	Gateway bool
	Seeds   []string
	// Peer returns the gateway's state for other gateways. It is nil if the process accepts no
	// forwarded requests.
	Peer func() wire.GatewayPeer
}

// Follower subscribes to control nodes: a control node to all of them including itself, a gateway
// to one of its own availability zone while that one is healthy. It is safe for concurrent use.
type Follower struct {
	options Options
	sink    Sink
	meter   *rpc.Meter
	cut     *fault.Cut
	ring    *event.Ring
	now     func() time.Time

	mu        sync.Mutex
	sources   map[string]*source
	directory *registry.Directory
	version   uint64
	holdings  *wire.Holdings
	drains    *wire.ZoneDrains
	// peers is the merged list of gateways.
	peers    *wire.GatewayList
	fetching bool
	// firstContactAt is when a control node first answered, heldLogged whether it was logged that a
	// configuration is not used yet.
	firstContactAt time.Time
	heldLogged     bool
	context        context.Context
	// changed is closed at the next change of the merged view.
	changed chan struct{}
	// check wakes Run to check the selection of sources.
	check wakeup.Flag
	// best is the most preferred healthy source, nil if there is none, and bestSince is when it was
	// selected.
	best      *source
	bestSince time.Time
	// nextStartAt is when one more source may be followed while none is healthy.
	nextStartAt time.Time
}

// NewFollower returns a follower of the control nodes that are found through the seeds.
func NewFollower(options Options, sink Sink, meter *rpc.Meter, cut *fault.Cut, ring *event.Ring, now func() time.Time) *Follower {
	return &Follower{
		options:   options,
		sink:      sink,
		meter:     meter,
		cut:       cut,
		ring:      ring,
		now:       now,
		sources:   map[string]*source{},
		directory: registry.NewDirectory(forgetAfter),
		changed:   make(chan struct{}),
		check:     wakeup.New(),
	}
}

// Run follows control nodes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.context = ctx
	f.mu.Unlock()
	f.AddSeeds(f.options.Seeds)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.check.Raised():
		}
		timer.Reset(f.sweep())
	}
}

// sweep processes what changes by elapsed time alone, and returns the time until the next sweep.
func (f *Follower) sweep() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.directory.Sweep(now, lostSourceTrust, f.live() > 0)
	f.publishChanges()
	f.updateFollowed(now)
	return f.nextCheckDelay(now)
}

// AddSeeds adds addresses of control nodes to contact.
func (f *Follower) AddSeeds(addresses []string) {
	members := make([]wire.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, wire.Member{Address: address})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSources(members)
	f.updateFollowed(f.now())
	f.check.Raise()
}

// ConnectedNodes returns the number of connected control nodes.
func (f *Follower) ConnectedNodes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live()
}

// disconnected reports whether no control node is connected.
func (f *Follower) disconnected() bool { return f.ConnectedNodes() == 0 }

func (f *Follower) live() int {
	live := 0
	for _, s := range f.sources {
		if s.live {
			live++
		}
	}
	return live
}

// publishChanges passes changes of the replicas to the sink. The caller holds the lock.
func (f *Follower) publishChanges() {
	if changes := f.directory.Changes(); !changes.Empty() {
		f.sink.Replicas(changes)
		f.notifyChanged()
	}
}

// notifyChanged wakes the receivers of Changed. The caller holds the lock.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) handleLoads(_ context.Context, _ *rpc.Peer, totals wire.LoadReport) (wire.Empty, error) {
	if f.sink.Loads != nil {
		f.sink.Loads(totals)
	}
	return wire.Empty{}, nil
}

func (f *Follower) handleBacklogs(_ context.Context, _ *rpc.Peer, totals wire.Backlogs) (wire.Empty, error) {
	if f.sink.Backlogs != nil {
		f.sink.Backlogs(totals)
	}
	return wire.Empty{}, nil
}

func (f *Follower) handleLimits(_ context.Context, _ *rpc.Peer, limits wire.Limits) (wire.Empty, error) {
	if f.sink.Limits != nil {
		f.sink.Limits(limits)
	}
	return wire.Empty{}, nil
}

// handleStreamEnd processes the end of a source's stream.
func (f *Follower) handleStreamEnd(s *source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.live {
		return
	}
	f.ring.Add(event.Event{Kind: event.ControlLost, Host: s.address, Zone: s.zone})
	f.markLost(s)
	f.updateFollowed(f.now())
	f.check.Raise()
}

// markLost marks a source as not connected and removes its reports from the directory. The caller
// holds the lock.
func (f *Follower) markLost(s *source) {
	s.live = false
	s.lostAt = f.now()
	f.directory.RemoveSource(f.now(), s.address)
	f.publishChanges()
	f.notifyChanged()
}

// handleUpdate merges an update from a source's stream.
func (f *Follower) handleUpdate(s *source, update wire.FeedUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.stop == nil {
		return
	}
	now := f.now()
	f.addSources(update.Members)
	stateUnchanged := s.live && s.detached == update.Detached && s.uncertain == update.Uncertain && update.Members == nil
	changed := !stateUnchanged || s.version != update.Version || s.leading != update.Leading || s.gateways != update.Gateways
	if !s.live {
		s.live = true
		f.ring.Add(event.Event{Kind: event.ControlFound, Host: s.address, Zone: update.Zone})
	}
	if update.Full {
		s.zone = update.Zone
		s.holdings = nil
		s.peers = nil
	}
	s.heardAt = now
	if f.firstContactAt.IsZero() {
		f.firstContactAt = now
	}
	s.version = update.Version
	s.leading = update.Leading
	s.detached = update.Detached
	s.uncertain = update.Uncertain
	s.confirmedAt = time.Time{}
	if update.ConfirmedMS > 0 {
		s.confirmedAt = now.Add(-time.Duration(update.ConfirmedMS) * time.Millisecond)
	}
	s.gateways = update.Gateways
	f.applyDrains(update.Drains)
	if f.sink.ShortCloses != nil && (update.Full || update.ShortCloses != nil) {
		f.sink.ShortCloses(update.ShortCloses)
	}
	if len(update.Standings) > 0 {
		f.directory.Apply(now, s.address, update.Standings)
		f.publishChanges()
	}
	f.applyHoldings(s, update.Holdings)
	f.applyPeers(now, s, update)
	if update.Quarantine != nil && f.sink.Quarantine != nil {
		f.sink.Quarantine(update.Quarantine.Entries)
	}
	if f.sink.Gateways != nil && changed {
		f.sink.Gateways(f.gateways(now))
	}
	if changed {
		f.notifyChanged()
	}
	if !stateUnchanged {
		f.updateFollowed(now)
		f.check.Raise()
	}
	f.noteHeld(now, s)
	f.fetchIfNewer()
}

// applyDrains applies drained zones reported by a source unless they are older than the known ones:
// a source may be behind the previous one. State that any node has applied is committed, so it is
// safe to use. The caller holds the lock.
func (f *Follower) applyDrains(reported *wire.ZoneDrains) {
	if reported == nil || reported.Revision == 0 || f.drains != nil && reported.Revision <= f.drains.Revision {
		return
	}
	f.drains = reported
	f.notifyChanged()
	if f.sink.Drains != nil {
		f.sink.Drains(reported)
	}
}

// applyHoldings applies holdings reported by a source, which may be a delta to its previous ones,
// and passes them to the sink if they are newer than the known ones. The caller holds the lock.
func (f *Follower) applyHoldings(s *source, h *wire.Holdings) {
	if h == nil {
		return
	}
	if h.Base != 0 {
		whole, fits := &wire.Holdings{}, false
		if s.holdings != nil {
			whole, fits = s.holdings.With(h)
		}
		if !fits {
			return
		}
		h = whole
	}
	s.holdings = h
	if f.holdings != nil && (h.Term < f.holdings.Term || h.Term == f.holdings.Term && h.Version <= f.holdings.Version) {
		return
	}
	f.holdings = h
	f.notifyChanged()
	if f.sink.Holdings != nil {
		f.sink.Holdings(h)
	}
}
