package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
)

// Threshold is after the ends of how many replicas a content is quarantined. In a simulation of
// 100 fleets that lost half of their replicas four times, nine refused more than one in 1,000 of
// the requests that ended nothing with a threshold of two, none with three.
const Threshold = 3

// The times and bounds of a table.
const (
	// suspectLife is how long ends below the threshold are remembered.
	suspectLife = 10 * time.Minute
	// maxEnds bounds the ends kept of one content; a few beyond the threshold tell how long it
	// is held.
	maxEnds = 8
	// maxEntries bounds the contents: callers make as many as they like. What has the fewest
	// ends goes first, and of these what ended a replica longest ago; 512 of 100 bytes each
	// are 50 KB for a gateway to take in.
	maxEntries = 512
)

// holds says how long a content is held after the last end, by the ends beyond the threshold.
// When a hold is over the content is let through once more, so that one condemned wrongly
// clears itself; of the three sends that may follow the third end for good, two are spent so.
var holds = []time.Duration{time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// hold returns how long a content with so many ends is held.
func hold(ends int) time.Duration {
	return holds[min(max(ends-Threshold, 0), len(holds)-1)]
}

// Entry is what processes tell each other of one content.
type Entry struct {
	Digest Digest `json:"d"`
	// Round grows when a run to a good end, or an operator, clears the content: ends told of
	// in earlier rounds count no more.
	Round uint64 `json:"r,omitempty"`
	// Ends name the starts of replicas that ended under the content in this round.
	Ends []string `json:"e,omitempty"`
	// AgeMS is how long ago the last of them ended, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// entry is an entry as a table keeps it.
type entry struct {
	round uint64
	ends  []string
	// at is when the last end was, or when the content was cleared.
	at time.Time
	// stamp is that of the last change, ownStamp that of the last that this process saw itself.
	stamp    uint64
	ownStamp uint64
	// told is set while the content is known to be held.
	told bool
}

func (e *entry) held(now time.Time) bool {
	return len(e.ends) >= Threshold && now.Before(e.at.Add(hold(len(e.ends))))
}

// expired reports whether an entry says nothing any more. One that was held is kept twice as
// long: the next end under it is not its first.
func (e *entry) expired(now time.Time) bool {
	life := suspectLife
	if len(e.ends) >= Threshold {
		life = 2 * hold(len(e.ends))
	}
	return now.Sub(e.at) > life
}

// Table holds the contents under suspicion that a process knows of; it is safe for concurrent
// use. Every change gets a stamp that grows.
type Table struct {
	report func(Change)
	size   atomic.Int64

	mu      sync.Mutex
	entries map[Digest]*entry
	stamp   uint64
	changed wakeup.Flag
}

// Change tells that a content was quarantined, or is no longer.
type Change struct {
	Digest Digest
	Held   bool
	Ends   []string
	// For is how long it is held.
	For time.Duration
}

// NewTable returns an empty table; report learns of each content that is quarantined or
// cleared.
func NewTable(report func(Change)) *Table {
	return &Table{report: report, entries: map[Digest]*entry{}, changed: wakeup.New()}
}

// Empty reports whether no content is under suspicion, without waiting.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Changed delivers when the table has changed.
func (t *Table) Changed() <-chan struct{} { return t.changed.Raised() }

// End takes in that a replica ended while requests with these contents were under way there.
func (t *Table) End(now time.Time, replica string, under []Digest) {
	var changes []Change
	t.mu.Lock()
	for _, digest := range under {
		known := t.of(now, digest)
		if known == nil || slices.Contains(known.ends, replica) || len(known.ends) >= maxEnds {
			continue
		}
		known.ends = append(known.ends, replica)
		known.at = now
		t.mark(known)
		known.ownStamp = t.stamp
		changes = known.judge(now, digest, changes)
	}
	t.mu.Unlock()
	t.tell(changes)
}

// Clear takes in that a run with the content came to a good end, or that an operator lifted
// its quarantine; it reports whether the content was under suspicion.
func (t *Table) Clear(now time.Time, digest Digest) bool {
	t.mu.Lock()
	known := t.entries[digest]
	if known == nil || len(known.ends) == 0 {
		t.mu.Unlock()
		return false
	}
	known.round++
	known.ends = nil
	known.at = now
	t.mark(known)
	known.ownStamp = t.stamp
	changes := known.judge(now, digest, nil)
	t.mu.Unlock()
	t.tell(changes)
	return true
}

// Merge takes in what another process knows, and returns the contents under suspicion of which
// something was new here.
func (t *Table) Merge(now time.Time, told []Entry) []Digest {
	var fresh []Digest
	var changes []Change
	t.mu.Lock()
	for i := range told {
		if !t.merge(now, &told[i]) {
			continue
		}
		known := t.entries[told[i].Digest]
		if len(known.ends) > 0 {
			fresh = append(fresh, told[i].Digest)
		}
		changes = known.judge(now, told[i].Digest, changes)
	}
	t.mu.Unlock()
	t.tell(changes)
	return fresh
}

// merge takes in one entry and reports whether it said anything new; the lock is held.
func (t *Table) merge(now time.Time, told *Entry) bool {
	at := now.Add(-time.Duration(max(told.AgeMS, 0)) * time.Millisecond)
	known := t.entries[told.Digest]
	if known == nil {
		incoming := entry{ends: told.Ends, at: at}
		if incoming.expired(now) {
			return false
		}
		if known = t.of(now, told.Digest); known == nil {
			return false
		}
		known.at = at
	}
	if told.Round < known.round {
		return false
	}
	added := false
	if told.Round > known.round {
		known.round, known.ends, known.at = told.Round, nil, at
		added = true
	}
	for _, replica := range told.Ends {
		if len(known.ends) < maxEnds && !slices.Contains(known.ends, replica) {
			known.ends = append(known.ends, replica)
			added = true
		}
	}
	if added && known.at.Before(at) {
		known.at = at
	}
	if added {
		t.mark(known)
	}
	return added
}

// judge appends the change that an entry's present state is, if it is one.
func (e *entry) judge(now time.Time, digest Digest, changes []Change) []Change {
	held := e.held(now)
	if held == e.told {
		return changes
	}
	e.told = held
	return append(changes, Change{Digest: digest, Held: held, Ends: slices.Clone(e.ends), For: hold(len(e.ends))})
}

func (t *Table) tell(changes []Change) {
	for _, change := range changes {
		t.report(change)
	}
}

// of returns a content's entry, made if there is room for it; the lock is held.
func (t *Table) of(now time.Time, digest Digest) *entry {
	known := t.entries[digest]
	if known != nil {
		return known
	}
	if len(t.entries) >= maxEntries && !t.makeRoom() {
		return nil
	}
	known = &entry{at: now}
	t.entries[digest] = known
	t.size.Store(int64(len(t.entries)))
	return known
}

// makeRoom drops the entry that says least; it reports false if all are quarantined. The lock
// is held.
func (t *Table) makeRoom() bool {
	var least Digest
	var found *entry
	for digest, known := range t.entries {
		if found == nil || len(known.ends) < len(found.ends) || len(known.ends) == len(found.ends) && known.at.Before(found.at) {
			least, found = digest, known
		}
	}
	if len(found.ends) >= Threshold {
		return false
	}
	delete(t.entries, least)
	return true
}

func (t *Table) mark(e *entry) {
	t.stamp++
	e.stamp = t.stamp
	t.changed.Raise()
}

// Held reports whether a content is quarantined, and for how long it still is.
func (t *Table) Held(now time.Time, digest Digest) (left time.Duration, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[digest]
	if known == nil || !known.held(now) {
		return 0, false
	}
	return known.at.Add(hold(len(known.ends))).Sub(now), true
}

// Suspected reports whether replicas ended under a content that no run has cleared since.
func (t *Table) Suspected(digest Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[digest]
	return known != nil && len(known.ends) > 0
}

// HeldCount returns how many contents are quarantined.
func (t *Table) HeldCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, known := range t.entries {
		if known.held(now) {
			count++
		}
	}
	return count
}

// Since returns the entries that changed after a stamp, and the present stamp.
func (t *Table) Since(now time.Time, stamp uint64) ([]Entry, uint64) {
	return t.collect(now, func(e *entry) bool { return e.stamp > stamp })
}

// OwnSince returns those of Since that this process changed itself.
func (t *Table) OwnSince(now time.Time, stamp uint64) ([]Entry, uint64) {
	return t.collect(now, func(e *entry) bool { return e.ownStamp > stamp })
}

// OwnWithin returns the entries that this process changed itself and that are younger than an
// age.
func (t *Table) OwnWithin(now time.Time, age time.Duration) []Entry {
	entries, _ := t.collect(now, func(e *entry) bool { return e.ownStamp > 0 && now.Sub(e.at) < age })
	return entries
}

// Entries returns the contents that at least so many replicas ended under, or that were
// cleared. A content with a single end is of no use to other gateways, and after the loss of a
// zone there are thousands.
func (t *Table) Entries(now time.Time, ends int) []Entry {
	entries, _ := t.collect(now, func(e *entry) bool { return len(e.ends) >= ends || e.round > 0 })
	return entries
}

func (t *Table) collect(now time.Time, wanted func(*entry) bool) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for digest, known := range t.entries {
		if wanted(known) {
			entries = append(entries, Entry{Digest: digest, Round: known.round, Ends: slices.Clone(known.ends), AgeMS: now.Sub(known.at).Milliseconds()})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return entries, t.stamp
}

// Sweep forgets what says nothing any more, and reports holds that are over.
func (t *Table) Sweep(now time.Time) {
	var changes []Change
	t.mu.Lock()
	for digest, known := range t.entries {
		changes = known.judge(now, digest, changes)
		if known.expired(now) {
			delete(t.entries, digest)
		}
	}
	t.size.Store(int64(len(t.entries)))
	t.mu.Unlock()
	t.tell(changes)
}
