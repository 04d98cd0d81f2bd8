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

func TestSameSeedGivesSameOutput(t *testing.T) {
	e := kilima(t)
	var first, second bytes.Buffer
	is := is.New(t)
	is.NoErr(CSV(&first, []Result{Run(e, Policies[0]), Run(e, Policies[1])}))
	is.NoErr(CSV(&second, []Result{Run(e, Policies[0]), Run(e, Policies[1])}))
	is.Equal(first.String(), second.String())
}

// TestPolicyMeetsItsGoals checks the policy's results against its goals. They are
// the same in every run, since the simulation uses virtual time and a seed.
func TestPolicyMeetsItsGoals(t *testing.T) {
	e := kilima(t)
	own, static, replan := Run(e, Policies[0]), Run(e, Policies[1]), Run(e, Policies[3])
	is := is.New(t)
	is.True(own.OfBound() >= 0.9)                              // compared with the upper bound
	is.True(own.Attainment() >= 1.3*static.Attainment())       // compared with static placement
	is.True(float64(own.Moves()) <= float64(replan.Moves())/3) // compared with full replanning
	is.Equal(own.Breaches, 0)
	is.Equal(own.Unreachable.Seconds(), 0.0)
}
