package rebalance

import (
	"fmt"
	"sort"
	"time"
)

// The costs of a move, in seconds of load time.
const (
	// unloadCost is the cost of waiting for the unload of another copy.
	unloadCost = 1.5
	// displacedCost is the cost of displacing the work of a whole server.
	displacedCost = 10.0
	// busyServerCost is the cost of a server whose other copies have the work of a whole server.
	busyServerCost = 4.0
	// newZoneGain is the gain of a copy in an availability zone without one.
	newZoneGain = 3.0
)

// The values of copies. The requests of a model wait in proportion to its work and to the work of
// each copy, work²/copies in total.
const (
	// firstCopyBase is the gain of the first copy of a model without demand; firstCopyPerWork is
	// added for each unit of work that waits for it.
	firstCopyBase    = 0.05
	firstCopyPerWork = 1.5
	// noCopyPerSecond is added for each second without a copy, so that every requested model gets a
	// copy in the end, however busy the others are.
	noCopyPerSecond = 0.02
	// minGain is the least gain for which a copy is loaded.
	minGain = 0.03
	// evictionMargin is the least ratio of the gain of a copy to the loss of those evicted for it.
	evictionMargin = 1.25
	// idleAfter is how long a model must have had no requests before its last copy may be evicted
	// for a model that requests wait for. It exceeds the time of a load from the store, so that
	// models that are requested in turn are not evicted right after their load.
	idleAfter = 10 * time.Second
	// maxIdleWork is the work up to which such a model counts as idle. With more, requests are
	// expected soon.
	maxIdleWork = 0.02
	// quickReloadTime is the longest load time, without the weight store, of an idle model whose
	// last copy may be evicted for a further copy of a busy model.
	quickReloadTime = time.Second
	// horizon is how long a decision is expected to hold. A copy that takes long to load serves for
	// less of that time, while the evicted copy is gone at once.
	horizon = 10 * time.Second
)

// state is the assignment of copies while moves are being planned.
type state struct {
	in     Input
	models map[string]*modelState
	// work is the work of the copies on each server.
	work []float64
	// hasMove is set for servers with a move in this plan.
	hasMove        []bool
	storeLoadsLeft int
	// noSpareCopies is set while no model has more than one copy.
	noSpareCopies bool
}

// modelState is a model with the copies that it has on usable servers.
type modelState struct {
	Model
	// ready counts the ready copies, all the ready and pending ones.
	ready int
	all   int
	// capacity is the sum of the speeds of the servers of all copies.
	capacity float64
	zones    map[string]int
	// noServer is set once no server was found for another copy.
	noServer bool
}

// workAt is the work of a copy on a server if the copies share the work by their servers' speeds.
func (m *modelState) workAt(srv *Server) float64 {
	if m.all == 0 {
		return m.Work
	}
	return m.Work * srv.speed() / m.capacity
}

// firstCopyValue is the value of the only copy of a model.
func (m *modelState) firstCopyValue() float64 { return firstCopyBase + firstCopyPerWork*m.Work }

// gain is the value of one more copy.
func (m *modelState) gain() float64 {
	if m.all == 0 && m.idle() {
		return m.firstCopyValue()
	}
	if m.all == 0 {
		return m.firstCopyValue() + noCopyPerSecond*m.NoCopyFor.Seconds()
	}
	return m.Work * m.Work / (m.capacity * (m.capacity + 1))
}

// gainOn is the value of one more copy on a server.
func (m *modelState) gainOn(srv *Server) float64 {
	if m.all == 0 {
		return m.gain()
	}
	return m.Work * m.Work * srv.speed() / (m.capacity * (m.capacity + srv.speed()))
}

// loss is the cost of no copy on a server that has one.
func (m *modelState) loss(srv *Server) float64 {
	left := m.capacity - srv.speed()
	if m.all <= 1 || left <= 0 {
		return m.firstCopyValue()
	}
	return m.Work * m.Work * srv.speed() / (m.capacity * left)
}

