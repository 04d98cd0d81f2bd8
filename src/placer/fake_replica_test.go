package placer

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// fakeReplica executes orders as engines do: one model order at a time, with adapter orders in
// parallel. An adapter in use is unloaded only after its last request.
type fakeReplica struct {
	// zone is "" in tests that do not depend on zones.
	zone       string
	id         string
	engine     *catalog.Engine
	orderCount uint64
	token      uint64
	models     map[string]map[string]bool
	// loading and unloading are the model of the order being executed, "" if there is none.
	loading   string
	unloading string
	doneAt    time.Time
	// pendingUnloads are the adapters to be unloaded once they are no longer in use.
	pendingUnloads map[AdapterName]time.Time
	inUse          map[AdapterName]bool
	delayed        []delayedOrder
	overcommitted  string
	heartbeat      uint64
	// ignoresFencing is set for replicas that do not check fencing tokens.
	ignoresFencing bool
	// history are the past states, newest last. A report shows the state fakeReportLag ago, and a
	// heartbeat may show the state heartbeatLag ago.
	history      []recordedState
	heartbeatLag time.Duration
	// storeLoads are the start times of the loads from the store.
	storeLoads []time.Time
	holders    []string
}

// fakeReportLag is the age of the state in a report.
const fakeReportLag = 200 * time.Millisecond

// recordedState is what a replica would have reported at a time.
type recordedState struct {
	at         time.Time
	orderCount uint64
	busy       bool
	models     []registry.Held
}

// record adds the current state to the history.
func (f *fakeReplica) record(now time.Time) {
	f.history = append(f.history, recordedState{at: now, orderCount: f.orderCount, busy: !f.doneAt.IsZero(), models: f.held()})
	if len(f.history) > 200 {
		f.history = f.history[1:]
	}
}

// stateAt returns the state at a time, or the oldest one recorded.
func (f *fakeReplica) stateAt(at time.Time) recordedState {
	for i := len(f.history) - 1; i > 0; i-- {
		if !f.history[i].at.After(at) {
			return f.history[i]
		}
	}
	return f.history[0]
}

// restart turns the replica into a new start at the same address, without models, tokens or a count
// of orders.
func (f *fakeReplica) restart() {
	*f = *newFakeReplica(f.id+"'", f.engine)
}

// delayedOrder is an order that is executed some time after it was sent.
type delayedOrder struct {
	at    time.Time
	order Order
}

func newFakeReplica(id string, e *catalog.Engine, models ...string) *fakeReplica {
	f := &fakeReplica{id: id, engine: e, models: map[string]map[string]bool{}, pendingUnloads: map[AdapterName]time.Time{}, inUse: map[AdapterName]bool{}}
	for _, model := range models {
		f.models[model] = map[string]bool{}
	}
	return f
}

func (f *fakeReplica) advance(now time.Time) {
	if f.doneAt.IsZero() || now.Before(f.doneAt) {
	} else {
		if f.loading != "" {
			f.models[f.loading] = map[string]bool{}
		}
		delete(f.models, f.unloading)
		f.loading, f.unloading, f.doneAt = "", "", time.Time{}
	}
	for name, at := range f.pendingUnloads {
		if !now.Before(at) {
			delete(f.models[name.Model], name.Adapter)
			delete(f.pendingUnloads, name)
			f.orderCount++
		}
	}
	for len(f.delayed) > 0 && !now.Before(f.delayed[0].at) {
		order := f.delayed[0].order
		f.delayed = f.delayed[1:]
		f.execute(now, order)
	}
}

func (f *fakeReplica) adapters() int {
	count := 0
	for _, adapters := range f.models {
		count += len(adapters)
	}
	return count
}

func (f *fakeReplica) usedMB() float64 {
	used := 0.0
	for name := range f.models {
		used += f.engine.Model(name).WeightsMB
	}
	if f.loading != "" {
		used += f.engine.Model(f.loading).WeightsMB
	}
	return used
}

func (f *fakeReplica) execute(now time.Time, o Order) Result {
	if o.Replica != f.id {
		return Misdirected
	}
	if o.Token < f.token && !f.ignoresFencing {
		return Fenced
	}
	if o.Token > f.token {
		f.token = o.Token
		f.holders = append(f.holders, o.Holder)
	}
	if o.Expected != f.orderCount {
		return Refused
	}
	if o.Adapter == "" && !f.doneAt.IsZero() {
		if _, there := f.models[o.Model]; o.Operation == Load && !there && f.usedMB()+f.engine.Model(o.Model).WeightsMB > f.engine.WeightsMB {
			f.overcommitted = fmt.Sprintf("%s: %s over the room for weights while another order is under way", f.id, o.Model)
		}
		return Refused
	}
	if o.Adapter != "" {
		return f.executeAdapter(now, o)
	}
	_, there := f.models[o.Model]
	if there == (o.Operation == Load) {
		return AlreadyDone
	}
	f.orderCount++
	f.doneAt = now.Add(2 * time.Second)
	if o.Operation == Unload {
		f.unloading = o.Model
		return Accepted
	}
	f.loading = o.Model
	f.storeLoads = append(f.storeLoads, now)
	if f.usedMB() > f.engine.WeightsMB {
		f.overcommitted = fmt.Sprintf("%s: %s over the room for weights", f.id, o.Model)
	}
	return Accepted
}

func (f *fakeReplica) executeAdapter(now time.Time, o Order) Result {
	adapters, there := f.models[o.Model]
	name := AdapterName{o.Model, o.Adapter}
	if !there {
		return Invalid
	}
	if adapters[o.Adapter] == (o.Operation == Load) {
		return AlreadyDone
	}
	if o.Operation == Unload {
		if f.inUse[name] {
			f.pendingUnloads[name] = now.Add(3 * time.Second)
			return Accepted
		}
		f.orderCount++
		delete(adapters, o.Adapter)
		return AlreadyDone
	}
	f.orderCount++
	adapters[o.Adapter] = true
	if f.adapters() > f.engine.AdapterSlots {
		f.overcommitted = fmt.Sprintf("%s: %s/%s over the adapter slots", f.id, o.Model, o.Adapter)
	}
	return Accepted
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
