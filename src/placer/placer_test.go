package placer

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

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

// TestStepsLeaveTimeForOtherWork, however long one takes: at 3,000 replicas steps took all
// that consensus needed.
func TestStepsLeaveTimeForOtherWork(t *testing.T) {
	is := is.New(t)
	is.Equal(pauseAfter(time.Millisecond), stepPause)
	is.Equal(pauseAfter(12*time.Millisecond), 48*time.Millisecond)
	is.Equal(pauseAfter(time.Second), longestStepPause)
}

// TestAReplicaThatWantsNoCallsGetsNone from this node for the time that it names, neither orders
// nor questions, and gets orders after it.
func TestAReplicaThatWantsNoCallsGetsNone(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"))
	w.word = Word{Backoff: 8 * time.Second}
	w.run(2 * time.Second)
	orders, reports := len(w.orders), w.reports
	is.Equal(orders+reports, 1) // the question whose answer said so
	w.word = Word{}
	w.run(5 * time.Second)
	is.Equal([]int{len(w.orders), w.reports}, []int{orders, reports})
	w.run(20 * time.Second)
	is.True(len(w.orders) > orders)
}

// TestOneThatSaidInAnAnswerThatItLeavesGetsNoOrders, also where its calls go on as before, and the
// models that it holds are placed elsewhere.
func TestOneThatSaidInAnAnswerThatItLeavesGetsNoOrders(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"))
	w.word = Word{Leaving: true}
	w.run(2 * time.Second)
	calls := len(w.orders) + w.reports
	w.word = Word{}
	w.run(10 * time.Second)
	is.Equal(len(w.orders)+w.reports, calls)
	next := newFakeReplica("b", e)
	w.replicas = append(w.replicas, next)
	w.run(30 * time.Second)
	is.True(next.models["m0"] != nil)
}

// TestWhatADrainedZoneHeldComesElsewhere, within the store's rate, and nothing is ordered in the
// zone; once the drain ends nothing is loaded there that it still holds.
func TestWhatADrainedZoneHeldComesElsewhere(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.WeightsMB, e.LoadsPerSecond = 500, 1
	x := newFakeReplica("x1", e, "m0", "m1", "m2", "m3", "m4")
	y, z := newFakeReplica("y1", e), newFakeReplica("z1", e)
	x.zone, y.zone, z.zone = "x", "y", "z"
	w := newWorld(e, x, y, z)
	w.run(5 * time.Second)
	orders := x.sequence
	w.placer.SetDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{"x"}})
	for range 60 {
		for i := range 5 {
			w.ask(fmt.Sprint("m", i), "", 2, 400, 1)
		}
		w.run(500 * time.Millisecond)
	}
	for i := range 5 {
		model := fmt.Sprint("m", i)
		is.True(holds(y, model) || holds(z, model)) // it serves again
	}
	is.Equal(x.sequence, orders)
	held := len(x.held())
	w.placer.SetDrains(&wire.ZoneDrains{Revision: 2})
	w.run(5 * time.Second)
	is.True(len(x.held()) <= held)
}

func holds(f *fakeReplica, model string) bool {
	return slices.ContainsFunc(f.held(), func(h registry.Held) bool { return h.Name == model })
}

// TestWhatIsAskedForHasACopyInTheEnd: with a place for each model that is asked for, all of them are
// served soon after the demand has moved, whatever the places held before, and none is loaded again
// as long as it is asked for.
func TestWhatIsAskedForHasACopyInTheEnd(t *testing.T) {
	const models, places = 14, 9
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		e.Models = e.Models[:0]
		for i := range models {
			e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Load: 2 * time.Second})
		}
		a, b, c := newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m5"), newFakeReplica("c", e, "m6", "m7", "m0")
		w := newWorld(e, a, b, c)
		w.run(3 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "moves of the demand") {
			asked := rapid.SliceOfNDistinct(rapid.IntRange(0, models-1), 1, places, rapid.ID).Draw(t, "asked for")
			orders := len(w.orders)
			served := func(model int) bool {
				name := "m" + strconv.Itoa(model)
				return holds(a, name) || holds(b, name) || holds(c, name)
			}
			for range 90 {
				for _, model := range asked {
					missing := 1
					if served(model) {
						missing = 0
					}
					w.ask("m"+strconv.Itoa(model), "", 1, 150, missing)
				}
				w.run(500 * time.Millisecond)
			}
			loads := map[string]int{}
			for _, order := range w.orders[orders:] {
				if order.Operation == Load && order.Adapter == "" {
					loads[order.Model]++
				}
			}
			for _, model := range asked {
				if name := "m" + strconv.Itoa(model); !served(model) || loads[name] > 2 {
					t.Fatalf("%s, asked for with %v, is served: %v, loads %d", name, asked, served(model), loads[name])
				}
			}
		}
	})
}
