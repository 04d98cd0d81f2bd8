package exchange

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// Fleet is every replica that this gateway knows; it is safe for concurrent use.
type Fleet struct {
	zone string
	dial dialFunc
	ring *event.Ring
	now  func() time.Time

	mu       sync.Mutex
	peers    map[string]*Peer
	holdings map[copyKey]bool // leaving, by copy
	records  []registry.Entry
	view     atomic.Pointer[view]
	speeds   *speeds
	// sent delivers when this gateway has sent a prompt, which the others should know.
	sent chan struct{}
	// begunAt is when the first replicas were learned of, in nanoseconds; 0 before.
	begunAt atomic.Int64
}

// gatherTime is how long after a gateway's first replicas further ones are still to
// be expected: control nodes that have all just started learn of each replica with
// its next heartbeat, which comes about every 1.2 s.
const gatherTime = 1500 * time.Millisecond

type copyKey struct {
	replica string
	model   string
	adapter string
}

// view is the usable replicas by service; it does not change.
type view struct {
	services map[string][]*candidate
}

type candidate struct {
	peer *Peer
	zone string
	// holds are the models and adapters in place, as model or model/adapter.
	holds map[copyKey]bool
}

// NewFleet returns a fleet without replicas for a gateway in an availability zone.
func NewFleet(zone string, dial dialFunc, ring *event.Ring, now func() time.Time) *Fleet {
	f := &Fleet{zone: zone, dial: dial, ring: ring, now: now, peers: map[string]*Peer{}, speeds: newSpeeds(), sent: make(chan struct{}, 1)}
	f.view.Store(&view{services: map[string][]*candidate{}})
	return f
}

// SetReplicas takes in the replicas as the control nodes see them.
func (f *Fleet) SetReplicas(entries []registry.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(entries) > 0 {
		f.begunAt.CompareAndSwap(0, f.now().UnixNano())
	}
	present := map[string]bool{}
	for i := range entries {
		e := &entries[i]
		present[e.Record.ID] = true
		f.takeEntry(e)
	}
	for id, peer := range f.peers {
		if !present[id] {
			peer.pool.close()
			delete(f.peers, id)
		}
	}
	f.records = entries
	f.rebuild()
}

// Gathering reports whether replicas that exist may still be unknown here because
// the gateway has just begun to learn of them.
func (f *Fleet) Gathering(now time.Time) bool {
	begun := f.begunAt.Load()
	return begun == 0 || now.UnixNano()-begun < int64(gatherTime)
}

func (f *Fleet) takeEntry(e *registry.Entry) {
	peer := f.peers[e.Record.ID]
	if peer == nil {
		peer = newPeer(e.Record, f.dial)
		f.peers[e.Record.ID] = peer
		f.ring.Add(event.Event{Kind: event.ReplicaChanged, Host: e.Record.ID, Zone: e.Record.Zone, Reason: describe(e)})
		return
	}
	peer.mu.Lock()
	before := peer.record
	peer.record = e.Record
	peer.mu.Unlock()
	if before.Leaving() != e.Record.Leaving() {
		peer.pool.close()
		f.ring.Add(event.Event{Kind: event.ReplicaChanged, Host: e.Record.ID, Zone: e.Record.Zone, Reason: describe(e)})
	}
}

func describe(e *registry.Entry) string {
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
	return fmt.Sprintf("%s, service %s at %s, sequence %d, %d models", state, e.Record.Service, e.Record.Address, e.Record.Sequence, len(e.Record.Models))
}

// SetHoldings takes in what the placing node knows beyond the replicas' words.
func (f *Fleet) SetHoldings(h *wire.Holdings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdings = map[copyKey]bool{}
	for _, held := range h.Copies {
		f.holdings[copyKey{held.Replica, held.Model, held.Adapter}] = held.Leaving
	}
	f.rebuild()
}

// rebuild makes a new view; the lock is held.
func (f *Fleet) rebuild() {
	next := &view{services: map[string][]*candidate{}}
	for i := range f.records {
		e := &f.records[i]
		if !e.Usable() {
			continue
		}
		c := &candidate{peer: f.peers[e.Record.ID], zone: e.Record.Zone, holds: map[copyKey]bool{}}
		for _, held := range e.Record.Models {
			c.holds[copyKey{model: held.Name}] = true
			for _, adapter := range held.Adapters {
				c.holds[copyKey{model: held.Name, adapter: adapter}] = true
			}
		}
		f.applyHoldings(c)
		next.services[e.Record.Service] = append(next.services[e.Record.Service], c)
	}
	f.view.Store(next)
}

func (f *Fleet) applyHoldings(c *candidate) {
	for key, leaving := range f.holdings {
		if key.replica != c.peer.id {
			continue
		}
		key.replica = ""
		if leaving {
			delete(c.holds, key)
			continue
		}
		c.holds[key] = true
	}
}

// Tidy closes connections that rested too long.
func (f *Fleet) Tidy(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		peer.pool.expire(now)
	}
}
