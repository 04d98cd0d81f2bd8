package place

import "github.com/moorspool/moorspool/src/config"

type planner struct {
	in      Input
	models  map[string]*modelState
	accels  []accelState
	steps   []Step
	budget  int
	missing []string
	waits   bool
	slots   float64
}

type modelState struct {
	Model
	copies []heldCopy
	// leaving holds the accelerators of copies whose unload is under way.
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

// heldCopy is a copy that stays as far as is decided.
type heldCopy struct {
	at    int
	ready bool
	stale bool
}

type accelState struct {
	free   config.Bytes
	load   float64
	copies []string
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:     in,
		models: make(map[string]*modelState, len(in.Models)),
		accels: make([]accelState, len(in.Accelerators)),
		budget: in.Loads,
	}
	p.slots = p.meanSlots()
	for i, accelerator := range in.Accelerators {
		p.accels[i].free = accelerator.Free
	}
	for _, model := range in.Models {
		p.models[model.Name] = &modelState{Model: model}
	}
	for _, copied := range in.Copies {
		p.addCopy(copied)
	}
	for _, model := range p.models {
		for _, held := range model.copies {
			p.accels[held.at].load += model.share()
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
	p.accels[copied.Accelerator].copies = append(p.accels[copied.Accelerator].copies, copied.Model)
}

// share is the demand that one copy carries.
func (m *modelState) share() float64 {
	if len(m.copies) == 0 {
		return m.Demand
	}
	return m.Demand / float64(len(m.copies))
}

// stays reports whether a copy is on a host that stays and need not be replaced.
func (p *planner) stays(held heldCopy) bool {
	return p.in.Accelerators[held.at].Open && !held.stale
}

// openCopies counts the copies that stay.
func (p *planner) openCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if p.stays(held) {
			count++
		}
	}
	return count
}

// readyCopies counts the ready copies that stay.
func (p *planner) readyCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if held.ready && p.stays(held) {
			count++
		}
	}
	return count
}

// servingCopies counts the ready copies on hosts that stay, stale ones too.
func (p *planner) servingCopies(m *modelState) int {
	count := 0
	for _, held := range m.copies {
		if held.ready && p.in.Accelerators[held.at].Open {
			count++
		}
	}
	return count
}
