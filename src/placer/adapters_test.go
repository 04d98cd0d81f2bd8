package placer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecentlyLoadedAdapterIsNotEvicted guards against evicting an adapter right after the load
// that requests waited for, because it has the fewest requests.
func TestRecentlyLoadedAdapterIsNotEvicted(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0"))
	sim.run(5 * time.Second)
	f := sim.fakes[0]
	absent := ""
	for n := 1; n <= 4; n++ {
		name := "a" + strconv.Itoa(n)
		if !f.models["m0"][name] {
			absent = name
			continue
		}
		sim.request("m0", name, 10, 0, 0)
	}
	sim.request("m0", absent, 1, 0, 1)
	sim.run(200 * time.Millisecond)
	is.True(f.models["m0"][absent])
	gone := ""
	for n := 1; n <= 4; n++ {
		if name := "a" + strconv.Itoa(n); !f.models["m0"][name] {
			gone = name
		}
	}
	sim.request("m0", gone, 1, 0, 1)
	sim.run(200 * time.Millisecond)
	is.True(f.models["m0"][absent]) // the recent one is kept
	is.True(f.models["m0"][gone])   // another one was evicted
}

// TestBusyAdapterIsLoadedOnMoreReplicas checks that a busy adapter is loaded on further replicas
// with free slots. On a single replica its requests cannot be balanced.
func TestBusyAdapterIsLoadedOnMoreReplicas(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.AdapterSlots = 6
	sim := newSimulation(e, newFakeReplica("a", e, "m0"), newFakeReplica("b", e, "m0"))
	e.Models = e.Models[:1]
	sim.run(4 * time.Second)
	for range 20 {
		sim.request("m0", "a1", 5, 0, 0)
		sim.request("m0", "a2", 0, 0, 0)
		sim.run(500 * time.Millisecond)
	}
	copyCounts := map[string]int{}
	for _, f := range sim.fakes {
		for adapter := range f.models["m0"] {
			copyCounts[adapter]++
		}
		is.True(len(f.models["m0"]) <= e.AdapterSlots-reservedAdapterSlots)
		is.Equal(f.overcommitted, "")
	}
	is.Equal(copyCounts["a1"], 2)
	is.Equal(copyCounts["a2"], 1) // not requested
}
