package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestModelsAfterBusyOnesAreForecast(t *testing.T) {
	is := is.New(t)
	got := forecast([]float64{0, 2, 1, 1, 1, 0, 0, 0, 0.1})
	is.True(got[5] > 0.3 && got[6] > 0.3) // half as many as there are busy models
	is.Equal(got[7], 0.0)
	is.Equal(got[0], 0.0)
	is.Equal(got[1], 2.0)
	is.Equal(forecast([]float64{0, 0, 0}), []float64{0, 0, 0})
	is.Equal(len(forecast([]float64{0, 0, 3})), 3) // the busy models are at the end of the list
}

// TestInitialDemandIsEstimatedFromCopies checks that, before the first request, the models on many
// replicas count as busy and the models that follow them get the free memory.
func TestInitialDemandIsEstimatedFromCopies(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	sim := newSimulation(e, newFakeReplica("a", e, "m0", "m1", "m2"), newFakeReplica("b", e, "m0", "m1", "m3"), newFakeReplica("c", e, "m0", "m1", "m4"), newFakeReplica("d", e, "m0", "m1"))
	for _, f := range sim.fakes {
		sim.heartbeat(f)
	}
	sim.run(12 * time.Second)
	copies := map[string]int{}
	for _, f := range sim.fakes {
		for name := range f.models {
			copies[name]++
		}
	}
	is.Equal(copies["m2"], 2)
	is.Equal(copies["m0"], 4)
}
