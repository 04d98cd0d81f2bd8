package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// Replicas returns the number of known replicas.
func (f *Fleet) Replicas() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers)
}

// Loads returns this gateway's requests in progress at each replica that does not report its own
// load.
func (f *Fleet) Loads() []wire.ReplicaLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []wire.ReplicaLoad
	for _, peer := range f.peers {
		if f.loadReporters.has(peer.service) {
			continue
		}
		if load, busy := peer.report(); busy {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetLoads sets the requests in progress of all gateways at each replica.
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

// Sent records that a request is sent to a replica, with the parts of its prompt, if any, and the
// expected prefill time.
func (f *Fleet) Sent(now time.Time, p *Peer, model string, parts []Part, prompt time.Duration) {
	if model != "" {
		p.mu.Lock()
		p.parts.note(model, parts)
		p.mu.Unlock()
	}
	if !f.loadReporters.has(p.service) {
		f.requestSent.Raise()
		return
	}
	f.reportSent(now, p)
	if model != "" {
		p.addTotalBacklog(now, prompt)
		f.sentPrompts.add(p.id, prompt)
	}
}

// UpdateLoad applies the load that a replica reported.
func (f *Fleet) UpdateLoad(now time.Time, p *Peer, load Load) {
	if !load.Known {
		return
	}
	f.loadReporters.add(p.service)
	p.updateLoad(now, load)
	f.reportLoad(p, load)
}

// loadReporters is the set of services whose replicas report their load in responses. Gateways need
// not share their requests in progress for these, since each response carries the current load.
type loadReporters struct {
	services sync.Map
}

func (t *loadReporters) has(service string) bool {
	_, found := t.services.Load(service)
	return found
}

func (t *loadReporters) add(service string) {
	if !t.has(service) {
		t.services.Store(service, true)
	}
}

// RequestSent returns a channel that receives a value after a request was sent that the other
// gateways should know of.
func (f *Fleet) RequestSent() <-chan struct{} { return f.requestSent.Raised() }
