package closes

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
)

// The times of what is remembered.
const (
	// Retention is how long software is remembered after it was last seen.
	Retention = time.Hour
	// Renewal is by how much a sighting must be later than the one that is known to be worth telling others. What
	// is told ages on its way, so that processes which told each other of less would never forget. An entry is kept
	// for as long after Retention, so that none that expires a moment later elsewhere brings it back.
	Renewal = time.Minute
)

// Software is one version of the software of a service's backend servers.
type Software struct {
	Service string
	// Version is "" if the servers don't report it.
	Version string
}

// Entry is when software was last seen.
type Entry struct {
	Software
	SeenAt time.Time
}

// Table holds the software that was seen to close short. It is safe for concurrent use.
type Table struct {
	limit   int
	changed wakeup.Flag

	mu     sync.Mutex
	seenAt map[Software]time.Time
}

// NewTable returns an empty table that keeps the entries seen last, up to a limit.
func NewTable(limit int) *Table {
	return &Table{limit: limit, changed: wakeup.New(), seenAt: map[Software]time.Time{}}
}

// Changed returns a channel that receives after the table has changed by Merge.
func (t *Table) Changed() <-chan struct{} { return t.changed.Raised() }

// Merge adds entries, of which the latest of each software counts, and returns the software that was not known
// before.
func (t *Table) Merge(now time.Time, entries ...Entry) []Software {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	before := make(map[Software]bool, len(t.seenAt))
	for software, seenAt := range t.seenAt {
		before[software] = !expired(now, seenAt)
	}
	var put []Entry
	for _, e := range entries {
		if known, found := t.seenAt[e.Software]; !expired(now, e.SeenAt) && (!found || e.SeenAt.After(known)) {
			t.seenAt[e.Software] = e.SeenAt
			put = append(put, e)
		}
	}
	t.evict()
	var added []Software
	for _, e := range put {
		if _, kept := t.seenAt[e.Software]; !kept {
			continue
		}
		t.changed.Raise()
		if !before[e.Software] {
			before[e.Software] = true
			added = append(added, e.Software)
		}
	}
	return added
}

// Renews reports whether an entry is of software that was not seen before, or at least Renewal earlier.
func (t *Table) Renews(now time.Time, e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	known, found := t.seenAt[e.Software]
	return !found || e.SeenAt.Sub(known) >= Renewal
}

// Known reports whether software was seen within Retention.
func (t *Table) Known(now time.Time, software Software) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	seenAt, found := t.seenAt[software]
	return found && !expired(now, seenAt)
}

// Entries returns the entries of the software that is known, those seen last first.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.sorted(), func(e Entry) bool { return expired(now, e.SeenAt) })
}

// forget drops the software that was not seen for Retention and Renewal; the lock is held.
func (t *Table) forget(now time.Time) {
	for software, seenAt := range t.seenAt {
		if now.Sub(seenAt) >= Retention+Renewal {
			delete(t.seenAt, software)
		}
	}
}

// evict drops the entries seen first beyond the limit; the lock is held.
func (t *Table) evict() {
	if len(t.seenAt) <= t.limit {
		return
	}
	for _, e := range t.sorted()[t.limit:] {
		delete(t.seenAt, e.Software)
	}
}

// sorted returns all entries in an order that depends on them alone; the lock is held.
func (t *Table) sorted() []Entry {
	entries := make([]Entry, 0, len(t.seenAt))
	for software, seenAt := range t.seenAt {
		entries = append(entries, Entry{Software: software, SeenAt: seenAt})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(b.SeenAt.Compare(a.SeenAt), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return entries
}

func expired(now, seenAt time.Time) bool { return now.Sub(seenAt) >= Retention }
