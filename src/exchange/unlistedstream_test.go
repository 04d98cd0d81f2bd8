package exchange

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// TestAReplicaOffTheListThatTakesNoConnectionsFinishesItsStreams: a list may lack a server without having told that it
// leaves, and a refused connection was taken for its end.
func TestAReplicaOffTheListThatTakesNoConnectionsFinishesItsStreams(t *testing.T) {
	is := is.New(t)
	var b *bench
	x := newSilentReplica(t, "x", opError(syscall.ECONNREFUSED), func(a arrival) {
		beginStream(a)
		b.fleet.SetReplicas(registry.Changes{Removed: []string{"x"}})
	}, finishStream)
	b = newBench(t, route(catalog.Streaming, 1), x.fakeReplica)
	x.failDials(b.fleet)
	got := b.do("POST", "one", "x")
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2"})
}
