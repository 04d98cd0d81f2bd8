package placer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
