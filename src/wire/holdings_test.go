package wire

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

func drawHoldings(t *rapid.T, version uint64) *Holdings {
	h := &Holdings{Term: 3, Version: version}
	used := map[Holding]bool{}
	for range rapid.IntRange(0, 12).Draw(t, "copies") {
		held := Holding{Replica: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "replica")), Model: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "model")), Adapter: rapid.SampledFrom([]string{"", "a1"}).Draw(t, "adapter")}
		if used[held] {
			continue
		}
		used[held] = true
		held.Leaving = rapid.Bool().Draw(t, "leaving")
		h.Copies = append(h.Copies, held)
	}
	return h
}

func asSet(h *Holdings) map[Holding]bool {
	set := map[Holding]bool{}
	for _, held := range h.Copies {
		set[held] = true
	}
	return set
}

// TestHoldingsDifferencesReproducePublishedState: holdings reconstructed from differences
// must equal the published ones after any sequence of changes.
func TestHoldingsDifferencesReproducePublishedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := drawHoldings(t, 1)
		known := published
		for version := uint64(2); version < 6; version++ {
			next := drawHoldings(t, version)
			delta := next.Since(published)
			if rapid.Bool().Draw(t, "an old difference comes first") {
				if _, fits := known.With(&Holdings{Term: 3, Version: version, Base: version - 2}); fits {
					t.Fatal("a difference with another base was applied")
				}
			}
			applied, fits := known.With(delta)
			if !fits || !maps.Equal(asSet(applied), asSet(next)) {
				t.Fatalf("%+v with %+v is %+v, not %+v", known, delta, applied, next)
			}
			published, known = next, applied
		}
	})
}
