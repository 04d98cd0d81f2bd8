package exchange

import (
	"sync"
	"time"
)

// The window of a budget is divided into buckets. Repeats are kept for one bucket longer than
// requests: the current bucket is incomplete, so the window reaches into the oldest one.
const (
	requestBuckets = 20
	repeatBuckets  = requestBuckets + 1
)

// The shares of a budget that gateways use. A repeat may fall into a later window than the requests
// that allowed it; two adjacent windows together hold at most twice the larger one.
const (
	ratioSpendShare = 0.5
	extraSpendShare = 0.8
)

// BudgetLimits limit the arrivals of requests beyond the first, summed over all gateways.
type BudgetLimits struct {
	// Ratio is the share of requests that may be sent a second time.
	Ratio float64
	// Extra is the number of repeats in a window that are allowed in addition.
	Extra float64
	// Window is the length of the window.
	Window time.Duration
}

// Budget is one gateway's share of the retries to one service. It is safe for concurrent use.
type Budget struct {
	limits BudgetLimits

	mu       sync.Mutex
	requests [requestBuckets]float64
	repeats  [repeatBuckets]float64
	bucket   int64
}

// NewBudget returns an unused budget.
func NewBudget(limits BudgetLimits) *Budget { return &Budget{limits: limits} }

// Request counts the first arrival of a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.bucket%requestBuckets]++
}

// Withdraw takes the first arrival of a request back, which was counted at the given time.
func (b *Budget) Withdraw(counted time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := counted.UnixNano() / int64(b.limits.Window/requestBuckets)
	if b.bucket-bucket < requestBuckets && b.requests[bucket%requestBuckets] > 0 {
		b.requests[bucket%requestBuckets]--
	}
}

// Take uses one repeat if the budget has one. The budget is shared by the given number of gateways.
func (b *Budget) Take(now time.Time, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := ratioSpendShare*b.limits.Ratio*total(b.requests[:]) + extraSpendShare*b.limits.Extra/float64(max(gateways, 1))
	if total(b.repeats[:])+1 > allowed {
		return false
	}
	b.repeats[b.bucket%repeatBuckets]++
	return true
}

// GiveBack withdraws a repeat that was taken at the given time and not made.
func (b *Budget) GiveBack(taken time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := taken.UnixNano() / int64(b.limits.Window/requestBuckets)
	if b.bucket-bucket < repeatBuckets && b.repeats[bucket%repeatBuckets] > 0 {
		b.repeats[bucket%repeatBuckets]--
	}
}

// advance clears the buckets that have left the window; the lock is held.
func (b *Budget) advance(now time.Time) {
	present := now.UnixNano() / int64(b.limits.Window/requestBuckets)
	for step := int64(0); b.bucket < present && step < repeatBuckets; step++ {
		b.bucket++
		b.requests[b.bucket%requestBuckets] = 0
		b.repeats[b.bucket%repeatBuckets] = 0
	}
	if b.bucket < present {
		clear(b.requests[:])
		clear(b.repeats[:])
		b.bucket = present
	}
}

func total(buckets []float64) float64 {
	sum := 0.0
	for _, value := range buckets {
		sum += value
	}
	return sum
}
