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

func TestEveryModelAndAdapterIsLoaded(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.AdapterSlots = 12
	e.WeightsMB = 225
	sim := newSimulation(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e))
	sim.run(20 * time.Second)
	for _, model := range e.Models {
		found := map[string]bool{}
		for _, f := range sim.fakes {
			for adapter := range f.models[model.Name] {
				found[adapter] = true
			}
		}
		is.Equal(len(found), model.Adapters)
	}
}

func TestRequestedAdapterIsLoadedAtOnce(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"))
	sim.run(5 * time.Second)
	f := sim.fakes[0]
	for adapter := range f.models["m0"] {
		sim.request("m0", adapter, 10, 0, 0)
	}
	absent := ""
	for n := 1; n <= 4; n++ {
		if name := "a" + strconv.Itoa(n); !f.models["m0"][name] {
			absent = name
		}
	}
	is.True(absent != "") // three slots for four adapters
	sim.request("m0", absent, 1, 0, 1)
	sim.run(3 * time.Second)
	is.True(f.models["m0"][absent])
	is.Equal(f.overcommitted, "")
}

// TestAdapterInUseKeepsItsSlotUntilUnloaded checks that nothing is loaded in the slot of an adapter
// in use while it is only scheduled for unloading: the replica still holds it.
func TestAdapterInUseKeepsItsSlotUntilUnloaded(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"))
	f := sim.fakes[0]
	sim.run(5 * time.Second)
	for n := 1; n <= 4; n++ {
		f.inUse[AdapterName{"m0", "a" + strconv.Itoa(n)}] = true
	}
	for n := 1; n <= 4; n++ {
		sim.request("m0", "a"+strconv.Itoa(n), 1, 0, 1)
		sim.run(time.Second)
		is.Equal(f.overcommitted, "")
	}
}

func TestDemandAddsCopiesAndKeepsLastCopies(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m0"), newFakeReplica("c", e, "m0", "m1", "m2"))
	for range 40 {
		sim.request("m3", "", 5, 9000, 0)
		sim.run(500 * time.Millisecond)
	}
	copies := map[string]int{}
	for _, f := range sim.fakes {
		for name := range f.models {
			copies[name]++
		}
	}
	is.True(copies["m3"] > 1)
	for _, model := range e.Models {
		is.True(copies[model.Name] > 0)
	}
}

func TestNewLeaderWaitsForTheOldLease(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e))
	sim.lead = Leading{Self: true, Token: 6, Since: startTime}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sim.placer.Run(ctx) // returns at once
	sim.heartbeat(sim.fakes[0])
	is.True(!sim.placer.hasAuthority(sim.now.Add(2900*time.Millisecond), sim.lead))
	is.True(sim.placer.hasAuthority(sim.now.Add(3*time.Second), sim.lead))
	is.True(!sim.placer.hasAuthority(sim.now.Add(time.Hour), Leading{Token: 6}))
}

// TestNewLeaderWaitsForUnknownLoad checks that a load ordered by the earlier holder counts as
// taking room, though the replica does not list it yet.
func TestNewLeaderWaitsForUnknownLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.Models = e.Models[:4]
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1"))
	f := sim.fakes[0]
	for range 100 { // the first plan waits for replicas to register
		if sim.run(50 * time.Millisecond); f.loading != "" {
			break
		}
	}
	is.True(f.loading != "") // one of the two models without a copy
	sim.changeLeader()
	sim.run(5 * time.Second)
	is.Equal(f.overcommitted, "")
}

// TestSilentReplicaKeepsItsModels checks that a replica keeps its models if its heartbeats are
// missing for a while.
func TestSilentReplicaKeepsItsModels(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m3", "m4"))
	sim.run(2 * time.Second)
	silent := sim.entries["a"]
	silent.Silent = true
	sim.entries["a"] = silent
	sim.registerAll()
	sim.step()
	sim.run(3 * time.Second)
	is.Equal(len(sim.fakes[0].models), 3)
}

func TestFencedLeaderSendsNoMoreOrders(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e))
	sim.fakes[0].token = 9
	sim.run(10 * time.Second)
	is.Equal(len(sim.orders), 1)
}

