package planner

import (
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/member"
	"github.com/moorspool/moorspool/src/place"
)

// planKey identifies everything that a plan depends on except the time.
type planKey struct {
	set     *config.Set
	epoch   uint64
	changes uint64
	members uint64
	demand  uint64
}

// planKey returns the key of the next plan.
func (z *Zone) planKey() planKey {
	key := planKey{set: z.set, epoch: z.epoch, members: z.stateChanges, demand: z.demandEstimates.levelHash()}
	for name := range z.members {
		if host := z.ledger.Host(name); host != nil {
			key.changes += host.Changes()
		}
	}
	return key
}

// accelerators returns the zone's accelerators in a fixed order.
func (z *Zone) accelerators() []place.Accelerator {
	var all []place.Accelerator
	for _, name := range z.hostNames() {
		host := z.ledger.Host(name)
		if host == nil {
			continue
		}
		open := z.members[name].state == member.Live && !z.drainedHosts[name]
		for i := 0; i < host.Accelerators(); i++ {
			all = append(all, place.Accelerator{Host: name, Index: i, Free: host.Free(i), Available: open, Slots: host.Report().Slots})
		}
	}
	return all
}

// Input returns everything that the next plan depends on.
func (z *Zone) Input(now time.Time) place.Input {
	in := place.Input{SpareCopies: true, Accelerators: z.accelerators(), Weigh: z.policy.Weigh, MaxLoads: z.allowedLoads(now)}
	for _, model := range z.set.ModelNames() {
		if slices.Contains(z.set.AssignedZones(model), z.name) {
			in.Models = append(in.Models, z.model(model))
		}
	}
	z.addCopies(&in)
	return in
}

// model describes a model to the plan.
func (z *Zone) model(name string) place.Model {
	m := place.Model{Name: name, Footprint: z.set.Footprint(name), Demand: z.demandEstimates.demandOf(name)}
	for _, object := range z.set.OfKind(config.KindSelector) {
		selector := object.Selector
		if !selector.Matches(z.set.Model(name)) {
			continue
		}
		m.Rank = max(m.Rank, selector.Rank)
		m.Copies = max(m.Copies, selector.Copies)
		if selector.Apart {
			m.Apart = append(m.Apart, object.Key.Name)
		}
		if selector.Together {
			m.Together = append(m.Together, object.Key.Name)
		}
	}
	return m
}

// allowedLoads returns how many loads the weight store's limits allow to start now.
func (z *Zone) allowedLoads(now time.Time) int {
	loading := 0
	for name := range z.members {
		if host := z.ledger.Host(name); host != nil {
			loading += host.PendingLoads()
		}
	}
	maxConcurrent := max(int(float64(z.policy.Store.FullSpeed)*z.storeShare), 1)
	return max(min(maxConcurrent-loading, int(z.storeLimiter.TokensAt(now))), 0)
}

// addCopies adds the resident and ordered copies to the input, and subtracts the memory reserved
// for their missing adapters from the free memory.
func (z *Zone) addCopies(in *place.Input) {
	for i := range in.Accelerators {
		accelerator := &in.Accelerators[i]
		for _, held := range z.copiesAt(accelerator.Host, accelerator.Index) {
			if !held.hasModel {
				continue
			}
			current := z.set.Model(held.key.model)
			_, draining := z.drains[held.key]
			missingAdapterMemory := held.missingAdapterMemory(z.set)
			stale := current == nil || current.Version != held.key.version
			if !draining && !stale && current != nil {
				if missingAdapterMemory > accelerator.Free {
					// There is no room for the adapters added since the copy was loaded.
					stale = true
				} else {
					accelerator.Free -= missingAdapterMemory
				}
			}
			in.Copies = append(in.Copies, place.Copy{Model: held.key.model, Accelerator: i, Ready: held.ready, Stale: stale, Leaving: draining})
		}
	}
}
