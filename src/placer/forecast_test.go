package placer

import (
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
