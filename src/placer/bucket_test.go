package placer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStoreLoadRateHoldsAcrossLeaders checks that no window of 5 s has more loads than 1.1
// times the rate plus three, also if a holder and, one lease later, its successor load as early as
// they may.
func TestStoreLoadRateHoldsAcrossLeaders(t *testing.T) {
	const window, lease, step = 5 * time.Second, 3 * time.Second, 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 25).Draw(t, "loads a second")
		idle := time.Duration(rapid.IntRange(0, 6000).Draw(t, "idle ms")) * time.Millisecond
		busy := time.Duration(rapid.IntRange(0, 12000).Draw(t, "busy ms")) * time.Millisecond
		var loads []time.Time
		hold := func(from time.Time, idle, busy time.Duration) time.Time {
			b := newTokenBucket(rate)
			for at := from; at.Before(from.Add(idle + busy)); at = at.Add(step) {
				b.refill(at, rate)
				for at.Sub(from) >= idle && b.available() > 0 {
					b.take()
					loads = append(loads, at)
				}
			}
			return from.Add(idle + busy)
		}
		end := hold(startTime, idle, busy)
		hold(end.Add(lease), 0, 12*time.Second)
		for first := range loads {
			count := 0
			for _, at := range loads[first:] {
				if at.Sub(loads[first]) < window {
					count++
				}
			}
			if float64(count) > rate*window.Seconds()*1.1+3 {
				t.Fatalf("%d loads in %v at %v a second", count, window, rate)
			}
		}
	})
}
