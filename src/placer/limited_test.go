package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedSimulation returns a simulation in which replica x1 holds five models that get 4 requests
// a second each, and two further replicas that are empty.
func limitedSimulation() (sim *simulation, x, y, z *fakeReplica) {
	e := testEngine()
	e.WeightsMB, e.LoadsPerSecond = 500, 1
	x = newFakeReplica("x1", e, "m0", "m1", "m2", "m3", "m4")
	y, z = newFakeReplica("y1", e), newFakeReplica("z1", e)
	return newSimulation(e, x, y, z), x, y, z
}

// requestAll sends requests for the five models for a time.
func (sim *simulation) requestAll(span time.Duration) {
	for range span / (500 * time.Millisecond) {
		for i := range 5 {
			sim.request(fmt.Sprint("m", i), "", 2, 40, 0)
		}
		sim.run(500 * time.Millisecond)
	}
}

// countHeld counts the models held by y or z.
func countHeld(y, z *fakeReplica) (count int) {
	for i := range 5 {
		if model := fmt.Sprint("m", i); holds(y, model) || holds(z, model) {
			count++
		}
	}
	return count
}

// TestModelsOfLimitedReplicaAreLoadedElsewhere checks that the copies on a replica are ignored once
// its limit has been below its demand for longer than the grace period.
func TestModelsOfLimitedReplicaAreLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	sim, _, y, z := limitedSimulation()
	sim.requestAll(5 * time.Second)
	sim.placer.SetLimits(map[string]float64{"x1": 1})
	sim.requestAll(30 * time.Second)
	is.Equal(countHeld(y, z), 5)
}

// TestBriefOrSufficientLimitMovesNothing checks that nothing moves for a limit above the demand or
// one that ends within the grace period.
func TestBriefOrSufficientLimitMovesNothing(t *testing.T) {
	is := is.New(t)
	free, _, freeY, freeZ := limitedSimulation()
	free.requestAll(40 * time.Second)
	sim, _, y, z := limitedSimulation()
	sim.requestAll(5 * time.Second)
	sim.placer.SetLimits(map[string]float64{"x1": 1})
	sim.requestAll(limitGracePeriod - time.Second)
	sim.placer.SetLimits(nil)
	sim.requestAll(5 * time.Second)
	sim.placer.SetLimits(map[string]float64{"x1": 200})
	sim.requestAll(30 * time.Second)
	is.Equal(countHeld(y, z), countHeld(freeY, freeZ))
}

// TestNothingMovesIfMostReplicasAreLimited checks that nothing moves if there is no better place.
func TestNothingMovesIfMostReplicasAreLimited(t *testing.T) {
	is := is.New(t)
	sim, _, _, _ := limitedSimulation()
	sim.requestAll(5 * time.Second)
	orders := len(sim.orders)
	sim.placer.SetLimits(map[string]float64{"x1": 1, "y1": 1, "z1": 1})
	sim.requestAll(20 * time.Second)
	free, _, _, _ := limitedSimulation()
	free.requestAll(5 * time.Second)
	before := len(free.orders)
	free.requestAll(20 * time.Second)
	is.Equal(len(sim.orders)-orders, len(free.orders)-before)
}
