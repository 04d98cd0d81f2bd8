package quarantine

import (
	"sync"
	"time"
)

// Limits of the memory of completed requests.
const (
	// successTTL is how long after a request completed replica failures are not attributed to its
	// content. A content that many callers send is running on every replica that fails, and has
	// completed somewhere within this time. Without it eight of 100 simulated fleets that lost half
	// of their replicas four times refused more than one in 1,000 of such requests.
	successTTL = 10 * time.Second
	// successSlots is the number of completed contents remembered; a newer one may replace another.
	// They take 100 KB.
	successSlots = 4096
	// maxTrackedBody is the longest body that is remembered: requests that many callers send alike
	// are short, and a digest of 64 KB takes some 50 microseconds.
	maxTrackedBody = 64 << 10
)

// recentSuccesses remembers the contents that completed recently.
type recentSuccesses struct {
	mu    sync.Mutex
	slots []success
}

type success struct {
	digest Digest
	at     time.Time
}

func (r *recentSuccesses) slot(digest Digest) *success {
	return &r.slots[(int(digest[0])<<8|int(digest[1]))%len(r.slots)]
}

func (r *recentSuccesses) add(now time.Time, digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.slot(digest) = success{digest: digest, at: now}
}

func (r *recentSuccesses) contains(now time.Time, digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.slot(digest)
	return last.digest == digest && now.Sub(last.at) < successTTL
}

// Tracker combines a gateway's table with its recently completed contents; it is safe for
// concurrent use.
type Tracker struct {
	*Table
	recentSuccesses recentSuccesses
}

// NewTracker returns a Tracker for a table.
func NewTracker(table *Table) *Tracker {
	return &Tracker{Table: table, recentSuccesses: recentSuccesses{slots: make([]success, successSlots)}}
}

// TracksBody reports whether completed requests with bodies of that length are remembered.
func (g *Tracker) TracksBody(bytes int) bool { return bytes <= maxTrackedBody || !g.Empty() }

// AttributeFailure records that a replica ended while it ran requests with the given contents. It
// returns the contents that the failure is attributed to: those that did not complete recently.
func (g *Tracker) AttributeFailure(now time.Time, replica string, running []Digest) []Digest {
	var blamed []Digest
	for _, digest := range running {
		if !g.recentSuccesses.contains(now, digest) {
			blamed = append(blamed, digest)
		}
	}
	g.RecordFailure(now, replica, blamed)
	return blamed
}

// RecordSuccess records that a request with the content completed.
func (g *Tracker) RecordSuccess(now time.Time, digest Digest) {
	g.recentSuccesses.add(now, digest)
	if !g.Empty() {
		g.Clear(now, digest)
	}
}

// MergeFromControl merges the entries sent by control nodes. A content that completed here recently
// is cleared for all gateways, since those that recorded its failures did not know.
func (g *Tracker) MergeFromControl(now time.Time, entries []Entry) {
	for _, digest := range g.Merge(now, entries) {
		if g.recentSuccesses.contains(now, digest) {
			g.Clear(now, digest)
		}
	}
}
