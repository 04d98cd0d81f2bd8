package route

import (
	"sync/atomic"
	"time"
)

// Parameters of the breaker.
const (
	openAfter   = 4
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 4 * time.Second
)

// Breaker is a circuit breaker for another availability zone. It opens after consecutive failures
// on any hosts of the zone: after a network partition all its hosts are unreachable at once, and to
// find that out host by host would delay each request. From time to time it lets requests through
// to check whether the zone is reachable again. A nil Breaker is never open.
type Breaker struct {
	failures  atomic.Int64
	openUntil atomic.Int64
}

func (b *Breaker) isOpen(now int64) bool {
	return b != nil && b.openUntil.Load() > now
}

// Open reports whether the zone is avoided now.
func (b *Breaker) Open(now time.Time) bool { return b.isOpen(now.UnixNano()) }

func (b *Breaker) recordSuccess() {
	if b == nil || b.failures.Load() == 0 {
		return
	}
	b.failures.Store(0)
	b.openUntil.Store(0)
}

func (b *Breaker) recordFailure(now time.Time) {
	if b == nil {
		return
	}
	failures := b.failures.Add(1)
	if failures < openAfter {
		return
	}
	avoid := min(minOpenTime<<min(failures-openAfter, 8), maxOpenTime)
	b.openUntil.Store(now.Add(avoid).UnixNano())
}
