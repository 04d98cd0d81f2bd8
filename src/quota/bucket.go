package quota

import (
	"math"
	"time"
)

// bucket is a token bucket: it fills at a constant rate up to its depth.
type bucket struct {
	rate  float64
	depth float64
	level float64
	// overflow counts the units that did not fit since the last report.
	overflow float64
	at       time.Time
}

// advance adds the units for the time since the last call.
func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.at = now
		b.add(elapsed * b.rate)
	}
}

// add adds units up to the depth and counts the rest as overflow.
func (b *bucket) add(units float64) {
	b.level += units
	if excess := b.level - b.depth; excess > 0 {
		b.level = b.depth
		b.overflow += excess
	}
}

// set changes rate and depth from now on.
func (b *bucket) set(now time.Time, rate, depth float64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.add(0)
}

// take removes units if the bucket holds that many. Otherwise it returns the time until it does, or
// never if the units exceed the depth.
func (b *bucket) take(now time.Time, units float64) (taken bool, wait time.Duration) {
	return b.takeWithThreshold(now, units, units)
}

// borrow is like take, but a full bucket also grants more than its depth. The level then becomes
// negative and has to recover before anything else is granted.
func (b *bucket) borrow(now time.Time, units float64) (taken bool, wait time.Duration) {
	return b.takeWithThreshold(now, units, min(units, b.depth))
}

// takeWithThreshold removes units once the level has reached the threshold.
func (b *bucket) takeWithThreshold(now time.Time, units, threshold float64) (taken bool, wait time.Duration) {
	b.advance(now)
	if b.level >= threshold {
		b.level -= units
		return true, 0
	}
	if threshold > b.depth || b.rate <= 0 {
		return false, never
	}
	return false, time.Duration((threshold - b.level) / b.rate * float64(time.Second))
}

// never is the wait of a request that can't be granted at all.
const never = time.Duration(math.MaxInt64)
