package place

import (
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/moorspool/moorspool/src/config"
)

// Model is what a zone's plan must know of one model.
type Model struct {
	Name      string
	Footprint config.Bytes
	Rank      int
	// Copies is the least number of ready copies that its selectors ask for.
	Copies int
	// Demand is the mean number of its requests running at once in this zone.
	Demand float64
	// Apart names selectors of which no two models may share an accelerator.
	Apart []string
	// Together names selectors whose models should share accelerators.
	Together []string
}

// Accelerator is one place for copies.
type Accelerator struct {
	Host  string
	Index int
	// Free is what the ledger says that nothing may take.
	Free config.Bytes
	// Open is false for hosts that are leaving, drained, suspect or gone.
	Open bool
	// Slots is how many requests it runs at once at full speed.
	Slots int
}

// Copy is a model on an accelerator, named by its place in Input.Accelerators.
type Copy struct {
	Model       string
	Accelerator int
	// Ready is false while it is ordered or loads.
	Ready bool
	// Stale marks a copy to be replaced: an old version, or one without room
	// for its adapters. It serves until a copy that is not stale is ready.
	Stale bool
	// Leaving is set once its unload was decided.
	Leaving bool
}

// Input is all that a plan of one availability zone depends on.
type Input struct {
	Models       []Model
	Accelerators []Accelerator
	Copies       []Copy
	Weigh        config.Weigh
	// Loads is how many loads may be started now; loads that restore
	// reachability go before those that add copies.
	Loads int
}

// Action says what a step does.
type Action string

// The actions.
const (
	ActionLoad Action = "load"
	ActionDrop Action = "drop"
)

// Step is one load or unload, with why.
type Step struct {
	Action      Action
	Model       string
	Accelerator int
	Reason      string
	Rejected    string
}

// Output is a plan: steps in their order, and the models that have no copy and no room.
type Output struct {
	Steps    []Step
	Unplaced []string
	// Waits says that the weight store's limits kept a load back: the same input
	// leads to more once they allow it.
	Waits bool
}

// The watermarks of a copy's load, as a share of the slots it can count on.
const (
	// addAbove asks for another copy; weighing moves waits longer.
	addAboveAttainment = 0.70
	addAboveMoves      = 0.90
	// dropBelow lets a spare copy go when its memory is needed.
	dropBelow = 0.30
)

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

