package placer

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

var noon = time.Unix(1_800_000_000, 0)

// fakeReplica carries orders out as the engines do: one model order at a time,
// adapters beside it, an adapter in use goes only when its last request ends.
type fakeReplica struct {
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

// world is a placer before fake replicas on a clock of its own.
type world struct {
	now      time.Time
	engine   *catalog.Engine
	replicas []*fakeReplica
	placer   *Placer
	pending  []func()
	lead     Leading
	fault    func(order Order) fault
	holdings *wire.Holdings
	orders   []Order
	entries  map[string]registry.Entry
	// service names the service of replicas that are not of "s".
	service map[string]string
}

// fault is what a test does to an order.
type fault uint8

const (
	noFault fault = iota
	answerLost
	orderLost
	carriedOutLate
)

func newWorld(e *catalog.Engine, replicas ...*fakeReplica) *world {
	w := &world{now: noon, engine: e, replicas: replicas, lead: Leading{Self: true, Token: 5, Since: noon.Add(-time.Minute)}, entries: map[string]registry.Entry{}}
	w.placer = w.newPlacer()
	return w
}

// newPlacer returns the placer of another control node, which knows only what
// the replicas said.
func (w *world) newPlacer() *Placer {
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: w.engine}}})
	return New(Options{
		Holder:  "h",
		Calls:   Calls{Order: w.order, Report: w.report},
		Leading: func() Leading { return w.lead },
		Table:   func() *catalog.Table { return table },
		Publish: func(h *wire.Holdings) { w.holdings = h },
		Lease:   3 * time.Second,
		Now:     func() time.Time { return w.now },
		Go:      func(f func()) { w.pending = append(w.pending, f) },
	})
}

// succeed lets another control node lead from now on.
func (w *world) succeed() {
	w.lead.Token++
	w.placer = w.newPlacer()
	w.tell()
}

func (w *world) find(id string) *fakeReplica {
	for _, f := range w.replicas {
		if f.id == id {
			return f
		}
	}
	return nil
}

func (w *world) order(_ context.Context, o Order) Result {
	w.orders = append(w.orders, o)
	f := w.find(o.Replica)
	if f == nil {
		return Lost
	}
	todo := noFault
	if w.fault != nil {
		todo = w.fault(o)
	}
	switch todo {
	case orderLost:
		return Lost
	case answerLost:
		f.take(w.now, o)
		return Lost
	case carriedOutLate:
		f.late = append(f.late, lateOrder{at: w.now.Add(4 * time.Second), order: o})
		return Lost
	}
	return f.take(w.now, o)
}

func (w *world) report(_ context.Context, id, _ string) (Report, error) {
	f := w.find(id)
	if f == nil {
		return Report{}, context.DeadlineExceeded
	}
	if len(f.past) == 0 {
		return Report{Sequence: f.sequence, Busy: !f.doneAt.IsZero(), Models: f.held()}, nil
	}
	stood := f.stood(w.now.Add(-fakeReportLag))
	return Report{Sequence: stood.sequence, Busy: stood.busy, Models: stood.models}, nil
}

// beat lets a replica register what it holds.
func (w *world) beat(f *fakeReplica) {
	f.beat++
	service := "s"
	if other, found := w.service[f.id]; found {
		service = other
	}
	models := f.held()
	if f.beatLag > 0 && len(f.past) > 0 {
		models = f.stood(w.now.Add(-f.beatLag)).models
	}
	w.entries[f.id] = registry.Entry{Record: registry.Record{ID: f.id, Service: service, Address: f.id, Sequence: f.beat, Slots: 8, Models: models}}
	w.tell()
}

func (w *world) tell() {
	var changes registry.Changes
	present := map[string]bool{}
	for _, f := range w.replicas {
		if e, found := w.entries[f.id]; found {
			changes.Entries = append(changes.Entries, e)
			present[f.id] = true
		}
	}
	for id := range w.placer.units {
		if !present[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	w.placer.SetReplicas(changes)
}

// run lets time pass in small steps; every replica beats each second.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for i, f := range w.replicas {
			f.turn(w.now)
			f.note(w.now)
			if (w.now.UnixMilli()/50+int64(i))%20 == 0 {
				w.beat(f)
			}
		}
		w.step()
	}
}

