package place

import (
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/moorspool/moorspool/src/config"
)

// Model describes a model to the plan of a zone.
type Model struct {
	Name      string
	Footprint config.Bytes
	Rank      int
	// Copies is the least number of ready copies that the model's selectors ask for.
	Copies int
	// Demand is the mean number of concurrent requests for the model in this zone.
	Demand float64
	// Apart names the selectors whose models must not share an accelerator.
	Apart []string
	// Together names the selectors whose models should share accelerators.
	Together []string
}

// Accelerator is an accelerator of a host, which can hold copies.
type Accelerator struct {
	Host  string
	Index int
	// Free is the memory that no resident copy or unsettled order takes, according to the ledger.
	Free config.Bytes
	// Available is false on hosts that are leaving, drained, suspect or gone.
	Available bool
	// Slots is the number of requests that run concurrently at full speed.
	Slots int
	// Cached is set for the models that can be loaded without the weight store.
	Cached map[string]bool
}

// Copy is a copy of a model on an accelerator, given by its index in Input.Accelerators.
type Copy struct {
	Model       string
	Accelerator int
	// Ready is false while the copy is ordered or loading.
	Ready bool
	// Stale marks a copy to be replaced: an old version, or one without room for its adapters. It
	// serves until a copy that is not stale is ready.
	Stale bool
	// Leaving is set once the unload of the copy was decided.
	Leaving bool
}

// Input is everything that the plan of an availability zone depends on.
type Input struct {
	Models       []Model
	Accelerators []Accelerator
	Copies       []Copy
	Weigh        config.Weigh
	// MaxLoads is the number of loads that may start now. Loads for models without a copy go before
	// those that add copies.
	MaxLoads int
	// SpareCopies asks for a second copy of every model while there is free memory.
	SpareCopies bool
}

// Action is what a step does.
type Action string

// The actions.
const (
	ActionLoad Action = "load"
	ActionDrop Action = "drop"
)

// Step is a planned load or unload, with the reason for it and the alternatives rejected.
type Step struct {
	Action      Action
	Model       string
	Accelerator int
	Reason      string
	Rejected    string
}

// Output is a plan: its steps in order, and the models that have no copy and no room.
type Output struct {
	Steps    []Step
	Unplaced []string
	// StoreLimited reports that the weight store's limits delayed a load, so that the same input
	// leads to more steps once they allow it.
	StoreLimited bool
}

// The thresholds of the load of a copy or accelerator, as a fraction of its slots.
const (
	// The utilization above which another copy is added; it is higher if moves are to be avoided.
	maxUtilizationAttainment = 0.70
	maxUtilizationMoves      = 0.90
	// dropUtilization is the utilization below which a spare copy may be dropped to make room.
	dropUtilization = 0.30
)

// Plan returns the next steps for a zone: first a copy of every model, in order of rank, then the
// copies that demand and selectors ask for. Copies are only dropped to make room for copies of more
// value, because a copy that stays may save a later load.
func Plan(in Input) Output {
	p := newPlanner(in)
	p.dropReplacedCopies()
	p.restoreModels()
	p.addCopies()
	return Output{Steps: p.steps, Unplaced: p.unplaced, StoreLimited: p.storeLimited}
}

// byRank returns the models in the order in which they are to be placed.
func (p *planner) byRank() []*modelState {
	order := make([]*modelState, 0, len(p.models))
	for _, model := range p.in.Models {
		order = append(order, p.models[model.Name])
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Rank != b.Rank {
			return a.Rank > b.Rank
		}
		if a.Demand != b.Demand {
			return a.Demand > b.Demand
		}
		return a.Footprint > b.Footprint
	})
	return order
}

// dropReplacedCopies drops stale copies, and copies on hosts that are not open, of models with
// other ready copies.
func (p *planner) dropReplacedCopies() {
	for _, model := range p.in.Models {
		state := p.models[model.Name]
		if p.readyCopies(state) == 0 {
			continue
		}
		for _, held := range append([]heldCopy(nil), state.copies...) {
			if !p.stays(held) {
				p.drop(state, held.at, "its host is leaving or it is outdated, and other copies are ready", "")
			}
		}
	}
}

