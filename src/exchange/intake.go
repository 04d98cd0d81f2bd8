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

// intake is what one start of a replica said in its answers of whether it takes requests from
// this gateway: nothing for a time, or nothing new any more. Its times are those of a clock that
// counts the suspensions of this host. It is safe for concurrent use.
//
// It is a state machine of three states on the path of each request (open, closed for a time,
// leaving), written out here: a library's would allocate for each question.
type intake struct {
	// restricted is false while the replica takes all, so that asking costs one read.
	restricted atomic.Bool

	mu      sync.Mutex
	leaving bool
	// until is when the time is over for which the replica wants nothing.
	until time.Time
}

// backOff takes in that the replica wants nothing for a time; the later end holds. It reports
// whether no such time was running.
func (i *intake) backOff(now time.Time, wait time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	began := !now.Before(i.until)
	if until := now.Add(min(wait, longestBackoff)); until.After(i.until) {
		i.until = until
	}
	i.restricted.Store(true)
	return began
}

// answered takes in an answer that asks for nothing. It reports whether the replica takes
// requests again with it.
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
