package quota

import "time"

// extensionTime is how much is recorded at once, in time at the account's rate: recording
// takes a sync of a majority's disks, some milliseconds, and a flood asks for several
// times the rate.
const extensionTime = 500 * time.Millisecond

// extension is what an account may use of its window at once, beyond what it has saved up.
// What is used of it is recorded durably before: an account's other use grows no faster
// than its rate, so that whoever divides next need not know it, but this it has to.
type extension struct {
	used history
	// recorded is what may be used over a window.
	recorded float64
	// barred is until when there is none, because an earlier divider's use is not known.
	barred time.Time
}

func (e *extension) isBarred(now time.Time) bool { return now.Before(e.barred) }

// open reports whether some of it was used in the present window, or may have been.
func (e *extension) open(now time.Time) bool {
	return e.used.used(now) > 0 || e.recorded > 0 && e.isBarred(now)
}

// take takes units, or returns how many units have to be recorded first.
func (e *extension) take(now time.Time, units, rate float64) (record float64) {
	used := e.used.used(now)
	if used+units > e.recorded {
		return used + max(units, rate*extensionTime.Seconds())
	}
	e.used.add(now, units)
	return 0
}