// Plan returns the next moves, in decreasing order of the gain of their copies.
func Plan(in Input) Output {
	s := newState(in)
	var out Output
	for {
		model := s.highestGain()
		if model == nil {
			break
		}
		move, found := s.bestMove(model)
		if !found {
			model.noServer = true
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

// newState counts the copies of an input.
func newState(in Input) *state {
	s := &state{
		in:             in,
		models:         make(map[string]*modelState, len(in.Models)),
		work:           make([]float64, len(in.Servers)),
		hasMove:        make([]bool, len(in.Servers)),
		storeLoadsLeft: in.MaxStoreLoads,
	}
	for _, model := range in.Models {
		s.models[model.Name] = &modelState{Model: model, zones: map[string]int{}}
	}
	for i := range in.Servers {
		s.countCopies(&in.Servers[i])
	}
	s.noSpareCopies = true
	for _, model := range s.models {
		s.noSpareCopies = s.noSpareCopies && model.all < 2
	}
	for i := range in.Servers {
		for _, held := range in.Servers[i].Copies {
			if model := s.models[held.Model]; model != nil && held.Phase != Unloading {
				s.work[i] += model.workAt(&in.Servers[i])
			}
		}
	}
	return s
}

func (s *state) countCopies(srv *Server) {
	if !srv.Usable {
		return
	}
	for _, held := range srv.Copies {
		model := s.models[held.Model]
		if model == nil || held.Phase == Unloading {
			continue
		}
		model.all++
		model.capacity += srv.speed()
		model.zones[srv.Zone]++
		if held.Phase == Ready {
			model.ready++
		}
	}
}

// highestGain returns the model that gains most by another copy, or nil if no model gains enough or
// could get one.
func (s *state) highestGain() *modelState {
	var best *modelState
	for i := range s.in.Models {
		model := s.models[s.in.Models[i].Name]
		if model.noServer || model.gain() < minGain {
			continue
		}
		if best == nil || model.gain() > best.gain() {
			best = model
		}
	}
	return best
}

// bestMove returns the move with the least cost that gives a model another copy.
func (s *state) bestMove(model *modelState) (Move, bool) {
	best, found := Move{}, false
	bestCost := 0.0
	for i := range s.in.Servers {
		move, cost, possible := s.evaluateMove(model, i)
		if possible && (!found || cost < bestCost) {
			best, bestCost, found = move, cost, true
		}
	}
	if found {
		best.Reason = fmt.Sprintf("%d copies, work %.2f of a server, another is worth %.2f, cost %.1f", model.all, model.Work, model.gain(), bestCost)
	}
	return best, found
}

// evaluateMove returns the move that loads a model on a server, and its cost. It reports false if
// the server cannot take the copy or the evicted copies are worth too much.
func (s *state) evaluateMove(model *modelState, at int) (Move, float64, bool) {
	srv := &s.in.Servers[at]
	if !srv.Usable || !srv.Open || s.hasMove[at] || holds(srv, model.Name) {
		return Move{}, 0, false
	}
	wait, fromStore := srv.LoadTime(model.Name)
	if fromStore && s.storeLoadsLeft <= 0 {
		return Move{}, 0, false
	}
	move := Move{Server: at, Model: model.Name}
	cost := wait.Seconds() + s.work[at]/srv.speed()*busyServerCost + model.slownessCost(srv)
	if model.zones[srv.Zone] == 0 {
		cost -= newZoneGain * model.zoneWeight(srv.Zone)
	}
	if srv.Free >= model.Footprint {
		return move, cost, true
	}
	drop, displaced, lost, enough := s.victims(model, srv)
	if !enough || model.gainOn(srv)*model.servingFraction(wait) <= lost*evictionMargin {
		return Move{}, 0, false
	}
	move.Drop = drop
	return move, cost + unloadCost*float64(len(drop)) + displaced*displacedCost, true
}

// slownessCost is the cost of the capacity that a copy lacks on a slow server. It is negative for a
// fast one.
func (m *modelState) slownessCost(srv *Server) float64 {
	use := min(m.Work/(m.capacity+1), 1)
	return (1 - srv.speed()) * use * displacedCost
}

// zoneWeight is the work that is asked for in a zone relative to an even spread over all zones.
func (m *modelState) zoneWeight(zone string) float64 {
	if len(m.ZoneShares) == 0 {
		return 1
	}
	return m.ZoneShares[zone] * float64(len(m.ZoneShares))
}

func holds(srv *Server, model string) bool {
	for _, held := range srv.Copies {
		if held.Model == model {
			return true
		}
	}
	return false
}

// victims returns the copies to evict from a server to make room for a model with the least loss,
// with the work and the loss of these copies. It reports whether they make enough room.
func (s *state) victims(model *modelState, srv *Server) (drop []string, displaced, lost float64, enough bool) {
	var candidates []*modelState
	for _, held := range srv.Copies {
		if other := s.models[held.Model]; other != nil && held.Phase == Ready && (s.mayEvict(other, model) || other.reloadsQuickly(srv)) {
			candidates = append(candidates, other)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if lossA, lossB := a.lossFor(model, srv), b.lossFor(model, srv); lossA != lossB {
			return lossA < lossB
		}
		return a.IdleFor > b.IdleFor
	})
	need := model.Footprint - srv.Free
	for _, other := range candidates {
		if need <= 0 {
			break
		}
		need -= other.Footprint
		displaced += other.workAt(srv)
		lost += other.lossFor(model, srv)
		drop = append(drop, other.Name)
	}
	return drop, displaced, lost, need <= 0
}

// minServingFraction is the least serving fraction of a model's first copy, so that it is loaded
// some time even if its load takes very long.
const minServingFraction = 0.2

// servingFraction is the fraction of the horizon in which a copy serves if its load takes a time.
func (m *modelState) servingFraction(wait time.Duration) float64 {
	fraction := max(1-float64(wait)/float64(horizon), 0)
	if m.all == 0 {
		fraction = max(fraction, minServingFraction)
	}
	return fraction
}

// idle reports whether a model has no requests and none are expected soon.
func (m *modelState) idle() bool {
	return m.IdleFor >= idleAfter && m.Work <= maxIdleWork && !m.RequestsWaited
}

// yieldsTo reports whether an idle model's last copy may be evicted for a model that has no copy
// and that requests wait for, regardless of the copies of other models. The idle model is loaded
// again when it is requested.
func (m *modelState) yieldsTo(model *modelState) bool {
	return m.all == 1 && m.idle() && model.all == 0 && model.RequestsWaited
}

// reloadsQuickly reports whether an idle model's last copy may be evicted from a server for a
// further copy of a busy model, because it can be loaded there again within a short time.
func (m *modelState) reloadsQuickly(srv *Server) bool {
	if m.all != 1 || !m.idle() {
		return false
	}
	wait, fromStore := srv.LoadTime(m.Name)
	return !fromStore && wait <= quickReloadTime
}

// lossFor is the cost of evicting the copy on a server for another model.
func (m *modelState) lossFor(model *modelState, srv *Server) float64 {
	if m.yieldsTo(model) {
		return 0
	}
	return m.loss(srv)
}

// mayEvict reports whether a copy of other may be evicted for a copy of model. The last ready copy
// may be evicted in two cases only: if other yields to model, or if model has no copy and much more
// work while no model has a spare copy.
func (s *state) mayEvict(other, model *modelState) bool {
	if other.ready > 1 || other.yieldsTo(model) {
		return true
	}
	return s.noSpareCopies && model.all == 0 && other.all == 1 && model.firstCopyValue()*minServingFraction > other.firstCopyValue()*evictionMargin
}

// apply updates the state by a planned move.
func (s *state) apply(model *modelState, move Move) {
	srv := &s.in.Servers[move.Server]
	s.hasMove[move.Server] = true
	if _, fromStore := srv.LoadTime(model.Name); fromStore {
		s.storeLoadsLeft--
	}
	for _, name := range move.Drop {
		other := s.models[name]
		other.ready--
		other.all--
		other.capacity -= srv.speed()
		other.zones[srv.Zone]--
	}
	model.all++
	model.capacity += srv.speed()
	model.zones[srv.Zone]++
	s.work[move.Server] += model.workAt(srv)
}
