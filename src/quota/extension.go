package quota

import "time"

// extensionStep is how much is recorded at once, as time at the account's rate. Recording takes a
// sync on a majority of disks, some milliseconds, and during a flood an account requests several
// times its rate.
const extensionStep = 500 * time.Millisecond

// reducibleSteps is how many steps must be recorded in vain for the record to be lowered, so that
// lowering and raising do not alternate.
const reducibleSteps = 2

// extension is the part of its window that an account may use at once, beyond its bucket. It is
// recorded durably before it is used: other use grows no faster than the account's rate, so that a
// new allocator can do without knowing it, but it has to know the extension.
type extension struct {
	used slidingWindow
	// recorded is how much may be used over a window.
	recorded float64
	// blockedUntil is until when none may be used because the use by an earlier allocator is
	// unknown.
	blockedUntil time.Time
}

func (e *extension) isBlocked(now time.Time) bool { return now.Before(e.blockedUntil) }

// inUse reports whether some of the extension was, or may have been, used in the present window.
func (e *extension) inUse(now time.Time) bool {
	return e.used.used(now) > 0 || e.recorded > 0 && e.isBlocked(now)
}

// reducible reports whether far more is recorded than is used in the present window: the next allocator
// has to assume that all of it was used since the last report.
func (e *extension) reducible(now time.Time, rate float64) bool {
	unused := e.recorded - e.used.used(now)
	return !e.isBlocked(now) && unused > reducibleSteps*rate*extensionStep.Seconds()
}

// take takes units, or returns how many units have to be recorded first.
func (e *extension) take(now time.Time, units, rate float64) (record float64) {
	used := e.used.used(now)
	if used+units > e.recorded {
		return used + max(units, rate*extensionStep.Seconds())
	}
	e.used.add(now, units)
	return 0
}
