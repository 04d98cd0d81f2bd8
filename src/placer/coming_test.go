package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestModelBeingLoadedIsPublishedAsComing checks that a model without a copy is published as coming
// from the decision to load it until a copy is ready.
func TestModelBeingLoadedIsPublishedAsComing(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	for i := range e.Models {
		e.Models[i].Load = 2 * time.Second
	}
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1"), newFakeReplica("b", e, "m2", "m3"))
	sim.run(2 * time.Second)
	seen := false
	for range 40 {
		sim.request("m4", "", 1, 400, 1)
		sim.run(100 * time.Millisecond)
		for _, c := range sim.holdings.Coming {
			is.Equal(c.Model, "m4")
			is.True(c.InMS > 0 && c.InMS <= 2000)
			seen = true
		}
	}
	is.True(seen)
	is.True(holds(sim.fakes[0], "m4") || holds(sim.fakes[1], "m4"))
	is.Equal(len(sim.holdings.Coming), 0)
}
