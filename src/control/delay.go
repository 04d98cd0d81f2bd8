package control

import (
	"sync"
	"time"
)

// delaySpan is the span over which the longest delays are kept: as long as the scrape of a
// usual metrics collector, so that none is missed.
const delaySpan = 15 * time.Second

// slowLoop is from when on a delay of the node's loop is logged: half of the shortest
// election time, beyond which delays of two nodes add up to a lost leader.
const slowLoop = 250 * time.Millisecond

// slowWrite is from when on a write that is under way is logged.
const slowWrite = time.Second

// Delays are the longest delays of a control node's loop and of its disk lately.
type Delays struct {
	// Wait is how long a message or a question waited until the loop took it.
	Wait time.Duration
	// Step is how long one turn of the loop took.
	Step time.Duration
	// Write is how long a write took, or has been under way.
	Write time.Duration
}

// longer returns the longer ones of each kind.
func (d Delays) longer(other Delays) Delays {
	return Delays{Wait: max(d.Wait, other.Wait), Step: max(d.Step, other.Step), Write: max(d.Write, other.Write)}
}

// delayMeter keeps the longest delays of the present span and the one before; it is safe
// for concurrent use.
type delayMeter struct {
	mu      sync.Mutex
	began   time.Time
	present Delays
	before  Delays
}

// note takes in the delays of one turn.
func (m *delayMeter) note(now time.Time, d Delays) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	m.present = m.present.longer(d)
}

// longest returns the longest delays of one to two spans.
func (m *delayMeter) longest(now time.Time) Delays {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	return m.present.longer(m.before)
}

// turn begins a new span when the present one is over; the lock is held.
func (m *delayMeter) turn(now time.Time) {
	age := now.Sub(m.began)
	if age < delaySpan {
		return
	}
	m.before = m.present
	if age >= 2*delaySpan {
		m.before = Delays{}
	}
	m.present = Delays{}
	m.began = now
}
