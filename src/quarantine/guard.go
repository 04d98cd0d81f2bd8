package quarantine

import (
	"sync"
	"time"
)

// The bounds of what a gateway remembers of runs that came to a good end.
const (
	// recentFor is for how long after a good end the ends of replicas are not put down to a
	// content. One that many callers send is under way on every replica that ever ends; it has
	// come to a good end somewhere in this time. Without it eight of 100 simulated fleets that
	// lost half of their replicas four times refused more than one in 1,000 of such requests.
	recentFor = 10 * time.Second
	// recentSlots is the number of good ends that are remembered; a newer one takes the place
	// of another content's: 100 KB.
	recentSlots = 4096
	// recentBody is the longest body that is remembered: what many callers send alike is
	// short, and a digest of 64 KB takes some 50 microseconds.
	recentBody = 64 << 10
)

// recent remembers the contents that came to a good end lately.
type recent struct {
	mu    sync.Mutex
	slots []goodEnd
}

type goodEnd struct {
	digest Digest
	at     time.Time
}

func (r *recent) slot(digest Digest) *goodEnd {
	return &r.slots[(int(digest[0])<<8|int(digest[1]))%len(r.slots)]
}

func (r *recent) note(now time.Time, digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.slot(digest) = goodEnd{digest: digest, at: now}
}

func (r *recent) within(now time.Time, digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	good := r.slot(digest)
	return good.digest == digest && now.Sub(good.at) < recentFor
}

// Guard is a gateway's table with what it knows of good ends; it is safe for concurrent use.
type Guard struct {
	*Table
	recent recent
}

// NewGuard returns a guard with a table.
func NewGuard(table *Table) *Guard {
	return &Guard{Table: table, recent: recent{slots: make([]goodEnd, recentSlots)}}
}

// Remembered reports whether good ends with bodies of a length are remembered.
func (g *Guard) Remembered(bytes int) bool { return bytes <= recentBody || !g.Empty() }

// Ended takes in that a replica ended with requests under way, and returns the contents that it
// is put down to: those that did not come to a good end lately.
func (g *Guard) Ended(now time.Time, replica string, under []Digest) []Digest {
	var blamed []Digest
	for _, digest := range under {
		if !g.recent.within(now, digest) {
			blamed = append(blamed, digest)
		}
	}
	g.End(now, replica, blamed)
	return blamed
}

// Ran takes in that a run came to a good end.
func (g *Guard) Ran(now time.Time, digest Digest) {
	g.recent.note(now, digest)
	if !g.Empty() {
		g.Clear(now, digest)
	}
}

// Take takes in what control nodes tell. A content that came to a good end here lately is
// cleared for all: its ends were seen by gateways that could not know.
func (g *Guard) Take(now time.Time, told []Entry) {
	for _, digest := range g.Merge(now, told) {
		if g.recent.within(now, digest) {
			g.Clear(now, digest)
		}
	}
}
