// Package testseed gives property tests a fixed random seed, so that CI has the same result at every
// run. `make soak` runs the tests with random seeds.
package testseed

import (
	"flag"
	"os"
)

const defaultSeed = "20261202"

// RandomSeedEnv is the environment variable that selects random seeds; rapid prints the seed of a
// failure.
const RandomSeedEnv = "MOORSPOOL_SOAK"

// SetFixedSeed sets rapid's flags. It must be called from the init function of a test package.
func SetFixedSeed() {
	if os.Getenv(RandomSeedEnv) != "" {
		return
	}
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
