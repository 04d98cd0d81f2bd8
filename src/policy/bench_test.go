package policy

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func kilima(t *testing.T) Experiment {
	t.Helper()
	e, err := ReadExperiment("../../examples/policy/kilima.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	e := kilima(t)
	var first, second bytes.Buffer
	is := is.New(t)
	is.NoErr(CSV(&first, []Result{Run(e, Policies[0]), Run(e, Policies[1])}))
	is.NoErr(CSV(&second, []Result{Run(e, Policies[0]), Run(e, Policies[1])}))
	is.Equal(first.String(), second.String())
}

// TestPolicyKeepsItsGoals holds the policy to its measures on virtual time: the
// same seed, the same result at every run.
func TestPolicyKeepsItsGoals(t *testing.T) {
	e := kilima(t)
	own, static, replan := Run(e, Policies[0]), Run(e, Policies[1]), Run(e, Policies[3])
	is := is.New(t)
	is.True(own.OfBound() >= 0.9)                              // of a clairvoyant
	is.True(own.Attainment() >= 1.3*static.Attainment())       // of static placement
	is.True(float64(own.Moves()) <= float64(replan.Moves())/3) // of replanning
	is.Equal(own.Breaches, 0)
	is.Equal(own.Unreachable.Seconds(), 0.0)
}
