package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// Replicas returns the number of replicas that are known.
func (f *Fleet) Replicas() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers)
}

// Loads returns what this gateway has under way at each replica that does not tell its
// load itself.
func (f *Fleet) Loads() []wire.ReplicaLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []wire.ReplicaLoad
	for _, peer := range f.peers {
		if f.tellers.has(peer.service) {
			continue
		}
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

// Sent notes that a replica is sent a request, with its prompt's parts if it has any and
// how long the replica needs to read it.
func (f *Fleet) Sent(now time.Time, p *Peer, model string, parts []Part, prompt time.Duration) {
	if model != "" {
		p.mu.Lock()
		p.parts.note(model, parts)
		p.mu.Unlock()
	}
	if !f.tellers.has(p.service) {
		f.sent.Raise()
		return
	}
	if model != "" {
		p.expect(now, prompt)
		f.prompts.add(p.id, prompt)
	}
}

// Told takes in a replica's word on its load.
func (f *Fleet) Told(now time.Time, p *Peer, load Load) {
	if !load.Known {
		return
	}
	f.tellers.add(p.service)
	p.told(now, load)
}

// tellers are the services whose replicas tell their load in answers. What all gateways
// have under way there need not be shared: each answer says it anew.
type tellers struct {
	services sync.Map
}

func (t *tellers) has(service string) bool {
	_, found := t.services.Load(service)
	return found
}

func (t *tellers) add(service string) {
	if !t.has(service) {
		t.services.Store(service, true)
	}
}

// RequestSent delivers when a request that the other gateways should know of has been
// sent since it last did.
func (f *Fleet) RequestSent() <-chan struct{} { return f.sent.Raised() }
