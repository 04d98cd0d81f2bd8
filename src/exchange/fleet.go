package exchange

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/reach"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
	"github.com/moorspool/moorspool/src/work"
)

type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// Fleet holds all replicas that this gateway knows. It is safe for concurrent use.
type Fleet struct {
	zone string
	// regions maps availability zones to regions, as far as they are known.
	regions map[string]string
	dial    dialFunc
	ring    *event.Ring
	now     func() time.Time
	// bootNow returns the time on a clock that counts while this host is suspended. A replica's
	// backoff ends for the replica even while this host is suspended.
	bootNow func() time.Time
	// unacknowledged returns for how long the other host of a connection has acknowledged nothing.
	unacknowledged func(net.Conn) time.Duration

	mu    sync.Mutex
	peers map[string]*Peer
	// unlisted holds the states of replicas that are no longer listed, by ID. An ID that is listed
	// again is the same incarnation, so its state still applies.
	unlisted map[string]unlistedState
	// usable holds the replicas that may get requests.
	usable map[string]*indexedReplica
	// placerCopies holds, by replica, the copies known to the placing node beyond those that the
	// replicas reported.
	placerCopies map[string]copies
	// expectedCopies holds when the first copy of a model is expected to be loaded, for models
	// without any copy.
	expectedCopies map[indexKey]time.Time
	index          copyIndex
	// latestStarts holds the last start of each replica that reports its start, by name, and onDoubt is
	// called with streams whose origin turns out not to be certain.
	latestStarts map[string]*Peer
	onDoubt      func([]resume.Key)
	// census counts the listed replicas by service and software version.
	census map[string]*resume.Census
	// routes are the services that the routes of the configuration lead to, by name of the route.
	routes map[string]routeTarget
	// routesVersion is the version of that configuration.
	routesVersion uint64
	loadReporters loadReporters
	sentPrompts   *sentPrompts
	loadReports   *loadReports
	// loadView is when this gateway was told the states of replicas of engines with small batches.
	loadView loadView
	// byBacklogKey holds the replicas by their keys in packed backlogs.
	byBacklogKey map[uint64]*Peer
	speeds       *work.Speeds
	// outputs and typical are learned from streams of engines with small batches.
	outputs *work.Outputs
	typical *work.Typical
	// rejections tells which services have replicas that fail when they reject too many requests, gateways
	// who else sends to them.
	rejections rejectionLimits
	gateways   gatewaySet
	// links tells which services this gateway can't connect to.
	links *reach.Monitor
	// onCrash is called when the control nodes report that a replica has ended.
	onCrash func(now time.Time, replica string, evidence string)
	// onReturn is called when a replica accepts connections again after it refused one.
	onReturn func(*Peer)
	// onWitness is called with a connection on which a replica said that it is leaving, if a later start may
	// have said so.
	onWitness func(witness *conn, later *Peer)
	// requestSent is raised when this gateway has sent a request that the other gateways should
	// know of.
	requestSent wakeup.Flag
	// drains holds the drained zones. It is nil if there are none.
	drains atomic.Pointer[wire.ZoneDrains]
	// coldRates holds the request rates per second of cold replicas, for the services that limit
	// them.
	coldRates atomic.Pointer[map[string]float64]
	// smallBatches holds the services that have engines with small batches.
	smallBatches atomic.Pointer[map[string]bool]
	// firstReplicaAt is when the first replicas were listed, in nanoseconds; 0 before that.
	firstReplicaAt atomic.Int64
}

// discoveryTime is how long after a gateway's first replicas further ones are expected. Control
// nodes that have all just started learn of a replica with its next heartbeat, which arrives about
// every 1.2 s.
const discoveryTime = 1500 * time.Millisecond

type copyKey struct {
	model   string
	adapter string
}

// copies is a set of models and adapters. In the placing node's copies the value is true if the
// copy is being unloaded; in all other sets it is always true.
type copies map[copyKey]bool

