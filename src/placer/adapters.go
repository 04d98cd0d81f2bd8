package placer

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

const (
	// spreadFloor is the requests a second for each holder from which an adapter is
	// loaded onto another server.
	spreadFloor = 0.2
	// sparePlaces are kept free for adapters that requests wait for.
	sparePlaces = 1
	// settledFor is how long an adapter that was loaded does not make way.
	settledFor = 500 * time.Millisecond
)

// adapterReserve is the room kept for adapter places that are still free.
func adapterReserve(e *catalog.Engine, u *unit) float64 {
	largest := 0.0
	for _, model := range e.Models {
		largest = max(largest, model.AdapterMB)
	}
	return float64(max(e.AdapterSlots-u.adapterCount(), 0)) * largest
}

// planAdapters loads adapters that requests wait for, then those that nobody
// holds, one order at a time for each replica; the lock is held.
func (p *Placer) planAdapters(ctx context.Context, now time.Time, s *catalog.Service, units []*unit, holders map[adapterKey]int) {
	for _, key := range p.demand.missingLately(now, missingSpan) {
		if key.service == s.Name && key.adapter != "" && holders[key] == 0 {
			p.bring(ctx, now, s, units, key, true)
		}
	}
	for i := range s.Engine.Models {
		model := &s.Engine.Models[i]
		for n := 1; n <= model.Adapters; n++ {
			key := adapterKey{s.Name, model.Name, "a" + strconv.Itoa(n)}
			if holders[key] == 0 {
				p.bring(ctx, now, s, units, key, false)
			}
		}
	}
}

// spreadAdapters loads adapters that are asked for much onto more replicas with
// their models, where places are free, so that their requests have a choice.
func (p *Placer) spreadAdapters(ctx context.Context, now time.Time, s *catalog.Service, units []*unit, holders map[adapterKey]int) {
	for _, u := range units {
		if !p.mayOrder(u) || u.inTransit() > 0 || u.adapterCount() >= s.Engine.AdapterSlots-sparePlaces {
			continue
		}
		key, worth := p.adapterWanted(now, s, u, holders)
		if worth < spreadFloor || s.Engine.WeightsMB-u.usedMB(s.Engine) < s.Engine.Model(key.model).AdapterMB {
			continue
		}
		holders[key]++
		p.send(ctx, now, u, Order{Operation: Load, Model: key.model, Adapter: key.adapter})
	}
}

// adapterWanted returns the adapter that a replica lacks and that has the most
// requests a second for each replica that holds it.
func (p *Placer) adapterWanted(now time.Time, s *catalog.Service, u *unit, holders map[adapterKey]int) (adapterKey, float64) {
	var best adapterKey
	bestWorth := 0.0
	for _, name := range sortedCopies(u) {
		c := u.copies[name]
		model := s.Engine.Model(name)
		if model == nil || c.phase != ready {
			continue
		}
		for n := 1; n <= model.Adapters; n++ {
			key := adapterKey{s.Name, name, "a" + strconv.Itoa(n)}
			if c.adapters[key.adapter] != nil || holders[key] == 0 {
				continue
			}
			if worth := p.demand.adapter(now, key) / float64(holders[key]); worth > bestWorth {
				best, bestWorth = key, worth
			}
		}
	}
	return best, bestWorth
}

// adapterHolders counts the usable replicas that hold each adapter or get it.
func adapterHolders(service string, units []*unit) map[adapterKey]int {
	holders := map[adapterKey]int{}
	for _, u := range units {
		if !u.usable {
			continue
		}
		for name, c := range u.copies {
			if c.phase != ready {
				continue
			}
			for adapter, a := range c.adapters {
				if a.phase != unloading {
					holders[adapterKey{service, name, adapter}]++
				}
			}
		}
	}
	return holders
}

// bring orders an adapter onto the replica with its model that has the most
// free places. If none is free, an adapter that is asked for least makes way,
// but only for one that requests wait for.
func (p *Placer) bring(ctx context.Context, now time.Time, s *catalog.Service, units []*unit, key adapterKey, urgent bool) {
	model := s.Engine.Model(key.model)
	var best *unit
	for _, u := range units {
		c := u.copies[key.model]
		if !p.mayOrder(u) || c == nil || c.phase != ready || u.inTransit() >= maxTransit {
			continue
		}
		if best == nil || u.adapterCount() < best.adapterCount() {
			best = u
		}
	}
	if best == nil || model == nil {
		return
	}
	room := s.Engine.WeightsMB - best.usedMB(s.Engine)
	if best.adapterCount() < s.Engine.AdapterSlots && room >= model.AdapterMB {
		p.send(ctx, now, best, Order{Operation: Load, Model: key.model, Adapter: key.adapter})
		return
	}
	if urgent {
		p.makeWay(ctx, now, s, best)
	}
}

// makeWay unloads the replica's adapter that is asked for least. One that came
// lately stays: those who waited for it are only being served.
func (p *Placer) makeWay(ctx context.Context, now time.Time, s *catalog.Service, u *unit) {
	var least adapterKey
	leastRate := math.Inf(1)
	for _, name := range sortedCopies(u) {
		for adapter, a := range u.copies[name].adapters {
			key := adapterKey{s.Name, name, adapter}
			if a.phase != ready || now.Sub(a.since) < settledFor {
				continue
			}
			if rate := p.demand.adapter(now, key); rate < leastRate {
				least, leastRate = key, rate
			}
		}
	}
	if least.adapter != "" {
		p.send(ctx, now, u, Order{Operation: Unload, Model: least.model, Adapter: least.adapter})
	}
}
