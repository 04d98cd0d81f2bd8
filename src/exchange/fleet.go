package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// The estimates of a choice, in milliseconds.
const (
	// runningCost is what each request that runs adds.
	runningCost = 1.2
	// waitingCost is what each request that waits adds.
	waitingCost = 40.0
	// farCost is what another availability zone adds.
	farCost = 12.0
	// failingCost is what a replica that only fails adds.
	failingCost = 800.0
	// slotCost is what a plain service's taken place adds, as a share of all.
	slotCost = 30.0
	// fullCost is added when all places are taken.
	fullCost = 60.0
	// jitter breaks ties, so that gateways don't all choose alike.
	jitter = 2.0
)

// Want is what a request needs of a replica.
type Want struct {
	Service string
	// Model is "" for plain services.
	Model   string
	Adapter string
	Prompt  int
	Parts   []Part
}

// Verdict says how a choice came out.
type Verdict uint8

// The verdicts.
const (
	// Chosen means that there is a replica.
	Chosen Verdict = iota
	// Missing means that no replica in reach holds the model or adapter.
	Missing
	// None means that no replica of the service is in reach.
	None
)

// Choice is a chosen replica with what decided.
type Choice struct {
	Peer    *Peer
	Verdict Verdict
	// Read is the part of the prompt that the replica has to read, ReadTime how long
	// it is expected to need for it.
	Read     int
	ReadTime time.Duration
	// Others is how many further replicas could have been chosen.
	Others int
	// Unread is how long the replica needs for the prompts that it was sent before.
	Unread time.Duration
	Reason string
}

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

// dialWithin is how long connecting to the chosen replica may take.
func (c *Choice) dialWithin() time.Duration {
	if c.Others > 0 {
		return dialAttempt
	}
	return dialTimeout
}

// Pick chooses the replica from which the answer is expected soonest.
func (f *Fleet) Pick(now time.Time, want Want, tried []*Peer) Choice {
	best := Choice{Verdict: None}
	bestCost := 0.0
	var bestLook outlook
	seen := 0
	for _, c := range f.view.Load().services[want.Service] {
		if wasTried(tried, c.peer) {
			continue
		}
		if key := (copyKey{model: want.Model, adapter: want.Adapter}); want.Model != "" && (!c.holds[key] || c.peer.lacking(now, key)) {
			if best.Peer == nil {
				best.Verdict = Missing
			}
			continue
		}
		look := c.peer.outlook(now)
		cost, read := f.cost(c, &want, &look)
		seen++
		if best.Peer == nil || cost < bestCost {
			best = Choice{Peer: c.peer, Verdict: Chosen, Read: read, ReadTime: f.speeds.readTime(want.Model, read)}
			bestCost, bestLook = cost, look
		}
	}
	if best.Peer != nil {
		best.Unread = bestLook.unread
		best.Others = seen - 1
		best.Reason = fmt.Sprintf("cost %.0f ms of %d candidates, running %d waiting %d of %d, %d ms of prompts unread, load %d ms old", bestCost, seen, bestLook.running, bestLook.waiting, bestLook.slots, bestLook.unread.Milliseconds(), bestLook.loadAge.Milliseconds())
	}
	return best
}

func wasTried(tried []*Peer, p *Peer) bool {
	for _, other := range tried {
		if other == p {
			return true
		}
	}
	return false
}

// cost estimates the time to the first byte, in milliseconds, and returns the
// prompt tokens that the replica has to read.
func (f *Fleet) cost(c *candidate, want *Want, look *outlook) (float64, int) {
	cost := rand.Float64()*jitter + look.failing*failingCost
	if c.zone != f.zone {
		cost += farCost
	}
	if look.ejected {
		cost += failingCost
	}
	if want.Model == "" {
		taken := float64(look.running+look.waiting) / float64(look.slots)
		cost += taken * slotCost
		if taken >= 1 {
			cost += taken * fullCost
		}
		return cost, 0
	}
	c.peer.mu.Lock()
	cached := c.peer.parts.cached(want.Model, want.Parts)
	c.peer.mu.Unlock()
	read := max(want.Prompt-cached, 0)
	cost += milliseconds(f.speeds.readTime(want.Model, read) + look.unread)
	cost += float64(look.running)*runningCost + float64(look.waiting)*waitingCost
	return cost, read
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Replicas returns the number of replicas that are known.
func (f *Fleet) Replicas() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers)
}

// Loads returns what this gateway has under way at each replica.
func (f *Fleet) Loads() []wire.ReplicaLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []wire.ReplicaLoad
	for _, peer := range f.peers {
		if load, busy := peer.report(); busy {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetLoads takes in what all gateways have under way at each replica.
func (f *Fleet) SetLoads(totals wire.LoadReport) {
	now := f.now()
	byReplica := make(map[string]wire.ReplicaLoad, len(totals.Loads))
	for _, load := range totals.Loads {
		byReplica[load.Replica] = load
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, peer := range f.peers {
		peer.setTotal(now, byReplica[id])
	}
}

// Sent notes that a replica is sent a prompt's parts.
func (f *Fleet) Sent(p *Peer, model string, parts []Part) {
	if model == "" {
		return
	}
	p.mu.Lock()
	p.parts.note(model, parts)
	p.mu.Unlock()
	select {
	case f.sent <- struct{}{}:
	default:
	}
}

// PromptSent delivers when a prompt has been sent since it last did.
func (f *Fleet) PromptSent() <-chan struct{} { return f.sent }

// Tidy closes connections that rested too long.
func (f *Fleet) Tidy(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		peer.pool.expire(now)
	}
}
