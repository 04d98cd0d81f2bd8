package quota

import (
	"math"
	"time"
)

// bucket saves units at a rate up to a depth.
type bucket struct {
	rate  float64
	depth float64
	level float64
	// spilled is what did not fit since it was last looked at.
	spilled float64
	at      time.Time
}

// advance saves what the time since the last call has brought at the rate until now.
func (b *bucket) advance(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.at = now
		b.add(passed * b.rate)
	}
}

// add saves units as far as they fit.
func (b *bucket) add(units float64) {
	b.level += units
	if over := b.level - b.depth; over > 0 {
		b.level = b.depth
		b.spilled += over
	}
}

// set changes rate and depth from now on.
func (b *bucket) set(now time.Time, rate, depth float64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.add(0)
}

// take takes units if there are so many; if not, it returns how long the bucket needs for
// them, which is never if it can't hold so many.
func (b *bucket) take(now time.Time, units float64) (taken bool, wait time.Duration) {
	return b.takeFrom(now, units, units)
}

// borrow is take that gives more than the bucket can hold once it is full: what it lacks is
// saved up before anything else is given.
func (b *bucket) borrow(now time.Time, units float64) (taken bool, wait time.Duration) {
	return b.takeFrom(now, units, min(units, b.depth))
}

// takeFrom takes units once the level has reached enough.
func (b *bucket) takeFrom(now time.Time, units, enough float64) (taken bool, wait time.Duration) {
	b.advance(now)
	if b.level >= enough {
		b.level -= units
		return true, 0
	}
	if enough > b.depth || b.rate <= 0 {
		return false, never
	}
	return false, time.Duration((enough - b.level) / b.rate * float64(time.Second))
}

// never is a wait without an end.
const never = time.Duration(math.MaxInt64)
