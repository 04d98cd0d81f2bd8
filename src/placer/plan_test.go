package placer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// TestWantedCopiesHaveAPlace: the copies that all models want together fit, as
// far as one for each does, and no model is left much more crowded than another.
func TestWantedCopiesHaveAPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0, 6), 1, 30).Draw(t, "work")
		places := rapid.IntRange(len(shares), 4*len(shares)).Draw(t, "places")
		target := copyShare(shares, places)
		wanted := 0
		for _, work := range shares {
			copies := wantedCopies(work, target)
			wanted += copies
			if work/float64(copies) > target*(1+copySlack)+1e-9 && work >= secondFloor {
				t.Fatalf("work %v on %d copies, %v for each wanted", work, copies, target)
			}
		}
		if wanted > places && target < mostCopyShare {
			t.Fatalf("%d copies wanted, %d places", wanted, places)
		}
	})
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
	planned := ""
	for range 80 {
		w.ask("m3", "", 5, 9000, 0)
		w.ask("m4", "", 5, 8000, 0)
		w.run(250 * time.Millisecond)
		for _, o := range w.orders {
			switch {
			case o.Adapter != "":
			case o.Operation == Unload:
				planned = w.placer.units[o.Replica].next
			case planned != "":
				is.Equal(o.Model, planned)
				planned = ""
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
