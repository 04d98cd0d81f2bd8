package placer

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// fakeReplica carries orders out as the engines do: one model order at a time,
// adapters beside it, an adapter in use goes only when its last request ends.
type fakeReplica struct {
	// zone is "" where zones are of no matter.
	zone     string
	id       string
	engine   *catalog.Engine
	sequence uint64
	token    uint64
	models   map[string]map[string]bool
	// loading and leaving are the model order under way, "" for none.
	loading string
	leaving string
	doneAt  time.Time
	// going are adapters that are unloaded once they are not used.
	going map[AdapterName]time.Time
	used  map[AdapterName]bool
	late  []lateOrder
	over  string
	beat  uint64
	// unfenced replicas don't look at fencing tokens.
	unfenced bool
	// past are the replica's states, newest last: a report tells how things stood
	// fakeReportLag before, and a heartbeat may be beatLag old when it comes.
	past    []pastState
	beatLag time.Duration
	// storeLoads are the times at which loads from the store began.
	storeLoads []time.Time
	holders    []string
}

// fakeReportLag is how old a report is when it comes.
const fakeReportLag = 200 * time.Millisecond

// pastState is what a replica would have said of itself at a time.
type pastState struct {
	at       time.Time
	sequence uint64
	busy     bool
	models   []registry.Held
}

// note keeps the present state for later words.
func (f *fakeReplica) note(now time.Time) {
	f.past = append(f.past, pastState{at: now, sequence: f.sequence, busy: !f.doneAt.IsZero(), models: f.held()})
	if len(f.past) > 200 {
		f.past = f.past[1:]
	}
}

// stood returns the state at a time, or the first one known.
func (f *fakeReplica) stood(at time.Time) pastState {
	for i := len(f.past) - 1; i > 0; i-- {
		if !f.past[i].at.After(at) {
			return f.past[i]
		}
	}
	return f.past[0]
}

// restart makes the replica a new incarnation at the same address, which is empty
// and has forgotten tokens and the count of orders.
func (f *fakeReplica) restart() {
	*f = *newFakeReplica(f.id+"'", f.engine)
}

type lateOrder struct {
	at    time.Time
	order Order
}

func newFakeReplica(id string, e *catalog.Engine, models ...string) *fakeReplica {
	f := &fakeReplica{id: id, engine: e, models: map[string]map[string]bool{}, going: map[AdapterName]time.Time{}, used: map[AdapterName]bool{}}
	for _, model := range models {
		f.models[model] = map[string]bool{}
	}
	return f
}

func (f *fakeReplica) turn(now time.Time) {
	if f.doneAt.IsZero() || now.Before(f.doneAt) {
	} else {
		if f.loading != "" {
			f.models[f.loading] = map[string]bool{}
		}
		delete(f.models, f.leaving)
		f.loading, f.leaving, f.doneAt = "", "", time.Time{}
	}
	for name, at := range f.going {
		if !now.Before(at) {
			delete(f.models[name.Model], name.Adapter)
			delete(f.going, name)
			f.sequence++
		}
	}
	for len(f.late) > 0 && !now.Before(f.late[0].at) {
		order := f.late[0].order
		f.late = f.late[1:]
		f.take(now, order)
	}
}

func (f *fakeReplica) adapters() int {
	count := 0
	for _, adapters := range f.models {
		count += len(adapters)
	}
	return count
}

func (f *fakeReplica) weights() float64 {
	used := 0.0
	for name := range f.models {
		used += f.engine.Model(name).WeightsMB
	}
	if f.loading != "" {
		used += f.engine.Model(f.loading).WeightsMB
	}
	return used
}

func (f *fakeReplica) take(now time.Time, o Order) Result {
	if o.Replica != f.id {
		return Elsewhere
	}
	if o.Token < f.token && !f.unfenced {
		return Fenced
	}
	if o.Token > f.token {
		f.token = o.Token
		f.holders = append(f.holders, o.Holder)
	}
	if o.Expected != f.sequence {
		return Refused
	}
	if o.Adapter == "" && !f.doneAt.IsZero() {
		if _, there := f.models[o.Model]; o.Operation == Load && !there && f.weights()+f.engine.Model(o.Model).WeightsMB > f.engine.WeightsMB {
			f.over = fmt.Sprintf("%s: %s over the room for weights while another order is under way", f.id, o.Model)
		}
		return Refused
	}
	if o.Adapter != "" {
		return f.takeAdapter(now, o)
	}
	_, there := f.models[o.Model]
	if there == (o.Operation == Load) {
		return Already
	}
	f.sequence++
	f.doneAt = now.Add(2 * time.Second)
	if o.Operation == Unload {
		f.leaving = o.Model
		return Taken
	}
	f.loading = o.Model
	f.storeLoads = append(f.storeLoads, now)
	if f.weights() > f.engine.WeightsMB {
		f.over = fmt.Sprintf("%s: %s over the room for weights", f.id, o.Model)
	}
	return Taken
}

func (f *fakeReplica) takeAdapter(now time.Time, o Order) Result {
	adapters, there := f.models[o.Model]
	name := AdapterName{o.Model, o.Adapter}
	if !there {
		return Invalid
	}
	if adapters[o.Adapter] == (o.Operation == Load) {
		return Already
	}
	if o.Operation == Unload {
		if f.used[name] {
			f.going[name] = now.Add(3 * time.Second)
			return Taken
		}
		f.sequence++
		delete(adapters, o.Adapter)
		return Already
	}
	f.sequence++
	adapters[o.Adapter] = true
	if f.adapters() > f.engine.AdapterSlots {
		f.over = fmt.Sprintf("%s: %s/%s over the places for adapters", f.id, o.Model, o.Adapter)
	}
	return Taken
}

func (f *fakeReplica) held() []registry.Held {
	var list []registry.Held
	for name, adapters := range f.models {
		held := registry.Held{Name: name}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		sort.Strings(held.Adapters)
		list = append(list, held)
	}
	slices.SortFunc(list, func(a, b registry.Held) int { return len(a.Name) - len(b.Name) })
	return list
}
