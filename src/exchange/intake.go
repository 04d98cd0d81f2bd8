package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// longestBackoff bounds the time for which a replica's word to send nothing is kept. A longer one
// is cut to it and so asked for again by a single trial: a value that was meant in another unit
// would take a replica away for good, and nobody would see why.
const longestBackoff = time.Hour

const (
	// trialPause is after how long the number of requests doubles that a replica gets once its
	// time is over and it has answered none: a refusal comes within one round trip, some 10 ms
	// between zones, so that a tenth of a second without one means that the request was taken.
	trialPause = 100 * time.Millisecond
	// mostDoublings bounds the doubling; a replica that answers nothing for so long is the
	// business of ejection.
	mostDoublings = 16
	// spreadPart and spreadOfEnds bound by how much longer a gateway waits, as a part of the time
	// and in all: of 300 gateways that were turned away together for 3 s one would try each
	// millisecond, not all in the same. In the simulation of openShare it is worth 0.031 (0.299
	// without).
	spreadPart   = 10
	spreadOfEnds = 500 * time.Millisecond
)

// intake is what one start of a replica said in its answers of whether it takes requests from
// this gateway: nothing for a time, or nothing new any more. Its times are those of a clock that
// counts the suspensions of this host. It is safe for concurrent use.
//
// Once the time is over few requests try whether the replica takes them, before many go: all
// that waited, at all gateways, would else arrive in one moment and be turned away together. The
// first answer to a request that it took opens it.
//
// It is a state machine of four states on the path of each request (open, closed for a time, on
// trial, leaving), written out here: a library's would allocate for each question.
type intake struct {
	// restricted is false while the replica takes all, so that asking costs one read.
	restricted atomic.Bool

	mu      sync.Mutex
	leaving bool
	// until is when the time is over for which the replica wants nothing.
	until time.Time
	// trials counts the requests sent since then, firstTrial is when the first one was.
	trials     int
	firstTrial time.Time
}

// takes reports whether the replica takes a request now, and if not, from when on it may, the
// zero time for never.
func (i *intake) takes(now time.Time) (from time.Time, taken bool) {
	if !i.restricted.Load() {
		return time.Time{}, true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.look(now)
}

// admit is takes for a request that is sent now.
func (i *intake) admit(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.restricted.Load() {
		return true
	}
	if _, taken := i.look(now); !taken {
		return false
	}
	if i.trials == 0 {
		i.firstTrial = now
	}
	i.trials++
	return true
}

// look says what takes does; the lock is held.
func (i *intake) look(now time.Time) (from time.Time, taken bool) {
	switch {
	case i.leaving:
		return time.Time{}, false
	case now.Before(i.until):
		return i.until, false
	case i.trials == 0 || !i.restricted.Load():
		return time.Time{}, true
	}
	doublings := min(int(now.Sub(i.firstTrial)/trialPause), mostDoublings)
	if i.trials < 1<<doublings {
		return time.Time{}, true
	}
	return i.firstTrial.Add(time.Duration(doublings+1) * trialPause), false
}

// backOff takes in that the replica wants nothing for a time; the later end holds. By a draw from 0
// to 1 the time is somewhat longer, since it may have turned away all gateways in one moment. It
// reports whether no such time was running.
func (i *intake) backOff(now time.Time, wait time.Duration, draw float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	began := !now.Before(i.until)
	wait = min(wait, longestBackoff)
	spread := time.Duration(draw * float64(min(wait/spreadPart, spreadOfEnds)))
	if until := now.Add(wait + spread); until.After(i.until) {
		i.until = until
	}
	i.trials = 0
	i.restricted.Store(true)
	return began
}

// takeOver takes in the time that runs for an earlier start.
func (i *intake) takeOver(earlier *intake) {
	earlier.mu.Lock()
	until := earlier.until
	earlier.mu.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.until = until
	i.restricted.Store(true)
}

// answered takes in an answer to a request that the replica took. It reports whether the replica
// takes requests again with it.
func (i *intake) answered(now time.Time) bool {
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

// leave takes in that the replica leaves, which is never taken back; it reports whether that was
// not known.
func (i *intake) leave() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.leaving
	i.leaving = true
	i.restricted.Store(true)
	return !known
}

// backingOff reports whether a time runs for which the replica wants nothing.
func (i *intake) backingOff(now time.Time) bool {
	if !i.restricted.Load() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Before(i.until)
}

// left reports whether the replica said that it leaves.
func (i *intake) left() bool {
	if !i.restricted.Load() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}
