package placer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// TestRoomGoesToTheModelThatItWasMadeFor: a copy that made way for a model must
// not be replaced by one of another model that wants more copies meanwhile.
func TestRoomGoesToTheModelThatItWasMadeFor(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.LoadsPerSecond = 1
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4", "m0"), newFakeReplica("c", e, "m0", "m1", "m2"), newFakeReplica("d", e, "m0", "m1", "m2"))
	planned := map[string]string{} // by replica
	for range 80 {
		w.ask("m3", "", 5, 9000, 0)
		w.ask("m4", "", 5, 8000, 0)
		w.run(250 * time.Millisecond)
		for _, o := range w.orders {
			switch {
			case o.Adapter != "":
			case o.Operation == Unload:
				planned[o.Replica] = w.placer.units[o.Replica].next
			case planned[o.Replica] != "":
				is.Equal(o.Model, planned[o.Replica])
				planned[o.Replica] = ""
			}
		}
		w.orders = nil
	}
}

// TestThePlanWaitsForReplicasToRegister: with half of the replicas known, models
// that the others hold would seem lost.
func TestThePlanWaitsForReplicasToRegister(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e, "m1", "m2", "m3"))
	w.beat(w.replicas[0])
	for range 12 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.step()
	}
	w.beat(w.replicas[1])
	w.run(3 * time.Second)
	loaded := map[string]bool{}
	for _, o := range w.orders {
		loaded[o.Model] = loaded[o.Model] || o.Adapter == "" && o.Operation == Load
	}
	is.True(loaded["m4"])
	is.True(!loaded["m1"] && !loaded["m2"] && !loaded["m3"])
}

// TestEveryServiceIsPlanned: with two services of engines, the second one's lost
// models come back too.
func TestEveryServiceIsPlanned(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	first, second := newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m3", "m4")
	w := newWorld(e, first, second)
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: e}, {Name: "t", Engine: e}}})
	w.placer.options.Table = func() *catalog.Table { return table }
	w.service = map[string]string{"b": "t"}
	w.run(15 * time.Second)
	is.Equal(len(second.models), 3)
	is.Equal(len(first.models), 3)
}

// BenchmarkStep measures one step of a holder with 140 replicas, 305 models and
// 678 adapters, as docs/CAPACITY.md counts it.
func BenchmarkStep(b *testing.B) {
	e := &catalog.Engine{WeightsMB: 220, AdapterSlots: 8, LoadsPerSecond: 20}
	for i := range 305 {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Adapters: 2 + i%2/2})
	}
	var replicas []*fakeReplica
	for i := range 140 {
		name := func(n int) string { return "m" + strconv.Itoa((3*i+n)%305) }
		replicas = append(replicas, newFakeReplica("r"+strconv.Itoa(i), e, name(0), name(1), name(2)))
	}
	w := newWorld(e, replicas...)
	w.run(5 * time.Second)
	for i := range 47 {
		w.ask("m"+strconv.Itoa(i), "a1", 5, 5000, 0)
	}
	b.ResetTimer()
	for range b.N {
		w.now = w.now.Add(10 * time.Millisecond)
		w.step()
	}
}
