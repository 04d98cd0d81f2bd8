package quarantine

import (
	"math/rand/v2"
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
	// servedTTL is how long after a request completed the parts of its prompt count as served. It is
	// longer than the pauses between the requests of rarely used parts.
	servedTTL = 10 * time.Minute
)

// recentSuccesses remembers the contents or parts that completed recently.
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

// within reports whether the digest completed within the time before now.
func (r *recentSuccesses) within(now time.Time, digest Digest, ttl time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.slot(digest)
	return last.digest == digest && now.Sub(last.at) < ttl
}

// Tracker combines a gateway's table with its recently completed contents and parts of prompts; it is
// safe for concurrent use.
type Tracker struct {
	*Table
	contents recentSuccesses
	parts    recentSuccesses
	trials   trials
}

// NewTracker returns a Tracker for a table.
func NewTracker(table *Table) *Tracker {
	return &Tracker{Table: table, contents: newRecentSuccesses(), parts: newRecentSuccesses(), trials: trials{delay: rand.Float64()}}
}

func newRecentSuccesses() recentSuccesses {
	return recentSuccesses{slots: make([]success, successSlots)}
}

// TracksBody reports whether completed requests with bodies of that length are remembered.
func (g *Tracker) TracksBody(bytes int) bool { return bytes <= maxTrackedBody || !g.Empty() }

// AttributeFailure records that a replica ended while it ran the given requests. It returns the contents
// and parts that the failure is attributed to: those that did not complete recently.
func (g *Tracker) AttributeFailure(now time.Time, replica string, running []Request) []Key {
	var failures []failure
	for _, request := range running {
		if !g.contents.within(now, request.Content, successTTL) {
			failures = append(failures, failure{key: Key{Digest: request.Content}})
		}
		for _, part := range request.Parts {
			if !g.parts.within(now, part.Digest, successTTL) {
				served := request.Begun || g.parts.within(now, part.Digest, servedTTL)
				failures = append(failures, failure{key: part, served: served})
			}
		}
	}
	g.recordFailures(now, replica, failures)
	return blamedKeys(failures)
}

// blamedKeys returns the keys of failures, each once.
func blamedKeys(failures []failure) []Key {
	var keys []Key
	seen := map[Digest]bool{}
	for _, failed := range failures {
		if !seen[failed.key.Digest] {
			seen[failed.key.Digest] = true
			keys = append(keys, failed.key)
		}
	}
	return keys
}

// RecordSuccess records that a request with the content completed.
func (g *Tracker) RecordSuccess(now time.Time, digest Digest) {
	g.contents.add(now, digest)
	if !g.Empty() {
		g.Clear(now, digest)
	}
}

// RecordPartSuccess records that a request with the parts in its prompt completed.
func (g *Tracker) RecordPartSuccess(now time.Time, parts []Key) {
	for _, part := range parts {
		g.parts.add(now, part.Digest)
		if !g.Empty() {
			g.ClearServed(now, part.Digest)
		}
	}
}

// MergeFromControl merges the entries sent by control nodes. What completed here recently is cleared for
// all gateways, since those that recorded its failures did not know; a part that completed longer ago is
// marked as served.
func (g *Tracker) MergeFromControl(now time.Time, entries []Entry) {
	for _, digest := range g.Merge(now, entries) {
		switch {
		case g.contents.within(now, digest, successTTL):
			g.Clear(now, digest)
		case g.parts.within(now, digest, successTTL):
			g.ClearServed(now, digest)
		case g.parts.within(now, digest, servedTTL):
			g.MarkServed(now, digest)
		}
	}
}
