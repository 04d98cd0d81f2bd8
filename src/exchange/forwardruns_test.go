package exchange

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestAForwardedStreamRunsNoMoreOftenThanItsRouteAllows: the gateway that forwarded a stream counted one run for all that
// the other one had made, and had it run again.
func TestAForwardedStreamRunsNoMoreOftenThanItsRouteAllows(t *testing.T) {
	for name, act := range map[string]behaviour{"closed": toTheClose, "broken off": breaking(1), "no answer": func(arrival) bool { return false }} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []*fakeReplica
			for i := range 4 {
				servers = append(servers, newReplica(t, fmt.Sprint("x", i), act))
			}
			n := newForwardNet(t, resumableRoute(2), 2, servers...)
			n.loseLinks()
			got := n.do("POST", "one", "x")
			is.True(got.err != nil || got.status != 200)
			runs := 0
			for _, s := range servers {
				runs += s.count()
			}
			is.True(runs <= 2) // it ran more often than the route allows
		})
	}
}
