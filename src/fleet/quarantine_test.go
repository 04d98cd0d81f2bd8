package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestQuarantineIsCollectedFromEachNode: a control node that starts after the others missed what they
// forwarded as they started, and its gateways sent contents that all others had quarantined. It asks each
// of the others until it has an answer, also one that is down at first or joins meanwhile.
func TestQuarantineIsCollectedFromEachNode(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var mu sync.Mutex
	asked := map[string]int{}
	peers := func() []string {
		mu.Lock()
		defer mu.Unlock()
		if asked["b"] > 0 {
			return []string{"a", "b", "c"}
		}
		return []string{"a", "b"}
	}
	collectFromAll(ctx, peers, func(_ context.Context, address string) bool {
		mu.Lock()
		defer mu.Unlock()
		asked[address]++
		return address != "b" || asked["b"] == 3
	})
	is.NoErr(ctx.Err())
	is.Equal(asked, map[string]int{"a": 1, "b": 3, "c": 1})
}
