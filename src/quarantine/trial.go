package quarantine

import (
	"slices"
	"time"
)

// trialTimeout is how long a gateway waits for the result of a trial before it allows another one.
const trialTimeout = 30 * time.Second

// trials are the rules by which a gateway sends requests with contents and parts whose hold has expired.
type trials struct {
	// delay is how much longer than others this gateway waits before its first trial, as a share of the
	// hold. It differs between gateways, so that one of them learns the result before the next one begins.
	delay float64
}

// Trial holds what one request may be sent with on trial. The zero value allows nothing.
type Trial struct {
	granted []Digest
}

// Blocked reports whether a request must not be sent: which content or part is quarantined, and for how
// much longer. A request that may be sent on trial is not blocked later for the same reason.
func (g *Tracker) Blocked(now time.Time, request Request, trial *Trial) (by Key, left time.Duration, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	by = Key{Digest: request.Content}
	if left, blocked := g.blocked(now, by, trial); blocked {
		return by, left, true
	}
	for _, part := range request.Parts {
		if left, blocked := g.blocked(now, part, trial); blocked {
			return part, left, true
		}
	}
	return Key{}, 0, false
}

// blocked reports whether a key blocks a request. The lock is held.
func (g *Tracker) blocked(now time.Time, key Key, trial *Trial) (left time.Duration, blocked bool) {
	known := g.entries[key.Digest]
	if known == nil || known.status == cleared || slices.Contains(trial.granted, key.Digest) && !known.held(now) {
		return 0, false
	}
	hold := known.holdDuration()
	firstTrial := known.changedAt.Add(hold + time.Duration(g.trials.delay*float64(hold)))
	if left := max(firstTrial.Sub(now), known.trialUntil.Sub(now)); left > 0 {
		return left, true
	}
	known.trialUntil = now.Add(trialTimeout)
	trial.granted = append(trial.granted, key.Digest)
	return 0, false
}
