package resume

import (
	"sync"
	"time"
)

// Retention is how long a record is kept at least. It is longer than clients wait for a stream; that
// of a longer one is renewed while it lasts.
const Retention = time.Minute

// Table holds the origins of streams by the attempts that brought their first events. It is safe for
// concurrent use. Records live in two generations; the older one is dropped as a whole once the newer
// one is Retention old or full, so that adding one takes constant time.
type Table struct {
	limit int

	mu        sync.Mutex
	begunAt   time.Time
	newer     map[Key]record
	older     map[Key]record
	described map[Origin]Origin
}

// record is an origin with the time at which it was recorded last.
type record struct {
	origin Origin
	at     time.Time
	// disputed is set once different origins were recorded for the same attempt.
	disputed bool
}

// NewTable returns an empty table of at most twice limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, newer: map[Key]record{}, described: map[Origin]Origin{}}
}

// Put records the origin of a stream. An attempt for which another origin was recorded has none from
// then on: two streams may have been given the same ID.
func (t *Table) Put(now time.Time, key Key, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	known, found := t.find(now, key)
	next := record{origin: t.shared(origin), at: now, disputed: !origin.Known()}
	if found && (known.disputed || known.origin != origin) {
		next.disputed = true
	}
	t.newer[key] = next
}

// Get returns the origin of a stream and how long ago it was recorded, and false if it is not known.
func (t *Table) Get(now time.Time, key Key) (origin Origin, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.find(now, key)
	if !found || r.disputed {
		return Origin{}, 0, false
	}
	return r.origin, now.Sub(r.at), true
}

// Withdrawn reports whether it is recorded that the origin of a stream is not known.
func (t *Table) Withdrawn(now time.Time, key Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.find(now, key)
	return found && r.disputed
}

// Len returns the number of records, some of which may be out of date.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.newer) + len(t.older)
}

// find returns a record that is not out of date; the lock is held.
func (t *Table) find(now time.Time, key Key) (record, bool) {
	r, found := t.newer[key]
	if !found {
		r, found = t.older[key]
	}
	return r, found && now.Sub(r.at) < 2*Retention
}

// rotate begins a new generation if it is time; the lock is held.
func (t *Table) rotate(now time.Time) {
	if t.begunAt.IsZero() {
		t.begunAt = now
	}
	if now.Sub(t.begunAt) < Retention && len(t.newer) < t.limit {
		return
	}
	t.begunAt, t.older, t.newer = now, t.newer, map[Key]record{}
	t.described = map[Origin]Origin{}
}

// shared returns an equal origin whose strings all records of a generation share; the lock is held.
func (t *Table) shared(origin Origin) Origin {
	known, found := t.described[origin]
	if !found {
		t.described[origin] = origin
		return origin
	}
	return known
}