// restoreModels loads a copy of every model without one on an open host.
func (p *planner) restoreModels() {
	for _, model := range p.byRank() {
		if p.openCopies(model) > 0 {
			continue
		}
		if p.load(model, "the model has no copy on a host that stays") == noRoom && !p.makeRoom(model) {
			p.unplaced = append(p.unplaced, model.Name)
		}
	}
}

// wantedCopies returns the number of copies that demand and selectors ask for.
func (p *planner) wantedCopies(m *modelState) int {
	wanted := max(m.Copies, 1)
	slots := p.slots
	if slots == 0 || m.Demand == 0 {
		return wanted
	}
	forDemand := int(math.Ceil(m.Demand / (slots * p.maxUtilization())))
	return max(wanted, forDemand)
}

// maxUtilization returns the utilization above which another copy is added.
func (p *planner) maxUtilization() float64 {
	if p.in.Weigh == config.WeighMoves {
		return maxUtilizationMoves
	}
	return maxUtilizationAttainment
}

// meanSlots returns the mean number of slots of an accelerator.
func (p *planner) meanSlots() float64 {
	if len(p.in.Accelerators) == 0 {
		return 0
	}
	total := 0
	for _, accelerator := range p.in.Accelerators {
		total += accelerator.Slots
	}
	return float64(total) / float64(len(p.in.Accelerators))
}

// addCopies adds copies for demand, selectors and overloaded accelerators and then, if spares are
// wanted, a second copy on another host while there is free memory.
func (p *planner) addCopies() {
	order := p.byRank()
	for _, model := range order {
		p.addWantedCopies(model)
	}
	p.relieveOverloaded(order)
	if !p.in.SpareCopies {
		return
	}
	for _, model := range order {
		if p.openCopies(model) == 1 {
			p.load(model, "a second host keeps it reachable when one fails")
		}
	}
}

// addWantedCopies adds copies of a model until it has the wanted number, as far as possible now.
func (p *planner) addWantedCopies(model *modelState) {
	for p.openCopies(model) > 0 && p.openCopies(model) < p.wantedCopies(model) {
		switch p.load(model, "demand or a selector asks for more copies") {
		case deferred:
			return
		case noRoom:
			p.makeRoom(model)
			return
		}
	}
}

// relieveOverloaded adds copies of the models that contribute much to the load of an overloaded
// accelerator.
func (p *planner) relieveOverloaded(order []*modelState) {
	for _, model := range order {
		for _, held := range append([]heldCopy(nil), model.copies...) {
			limit := float64(p.in.Accelerators[held.at].Slots) * p.maxUtilization()
			if p.accelerators[held.at].load <= limit || model.share() < limit*dropUtilization {
				continue
			}
			if p.load(model, "its accelerator is crowded") == loaded {
				break
			}
		}
	}
}

// loadResult is the result of planning a load.
type loadResult uint8

const (
	// loaded means that a step was added.
	loaded loadResult = iota
	// deferred means that the weight store's limits allow no load now.
	deferred
	// noRoom means that no accelerator can take the copy without evicting others.
	noRoom
)

// load plans a load of another copy of a model.
func (p *planner) load(model *modelState, reason string) loadResult {
	at, rejected := p.chooseAccelerator(model)
	if at < 0 {
		return noRoom
	}
	cached := p.in.Accelerators[at].Cached[model.Name]
	if !cached && p.loadsLeft <= 0 {
		p.storeLimited = true
		return deferred
	}
	if !cached {
		p.loadsLeft--
	}
	p.place(model, at)
	p.steps = append(p.steps, Step{Action: ActionLoad, Model: model.Name, Accelerator: at, Reason: reason, Rejected: rejected})
	return loaded
}

// place adds a copy of a model to an accelerator.
func (p *planner) place(model *modelState, at int) {
	p.addLoad(model, -model.share())
	model.copies = append(model.copies, heldCopy{at: at})
	p.addLoad(model, model.share())
	p.accelerators[at].free -= model.Footprint
	p.accelerators[at].copies = append(p.accelerators[at].copies, model.Name)
}

// addLoad adds a load to all accelerators with a copy of a model.
func (p *planner) addLoad(model *modelState, share float64) {
	for _, held := range model.copies {
		p.accelerators[held.at].load += share
	}
}

// String returns the step on one line.
func (s Step) String() string {
	return strings.TrimSpace(string(s.Action) + " " + s.Model + " on accelerator " + strconv.Itoa(s.Accelerator) + ": " + s.Reason)
}
