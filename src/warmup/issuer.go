package warmup

import (
	"sync"
	"time"
)

const (
	// Life is for how long a permit may be used from its time on: a few round trips to the leader.
	// What one second sees beyond its own permits is in proportion to it.
	Life = 250 * time.Millisecond
	// Ahead is how far ahead permits are issued. A new leader issues none for so long, since those
	// of the one before may still be used.
	Ahead = 500 * time.Millisecond
	// forgetAfter is for how long a schedule is kept that nobody asks for.
	forgetAfter = 10 * time.Second
)

// Leadership is what an issuer has to know of its control node.
type Leadership struct {
	// Self is set while the node leads with a valid lease, in Term since Since.
	Self  bool
	Term  uint64
	Since time.Time
}

// Answer says what became of an ask.
type Answer struct {
	// Known is false if this node must not issue.
	Known   bool
	Granted bool
	// Wait is after how long the permit may be used, or would have been usable if it was refused.
	Wait time.Duration
}

// Issuer issues permits while its control node leads; it is safe for concurrent use.
type Issuer struct {
	leadership func() Leadership

	mu   sync.Mutex
	term uint64
	// next is the earliest time of each backend server's next permit (the theoretical arrival time
	// of the generic cell rate algorithm, ITU-T I.371, without tolerance).
	next  map[string]time.Time
	swept time.Time
}

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer(leadership func() Leadership) *Issuer {
	return &Issuer{leadership: leadership, next: map[string]time.Time{}}
}

// Take takes a permit for a backend server that bears a rate of requests a second, for a request that
// waits for it no longer than within. Permits are spaced evenly, so that those that wait are spread
// and a server that nobody asked for meets no burst.
func (i *Issuer) Take(now time.Time, server string, rate float64, within time.Duration) Answer {
	i.mu.Lock()
	defer i.mu.Unlock()
	lead := i.leadership()
	if !lead.Self || rate <= 0 {
		return Answer{}
	}
	if lead.Term != i.term {
		i.term = lead.Term
		clear(i.next)
	}
	i.sweep(now)
	from, known := i.next[server]
	if !known {
		from = lead.Since.Add(Ahead)
	}
	if from.Before(now) {
		from = now
	}
	wait := from.Sub(now)
	if wait > min(within, Ahead) {
		return Answer{Known: true, Wait: wait}
	}
	i.next[server] = from.Add(time.Duration(float64(time.Second) / rate))
	return Answer{Known: true, Granted: true, Wait: wait}
}

// sweep forgets schedules that nobody asks for; the lock is held.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.swept) < forgetAfter {
		return
	}
	i.swept = now
	for server, next := range i.next {
		if now.Sub(next) > forgetAfter {
			delete(i.next, server)
		}
	}
}
