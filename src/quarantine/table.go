package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
)

// Threshold is the number of failures after which a content is quarantined. In a simulation of 100
// fleets that lost half of their replicas four times, nine refused more than one in 1,000 of the
// harmless requests with a threshold of two, and none with three.
const Threshold = 3

// ProvenThreshold is the same for a part of prompts that requests were served with not long before. Many
// requests share such a part, and more than one of them may be under way at replicas that crash for
// another reason.
const ProvenThreshold = 5

// Limits of a table.
const (
	// suspectTTL is how long failures below the threshold are remembered.
	suspectTTL = 10 * time.Minute
	// maxFailures is the number of failures kept for an entry.
	maxFailures = 16
	// maxEntries is the number of entries kept, since callers can create any number of them. The
	// entry with the fewest failures is evicted first, and of these the one with the oldest
	// failure. 1,024 entries of 100 bytes are 100 KB for a gateway to receive.
	maxEntries = 1024
	// evictionBatch is how many entries are selected for eviction at a time, so that not each new entry
	// searches the whole table.
	evictionBatch = maxEntries / 8
)

// holdDurations is how long a content is held after its last failure, by the number of failed trials.
// After that a gateway sends one request with it at a time, so that one that was
// quarantined by mistake can clear itself. Of the three requests that may be sent after the third failure at all,
// two are used for that.
var holdDurations = []time.Duration{time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// partHoldDurations is the same for a part of prompts. More requests share it, so that a mistake must
// end sooner.
var partHoldDurations = []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// provenHoldDurations is the same for a part that requests were served with not long before. If all replicas
// of a service crash for a while, parts that most requests have are condemned, and must be served soon after.
var provenHoldDurations = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 24 * time.Hour}

// doubtfulHold is how long a part is held whose failures may all have another cause. If it is a second
// one that crashes replicas, three more failures tell.
const doubtfulHold = 10 * time.Second

// holdDuration returns how long the entry is held.
func (e *entry) holdDuration() time.Duration {
	if e.verdict == doubtful {
		return doubtfulHold
	}
	durations := holdDurations
	switch {
	case e.part != "" && e.proven:
		durations = provenHoldDurations
	case e.part != "":
		durations = partHoldDurations
	}
	return durations[min(e.failedTrials, len(durations)-1)]
}

// Entry is the state of one content or part of prompts as processes exchange it.
type Entry struct {
	Digest Digest `json:"d"`
	// Part is the ID of the part, shortened, "" for a content.
	Part string `json:"p,omitempty"`
	// Position is the part's position in its prompt from 1; the last one if prompts differ.
	Position int `json:"o,omitempty"`
	// Proven is set if requests with the part were served not long before its failures, or since.
	Proven bool `json:"g,omitempty"`
	// FailedTrials is how often a replica ended under the content or part after its hold was over.
	FailedTrials int `json:"t,omitempty"`
	// Round grows when the content is cleared by a completed request or by an operator; failures of
	// earlier rounds no longer count.
	Round uint64 `json:"r,omitempty"`
	// Failures identify the incarnations of replicas that ended while running the content in this
	// round.
	Failures []string `json:"e,omitempty"`
	// AgeMS is the time since the last of them ended, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// Key returns what the entry is about.
func (e *Entry) Key() Key { return Key{Digest: e.Digest, Part: e.Part, Position: e.Position} }

// IsPart reports whether the entry is about the part with the given ID, as logs show it.
func (e *Entry) IsPart(id string) bool { return id != "" && e.Part == id }

// entry is the state of one content or part in a table.
type entry struct {
	part     string
	position int
	proven   bool
	verdict  verdict
	// failedTrials is the number of failures that began a new hold.
	failedTrials int
	// trialUntil is when another request may be sent on trial at the earliest.
	trialUntil time.Time
	round      uint64
	failures   []string
	// changedAt is the time of the last failure, or when the content was cleared.
	changedAt time.Time
	// version is the table's version at the last change, localVersion at the last change that this
	// process observed itself or that was reported to it alone.
	version      uint64
	localVersion uint64
	// reportedHeld is set while the content is reported as held.
	reportedHeld bool
}

func (e *entry) held(now time.Time) bool {
	return e.verdict != cleared && now.Before(e.changedAt.Add(e.holdDuration()))
}

// expired reports whether an entry can be removed. One that was held is kept twice as long, so that
// the next failure does not count as the first.
func (e *entry) expired(now time.Time) bool {
	ttl := suspectTTL
	if len(e.failures) >= e.threshold() {
		ttl = max(ttl, 2*e.holdDuration())
	}
	return now.Sub(e.changedAt) > ttl
}

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

// evictable is an entry that was selected for eviction in its present version.
type evictable struct {
	digest  Digest
	version uint64
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
	// proven is set if requests with the part were served not long before.
	proven bool
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
		proves := failed.proven && !known.proven
		if !known.addFailure(now, replica) && !proves {
			continue
		}
		known.proven = known.proven || failed.proven
		t.markChanged(known)
		known.localVersion = t.version
		changed = true
	}
	t.judgeAndUnlock(now, changed)
}