// NewFleet returns a fleet without replicas for a gateway in an availability zone. bootNow returns
// the time on a clock that counts while this host is suspended.
func NewFleet(zone string, dial dialFunc, ring *event.Ring, now, bootNow func() time.Time) *Fleet {
	return &Fleet{
		zone:           zone,
		dial:           dial,
		ring:           ring,
		now:            now,
		bootNow:        bootNow,
		unacknowledged: unacknowledgedFor,
		peers:          map[string]*Peer{},
		unlisted:       map[string]unlistedState{},
		usable:         map[string]*indexedReplica{},
		placerCopies:   map[string]copies{},
		census:         map[string]*resume.Census{},
		latestStarts:   map[string]*Peer{},
		onDoubt:        func([]resume.Key) {},
		onReturn:       func(*Peer) {},
		onWitness:      func(witness *conn, _ *Peer) { _ = witness.raw.Close() },
		sentPrompts:    newSentPrompts(),
		loadReports:    newLoadReports(),
		byBacklogKey:   map[uint64]*Peer{},
		speeds:         work.NewSpeeds(),
		outputs:        work.NewOutputs(),
		typical:        work.NewTypical(),
		links:          reach.New(),
		rejections:     rejectionLimits{toldAt: map[string]time.Time{}},
		requestSent:    wakeup.New(),
		onCrash:        func(time.Time, string, string) {},
	}
}

// SetRegions sets the regions of the availability zones. It is called before the first replicas are
// set.
func (f *Fleet) SetRegions(regions map[string]string) { f.regions = regions }

// residencyAllows reports whether a request may be served in a zone. A request that is bound to
// regions is not served in a zone whose region is unknown.
func (f *Fleet) residencyAllows(want *Requirements, zone string) bool {
	return !want.Residency.Bound() || want.Residency.Allows(f.regions[zone])
}

// setCrashHandler sets the function that is called when a replica has ended. It is called before
// the first replicas are set.
func (f *Fleet) setCrashHandler(onCrash func(now time.Time, replica string, evidence string)) {
	f.onCrash = onCrash
}

// SetReplicas applies changes of the replicas as listed by the control nodes. Its cost depends on
// the number of changes, not of replicas.
func (f *Fleet) SetReplicas(changes registry.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(changes.Entries) > 0 {
		f.firstReplicaAt.CompareAndSwap(0, f.now().UnixNano())
	}
	found := 0
	for i := range changes.Entries {
		if f.applyEntry(&changes.Entries[i]) {
			found++
		}
	}
	for _, id := range changes.Removed {
		f.remove(id)
	}
	if found > 0 {
		f.ring.Add(event.Event{Kind: event.ReplicasFound, Reason: fmt.Sprintf("%d new, %d known", found, len(f.peers))})
	}
}

// Discovering reports whether some replicas may still be unknown because the gateway has just
// started to discover them.
func (f *Fleet) Discovering(now time.Time) bool {
	begun := f.firstReplicaAt.Load()
	return begun == 0 || now.UnixNano()-begun < int64(discoveryTime)
}

// applyEntry applies one listed replica and reports whether it is new; the lock is held.
func (f *Fleet) applyEntry(e *registry.Entry) bool {
	id := e.Record.ID
	peer := f.peers[id]
	found := peer == nil
	if found {
		peer = newPeer(e.Record, f.dial)
		peer.pool.dialed = func(err error) {
			f.noteDial(peer, err == nil)
			f.noteRefusal(peer, err)
		}
		peer.pool.witnessed = func() { f.traceLeaving(peer) }
		f.restoreState(peer)
		f.inheritState(peer)
		f.peers[id] = peer
		f.byBacklogKey[loadview.Key(id)] = peer
		f.noteRestart(peer, &e.Record)
	} else {
		f.updateRecord(peer, e)
	}
	peer.listedLeaving.Store(e.Record.Leaving())
	f.countVersion(peer)
	if e.Record.ColdMS > 0 {
		peer.markCold(f.bootNow(), time.Duration(e.Record.ColdMS)*time.Millisecond)
	}
	f.indexReplica(peer, e)
	return found
}

