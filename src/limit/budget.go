package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// budgetFloor lets the first retries through before any request has succeeded.
const budgetFloor = 10

// Budget bounds retries to a share of the successful requests, so that
// failures can't multiply the load. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget returns a budget of share retries for each success.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: budgetFloor}
}

// Succeeded earns a share of a retry.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, budgetFloor*10)
}

// Take spends one retry; it reports false if there is none to spend.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The backoff before a retry.
const (
	backoffFirst = 5 * time.Millisecond
	backoffMost  = 200 * time.Millisecond
)

// Backoff returns the pause before the n-th retry: exponential with full jitter,
// so that requests that failed together don't come back together.
func Backoff(n int, random *rand.Rand) time.Duration {
	top := min(backoffFirst<<min(n, 16), backoffMost)
	return time.Duration(random.Int64N(int64(top) + 1))
}