// Plan returns the next steps for a zone: first a copy of every model, in order
// of rank; then the copies that demand and selectors ask for. Copies are not
// dropped to tidy up, only to make room for one that is worth more, because a
// copy that stays may save a load later.
func Plan(in Input) Output {
	p := newPlanner(in)
	p.emptyClosed()
	p.restore()
	p.spread()
	return Output{Steps: p.steps, Unplaced: p.missing, Waits: p.waits}
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

// byRank returns the models that should be served first, first.
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

// emptyClosed drops copies that do not stay, once others are ready.
func (p *planner) emptyClosed() {
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

// restore gives every model without an open copy one.
func (p *planner) restore() {
	for _, model := range p.byRank() {
		if p.openCopies(model) > 0 {
			continue
		}
		if p.load(model, "the model has no copy on a host that stays") == noRoom && !p.makeRoom(model) {
			p.missing = append(p.missing, model.Name)
		}
	}
}

// wantedCopies is how many copies demand and selectors ask for.
func (p *planner) wantedCopies(m *modelState) int {
	wanted := max(m.Copies, 1)
	slots := p.slots
	if slots == 0 || m.Demand == 0 {
		return wanted
	}
	forDemand := int(math.Ceil(m.Demand / (slots * p.addAbove())))
	return max(wanted, forDemand)
}

func (p *planner) addAbove() float64 {
	if p.in.Weigh == config.WeighMoves {
		return addAboveMoves
	}
	return addAboveAttainment
}

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

// spread adds copies where demand, selectors or crowded accelerators ask for
// them, then a second copy on another host where memory is left over.
func (p *planner) spread() {
	order := p.byRank()
	for _, model := range order {
		p.addWanted(model)
	}
	p.relieve(order)
	for _, model := range order {
		if p.openCopies(model) == 1 {
			p.load(model, "a second host keeps it reachable when one fails")
		}
	}
}

// addWanted adds the copies that demand and selectors ask for, as far as it can now.
func (p *planner) addWanted(model *modelState) {
	for p.openCopies(model) > 0 && p.openCopies(model) < p.wantedCopies(model) {
		switch p.load(model, "demand or a selector asks for more copies") {
		case later:
			return
		case noRoom:
			p.makeRoom(model)
			return
		}
	}
}

// relieve gives the busiest model of an overloaded accelerator another copy.
func (p *planner) relieve(order []*modelState) {
	for _, model := range order {
		for _, held := range append([]heldCopy(nil), model.copies...) {
			limit := float64(p.in.Accelerators[held.at].Slots) * p.addAbove()
			if p.accels[held.at].load <= limit || model.share() < limit*dropBelow {
				continue
			}
			if p.load(model, "its accelerator is crowded") == loaded {
				break
			}
		}
	}
}

// verdict is how a wish for another copy came out.
type verdict uint8

const (
	// loaded means that a step was added.
	loaded verdict = iota
	// later means that the weight store's limits allow no load now.
	later
	// noRoom means that no accelerator can take the copy as things are.
	noRoom
)

// load decides on another copy of a model.
func (p *planner) load(model *modelState, reason string) verdict {
	if p.budget <= 0 {
		p.waits = true
		return later
	}
	at, rejected := p.choose(model)
	if at < 0 {
		return noRoom
	}
	p.budget--
	p.place(model, at)
	p.steps = append(p.steps, Step{Action: ActionLoad, Model: model.Name, Accelerator: at, Reason: reason, Rejected: rejected})
	return loaded
}

func (p *planner) place(model *modelState, at int) {
	p.addLoad(model, -model.share())
	model.copies = append(model.copies, heldCopy{at: at})
	p.addLoad(model, model.share())
	p.accels[at].free -= model.Footprint
	p.accels[at].copies = append(p.accels[at].copies, model.Name)
}

func (p *planner) addLoad(model *modelState, share float64) {
	for _, held := range model.copies {
		p.accels[held.at].load += share
	}
}

// choose returns the accelerator for another copy: among those with room, on a
// host without a copy, the one with the least load, then the most memory left.
func (p *planner) choose(model *modelState) (int, string) {
	best := -1
	noRoom, sameHost, apart := 0, 0, 0
	taken := p.hostsOf(model)
	for i := range p.in.Accelerators {
		switch {
		case !p.in.Accelerators[i].Open:
		case p.accels[i].free < model.Footprint:
			noRoom++
		case contains(taken, p.in.Accelerators[i].Host) || contains(p.accels[i].copies, model.Name) || model.leavingAt(i):
			sameHost++
		case len(model.Apart) > 0 && p.clashes(model, i):
			apart++
		case best < 0 || p.better(model, i, best):
			best = i
		}
	}
	rejected := strconv.Itoa(noRoom) + " without room, " + strconv.Itoa(sameHost) + " on hosts with a copy, " + strconv.Itoa(apart) + " kept apart"
	return best, rejected
}

func (p *planner) hostsOf(model *modelState) []string {
	var hosts []string
	for _, held := range model.copies {
		if !held.stale {
			hosts = append(hosts, p.in.Accelerators[held.at].Host)
		}
	}
	return hosts
}

func (p *planner) clashes(model *modelState, at int) bool {
	for _, name := range p.accels[at].copies {
		if name != model.Name && shares(model.Apart, p.models[name].Apart) {
			return true
		}
	}
	return false
}

func (p *planner) company(model *modelState, at int) int {
	if len(model.Together) == 0 {
		return 0
	}
	count := 0
	for _, name := range p.accels[at].copies {
		if shares(model.Together, p.models[name].Together) {
			count++
		}
	}
	return count
}

func shares(a, b []string) bool {
	for _, word := range a {
		if contains(b, word) {
			return true
		}
	}
	return false
}

func (p *planner) better(model *modelState, a, b int) bool {
	if togetherA, togetherB := p.company(model, a), p.company(model, b); togetherA != togetherB {
		return togetherA > togetherB
	}
	if p.accels[a].load != p.accels[b].load {
		return p.accels[a].load < p.accels[b].load
	}
	return p.accels[a].free > p.accels[b].free
}

// makeRoom drops copies that are worth less than one of this model, on the
// accelerator where that costs least. The load follows in a later plan, when
// the memory is known to be free.
func (p *planner) makeRoom(model *modelState) bool {
	bestAt, bestCost := -1, math.Inf(1)
	var bestVictims []*modelState
	taken := p.hostsOf(model)
	for i, accelerator := range p.in.Accelerators {
		if !accelerator.Open || contains(taken, accelerator.Host) || (len(model.Apart) > 0 && p.clashes(model, i)) {
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
	// The room is meant for this model: nothing else may take it in this plan.
	p.accels[bestAt].free = 0
	return true
}

// victims returns the cheapest copies of an accelerator whose going makes room.
func (p *planner) victims(model *modelState, at int) ([]*modelState, float64, bool) {
	need := model.Footprint - p.accels[at].free
	if contains(p.accels[at].copies, model.Name) {
		// An outdated copy of its own has to go first, whatever room there is.
		if !p.spare(model, model, at) {
			return nil, 0, false
		}
		return []*modelState{model}, 1, need <= model.Footprint
	}
	if need <= 0 || model.leavingAt(at) {
		return nil, 0, false
	}
	var candidates []*modelState
	for _, name := range p.accels[at].copies {
		if other := p.models[name]; other != model && p.spare(other, model, at) {
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

// spare reports whether another model may lose its copy on an accelerator for
// one of this model: never its last ready one, never below what its selectors
// ask for, and never if it would then want the copy back.
func (p *planner) spare(other, model *modelState, at int) bool {
	if len(other.leaving) > 0 || !other.readyAt(at) {
		return false
	}
	if other == model {
		// An old version makes room for the new one as long as another copy serves.
		return p.servingCopies(model) > 1 && p.readyCopies(model) == 0
	}
	if p.readyCopies(other) < 2 {
		return false
	}
	if len(model.copies) == 0 {
		return true
	}
	left := float64(len(other.copies) - 1)
	if len(other.copies)-1 < max(other.Copies, 1) {
		return false
	}
	return other.Demand/left < p.slots*p.addAbove()*dropBelow || other.share() < model.share()*dropBelow
}

func (m *modelState) readyAt(at int) bool {
	for _, held := range m.copies {
		if held.at == at {
			return held.ready
		}
	}
	return false
}

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
	names := p.accels[at].copies[:0:0]
	for _, name := range p.accels[at].copies {
		if name != model.Name {
			names = append(names, name)
		}
	}
	p.accels[at].copies = names
	p.steps = append(p.steps, Step{Action: ActionDrop, Model: model.Name, Accelerator: at, Reason: reason, Rejected: rejected})
}

// String returns the step on one line.
func (s Step) String() string {
	return strings.TrimSpace(string(s.Action) + " " + s.Model + " on accelerator " + strconv.Itoa(s.Accelerator) + ": " + s.Reason)
}
