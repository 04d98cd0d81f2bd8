package placer

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

const (
	// minSpreadRate is the number of requests a second per copy from which on an adapter is loaded
	// on another replica.
	minSpreadRate = 0.2
	// reservedAdapterSlots is the number of slots kept free for adapters that requests wait for.
	reservedAdapterSlots = 1
	// minAdapterResidency is how long a loaded adapter is not evicted.
	minAdapterResidency = 500 * time.Millisecond
)

// reservedAdapterMB is the memory reserved for the free adapter slots of a replica.
func reservedAdapterMB(e *catalog.Engine, r *replicaState) float64 {
	largest := 0.0
	for _, model := range e.Models {
		largest = max(largest, model.AdapterMB)
	}
	return float64(max(e.AdapterSlots-r.adapterCount(), 0)) * largest
}

// planAdapters loads adapters that requests wait for, then other adapters without a copy. Each
// replica gets one order at a time. The lock is held.
func (p *Placer) planAdapters(ctx context.Context, now time.Time, s *catalog.Service, replicas []*replicaState, copyCounts map[adapterKey]int) {
	for _, key := range p.demand.recentlyMissing(now, missingWindow) {
		if key.service == s.Name && key.adapter != "" && copyCounts[key] == 0 {
			p.loadAdapter(ctx, now, s, replicas, key, true)
		}
	}
	for i := range s.Engine.Models {
		model := &s.Engine.Models[i]
		for n := 1; n <= model.Adapters; n++ {
			key := adapterKey{s.Name, model.Name, "a" + strconv.Itoa(n)}
			if copyCounts[key] == 0 {
				p.loadAdapter(ctx, now, s, replicas, key, false)
			}
		}
	}
}

// replicateAdapters loads busy adapters on more replicas that hold their models and have free
// slots, so that requests for them can be balanced.
func (p *Placer) replicateAdapters(ctx context.Context, now time.Time, s *catalog.Service, replicas []*replicaState, copyCounts map[adapterKey]int) {
	for _, r := range replicas {
		if !p.mayOrder(r) || r.loadingAdapters() > 0 || r.adapterCount() >= s.Engine.AdapterSlots-reservedAdapterSlots {
			continue
		}
		key, rate := p.busiestMissingAdapter(now, s, r, copyCounts)
		if rate < minSpreadRate || s.Engine.WeightsMB-r.usedMB(s.Engine) < s.Engine.Model(key.model).AdapterMB {
			continue
		}
		copyCounts[key]++
		p.sendOrder(ctx, now, r, Order{Operation: Load, Model: key.model, Adapter: key.adapter})
	}
}

// busiestMissingAdapter returns, of the adapters that a replica lacks, the one with the most
// requests a second per copy, and that rate.
func (p *Placer) busiestMissingAdapter(now time.Time, s *catalog.Service, r *replicaState, copyCounts map[adapterKey]int) (adapterKey, float64) {
	var best adapterKey
	bestRate := 0.0
	for _, name := range sortedModels(r) {
		c := r.copies[name]
		model := s.Engine.Model(name)
		if model == nil || c.phase != ready {
			continue
		}
		for n := 1; n <= model.Adapters; n++ {
			key := adapterKey{s.Name, name, "a" + strconv.Itoa(n)}
			if c.adapters[key.adapter] != nil || copyCounts[key] == 0 {
				continue
			}
			if rate := p.demand.adapter(now, key) / float64(copyCounts[key]); rate > bestRate {
				best, bestRate = key, rate
			}
		}
	}
	return best, bestRate
}

// countAdapterCopies counts the usable replicas that hold or load each adapter.
func countAdapterCopies(service string, replicas []*replicaState) map[adapterKey]int {
	copyCounts := map[adapterKey]int{}
	for _, r := range replicas {
		if !r.usable {
			continue
		}
		for name, c := range r.copies {
			if c.phase != ready {
				continue
			}
			for adapter, a := range c.adapters {
				if a.phase != unloading {
					copyCounts[adapterKey{service, name, adapter}]++
				}
			}
		}
	}
	return copyCounts
}

// loadAdapter orders the load of an adapter on the replica that holds its model and has the most
// free slots. If there is no free slot and mayEvict is set, the replica's least requested adapter
// is evicted instead.
func (p *Placer) loadAdapter(ctx context.Context, now time.Time, s *catalog.Service, replicas []*replicaState, key adapterKey, mayEvict bool) {
	model := s.Engine.Model(key.model)
	var best *replicaState
	for _, r := range replicas {
		c := r.copies[key.model]
		if !p.mayOrder(r) || c == nil || c.phase != ready || r.loadingAdapters() >= maxLoadingAdapters {
			continue
		}
		if best == nil || r.adapterCount() < best.adapterCount() {
			best = r
		}
	}
	if best == nil || model == nil {
		return
	}
	freeMB := s.Engine.WeightsMB - best.usedMB(s.Engine)
	if best.adapterCount() < s.Engine.AdapterSlots && freeMB >= model.AdapterMB {
		p.sendOrder(ctx, now, best, Order{Operation: Load, Model: key.model, Adapter: key.adapter})
		return
	}
	if mayEvict {
		p.evictAdapter(ctx, now, s, best)
	}
}

// evictAdapter unloads the least requested adapter of a replica. A recently loaded one stays,
// because the requests that waited for it are still being served.
func (p *Placer) evictAdapter(ctx context.Context, now time.Time, s *catalog.Service, r *replicaState) {
	var leastRequested adapterKey
	lowestRate := math.Inf(1)
	for _, name := range sortedModels(r) {
		for adapter, a := range r.copies[name].adapters {
			key := adapterKey{s.Name, name, adapter}
			if a.phase != ready || now.Sub(a.since) < minAdapterResidency {
				continue
			}
			if rate := p.demand.adapter(now, key); rate < lowestRate {
				leastRequested, lowestRate = key, rate
			}
		}
	}
	if leastRequested.adapter != "" {
		p.sendOrder(ctx, now, r, Order{Operation: Unload, Model: leastRequested.model, Adapter: leastRequested.adapter})
	}
}
