package place

import (
	"math"
	"slices"
	"sort"
)

// makeRoom drops copies that are worth less than one of this model, on the accelerator where that
// costs least. The copy is loaded by a later plan, when the memory is known to be free.
func (p *planner) makeRoom(model *modelState) bool {
	bestAt, bestCost := -1, math.Inf(1)
	var bestVictims []*modelState
	hosts := p.hostsOf(model)
	for i, accelerator := range p.in.Accelerators {
		if !accelerator.Available || slices.Contains(hosts, accelerator.Host) || (len(model.Apart) > 0 && p.violatesApart(model, i)) {
			continue
		}
		victims, cost, enough := p.victims(model, i)
		if enough && cost < bestCost {
			bestAt, bestCost, bestVictims = i, cost, victims
		}
	}
	if bestAt < 0 {
		return false
	}
	for _, victim := range bestVictims {
		p.drop(victim, bestAt, "room for "+model.Name, "")
	}
	// Reserves the room for this model for the rest of the plan.
	p.accelerators[bestAt].free = 0
	return true
}

// victims returns the copies to drop from an accelerator to make room for a model, with their cost.
// It reports whether they make enough room.
func (p *planner) victims(model *modelState, at int) ([]*modelState, float64, bool) {
	need := model.Footprint - p.accelerators[at].free
	if slices.Contains(p.accelerators[at].copies, model.Name) {
		// A stale copy of the model itself has to be dropped first, regardless of free memory.
		if !p.mayDrop(model, model, at) {
			return nil, 0, false
		}
		return []*modelState{model}, 1, need <= model.Footprint
	}
	if need <= 0 || model.leavingAt(at) {
		return nil, 0, false
	}
	var candidates []*modelState
	for _, name := range p.accelerators[at].copies {
		if other := p.models[name]; other != model && p.mayDrop(other, model, at) {
			candidates = append(candidates, other)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].share() < candidates[j].share() })
	var chosen []*modelState
	cost := 0.0
	for _, other := range candidates {
		if need <= 0 {
			break
		}
		need -= other.Footprint
		cost += 1 + other.share()
		chosen = append(chosen, other)
	}
	return chosen, cost, need <= 0
}

// mayDrop reports whether a model's copy on an accelerator may be dropped for another model. It
// must not be the model's last ready copy or needed by its selectors, and must not be wanted again
// afterwards.
func (p *planner) mayDrop(other, model *modelState, at int) bool {
	if len(other.leaving) > 0 || !other.isReadyAt(at) {
		return false
	}
	if other == model {
		// A stale copy may be dropped for the new version while another copy serves.
		return p.servingCopies(model) > 1 && p.readyCopies(model) == 0
	}
	if p.readyCopies(other) < 2 {
		return false
	}
	if len(model.copies) == 0 {
		return true
	}
	if p.openCopies(model) == 0 {
		// The hosts of the model's copies may come back, so only copies with less load are dropped.
		return other.share() <= model.Demand
	}
	left := float64(len(other.copies) - 1)
	if len(other.copies)-1 < max(other.Copies, 1) {
		return false
	}
	return other.Demand/left < p.slots*p.maxUtilization()*dropUtilization || other.share() < model.share()*dropUtilization
}

// isReadyAt reports whether the model has a ready copy on an accelerator.
func (m *modelState) isReadyAt(at int) bool {
	for _, held := range m.copies {
		if held.at == at {
			return held.ready
		}
	}
	return false
}

// drop plans the unload of a copy from an accelerator, unless it is the model's only copy.
func (p *planner) drop(model *modelState, at int, reason, rejected string) {
	if len(model.copies) < 2 {
		return
	}
	kept := model.copies[:0:0]
	for _, held := range model.copies {
		if held.at != at {
			kept = append(kept, held)
		}
	}
	p.addLoad(model, -model.share())
	model.copies = kept
	p.addLoad(model, model.share())
	names := p.accelerators[at].copies[:0:0]
	for _, name := range p.accelerators[at].copies {
		if name != model.Name {
			names = append(names, name)
		}
	}
	p.accelerators[at].copies = names
	p.steps = append(p.steps, Step{Action: ActionDrop, Model: model.Name, Accelerator: at, Reason: reason, Rejected: rejected})
}
