package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
)

// maxEntries is the number of entries kept, since callers can create any number of them. The
// entry with the fewest failures is evicted first, and of these the one with the oldest
// failure. 1,024 parts with three failures each are 160 KB for a gateway to receive.
const maxEntries = 1024

// Table holds the suspected and quarantined contents and parts of prompts that a process knows of; it is
// safe for concurrent use. Each change increases its version.
type Table struct {
	report func(Change)
	size   atomic.Int64

	mu      sync.Mutex
	entries map[Digest]*entry
	// evictable are entries that may be evicted next, the first one last.
	evictable []evictable
	version   uint64
	changed   wakeup.Flag
}

// Change reports that a content or a part was quarantined or released.
type Change struct {
	Key      Key
	Held     bool
	Failures []string
	// For is how long it is held.
	For time.Duration
}

// NewTable returns an empty table; report is called for each content or part that is quarantined or
// released.
func NewTable(report func(Change)) *Table {
	return &Table{report: report, entries: map[Digest]*entry{}, changed: wakeup.New()}
}

// Empty reports whether the table has no entries, without taking the lock.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Changed returns a channel that receives after the table has changed.
func (t *Table) Changed() <-chan struct{} { return t.changed.Raised() }

// RecordFailure records that a replica ended while it ran requests with the given contents and parts.
func (t *Table) RecordFailure(now time.Time, replica string, running []Key) {
	failures := make([]failure, 0, len(running))
	for _, key := range running {
		failures = append(failures, failure{key: key})
	}
	t.recordFailures(now, replica, failures)
}

// failure is a key that a failure is attributed to.
type failure struct {
	key Key
	// served is set if requests with the part were served not long before.
	served bool
}

func (t *Table) recordFailures(now time.Time, replica string, failures []failure) {
	t.mu.Lock()
	changed := false
	for _, failed := range failures {
		known := t.getOrCreate(now, failed.key.Digest)
		if known == nil {
			continue
		}
		known.identify(failed.key.Part, failed.key.Position)
		proves := failed.served && !known.served
		if !known.addFailure(now, replica) && !proves {
			continue
		}
		known.served = known.served || failed.served
		t.markChanged(known)
		known.localVersion = t.version
		changed = true
	}
	t.evaluateAndUnlock(now, changed)
}

// evaluateAndUnlock releases the lock. If entries changed, it decides before which are held, and reports
// the changes after.
func (t *Table) evaluateAndUnlock(now time.Time, changed bool) {
	var changes []Change
	if changed {
		changes = t.evaluate(now)
	}
	t.mu.Unlock()
	t.reportChanges(changes)
}

// Clear removes the failures of a content or part after an operator lifted its quarantine. It reports
// whether there were any.
func (t *Table) Clear(now time.Time, digest Digest) bool { return t.clear(now, digest, false) }

// ClearServed removes the failures after a request with the content or part completed. It reports whether
// there were any.
func (t *Table) ClearServed(now time.Time, digest Digest) bool { return t.clear(now, digest, true) }

func (t *Table) clear(now time.Time, digest Digest, served bool) bool {
	t.mu.Lock()
	known := t.entries[digest]
	if known == nil || len(known.failures) == 0 {
		t.mu.Unlock()
		return false
	}
	known.round++
	known.failures, known.failedTrials = nil, 0
	known.served = served
	known.changedAt = now
	t.markChanged(known)
	known.localVersion = t.version
	t.evaluateAndUnlock(now, true)
	return true
}

// MarkServed records that requests with a part were served not long before its failures.
func (t *Table) MarkServed(now time.Time, digest Digest) {
	t.mu.Lock()
	known := t.entries[digest]
	if known == nil || known.served || len(known.failures) == 0 {
		t.mu.Unlock()
		return
	}
	known.served = true
	t.markChanged(known)
	known.localVersion = t.version
	t.evaluateAndUnlock(now, true)
}

// Merge merges the entries of another process. It returns the contents with failures that changed
// here.
func (t *Table) Merge(now time.Time, received []Entry) []Digest {
	return t.mergeAll(now, received, false)
}

// MergeOwn merges entries of a process that reports to this one alone. Their changes count as changes
// by this process itself.
func (t *Table) MergeOwn(now time.Time, received []Entry) []Digest {
	return t.mergeAll(now, received, true)
}

func (t *Table) mergeAll(now time.Time, received []Entry, own bool) []Digest {
	var updated []Digest
	changed := false
	t.mu.Lock()
	for i := range received {
		if !t.merge(now, &received[i]) {
			continue
		}
		changed = true
		known := t.entries[received[i].Digest]
		if own {
			known.localVersion = known.version
		}
		if len(known.failures) > 0 {
			updated = append(updated, received[i].Digest)
		}
	}
	t.evaluateAndUnlock(now, changed)
	return updated
}