func (w *world) step() {
	w.placer.step(context.Background(), w.lead)
	for len(w.pending) > 0 {
		f := w.pending[0]
		w.pending = w.pending[1:]
		f()
	}
}

func (w *world) ask(model, adapter string, requests, tokens int, missing int) {
	w.placer.TakeUsage(wire.Usage{Models: []wire.Asked{{Service: "s", Model: model, Adapter: adapter, Requests: requests, Tokens: tokens, Missing: missing}}})
}

func testEngine() *catalog.Engine {
	e := &catalog.Engine{WeightsMB: 220, AdapterSlots: 3, LoadsPerSecond: 2}
	for i := range 5 {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Adapters: 4})
	}
	return e
}

func TestEveryModelAndAdapterGetsAPlace(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.AdapterSlots = 12
	e.WeightsMB = 225
	w := newWorld(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e))
	w.run(20 * time.Second)
	for _, model := range e.Models {
		found := map[string]bool{}
		for _, f := range w.replicas {
			for adapter := range f.models[model.Name] {
				found[adapter] = true
			}
		}
		is.Equal(len(found), model.Adapters)
	}
}

func TestAnAdapterThatIsWaitedForComesAtOnce(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"))
	w.run(5 * time.Second)
	f := w.replicas[0]
	for adapter := range f.models["m0"] {
		w.ask("m0", adapter, 10, 0, 0)
	}
	absent := ""
	for n := 1; n <= 4; n++ {
		if name := "a" + strconv.Itoa(n); !f.models["m0"][name] {
			absent = name
		}
	}
	is.True(absent != "") // three places for four adapters
	w.ask("m0", absent, 1, 0, 1)
	w.run(3 * time.Second)
	is.True(f.models["m0"][absent])
	is.Equal(f.over, "")
}

// TestAnAdapterInUseKeepsItsPlaceUntilItIsGone: a replica that accepts the unload
// of an adapter in use still holds it; nothing may be loaded in its place yet.
func TestAnAdapterInUseKeepsItsPlaceUntilItIsGone(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"))
	f := w.replicas[0]
	w.run(5 * time.Second)
	for n := 1; n <= 4; n++ {
		f.used[AdapterName{"m0", "a" + strconv.Itoa(n)}] = true
	}
	for n := 1; n <= 4; n++ {
		w.ask("m0", "a"+strconv.Itoa(n), 1, 0, 1)
		w.run(time.Second)
		is.Equal(f.over, "")
	}
}

func TestDemandBringsCopiesAndKeepsTheLastOfOthers(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m0"), newFakeReplica("c", e, "m0", "m1", "m2"))
	for range 40 {
		w.ask("m3", "", 5, 9000, 0)
		w.run(500 * time.Millisecond)
	}
	copies := map[string]int{}
	for _, f := range w.replicas {
		for name := range f.models {
			copies[name]++
		}
	}
	is.True(copies["m3"] > 1)
	for _, model := range e.Models {
		is.True(copies[model.Name] > 0)
	}
}

func TestANewHolderKeepsApartFromTheOldOne(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e))
	w.lead = Leading{Self: true, Token: 6, Since: noon}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.placer.Run(ctx) // returns at once
	w.beat(w.replicas[0])
	is.True(!w.placer.due(w.now.Add(2900*time.Millisecond), w.lead))
	is.True(w.placer.due(w.now.Add(3*time.Second), w.lead))
	is.True(!w.placer.due(w.now.Add(time.Hour), Leading{Token: 6}))
}

// TestANewHolderWaitsForALoadItDoesNotKnow: what the earlier holder had ordered
// takes room though the replica does not name it yet.
func TestANewHolderWaitsForALoadItDoesNotKnow(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.Models = e.Models[:4]
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1"))
	f := w.replicas[0]
	for range 100 { // the first plan waits for replicas to register
		if w.run(50 * time.Millisecond); f.loading != "" {
			break
		}
	}
	is.True(f.loading != "") // one of the two that nobody holds
	w.succeed()
	w.run(5 * time.Second)
	is.Equal(f.over, "")
}

