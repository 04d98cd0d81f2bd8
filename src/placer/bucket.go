package placer

import "time"

// The loads that may begin at once: some, and the loads of a part of a second.
const (
	burstLoads   = 2.0
	burstSeconds = 0.25
)

// bucket bounds the loads from the weight store.
type bucket struct {
	burst  float64
	tokens float64
	at     time.Time
}

// newBucket returns a full one: a new holder begins after a lease in which nobody
// ordered anything.
func newBucket(rate float64) *bucket {
	burst := burstLoads + burstSeconds*rate
	return &bucket{burst: burst, tokens: burst}
}

// fill lets time pass at a rate a second.
func (b *bucket) fill(now time.Time, rate float64) {
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, b.burst)
	}
	b.at = now
}

// whole returns how many loads may begin now.
func (b *bucket) whole() int { return int(b.tokens) }

// take spends one load.
func (b *bucket) take() { b.tokens-- }
