package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// initialTokens allows the first retries before any request has succeeded.
const initialTokens = 10

// RetryBudget limits retries to a fraction of the successful requests, so that failures can't
// multiply the load. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewRetryBudget returns a budget that allows share retries for each successful request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: initialTokens}
}

// Succeeded adds the share of a retry that a successful request earns.
func (b *RetryBudget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, initialTokens*10)
}

// Take consumes one retry; it reports false if the budget is used up.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the backoff before a retry.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Backoff returns the delay before the n-th retry: exponential with full jitter, so that requests
// that failed together are not retried together.
func Backoff(n int, random *rand.Rand) time.Duration {
	maxDelay := min(minBackoff<<min(n, 16), maxBackoff)
	return time.Duration(random.Int64N(int64(maxDelay) + 1))
}