// addFailure adds a failure and reports whether that changed the entry. Failures beyond those that are kept
// count if they end a trial.
func (e *entry) addFailure(now time.Time, replica string) bool {
	if slices.Contains(e.failures, replica) {
		return false
	}
	failedTrial := e.verdict == condemned && !e.held(now)
	full := len(e.failures) >= maxFailures
	if full && !failedTrial {
		return false
	}
	if failedTrial {
		e.failedTrials++
	}
	if !full {
		e.failures = append(e.failures, replica)
	}
	e.changedAt = now
	return true
}

// judgeAndUnlock releases the lock. If entries changed, it decides before which are held, and reports
// the changes after.
func (t *Table) judgeAndUnlock(now time.Time, changed bool) {
	var changes []Change
	if changed {
		changes = t.judge(now, nil)
	}
	t.mu.Unlock()
	t.reportChanges(changes)
}

// identify adds what is known of the entry's part.
func (e *entry) identify(part string, position int) {
	if e.part == "" {
		e.part = part
	}
	e.position = max(e.position, position)
}

// Clear removes the failures of a content or part after an operator lifted its quarantine. It reports
// whether there were any.
func (t *Table) Clear(now time.Time, digest Digest) bool { return t.clear(now, digest, false) }

// ClearProven removes the failures after a request with the content or part completed. It reports whether
// there were any.
func (t *Table) ClearProven(now time.Time, digest Digest) bool { return t.clear(now, digest, true) }

func (t *Table) clear(now time.Time, digest Digest, proven bool) bool {
	t.mu.Lock()
	known := t.entries[digest]
	if known == nil || len(known.failures) == 0 {
		t.mu.Unlock()
		return false
	}
	known.round++
	known.failures, known.failedTrials = nil, 0
	known.proven = proven
	known.changedAt = now
	t.markChanged(known)
	known.localVersion = t.version
	t.judgeAndUnlock(now, true)
	return true
}

// MarkProven records that requests with a part were served not long before its failures.
func (t *Table) MarkProven(now time.Time, digest Digest) {
	t.mu.Lock()
	known := t.entries[digest]
	if known == nil || known.proven || len(known.failures) == 0 {
		t.mu.Unlock()
		return
	}
	known.proven = true
	t.markChanged(known)
	known.localVersion = t.version
	t.judgeAndUnlock(now, true)
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
	t.judgeAndUnlock(now, changed)
	return updated
}

// merge merges one entry and reports whether it changed anything; the lock is held.
func (t *Table) merge(now time.Time, received *Entry) bool {
	changedAt := now.Add(-time.Duration(max(received.AgeMS, 0)) * time.Millisecond)
	known := t.entries[received.Digest]
	if known == nil {
		incoming := entry{part: received.Part, proven: received.Proven, failedTrials: received.FailedTrials, failures: received.Failures, changedAt: changedAt}
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
		known.round, known.failures, known.proven, known.changedAt = received.Round, nil, received.Proven, changedAt
		known.failedTrials = 0
		added = true
	}
	if received.FailedTrials > known.failedTrials {
		known.failedTrials = received.FailedTrials
		added = true
	}
	if received.Proven && !known.proven {
		known.proven = true
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

// appendChange appends a Change if the entry's state differs from the one last reported.
func (e *entry) appendChange(now time.Time, digest Digest, changes []Change) []Change {
	held := e.held(now)
	if held == e.reportedHeld {
		return changes
	}
	e.reportedHeld = held
	key := Key{Digest: digest, Part: e.part, Position: e.position}
	return append(changes, Change{Key: key, Held: held, Failures: slices.Clone(e.failures), For: e.holdDuration()})
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

// evict removes the entry with the fewest failures. It reports false if all are quarantined. The
// lock is held.
func (t *Table) evict() bool {
	for range 2 {
		for len(t.evictable) > 0 {
			last := len(t.evictable) - 1
			next := t.evictable[last]
			t.evictable = t.evictable[:last]
			if known := t.entries[next.digest]; known != nil && known.version == next.version {
				delete(t.entries, next.digest)
				return true
			}
		}
		t.selectEvictable()
	}
	return false
}

// selectEvictable selects the entries to evict next: those with the fewest failures, and of these the
// ones that changed first.
func (t *Table) selectEvictable() {
	var candidates []candidate
	for digest, known := range t.entries {
		if len(known.failures) < Threshold {
			candidates = append(candidates, candidate{digest: digest, entry: known})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(a.entry.failures), len(b.entry.failures)), a.entry.changedAt.Compare(b.entry.changedAt))
	})
	candidates = candidates[:min(len(candidates), evictionBatch)]
	for _, c := range slices.Backward(candidates) {
		t.evictable = append(t.evictable, evictable{digest: c.digest, version: c.entry.version})
	}
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
			entries = append(entries, Entry{Digest: digest, Part: known.part, Position: known.position, Proven: known.proven, FailedTrials: known.failedTrials, Round: known.round, Failures: slices.Clone(known.failures), AgeMS: now.Sub(known.changedAt).Milliseconds()})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return entries, t.version
}

// Sweep removes expired entries and reports those that are no longer held.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	changes := t.judge(now, nil)
	for digest, known := range t.entries {
		if known.expired(now) {
			delete(t.entries, digest)
		}
	}
	t.size.Store(int64(len(t.entries)))
	t.mu.Unlock()
	t.reportChanges(changes)
}
