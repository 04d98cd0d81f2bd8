package placer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// TestFreedMemoryGoesToThePlannedModel checks that the room made for a model is not used for
// another model that has come to need more copies meanwhile.
func TestFreedMemoryGoesToThePlannedModel(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.LoadsPerSecond = 1
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m0"), newFakeReplica("c", e, "m0", "m1", "m2"), newFakeReplica("d", e, "m0", "m1", "m2"))
	planned := map[string]string{} // by replica
	for range 80 {
		sim.request("m3", "", 5, 9000, 0)
		sim.request("m4", "", 5, 8000, 0)
		sim.run(250 * time.Millisecond)
		for _, o := range sim.orders {
			switch {
			case o.Adapter != "":
			case o.Operation == Unload:
				planned[o.Replica] = sim.placer.replicas[o.Replica].pendingLoad
			case planned[o.Replica] != "":
				is.Equal(o.Model, planned[o.Replica])
				planned[o.Replica] = ""
			}
		}
		sim.orders = nil
	}
}

// TestPlanWaitsForRegistrations guards against a plan made with only half of the replicas known,
// which would load models again that the others hold.
func TestPlanWaitsForRegistrations(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e, "m1", "m2", "m3"))
	sim.heartbeat(sim.fakes[0])
	for range 12 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.step()
	}
	sim.heartbeat(sim.fakes[1])
	sim.run(3 * time.Second)
	loaded := map[string]bool{}
	for _, o := range sim.orders {
		loaded[o.Model] = loaded[o.Model] || o.Adapter == "" && o.Operation == Load
	}
	is.True(loaded["m4"])
	is.True(!loaded["m1"] && !loaded["m2"] && !loaded["m3"])
}

// TestEveryServiceIsPlanned checks that models without a copy are loaded for the second of two
// services too.
func TestEveryServiceIsPlanned(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	first, second := newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4")
	sim := newSimulation(e, first, second)
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: e}, {Name: "t", Engine: e}}})
	sim.placer.options.Table = func() *catalog.Table { return table }
	sim.service = map[string]string{"b": "t"}
	sim.run(15 * time.Second)
	is.Equal(len(second.models), 3)
	is.Equal(len(first.models), 3)
}

// BenchmarkStep measures one step of a leader with 140 replicas, 305 models and 678 adapters, the
// figure in docs/CAPACITY.md.
func BenchmarkStep(b *testing.B) {
	e := &catalog.Engine{WeightsMB: 220, AdapterSlots: 8, LoadsPerSecond: 20}
	for i := range 305 {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Adapters: 2 + i%2/2})
	}
	var fakes []*fakeReplica
	for i := range 140 {
		name := func(n int) string { return "m" + strconv.Itoa((3*i+n)%305) }
		fakes = append(fakes, newFakeReplica("r"+strconv.Itoa(i), e, name(0), name(1), name(2)))
	}
	sim := newSimulation(e, fakes...)
	sim.run(5 * time.Second)
	for i := range 47 {
		sim.request("m"+strconv.Itoa(i), "a1", 5, 5000, 0)
	}
	b.ResetTimer()
	for range b.N {
		sim.now = sim.now.Add(10 * time.Millisecond)
		sim.step()
	}
}
