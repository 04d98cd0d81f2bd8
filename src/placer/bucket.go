package placer

import "time"

// The size of the bucket: a fixed number of loads, plus the loads allowed in a fraction of a
// second.
const (
	burstLoads   = 2.0
	burstSeconds = 0.25
)

// tokenBucket limits the rate of loads from the weight store.
type tokenBucket struct {
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// newTokenBucket returns a full bucket: a new holder starts after a lease in which no loads were
// ordered.
func newTokenBucket(rate float64) *tokenBucket {
	burst := burstLoads + burstSeconds*rate
	return &tokenBucket{burst: burst, tokens: burst}
}

// refill adds the tokens for the time since the last refill, at a rate per second.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, b.burst)
	}
	b.refilledAt = now
}

// available returns the number of loads that may start now.
func (b *tokenBucket) available() int { return int(b.tokens) }

// take removes the token of one load.
func (b *tokenBucket) take() { b.tokens-- }
