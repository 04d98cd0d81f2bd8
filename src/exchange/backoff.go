package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxBackoff is the longest backoff that a replica can ask for. A longer one is shortened to it,
// after which a single trial request asks again. Without the limit a value in the wrong unit would
// take a replica out of use for good, with no visible cause.
const maxBackoff = time.Hour

const (
	// trialInterval is the time after which the number of trial requests doubles while none was
	// accepted. A rejection arrives within one round trip, about 10 ms between zones, so a tenth of
	// a second without one means that the request was accepted.
	trialInterval = 100 * time.Millisecond
	// maxTrialDoublings limits the doubling. A replica that responds to nothing for so long is
	// handled by ejection.
	maxTrialDoublings = 16
	// jitterDivisor and maxBackoffJitter limit the time that a gateway adds to a backoff: a tenth
	// of it, and never more than the maximum. Of 300 gateways that were rejected together with a
	// backoff of 3 s, one then tries each millisecond instead of all at once. In the simulation of
	// maxQueueWaitShare this raises the mean worth by 0.031, from 0.299.
	jitterDivisor    = 10
	maxBackoffJitter = 500 * time.Millisecond
)

// backoffState records whether one incarnation of a replica accepts requests from this gateway, as
// its responses say: it may ask for a backoff, or announce that it is leaving. All times are of a
// clock that counts while the host is suspended. It is safe for concurrent use.
//
// After a backoff only a few trial requests are sent at first. Otherwise everything that waited, at
// all gateways, would arrive at once and be rejected again. The first accepted request ends the
// trial.
//
// The four states are accepting, backing off, on trial and leaving. The state machine is
// hand-written because it is consulted for every request and a library would allocate on each call.
type backoffState struct {
	// restricted is false while the replica accepts all requests, so that the common case costs one
	// atomic load.
	restricted atomic.Bool

	mu      sync.Mutex
	leaving bool
	// until is the end of the latest backoff.
	until time.Time
	// trials counts the requests sent since the backoff ended, firstTrial is when the first of them
	// was sent.
	trials     int
	firstTrial time.Time
}

// accepts reports whether the replica accepts a request now. If not, it returns from when on it
// may; the zero time means never.
func (i *backoffState) accepts(now time.Time) (from time.Time, accepted bool) {
	if !i.restricted.Load() {
		return time.Time{}, true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.check(now)
}

// admit is like accepts, but counts a request that is sent now.
func (i *backoffState) admit(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.restricted.Load() {
		return true
	}
	if _, accepted := i.check(now); !accepted {
		return false
	}
	if i.trials == 0 {
		i.firstTrial = now
	}
	i.trials++
	return true
}

// check implements accepts; the lock is held.
func (i *backoffState) check(now time.Time) (from time.Time, accepted bool) {
	switch {
	case i.leaving:
		return time.Time{}, false
	case now.Before(i.until):
		return i.until, false
	case i.trials == 0 || !i.restricted.Load():
		return time.Time{}, true
	}
	doublings := min(int(now.Sub(i.firstTrial)/trialInterval), maxTrialDoublings)
	if i.trials < 1<<doublings {
		return time.Time{}, true
	}
	return i.firstTrial.Add(time.Duration(doublings+1) * trialInterval), false
}

// backOff records that the replica asked for a backoff; of several backoffs the latest end counts.
// A draw from 0 to 1 determines the added jitter, since the replica may have rejected all gateways
// at the same moment. It reports whether no backoff was in effect before.
func (i *backoffState) backOff(now time.Time, wait time.Duration, draw float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	began := !now.Before(i.until)
	wait = min(wait, maxBackoff)
	jitter := time.Duration(draw * float64(min(wait/jitterDivisor, maxBackoffJitter)))
	if until := now.Add(wait + jitter); until.After(i.until) {
		i.until = until
	}
	i.trials = 0
	i.restricted.Store(true)
	return began
}

// inherit copies the backoff of an earlier incarnation.
func (i *backoffState) inherit(earlier *backoffState) {
	earlier.mu.Lock()
	until := earlier.until
	earlier.mu.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.until = until
	i.restricted.Store(true)
}

// noteAccepted records a response to a request that the replica accepted. It reports whether this
// ended a trial.
func (i *backoffState) noteAccepted(now time.Time) bool {
	if !i.restricted.Load() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving || now.Before(i.until) {
		return false
	}
	i.restricted.Store(false)
	return true
}

// noteLeaving records that the replica is leaving, which is final. It reports whether that was new.
func (i *backoffState) noteLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.leaving
	i.leaving = true
	i.restricted.Store(true)
	return !known
}

// backingOff reports whether a backoff is in effect.
func (i *backoffState) backingOff(now time.Time) bool {
	if !i.restricted.Load() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Before(i.until)
}

// isLeaving reports whether the replica announced that it is leaving.
func (i *backoffState) isLeaving() bool {
	if !i.restricted.Load() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}
