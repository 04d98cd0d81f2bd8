package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The takeover delay counts from the last renewal, not from the grant: a planner that has just
// renewed its lease still commands engines.
func TestAuthorityTakeoverWaitsForTheLastRenewalToExpire(t *testing.T) {
	s, is := newSim(t, 1, "k1", "k2", "k3"), is.New(t)
	s.run(2 * time.Second)
	s.grant("p0")
	s.run(takeoverDelay - time.Second)
	s.grant("p0") // renewed
	s.run(takeoverDelay - time.Second)
	s.grant("p1")
	s.run(100 * time.Millisecond)
	is.Equal(s.epochs[2], "") // the renewed lease may still run
	s.run(time.Second)
	s.grant("p1")
	s.run(100 * time.Millisecond)
	is.Equal(s.epochs[1], "p0")
	is.Equal(s.epochs[2], "p1")
}
