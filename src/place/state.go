package place

import "github.com/moorspool/moorspool/src/config"

// planner is the state of a plan while its steps are being decided.
type planner struct {
	in           Input
	models       map[string]*modelState
	accelerators []acceleratorState
	steps        []Step
	loadsLeft    int
	unplaced     []string
	storeLimited bool
	slots        float64
}

// modelState is a model with its copies as planned so far.
type modelState struct {
	Model
	copies []heldCopy
	// leaving are the accelerators of the copies that are being unloaded.
	leaving []int
}

// leavingAt reports whether a copy of the model is being unloaded from an accelerator.
func (m *modelState) leavingAt(at int) bool {
	for _, other := range m.leaving {
		if other == at {
			return true
		}
	}
	return false
}

// heldCopy is a copy that is not being unloaded; at is the index of its accelerator.
type heldCopy struct {
	at    int
	ready bool
	stale bool
}

// acceleratorState is an accelerator with its copies as planned so far.
type acceleratorState struct {
	free   config.Bytes
	load   float64
	copies []string
}

// newPlanner returns the state before the first step.
func newPlanner(in Input) *planner {
	p := &planner{
		in:           in,
		models:       make(map[string]*modelState, len(in.Models)),
		accelerators: make([]acceleratorState, len(in.Accelerators)),
		loadsLeft:    in.MaxLoads,
	}
	p.slots = p.meanSlots()
	for i, accelerator := range in.Accelerators {
		p.accelerators[i].free = accelerator.Free
	}
	for _, model := range in.Models {
		p.models[model.Name] = &modelState{Model: model}
	}
	for _, copied := range in.Copies {
		p.addCopy(copied)
	}
	for _, model := range p.models {
		for _, held := range model.copies {
			p.accelerators[held.at].load += model.share()
		}
	}
	return p
}

func (p *planner) addCopy(copied Copy) {
	model := p.models[copied.Model]
	if model == nil {
		return
	}
	if copied.Leaving {
		model.leaving = append(model.leaving, copied.Accelerator)
		return
	}
	model.copies = append(model.copies, heldCopy{at: copied.Accelerator, ready: copied.Ready, stale: copied.Stale})
	p.accelerators[copied.Accelerator].copies = append(p.accelerators[copied.Accelerator].copies, copied.Model)
}

// share is the demand of one copy if all copies share it evenly.
func (m *modelState) share() float64 {
	if len(m.copies) == 0 {
		return m.Demand
	}
	return m.Demand / float64(len(m.copies))
}

// stays reports whether a copy is on an open host and not stale.
func (p *planner) stays(held heldCopy) bool {
	return p.in.Accelerators[held.at].Available && !held.stale
}

// openCopies counts the copies on open hosts that are not stale.
func (p *planner) openCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if p.stays(held) {
			count++
		}
	}
	return count
}

// readyCopies counts the ready copies on open hosts that are not stale.
func (p *planner) readyCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if held.ready && p.stays(held) {
			count++
		}
	}
	return count
}

// servingCopies counts the ready copies on open hosts, including stale ones.
func (p *planner) servingCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if held.ready && p.in.Accelerators[held.at].Available {
			count++
		}
	}
	return count
}
