package route

import (
	"sync/atomic"
	"time"
)

// The breaker's limits.
const (
	breakAfter = 4
	breakFirst = 500 * time.Millisecond
	breakMost  = 4 * time.Second
)

// Breaker keeps requests from another availability zone after failures in a
// row there, whichever hosts they hit: after a cut every host of the zone is out
// of reach at once, and finding that out host by host would cost each request
// its time. Now and then one request tries again. A nil Breaker is never open.
type Breaker struct {
	failures atomic.Int64
	openTo   atomic.Int64
}

func (b *Breaker) open(now int64) bool {
	return b != nil && b.openTo.Load() > now
}

// Open reports whether the zone is avoided now.
func (b *Breaker) Open(now time.Time) bool { return b.open(now.UnixNano()) }

func (b *Breaker) succeeded() {
	if b == nil || b.failures.Load() == 0 {
		return
	}
	b.failures.Store(0)
	b.openTo.Store(0)
}

func (b *Breaker) failed(now time.Time) {
	if b == nil {
		return
	}
	failures := b.failures.Add(1)
	if failures < breakAfter {
		return
	}
	avoid := min(breakFirst<<min(failures-breakAfter, 8), breakMost)
	b.openTo.Store(now.Add(avoid).UnixNano())
}
