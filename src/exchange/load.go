package exchange

import (
	"github.com/moorspool/moorspool/src/wire"
)

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
	signal(f.sent)
}

// PromptSent delivers when a prompt has been sent since it last did.
func (f *Fleet) PromptSent() <-chan struct{} { return f.sent }
