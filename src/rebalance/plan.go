package rebalance

import (
	"fmt"
	"sort"
	"time"
)

// The costs of a move, in seconds of waiting for the copy.
const (
	// unloadCost is what waiting for another copy's unload costs.
	unloadCost = 1.5
	// displacedCost is what displacing the work of a whole server costs.
	displacedCost = 10.0
	// crowdCost is what a server costs whose other copies carry the work of a whole one.
	crowdCost = 4.0
	// zoneGain is what a copy in an availability zone without one is worth.
	zoneGain = 3.0
)

// The worth of copies. A model's requests wait in proportion to its work and to
// how much of it one copy carries: work²/copies.
const (
	// lostGain is what the first copy of a model is worth that nobody asks for, and
	// lostWork what it is worth for each part of a server's work that waits for it.
	lostGain = 0.05
	lostWork = 1.5
	// lostAging is what each second without a copy adds: however busy the others
	// are, a model does not stay without one, unless nobody asks for it.
	lostAging = 0.02
	// leastGain is what a copy must be worth at least to be loaded.
	leastGain = 0.03
	// steadiness is by how much a copy must be worth more than the one that makes way.
	steadiness = 1.25
	// idleAfter is for how long nobody must have asked for a model whose last copy makes way for a
	// model that is waited for. It is longer than a load from the store takes, so that models that
	// are asked for by turns keep what they were loaded for.
	idleAfter = 10 * time.Second
	// idleWork is the work up to which a model counts as idle then: more is expected soon.
	idleWork = 0.02
	// returnsWithin is within what time the last copy of an idle model has to be able to come back to
	// its server, without the weight store, to make way for a further copy of a busy one.
	returnsWithin = time.Second
	// horizon is for how long a decision is expected to hold: a copy that takes long
	// to come is worth less of it, while the one that makes way is gone at once.
	horizon = 10 * time.Second
)

// state is how the copies stand while moves are being decided.
type state struct {
	in     Input
	models map[string]*modelState
	// work is the work that each server's copies carry.
	work []float64
	// taken servers have a move in this plan.
	taken  []bool
	budget int
	// scarce is set while no model has a copy to spare.
	scarce bool
}

type modelState struct {
	Model
	// ready and all count the copies on usable servers that serve, and with those that come.
	ready int
	all   int
	zones map[string]int
	// stuck is set once no server was found for another copy.
	stuck bool
}

// share is the work that one copy carries.
func (m *modelState) share() float64 { return m.Work / float64(max(m.all, 1)) }

// first is what a model's only copy is worth.
func (m *modelState) first() float64 { return lostGain + lostWork*m.Work }

// gain is what one more copy is worth.
func (m *modelState) gain() float64 {
	if m.all == 0 && m.idle() {
		return m.first()
	}
	if m.all == 0 {
		return m.first() + lostAging*m.LostFor.Seconds()
	}
	n := float64(m.all)
	return m.Work * m.Work / (n * (n + 1))
}

// loss is what one copy less costs.
func (m *modelState) loss() float64 {
	if m.all <= 1 {
		return m.first()
	}
	n := float64(m.all)
	return m.Work * m.Work / (n * (n - 1))
}

// Plan returns the next moves, those first to whose models a copy is worth most.
func Plan(in Input) Output {
	s := newState(in)
	var out Output
	for {
		model := s.neediest()
		if model == nil {
			break
		}
		move, found := s.place(model)
		if !found {
			model.stuck = true
			if model.all == 0 {
				out.Unplaced = append(out.Unplaced, model.Name)
			}
			continue
		}
		s.apply(model, move)
		out.Moves = append(out.Moves, move)
	}
	sort.Strings(out.Unplaced)
	return out
}

func newState(in Input) *state {
	s := &state{
		in:     in,
		models: make(map[string]*modelState, len(in.Models)),
		work:   make([]float64, len(in.Servers)),
		taken:  make([]bool, len(in.Servers)),
		budget: in.StoreLoads,
	}
	for _, model := range in.Models {
		s.models[model.Name] = &modelState{Model: model, zones: map[string]int{}}
	}
	for i := range in.Servers {
		s.count(&in.Servers[i])
	}
	s.scarce = true
	for _, model := range s.models {
		s.scarce = s.scarce && model.all < 2
	}
	for i := range in.Servers {
		for _, held := range in.Servers[i].Copies {
			if model := s.models[held.Model]; model != nil && held.Phase != Going {
				s.work[i] += model.share()
			}
		}
	}
	return s
}

func (s *state) count(r *Server) {
	if !r.Usable {
		return
	}
	for _, held := range r.Copies {
		model := s.models[held.Model]
		if model == nil || held.Phase == Going {
			continue
		}
		model.all++
		model.zones[r.Zone]++
		if held.Phase == Ready {
			model.ready++
		}
	}
}

// neediest returns the model to which another copy is worth most, nil if none is
// worth a load or could be given one.
func (s *state) neediest() *modelState {
	var best *modelState
	for i := range s.in.Models {
		model := s.models[s.in.Models[i].Name]
		if model.stuck || model.gain() < leastGain {
			continue
		}
		if best == nil || model.gain() > best.gain() {
			best = model
		}
	}
	return best
}

