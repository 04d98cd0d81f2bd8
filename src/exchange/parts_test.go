package exchange

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
)

// TestPartsAreForgottenOldestFirst, once as many came after them as are remembered.
func TestPartsAreForgottenOldestFirst(t *testing.T) {
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

// TestAReplicaThatWasSentNothingCostsLittle: a gateway of thousands of replicas kept room
// for 512 parts for each of them, 16 KB.
func TestAReplicaThatWasSentNothingCostsLittle(t *testing.T) {
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
