package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
)

// A drain that reached one planner was reported as done, although the planner of the host's zone was not among
// those reached: the operator took the host down with its models on it.
func TestDrainNamesThePlannersThatWereNotReached(t *testing.T) {
	is := is.New(t)
	var all []config.Object
	for _, zone := range []string{"north", "south"} {
		all = append(all, config.Object{Key: config.Key{Kind: config.KindAuthority, Name: zone}, Authority: &config.Authority{Address: zone + ":1"}})
	}
	is.NoErr(tellPlanners(all, func(string) error { return nil }))
	err := tellPlanners(all, func(address string) error {
		if address == "south:1" {
			return errors.New("connection refused")
		}
		return nil
	})
	var exit *exitError
	is.True(errors.As(err, &exit))
	is.Equal(exit.code, ExitUnavailable)
	is.True(strings.Contains(err.Error(), "told 1 of 2"))
	is.True(strings.Contains(err.Error(), "south (connection refused)"))
	is.True(!strings.Contains(err.Error(), "north"))
	is.True(tellPlanners(nil, nil) != nil)
}