// updateRecord updates the record of a known replica; the lock is held.
func (f *Fleet) updateRecord(peer *Peer, e *registry.Entry) {
	peer.mu.Lock()
	before := peer.record
	peer.record = e.Record
	peer.mu.Unlock()
	peer.learnSoftware(e.Record.SoftwareVersion)
	if e.Replaced {
		f.onCrash(f.now(), peer.id, "a later start has its address or its name")
	}
	if before.Leaving() == e.Record.Leaving() {
		return
	}
	peer.pool.close()
	f.ring.Add(event.Event{Kind: event.ReplicaChanged, Host: e.Record.ID, Zone: e.Record.Zone, Reason: describeEntry(e)})
}

// indexReplica updates the index for one replica; the lock is held.
func (f *Fleet) indexReplica(peer *Peer, e *registry.Entry) {
	s := f.usable[peer.id]
	if s != nil && (!e.Usable() || s.service != e.Record.Service) {
		f.index.remove(s)
		delete(f.usable, peer.id)
		s = nil
	}
	if !e.Usable() {
		return
	}
	if s == nil {
		s = &indexedReplica{candidate: &candidate{peer: peer, zone: e.Record.Zone}, service: e.Record.Service}
		f.usable[peer.id] = s
		f.index.add(s)
	}
	s.reported = copies{}
	for _, held := range e.Record.Models {
		s.reported[copyKey{model: held.Name}] = true
		for _, adapter := range held.Adapters {
			s.reported[copyKey{model: held.Name, adapter: adapter}] = true
		}
	}
	f.index.update(s, f.placerCopies[peer.id])
}

// remove drops a replica; the lock is held.
func (f *Fleet) remove(id string) {
	if s := f.usable[id]; s != nil {
		f.index.remove(s)
		delete(f.usable, id)
	}
	if peer := f.peers[id]; peer != nil {
		peer.unlisted.Store(true)
		peer.pool.close()
		f.uncountVersion(peer)
		f.forgetStart(peer)
		f.saveState(peer)
		delete(f.peers, id)
		delete(f.byBacklogKey, loadview.Key(id))
	}
}

func describeEntry(e *registry.Entry) string {
	state := "ready"
	switch {
	case e.Record.Gone:
		state = "gone"
	case e.Record.Draining:
		state = "draining"
	case e.Replaced:
		state = "replaced"
	case e.Silent:
		state = "silent"
	}
	return fmt.Sprintf("%s, service %s at %s, software %q, sequence %d, %d models", state, e.Record.Service, e.Record.Address, e.Record.SoftwareVersion, e.Record.Sequence, len(e.Record.Models))
}

// SetHoldings sets the copies known to the placing node beyond those that the replicas reported,
// and the copies that are being loaded.
func (f *Fleet) SetHoldings(h *wire.Holdings) {
	next := map[string]copies{}
	for _, held := range h.Copies {
		if next[held.Replica] == nil {
			next[held.Replica] = copies{}
		}
		next[held.Replica][copyKey{model: held.Model, adapter: held.Adapter}] = held.Leaving
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expectedCopies = make(map[indexKey]time.Time, len(h.Coming))
	for _, c := range h.Coming {
		f.expectedCopies[indexKey{c.Service, copyKey{model: c.Model}}] = f.now().Add(time.Duration(c.InMS) * time.Millisecond)
	}
	before := f.placerCopies
	f.placerCopies = next
	for id := range before {
		if next[id] == nil {
			f.updateCopies(id, nil)
		}
	}
	for id, held := range next {
		if !maps.Equal(before[id], held) {
			f.updateCopies(id, held)
		}
	}
}

// updateCopies updates the index with the copies of a replica that are known to the placing node;
// the lock is held.
func (f *Fleet) updateCopies(id string, known copies) {
	if s := f.usable[id]; s != nil {
		f.index.update(s, known)
	}
}

// Expire closes connections that were idle for too long and drops expired states of unlisted
// replicas.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireStates(now)
	for _, peer := range f.peers {
		peer.pool.expire(now)
	}
}