// merge merges one entry and reports whether it changed anything; the lock is held.
func (t *Table) merge(now time.Time, received *Entry) bool {
	changedAt := now.Add(-time.Duration(max(received.AgeMS, 0)) * time.Millisecond)
	known := t.entries[received.Digest]
	if known == nil {
		incoming := entry{part: received.Part, served: received.Served, failedTrials: received.FailedTrials, failures: received.Failures, changedAt: changedAt}
		if incoming.expired(now) {
			return false
		}
		if known = t.getOrCreate(now, received.Digest); known == nil {
			return false
		}
		known.changedAt = changedAt
	}
	if received.Round < known.round {
		return false
	}
	known.identify(received.Part, received.Position)
	added := false
	if received.Round > known.round {
		known.round, known.failures, known.served, known.changedAt = received.Round, nil, received.Served, changedAt
		known.failedTrials = 0
		added = true
	}
	if received.FailedTrials > known.failedTrials {
		known.failedTrials = received.FailedTrials
		added = true
	}
	if received.Served && !known.served {
		known.served = true
		added = true
	}
	for _, replica := range received.Failures {
		if len(known.failures) < maxFailures && !slices.Contains(known.failures, replica) {
			known.failures = append(known.failures, replica)
			added = true
		}
	}
	if added && known.changedAt.Before(changedAt) {
		known.changedAt = changedAt
	}
	if added {
		t.markChanged(known)
	}
	return added
}

func (t *Table) reportChanges(changes []Change) {
	for _, change := range changes {
		t.report(change)
	}
}

// getOrCreate returns a content's entry, or nil if the table is full of quarantined ones; the lock
// is held.
func (t *Table) getOrCreate(now time.Time, digest Digest) *entry {
	known := t.entries[digest]
	if known != nil {
		return known
	}
	if len(t.entries) >= maxEntries && !t.evict() {
		return nil
	}
	known = &entry{changedAt: now}
	t.entries[digest] = known
	t.size.Store(int64(len(t.entries)))
	return known
}

func (t *Table) markChanged(e *entry) {
	t.version++
	e.version = t.version
	t.changed.Raise()
}

// Held reports whether a content is quarantined, and for how much longer.
func (t *Table) Held(now time.Time, digest Digest) (left time.Duration, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[digest]
	if known == nil || !known.held(now) {
		return 0, false
	}
	return known.changedAt.Add(known.holdDuration()).Sub(now), true
}

// Suspected reports whether a content has failures and was not cleared since.
func (t *Table) Suspected(digest Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[digest]
	return known != nil && len(known.failures) > 0
}

// HeldCount returns the number of quarantined contents.
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

// Since returns the entries that changed after a version, and the present version.
func (t *Table) Since(now time.Time, version uint64) ([]Entry, uint64) {
	return t.collect(now, func(e *entry) bool { return e.version > version })
}

// OwnSince returns those entries of Since that this process changed itself or that were reported to
// it alone.
func (t *Table) OwnSince(now time.Time, version uint64) ([]Entry, uint64) {
	return t.collect(now, func(e *entry) bool { return e.localVersion > version })
}

// OwnWithin returns the entries that this process changed itself and that are younger than age.
func (t *Table) OwnWithin(now time.Time, age time.Duration) []Entry {
	entries, _ := t.collect(now, func(e *entry) bool { return e.localVersion > 0 && now.Sub(e.changedAt) < age })
	return entries
}

// Entries returns the contents that have at least the given number of failures or were cleared. A
// content with a single failure is of no use to other gateways, and after the loss of a zone there
// are thousands.
func (t *Table) Entries(now time.Time, failures int) []Entry {
	entries, _ := t.collect(now, func(e *entry) bool { return len(e.failures) >= failures || e.round > 0 })
	return entries
}

func (t *Table) collect(now time.Time, wanted func(*entry) bool) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for digest, known := range t.entries {
		if wanted(known) {
			entries = append(entries, Entry{Digest: digest, Part: known.part, Position: known.position, Served: known.served, FailedTrials: known.failedTrials, Round: known.round, Failures: slices.Clone(known.failures), AgeMS: now.Sub(known.changedAt).Milliseconds()})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return entries, t.version
}

// Sweep removes expired entries and reports those that are no longer held.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	changes := t.evaluate(now)
	for digest, known := range t.entries {
		if known.expired(now) {
			delete(t.entries, digest)
		}
	}
	t.size.Store(int64(len(t.entries)))
	t.mu.Unlock()
	t.reportChanges(changes)
}
