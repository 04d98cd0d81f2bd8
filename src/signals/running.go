package signals

import "time"

const (
	// tickInterval is the interval at which a process records that it runs.
	tickInterval = 50 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a process that did not stand still.
	maxTickGap = 2 * tickInterval
	// deliveryTime is how long a signal may be under way within a process that runs again.
	deliveryTime = 250 * time.Millisecond
	// deliveryTicks is the number of ticks in deliveryTime. A process that stands still again makes none, and delivers nothing.
	deliveryTicks = int(deliveryTime / tickInterval)
	// tickCount is the number of ticks that are kept, more than there are in deliveryTime.
	tickCount = 16
)

// running is when a process ran lately.
type running struct {
	// ticks is a ring of times, of which next is the oldest one. Those that were not made yet are zero.
	ticks [tickCount]time.Time
	next  int
}

// add records that the process runs.
func (r *running) add(now time.Time) {
	r.ticks[r.next] = now
	r.next = (r.next + 1) % tickCount
}

// tick returns a tick by its age, 0 for the last one. It is the zero time if there was none.
func (r *running) tick(age int) time.Time {
	return r.ticks[(r.next+2*tickCount-1-age)%tickCount]
}

// withoutSignalAt returns the latest time at which a signal that was learned of now cannot have been sent yet. The last
// tick may have overtaken the signal within the process. So may each one after a pause, as all that waited
// goes on at once.
func (r *running) withoutSignalAt(learned time.Time) time.Time {
	at, later := r.tick(1), learned
	if at.IsZero() {
		at = r.tick(0)
	}
	for age := range tickCount {
		tick := r.tick(age)
		if tick.IsZero() || age >= deliveryTicks && learned.Sub(later) > deliveryTime {
			break
		}
		if later.Sub(tick) > maxTickGap && tick.Before(at) {
			at = tick
		}
		later = tick
	}
	return at
}

// settled reports whether the process has run long enough since its last pause to know what came during that.
func (r *running) settled(now time.Time) bool {
	last, before := r.tick(0), r.tick(1)
	return now.Sub(last) <= deliveryTime && (before.IsZero() || last.Sub(before) <= deliveryTime)
}