func TestNoOrderIsSentAfterLossOfLeadership(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e))
	sim.heartbeat(sim.fakes[0])
	sim.placer.step(context.Background(), sim.lead)
	sim.lead = Leading{Token: 6}
	for len(sim.pendingCalls) > 0 {
		f := sim.pendingCalls[0]
		sim.pendingCalls = sim.pendingCalls[1:]
		f()
		sim.placer.step(context.Background(), Leading{Self: true, Token: 5})
	}
	is.Equal(len(sim.orders), 0)
}

// TestMemoryIsNeverOvercommitted checks that no replica is ordered to hold more than it has room
// for, and that loads from the store keep to their rate, whatever happens to orders, whichever
// adapters are in use and whoever leads.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		var fakes []*fakeReplica
		for i := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			var models []string
			for range rapid.IntRange(0, 3).Draw(t, "models") {
				models = append(models, "m"+strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "model")))
			}
			fakes = append(fakes, newFakeReplica("r"+strconv.Itoa(i), e, models...))
		}
		ignoresFencing := rapid.Bool().Draw(t, "replicas ignore fencing")
		for _, f := range fakes {
			f.ignoresFencing = ignoresFencing
		}
		sim := newSimulation(e, fakes...)
		sim.fault = func(Order) fault {
			return fault(max(rapid.IntRange(-6, 3).Draw(t, "fault"), 0))
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			model := "m" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "asked"))
			adapter := ""
			if rapid.Bool().Draw(t, "with adapter") {
				adapter = "a" + strconv.Itoa(rapid.IntRange(1, 4).Draw(t, "adapter"))
			}
			sim.request(model, adapter, rapid.IntRange(0, 30).Draw(t, "requests"), rapid.IntRange(0, 60000).Draw(t, "tokens"), rapid.IntRange(0, 1).Draw(t, "missing"))
			f := sim.fakes[rapid.IntRange(0, len(sim.fakes)-1).Draw(t, "which")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				sim.changeLeader()
			case 1:
				f.inUse[AdapterName{model, adapter}] = true
			case 2:
				delete(f.inUse, AdapterName{model, adapter})
			case 3:
				f.restart()
				f.ignoresFencing = ignoresFencing
			case 4:
				f.heartbeatLag = time.Duration(rapid.IntRange(0, 4).Draw(t, "heartbeats late by")) * time.Second
			}
			sim.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "span")) * 50 * time.Millisecond)
			for _, f := range sim.fakes {
				if f.overcommitted != "" {
					t.Fatal(f.overcommitted)
				}
			}
		}
		checkStoreRate(t, sim)
	})
}

// checkStoreRate checks the rate of loads from the store, with a margin for orders that are
// executed late.
func checkStoreRate(t *rapid.T, sim *simulation) {
	var all []time.Time
	for _, f := range sim.fakes {
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
		if limit := int(sim.engine.LoadsPerSecond*window.Seconds()*1.1) + 3; count > limit {
			t.Fatalf("%d loads from the store in %v, %d allowed", count, window, limit)
		}
	}
}

// TestRarelyRequestedModelDisplacesNoBusyOne checks that a few requests for one model do not cost a
// busy one its copies.
func TestRarelyRequestedModelDisplacesNoBusyOne(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m3", "m4"), newFakeReplica("c", e, "m0", "m1", "m2"))
	for range 20 {
		sim.request("m0", "", 5, 8000, 0)
		sim.run(500 * time.Millisecond)
	}
	orders := len(sim.orders)
	sim.request("m3", "", 2, 4000, 0)
	sim.run(2 * time.Second)
	for _, order := range sim.orders[orders:] {
		is.True(order.Adapter != "") // no model moved
	}
}

// TestStepsLeaveTimeForOtherWork guards against steps that take most of the CPU time: at 3,000
// replicas they left too little for consensus.
func TestStepsLeaveTimeForOtherWork(t *testing.T) {
	is := is.New(t)
	is.Equal(pauseAfter(time.Millisecond), minStepPause)
	is.Equal(pauseAfter(12*time.Millisecond), 48*time.Millisecond)
	is.Equal(pauseAfter(time.Second), maxStepPause)
}

