package placer

import (
	"github.com/moorspool/moorspool/src/catalog"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheModelsBehindTheBusyRunAreExpectedNext(t *testing.T) {
	is := is.New(t)
	got := forecast([]float64{0, 2, 1, 1, 1, 0, 0, 0, 0.1})
	is.True(got[5] > 0.3 && got[6] > 0.3) // half as many as are busy
	is.Equal(got[7], 0.0)
	is.Equal(got[0], 0.0)
	is.Equal(got[1], 2.0)
	is.Equal(forecast([]float64{0, 0, 0}), []float64{0, 0, 0})
	is.Equal(len(forecast([]float64{0, 0, 3})), 3) // the run ends with the list
}

// TestAnAdapterThatJustCameDoesNotMakeWay: one that was waited for must not be
// pushed out by the next at once, though it is asked for least.
func TestAnAdapterThatJustCameDoesNotMakeWay(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0"))
	w.run(5 * time.Second)
	f := w.replicas[0]
	absent := ""
	for n := 1; n <= 4; n++ {
		name := "a" + strconv.Itoa(n)
		if !f.models["m0"][name] {
			absent = name
			continue
		}
		w.ask("m0", name, 10, 0, 0)
	}
	w.ask("m0", absent, 1, 0, 1)
	w.run(200 * time.Millisecond)
	is.True(f.models["m0"][absent])
	gone := ""
	for n := 1; n <= 4; n++ {
		if name := "a" + strconv.Itoa(n); !f.models["m0"][name] {
			gone = name
		}
	}
	w.ask("m0", gone, 1, 0, 1)
	w.run(200 * time.Millisecond)
	is.True(f.models["m0"][absent]) // it stays
	is.True(f.models["m0"][gone])   // another made way
}

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

// TestBusyModelsAreGuessedFromTheirCopies: before any request, the models on many
// replicas count as busy, and those behind them get the room that is free.
func TestBusyModelsAreGuessedFromTheirCopies(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m1", "m3"), newFakeReplica("c", e, "m0", "m1", "m4"), newFakeReplica("d", e, "m0", "m1"))
	for _, f := range w.replicas {
		w.beat(f)
	}
	w.run(12 * time.Second)
	copies := map[string]int{}
	for _, f := range w.replicas {
		for name := range f.models {
			copies[name]++
		}
	}
	is.Equal(copies["m2"], 2)
	is.Equal(copies["m0"], 4)
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

// TestAnAdapterThatIsAskedForMuchComesToMoreReplicas: while one replica holds it,
// its requests have no choice; places that are free bring them one.
func TestAnAdapterThatIsAskedForMuchComesToMoreReplicas(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.AdapterSlots = 6
	w := newWorld(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e, "m0"))
	e.Models = e.Models[:1]
	w.run(4 * time.Second)
	for range 20 {
		w.ask("m0", "a1", 5, 0, 0)
		w.ask("m0", "a2", 0, 0, 0)
		w.run(500 * time.Millisecond)
	}
	holders := map[string]int{}
	for _, f := range w.replicas {
		for adapter := range f.models["m0"] {
			holders[adapter]++
		}
		is.True(len(f.models["m0"]) <= e.AdapterSlots-sparePlaces)
		is.Equal(f.over, "")
	}
	is.Equal(holders["a1"], 2)
	is.Equal(holders["a2"], 1) // nobody asks for it
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