// place finds the server where another copy costs least.
func (s *state) place(model *modelState) (Move, bool) {
	best, found := Move{}, false
	bestCost := 0.0
	for i := range s.in.Servers {
		move, cost, possible := s.offer(model, i)
		if possible && (!found || cost < bestCost) {
			best, bestCost, found = move, cost, true
		}
	}
	if found {
		best.Reason = fmt.Sprintf("%d copies, work %.2f of a server, another is worth %.2f, cost %.1f", model.all, model.Work, model.gain(), bestCost)
	}
	return best, found
}

// offer says what a copy on a server would cost.
func (s *state) offer(model *modelState, at int) (Move, float64, bool) {
	r := &s.in.Servers[at]
	if !r.Usable || !r.Open || s.taken[at] || holds(r, model.Name) {
		return Move{}, 0, false
	}
	wait, fromStore := r.LoadTime(model.Name)
	if fromStore && s.budget <= 0 {
		return Move{}, 0, false
	}
	move := Move{Server: at, Model: model.Name}
	cost := wait.Seconds() + s.work[at]*crowdCost
	if model.zones[r.Zone] == 0 {
		cost -= zoneGain
	}
	if r.Free >= model.Footprint {
		return move, cost, true
	}
	drop, displaced, lost, enough := s.victims(model, r)
	if !enough || model.gain()*model.lasting(wait) <= lost*steadiness {
		return Move{}, 0, false
	}
	move.Drop = drop
	return move, cost + unloadCost*float64(len(drop)) + displaced*displacedCost, true
}

func holds(r *Server, model string) bool {
	for _, held := range r.Copies {
		if held.Model == model {
			return true
		}
	}
	return false
}

// victims returns the copies of a server whose going makes room and displaces
// the least work, with what their going costs.
func (s *state) victims(model *modelState, r *Server) (drop []string, displaced, lost float64, enough bool) {
	var candidates []*modelState
	for _, held := range r.Copies {
		if other := s.models[held.Model]; other != nil && held.Phase == Ready && (s.spare(other, model) || other.returns(r)) {
			candidates = append(candidates, other)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if lossA, lossB := a.lossTo(model), b.lossTo(model); lossA != lossB {
			return lossA < lossB
		}
		return a.IdleFor > b.IdleFor
	})
	need := model.Footprint - r.Free
	for _, other := range candidates {
		if need <= 0 {
			break
		}
		need -= other.Footprint
		displaced += other.share()
		lost += other.lossTo(model)
		drop = append(drop, other.Name)
	}
	return drop, displaced, lost, need <= 0
}

// leastLasting is the part of the first copy's worth that remains however long it
// takes: it has to come some time.
const leastLasting = 0.2

// lasting is the part of the horizon in which a copy serves that takes so long to come.
func (m *modelState) lasting(wait time.Duration) float64 {
	part := max(1-float64(wait)/float64(horizon), 0)
	if m.all == 0 {
		part = max(part, leastLasting)
	}
	return part
}

// idle reports whether nobody asks for a model, or is expected to.
func (m *modelState) idle() bool {
	return m.IdleFor >= idleAfter && m.Work <= idleWork && !m.Waited
}

// yieldsTo reports whether a model that nobody asks for gives its last copy up for one that requests
// wait for, however many copies others have. It comes back when it is asked for.
func (m *modelState) yieldsTo(model *modelState) bool {
	return m.all == 1 && m.idle() && model.all == 0 && model.Waited
}

// returns reports whether an idle model's last copy may make way on its server for a further copy of
// a busy one, since it is back within a moment once it is asked for.
func (m *modelState) returns(r *Server) bool {
	if m.all != 1 || !m.idle() {
		return false
	}
	wait, fromStore := r.LoadTime(m.Name)
	return !fromStore && wait <= returnsWithin
}

// lossTo is what one copy less costs if another model takes its place.
func (m *modelState) lossTo(model *modelState) float64 {
	if m.yieldsTo(model) {
		return 0
	}
	return m.loss()
}

// spare reports whether a copy may make way: never the last that serves, but of an idle model for one
// that is waited for and, where there are fewer places than models, for a lost one that has more work
// waiting.
func (s *state) spare(other, model *modelState) bool {
	if other.ready > 1 || other.yieldsTo(model) {
		return true
	}
	return s.scarce && model.all == 0 && other.all == 1 && model.first()*leastLasting > other.first()*steadiness
}

// apply counts a move as done.
func (s *state) apply(model *modelState, move Move) {
	r := &s.in.Servers[move.Server]
	s.taken[move.Server] = true
	if _, fromStore := r.LoadTime(model.Name); fromStore {
		s.budget--
	}
	for _, name := range move.Drop {
		other := s.models[name]
		other.ready--
		other.all--
		other.zones[r.Zone]--
	}
	model.all++
	model.zones[r.Zone]++
	s.work[move.Server] += model.share()
}
