package place

import (
	"slices"

	"strconv"
)

// chooseAccelerator returns the best accelerator for another copy of a model, -1 if there is none,
// and, as text, the number of accelerators rejected for each reason. The accelerator must have room
// and be on an open host without a copy of the model.
func (p *planner) chooseAccelerator(model *modelState) (int, string) {
	best := -1
	noRoom, sameHost, apart := 0, 0, 0
	hosts := p.hostsOf(model)
	for i := range p.in.Accelerators {
		switch {
		case !p.in.Accelerators[i].Available:
		case p.accelerators[i].free < model.Footprint:
			noRoom++
		case slices.Contains(hosts, p.in.Accelerators[i].Host) || slices.Contains(p.accelerators[i].copies, model.Name) || model.leavingAt(i):
			sameHost++
		case len(model.Apart) > 0 && p.violatesApart(model, i):
			apart++
		case best < 0 || p.better(model, i, best):
			best = i
		}
	}
	rejected := strconv.Itoa(noRoom) + " without room, " + strconv.Itoa(sameHost) + " on hosts with a copy, " + strconv.Itoa(apart) + " kept apart"
	return best, rejected
}

// hostsOf returns the hosts with a copy of a model that is not stale.
func (p *planner) hostsOf(model *modelState) []string {
	var hosts []string
	for _, held := range model.copies {
		if !held.stale {
			hosts = append(hosts, p.in.Accelerators[held.at].Host)
		}
	}
	return hosts
}

// violatesApart reports whether an accelerator holds a model that must not share an accelerator
// with the given one.
func (p *planner) violatesApart(model *modelState, at int) bool {
	for _, name := range p.accelerators[at].copies {
		if name != model.Name && overlap(model.Apart, p.models[name].Apart) {
			return true
		}
	}
	return false
}

// countTogether counts the models on an accelerator that should share one with the given model.
func (p *planner) countTogether(model *modelState, at int) int {
	if len(model.Together) == 0 {
		return 0
	}
	count := 0
	for _, name := range p.accelerators[at].copies {
		if overlap(model.Together, p.models[name].Together) {
			count++
		}
	}
	return count
}

// overlap reports whether two lists have an element in common.
func overlap(a, b []string) bool {
	for _, name := range a {
		if slices.Contains(b, name) {
			return true
		}
	}
	return false
}

// better reports whether accelerator a is better than b for a copy of a model. The criteria are, in
// this order: models that should share the accelerator, cached weights, the least load, the most
// free memory.
func (p *planner) better(model *modelState, a, b int) bool {
	if togetherA, togetherB := p.countTogether(model, a), p.countTogether(model, b); togetherA != togetherB {
		return togetherA > togetherB
	}
	if cachedA, cachedB := p.in.Accelerators[a].Cached[model.Name], p.in.Accelerators[b].Cached[model.Name]; cachedA != cachedB {
		return cachedA
	}
	if p.accelerators[a].load != p.accelerators[b].load {
		return p.accelerators[a].load < p.accelerators[b].load
	}
	return p.accelerators[a].free > p.accelerators[b].free
}