// TestASilentReplicaKeepsWhatItHolds: one that is heard again must not lose its
// models because it was silent for a while.
func TestASilentReplicaKeepsWhatItHolds(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m3", "m4"))
	w.run(2 * time.Second)
	silent := w.entries["a"]
	silent.Silent = true
	w.entries["a"] = silent
	w.tell()
	w.step()
	w.run(3 * time.Second)
	is.Equal(len(w.replicas[0].models), 3)
}

func TestAHolderThatIsFencedOffOrdersNothingMore(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e))
	w.replicas[0].token = 9
	w.run(10 * time.Second)
	is.Equal(len(w.orders), 1)
}

func TestAnOrderIsNotSentOnceLeadershipIsGone(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e))
	w.beat(w.replicas[0])
	w.placer.step(context.Background(), w.lead)
	w.lead = Leading{Token: 6}
	for len(w.pending) > 0 {
		f := w.pending[0]
		w.pending = w.pending[1:]
		f()
		w.placer.step(context.Background(), Leading{Self: true, Token: 5})
	}
	is.Equal(len(w.orders), 0)
}

// TestRoomIsNeverOvercommitted: whatever happens to orders, whichever adapters
// are in use and whoever leads, no replica is ordered to hold more than it has
// room for, and loads from the store keep to their rate.
func TestRoomIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		var replicas []*fakeReplica
		for i := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			var models []string
			for range rapid.IntRange(0, 3).Draw(t, "models") {
				models = append(models, "m"+strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "model")))
			}
			replicas = append(replicas, newFakeReplica("r"+strconv.Itoa(i), e, models...))
		}
		unfenced := rapid.Bool().Draw(t, "nobody checks fences")
		for _, f := range replicas {
			f.unfenced = unfenced
		}
		w := newWorld(e, replicas...)
		w.fault = func(Order) fault {
			return fault(max(rapid.IntRange(-6, 3).Draw(t, "fault"), 0))
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			model := "m" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "asked"))
			adapter := ""
			if rapid.Bool().Draw(t, "with adapter") {
				adapter = "a" + strconv.Itoa(rapid.IntRange(1, 4).Draw(t, "adapter"))
			}
			w.ask(model, adapter, rapid.IntRange(0, 30).Draw(t, "requests"), rapid.IntRange(0, 60000).Draw(t, "tokens"), rapid.IntRange(0, 1).Draw(t, "missing"))
			f := w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(t, "which")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				w.succeed()
			case 1:
				f.used[AdapterName{model, adapter}] = true
			case 2:
				delete(f.used, AdapterName{model, adapter})
			case 3:
				f.restart()
				f.unfenced = unfenced
			case 4:
				f.beatLag = time.Duration(rapid.IntRange(0, 4).Draw(t, "heartbeats late by")) * time.Second
			}
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "span")) * 50 * time.Millisecond)
			for _, f := range w.replicas {
				if f.over != "" {
					t.Fatal(f.over)
				}
			}
		}
		checkStoreRate(t, w)
	})
}

// checkStoreRate holds loads from the store to their rate, with the few more
// that orders carried out late may bring.
func checkStoreRate(t *rapid.T, w *world) {
	var all []time.Time
	for _, f := range w.replicas {
		all = append(all, f.storeLoads...)
	}
	slices.SortFunc(all, time.Time.Compare)
	const window = 5 * time.Second
	for i := range all {
		count := 0
		for _, at := range all[i:] {
			if at.Sub(all[i]) < window {
				count++
			}
		}
		if limit := int(w.engine.LoadsPerSecond*window.Seconds()*1.1) + 3; count > limit {
			t.Fatalf("%d loads from the store in %v, %d allowed", count, window, limit)
		}
	}
}

// TestARareModelTakesNoRoomFromBusyOnes: a few requests for one model must not
// cost another, which carries much, its copies.
func TestARareModelTakesNoRoomFromBusyOnes(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m3", "m4"), newFakeReplica("c", e, "m0", "m1", "m2"))
	for range 20 {
		w.ask("m0", "", 5, 8000, 0)
		w.run(500 * time.Millisecond)
	}
	orders := len(w.orders)
	w.ask("m3", "", 2, 4000, 0)
	w.run(2 * time.Second)
	for _, order := range w.orders[orders:] {
		is.True(order.Adapter != "") // no model moved
	}
}