// TestReplicaThatAsksForBackoffGetsNoCalls checks that a replica gets neither orders nor report
// requests during the backoff that it asked for, and gets orders after it.
func TestReplicaThatAsksForBackoffGetsNoCalls(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"))
	sim.availability = Availability{Backoff: 8 * time.Second}
	sim.run(2 * time.Second)
	orders, reports := len(sim.orders), sim.reports
	is.Equal(orders+reports, 1) // the report request whose answer asked for the backoff
	sim.availability = Availability{}
	sim.run(5 * time.Second)
	is.Equal([]int{len(sim.orders), sim.reports}, []int{orders, reports})
	sim.run(20 * time.Second)
	is.True(len(sim.orders) > orders)
}

// TestLeavingReplicaGetsNoOrders checks that a replica that announced in an answer that it leaves
// gets no more calls, even if later answers do not say so, and that its models are loaded
// elsewhere.
func TestLeavingReplicaGetsNoOrders(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"))
	sim.availability = Availability{Leaving: true}
	sim.run(2 * time.Second)
	calls := len(sim.orders) + sim.reports
	sim.availability = Availability{}
	sim.run(10 * time.Second)
	is.Equal(len(sim.orders)+sim.reports, calls)
	next := newFakeReplica("b", e)
	sim.fakes = append(sim.fakes, next)
	sim.run(30 * time.Second)
	is.True(next.models["m0"] != nil)
}

// TestModelsOfDrainedZoneAreLoadedElsewhere checks that the models of a drained zone are loaded
// elsewhere at the store's rate and nothing is ordered in the zone, and that no model is loaded
// there when the drain ends.
func TestModelsOfDrainedZoneAreLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.WeightsMB, e.LoadsPerSecond = 500, 1
	x := newFakeReplica("x1", e, "m0", "m1", "m2", "m3", "m4")
	y, z := newFakeReplica("y1", e), newFakeReplica("z1", e)
	x.zone, y.zone, z.zone = "x", "y", "z"
	sim := newSimulation(e, x, y, z)
	sim.run(5 * time.Second)
	orders := x.orderCount
	sim.placer.SetDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{"x"}})
	for range 60 {
		for i := range 5 {
			sim.request(fmt.Sprint("m", i), "", 2, 400, 1)
		}
		sim.run(500 * time.Millisecond)
	}
	for i := range 5 {
		model := fmt.Sprint("m", i)
		is.True(holds(y, model) || holds(z, model)) // served again
	}
	is.Equal(x.orderCount, orders)
	held := len(x.held())
	sim.placer.SetDrains(&wire.ZoneDrains{Revision: 2})
	sim.run(5 * time.Second)
	is.True(len(x.held()) <= held)
}

func holds(f *fakeReplica, model string) bool {
	return slices.ContainsFunc(f.held(), func(h registry.Held) bool { return h.Name == model })
}

// TestEveryRequestedModelGetsACopy checks that, with room for every requested model, all of them
// are served soon after the demand has changed, whatever was loaded before, and that none is loaded
// twice as long as it is requested.
func TestEveryRequestedModelGetsACopy(t *testing.T) {
	const models, places = 14, 9
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		e.Models = e.Models[:0]
		for i := range models {
			e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Load: 2 * time.Second})
		}
		a, b, c := newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m5"), newFakeReplica("c", e, "m6", "m7", "m0")
		sim := newSimulation(e, a, b, c)
		sim.run(3 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "moves of the demand") {
			asked := rapid.SliceOfNDistinct(rapid.IntRange(0, models-1), 1, places, rapid.ID).Draw(t, "asked for")
			orders := len(sim.orders)
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
					sim.request("m"+strconv.Itoa(model), "", 1, 150, missing)
				}
				sim.run(500 * time.Millisecond)
			}
			loads := map[string]int{}
			for _, order := range sim.orders[orders:] {
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
