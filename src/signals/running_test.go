package signals

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// start is when the processes of these tests start.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// ranAt returns the record of a process that ticked at times after its start.
func ranAt(ticks ...time.Duration) *running {
	r := &running{}
	for _, tick := range ticks {
		r.add(start.Add(tick))
	}
	return r
}

// ats returns single ticks.
func ats(ticks ...time.Duration) []time.Duration { return ticks }

// every returns ticks from one time to another, the last one excluded.
func every(interval, from, to time.Duration) []time.Duration {
	var ticks []time.Duration
	for ; from < to; from += interval {
		ticks = append(ticks, from)
	}
	return ticks
}

// TestASignalThatCameDuringAPauseIsNotTakenForANewOne: a process that went on after a pause took the time at which it read
// its signal for the time at which it was sent.
func TestASignalThatCameDuringAPauseIsNotTakenForANewOne(t *testing.T) {
	const ms = time.Millisecond
	steady := every(tickInterval, 0, 2000*ms) // the last one at 1950 ms
	for _, c := range []struct {
		name          string
		ticks         []time.Duration
		learned, want time.Duration
	}{
		{"at once", steady, 1951 * ms, 1900 * ms},
		{"right before a tick", steady, 1999 * ms, 1900 * ms},
		{"as the first thing after a pause", steady, 2900 * ms, 1900 * ms},
		{"after the tick that ends a pause", slices.Concat(steady, ats(2900*ms)), 2901 * ms, 1950 * ms},
		{"some ticks after a pause", slices.Concat(steady, every(tickInterval, 2900*ms, 3150*ms)), 3149 * ms, 1950 * ms},
		{"long after a pause", slices.Concat(steady, every(tickInterval, 2900*ms, 3200*ms)), 3199 * ms, 3100 * ms},
		{"between two pauses", slices.Concat(steady, ats(2200*ms, 2400*ms)), 2401 * ms, 1950 * ms},
		{"on a host that gives a share of each 100 ms", every(85*ms, 0, 1700*ms), 1616 * ms, 1530 * ms},
		{"right after the start", []time.Duration{0}, 10 * ms, 0},
		{"late after the start", []time.Duration{0}, 5000 * ms, 0},
		{"after the second tick", []time.Duration{0, tickInterval}, 51 * ms, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ranAt(c.ticks...).withoutSignalAt(start.Add(c.learned)).Sub(start), c.want)
		})
	}
}

// TestASignalIsNeverTakenForANewerOne draws pauses, and a signal that takes up to an interval to be learned of while the
// process runs, or up to deliveryTime after a pause.
func TestASignalIsNeverTakenForANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := &running{}, start
		r.add(now)
		wokeAt := time.Time{}
		for range rapid.IntRange(0, 40).Draw(t, "ticks") {
			gap := time.Duration(rapid.IntRange(50, 99).Draw(t, "gap")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(t, "pauses") == 0 {
				gap = time.Duration(rapid.IntRange(101, 5000).Draw(t, "pause")) * time.Millisecond
				wokeAt = now.Add(gap)
			}
			now = now.Add(gap)
			r.add(now)
		}
		learned := now.Add(time.Duration(rapid.IntRange(0, 49).Draw(t, "since the last tick")) * time.Millisecond)
		sent := learned.Add(-time.Duration(rapid.IntRange(0, 49).Draw(t, "under way")) * time.Millisecond)
		if paused := learned.Sub(wokeAt) <= deliveryTime; paused && rapid.Bool().Draw(t, "in the pause") {
			sent = lastBefore(r, wokeAt)
		}
		sent = latest(sent, start)
		if at := r.withoutSignalAt(learned); at.After(sent) {
			t.Fatalf("learned %s after the start, sent at %s, taken for sent after %s", learned.Sub(start), sent.Sub(start), at.Sub(start))
		}
	})
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lastBefore returns the last tick before a time.
func lastBefore(r *running, at time.Time) time.Time {
	for age := range tickCount {
		if tick := r.tick(age); tick.Before(at) {
			return tick
		}
	}
	return time.Time{}
}
