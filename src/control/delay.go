package control

import (
	"sync"
	"time"
)

// delayWindow is the window over which the longest delays are kept. It matches the usual scrape
// interval of metrics collectors, so that no peak is missed.
const delayWindow = 15 * time.Second

// slowLoopThreshold is the event loop delay that is logged. It is half of the shortest election
// timeout: above it, the delays of two nodes together can cost the leader its leadership.
const slowLoopThreshold = 250 * time.Millisecond

// slowWriteThreshold is how long a write must be in progress to be logged as slow.
const slowWriteThreshold = time.Second

// Delays are the longest recent delays of a control node's event loop and disk.
type Delays struct {
	// Wait is how long a message or call was queued before the loop handled it.
	Wait time.Duration
	// Iteration is how long one iteration of the loop took.
	Iteration time.Duration
	// Write is how long a write took, or has been in progress.
	Write time.Duration
}

// maximum returns the longer delay of each kind.
func (d Delays) maximum(other Delays) Delays {
	return Delays{Wait: max(d.Wait, other.Wait), Iteration: max(d.Iteration, other.Iteration), Write: max(d.Write, other.Write)}
}

// delayMeter keeps the longest delays of the current and the previous window. It is safe for
// concurrent use.
type delayMeter struct {
	mu          sync.Mutex
	windowStart time.Time
	current     Delays
	previous    Delays
}

// record adds the delays of one loop iteration or write.
func (m *delayMeter) record(now time.Time, d Delays) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate(now)
	m.current = m.current.maximum(d)
}

// longest returns the longest delays of the last one to two windows.
func (m *delayMeter) longest(now time.Time) Delays {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate(now)
	return m.current.maximum(m.previous)
}

// rotate starts a new window if the current one is over. The caller holds the lock.
func (m *delayMeter) rotate(now time.Time) {
	age := now.Sub(m.windowStart)
	if age < delayWindow {
		return
	}
	m.previous = m.current
	if age >= 2*delayWindow {
		m.previous = Delays{}
	}
	m.current = Delays{}
	m.windowStart = now
}
