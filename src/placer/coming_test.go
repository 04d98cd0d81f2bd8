package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestModelsWithoutACopyAreToldOfAsComing from the decision on until one serves.
func TestModelsWithoutACopyAreToldOfAsComing(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	for i := range e.Models {
		e.Models[i].Load = 2 * time.Second
	}
	w := newWorld(e, newFakeReplica("a", e, "m0", "m1"), newFakeReplica("b", e, "m2", "m3"))
	w.run(2 * time.Second)
	seen := false
	for range 40 {
		w.ask("m4", "", 1, 400, 1)
		w.run(100 * time.Millisecond)
		for _, c := range w.holdings.Coming {
			is.Equal(c.Model, "m4")
			is.True(c.InMS > 0 && c.InMS <= 2000)
			seen = true
		}
	}
	is.True(seen)
	is.True(holds(w.replicas[0], "m4") || holds(w.replicas[1], "m4"))
	is.Equal(len(w.holdings.Coming), 0)
}
