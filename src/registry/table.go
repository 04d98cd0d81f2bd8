package registry

import (
	"sort"
	"time"
)

// Times are the bounds of what a table remembers.
type Times struct {
	// Silence is how long after its last call a replica counts as silent.
	Silence time.Duration
	// Forget is how long a replica that is gone or silent is remembered.
	Forget time.Duration
}

// Standing is a record with how one node sees it.
type Standing struct {
	Record Record `json:"record"`
	// Silent is set when the replica has not called this node for a while.
	Silent bool `json:"silent,omitempty"`
	// Recalled is set while the node knows the replica from before its own restart
	// only.
	Recalled bool `json:"recalled,omitempty"`
	// Replaced is set when a later incarnation took the replica's address. Only one
	// who merges the words of several nodes tells it.
	Replaced bool `json:"replaced,omitempty"`
	// Owner is set when several incarnations were told of at the replica's address and
	// this one has it. Only one who merges the words of several nodes tells it: who follows
	// the merged view must not decide anew, in the order in which it learned of them.
	Owner bool `json:"owner,omitempty"`
}

// doubtful reports whether the replica may have ended without the node knowing.
func (s *Standing) doubtful() bool { return s.Silent || s.Recalled }

// recallTime is how long a recalled replica counts as there without a call: two
// heartbeats of the usual 1.2 s, since the first after a restart may be lost.
const recallTime = 2500 * time.Millisecond

type row struct {
	standing Standing
	heardAt  time.Time
	// direct is set once the replica called this node itself.
	direct bool
	stamp  uint64
	// order grows with the replicas that the node learned of.
	order uint64
}

// Table holds what one node was told; it is not safe for concurrent use. Every
// change that others must learn gets a stamp that grows.
type Table struct {
	times Times
	rows  map[string]*row
	stamp uint64
	order uint64
}

// NewTable returns an empty table.
func NewTable(times Times) *Table {
	return &Table{times: times, rows: map[string]*row{}}
}

// Stamp returns the stamp of the newest change.
func (t *Table) Stamp() uint64 { return t.stamp }

// Recall takes in the replicas that were known before a restart. Each counts as
// there for a short while, until it calls.
func (t *Table) Recall(now time.Time, records []Record) {
	for _, record := range records {
		if t.rows[record.ID] != nil {
			continue
		}
		known := &row{standing: Standing{Record: record, Recalled: true}, heardAt: now.Add(recallTime - t.times.Silence)}
		t.add(known)
	}
}

// Records returns the replicas worth recalling after a restart: those that called
// lately, and those that leave, which must not be taken for there again. They come in
// the order in which the node learned of them, which decides who has an address.
func (t *Table) Records() []Record {
	var records []Record
	for _, known := range t.sorted() {
		if !known.standing.Silent || known.standing.Record.Leaving() {
			records = append(records, known.standing.Record)
		}
	}
	return records
}

// sorted returns all rows in the order in which the node learned of the replicas.
func (t *Table) sorted() []*row {
	rows := make([]*row, 0, len(t.rows))
	for _, known := range t.rows {
		rows = append(rows, known)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].order < rows[j].order })
	return rows
}

// Hear takes in a replica's own call and reports whether others must learn of it.
func (t *Table) Hear(now time.Time, record Record) bool {
	return t.take(now, record, true)
}

// Note takes in what another node was told of a replica that leaves.
func (t *Table) Note(now time.Time, record Record) bool {
	return t.take(now, record, false)
}

func (t *Table) take(now time.Time, record Record, direct bool) bool {
	known := t.rows[record.ID]
	if known == nil && record.Gone {
		if left, found := t.Leaver(record.ReplicaName()); found {
			left.Gone = true
			record, known = left, t.rows[left.ID]
		}
	}
	if known == nil {
		known = &row{standing: Standing{Record: record, Silent: !direct}, heardAt: now, direct: direct}
		t.add(known)
		return true
	}
	if record.Sequence <= known.standing.Record.Sequence && !leavesFurther(&known.standing.Record, &record) {
		return t.repeat(now, known, record, direct)
	}
	before := known.standing
	known.standing.Record.supersede(record)
	if direct {
		known.heardAt = now
		known.direct = true
		known.standing.Silent = false
		known.standing.Recalled = false
	}
	changed := before.doubtful() != known.standing.doubtful() || before.Silent != known.standing.Silent || !sameFor(&before.Record, &known.standing.Record)
	if changed {
		t.mark(known)
	}
	return changed
}

// leavesFurther reports whether a call says more of a replica's leaving than is known.
func leavesFurther(known, next *Record) bool {
	return next.Draining && !known.Draining || next.Gone && !known.Gone
}

// repeat takes in a call that was sent again or comes late: it proves nothing new.
func (t *Table) repeat(now time.Time, known *row, record Record, direct bool) bool {
	if !direct || record.Sequence < known.standing.Record.Sequence {
		return false
	}
	known.heardAt = now
	known.direct = true
	if !known.standing.doubtful() {
		return false
	}
	known.standing.Silent = false
	known.standing.Recalled = false
	t.mark(known)
	return true
}

func (t *Table) add(r *row) {
	t.order++
	r.order = t.order
	t.rows[r.standing.Record.ID] = r
	t.mark(r)
}

func (t *Table) mark(r *row) {
	t.stamp++
	r.stamp = t.stamp
}

// Len returns the number of replicas that are known.
func (t *Table) Len() int { return len(t.rows) }

// Leaving reports whether a replica is known to be draining or gone.
func (t *Table) Leaving(id string) bool {
	known := t.rows[id]
	return known != nil && known.standing.Record.Leaving()
}

// Record returns what is known of a replica.
func (t *Table) Record(id string) (Record, bool) {
	known := t.rows[id]
	if known == nil {
		return Record{}, false
	}
	return known.standing.Record, true
}

// Leaver returns the start of a replica that a word of its end is about, which does not say when
// the replica started: one that drains and has not ended, since an earlier start's word may come
// after a later start's first call; else the latest.
func (t *Table) Leaver(name string) (Record, bool) {
	var found *Record
	for _, known := range t.rows {
		record := &known.standing.Record
		if record.ReplicaName() != name {
			continue
		}
		if found == nil || leavesFirst(record, found) {
			found = record
		}
	}
	if found == nil {
		return Record{}, false
	}
	return *found, true
}

// leavesFirst reports whether a word of an end is about the first of two starts.
func leavesFirst(first, second *Record) bool {
	ends, others := first.Draining && !first.Gone, second.Draining && !second.Gone
	if ends != others {
		return ends
	}
	return second.precedes(first)
}

// Sweep marks replicas that fell silent and forgets old ones; it reports
// whether others must learn of something.
func (t *Table) Sweep(now time.Time) bool {
	changed := false
	for id, known := range t.rows {
		age := now.Sub(known.heardAt)
		if age > t.times.Forget {
			delete(t.rows, id)
			continue
		}
		if age > t.times.Silence && !known.standing.Silent {
			known.standing.Silent = true
			t.mark(known)
			changed = true
		}
	}
	return changed
}

// Since returns what changed after a stamp, in the order in which the node learned
// of the replicas: of two at one address the later one has it.
func (t *Table) Since(stamp uint64) []Standing {
	var changed []Standing
	for _, known := range t.sorted() {
		if known.stamp > stamp {
			changed = append(changed, known.standing)
		}
	}
	return changed
}
