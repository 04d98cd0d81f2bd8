package exchange

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
)

// TestOldestPartsAreDroppedFirst: a part is dropped after as many others as are remembered.
func TestOldestPartsAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	var c partCache
	first := []Part{{ID: "first", Tokens: 7}}
	is.Equal(c.cached("m", first), 0)
	c.note("m", first)
	for i := range maxCachedParts - 1 {
		c.note("m", []Part{{ID: strconv.Itoa(i), Tokens: 1}})
	}
	is.Equal(c.cached("m", first), 7)
	is.Equal(c.cached("n", first), 0)
	c.note("m", []Part{{ID: "one more", Tokens: 1}})
	is.Equal(c.cached("m", first), 0)
	c.note("m", first)
	for i := range maxCachedParts - 1 {
		c.note("m", []Part{{ID: "later " + strconv.Itoa(i), Tokens: 1}})
	}
	is.Equal(c.cached("m", first), 7)
	is.Equal(len(c.known), maxCachedParts)
}

// TestUnusedReplicaTakesLittleMemory: a gateway with thousands of replicas allocated room for 512
// parts, 16 KB, for each of them.
func TestUnusedReplicaTakesLittleMemory(t *testing.T) {
	const replicas, bytesEach = 1000, 4 << 10
	is := is.New(t)
	var before, after runtime.MemStats
	peers := make([]*Peer, 0, replicas)
	runtime.ReadMemStats(&before)
	for range replicas {
		peers = append(peers, newPeer(registry.Record{}, Dial))
	}
	runtime.ReadMemStats(&after)
	is.Equal(len(peers), replicas)
	is.True(after.TotalAlloc-before.TotalAlloc < replicas*bytesEach)
}
