package registry

import (
	"sort"
	"time"
)

// Times configures how long a table keeps replicas.
type Times struct {
	// Silence is the time without a heartbeat after which a replica counts as silent.
	Silence time.Duration
	// Forget is the time after its last heartbeat at which a replica is removed.
	Forget time.Duration
}

// ReplicaStatus is a replica's record together with its status as seen by one node.
type ReplicaStatus struct {
	Record Record `json:"record"`
	// Silent is set when the node has had no heartbeat of the replica for Times.Silence.
	Silent bool `json:"silent,omitempty"`
	// Recalled is set while the node knows the replica only from the state that it saved before its
	// own restart.
	Recalled bool `json:"recalled,omitempty"`
	// Replaced is set when a later incarnation has taken over the replica's address. Only a
	// Directory sets it.
	Replaced bool `json:"replaced,omitempty"`
	// Owner is set when several incarnations were reported at the replica's address and this one
	// owns it. Only a Directory sets it: subscribers to the merged view must not decide again,
	// based on the order in which they happened to learn of the replicas.
	Owner bool `json:"owner,omitempty"`
}

// unconfirmed reports whether the replica may have ended without the node knowing.
func (s *ReplicaStatus) unconfirmed() bool { return s.Silent || s.Recalled }

// recallGrace is how long a replica restored after a restart counts as running without a heartbeat:
// two of the usual intervals of 1.2 s, since the first heartbeat after a restart may be lost.
const recallGrace = 2500 * time.Millisecond

// row is a table's entry for one replica.
type row struct {
	standing ReplicaStatus
	heardAt  time.Time
	// direct is set once the replica itself has sent this node a heartbeat.
	direct bool
	stamp  uint64
	// order numbers the replicas in the order in which the node learned of them.
	order uint64
}

// Table holds the replicas reported to one node. Each change that other nodes must learn of gets an
// increasing stamp. A Table is not safe for concurrent use.
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

// Recall adds replicas saved before a restart. Each counts as running for recallGrace, until its
// first heartbeat.
func (t *Table) Recall(now time.Time, records []Record) {
	for _, record := range records {
		if t.rows[record.ID] != nil {
			continue
		}
		known := &row{standing: ReplicaStatus{Record: record, Recalled: true}, heardAt: now.Add(recallGrace - t.times.Silence)}
		t.add(known)
	}
}

// Records returns the replicas to save for a restart: those with recent heartbeats, and those that
// are leaving, which must not count as running again. They are in the order in which the node
// learned of them, which decides who owns an address.
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

// ApplyHeartbeat processes a replica's own heartbeat and reports whether other nodes must learn of
// a change.
func (t *Table) ApplyHeartbeat(now time.Time, record Record) bool {
	return t.apply(now, record, true)
}

// ApplyForwarded processes a leaving replica's record that another node forwarded, and reports
// whether other nodes must learn of a change.
func (t *Table) ApplyForwarded(now time.Time, record Record) bool {
	return t.apply(now, record, false)
}

func (t *Table) apply(now time.Time, record Record, direct bool) bool {
	known := t.rows[record.ID]
	if known == nil && record.Gone && record.namesNoStart() {
		if left, found := t.EndingStart(record.ReplicaName()); found {
			left.Gone = true
			record, known = left, t.rows[left.ID]
		}
	}
	if known == nil {
		known = &row{standing: ReplicaStatus{Record: record, Silent: !direct}, heardAt: now, direct: direct}
		t.add(known)
		return true
	}
	if record.Sequence <= known.standing.Record.Sequence && !advancesDeparture(&known.standing.Record, &record) {
		return t.applyRepeat(now, known, record, direct)
	}
	before := known.standing
	known.standing.Record.update(record)
	if direct {
		known.heardAt = now
		known.direct = true
		known.standing.Silent = false
		known.standing.Recalled = false
	}
	changed := before.unconfirmed() != known.standing.unconfirmed() || before.Silent != known.standing.Silent || !sameState(&before.Record, &known.standing.Record)
	if changed {
		t.mark(known)
	}
	return changed
}

// advancesDeparture reports whether next sets Draining or Gone where known does not.
func advancesDeparture(known, next *Record) bool {
	return next.Draining && !known.Draining || next.Gone && !known.Gone
}

// applyRepeat processes a duplicate or late heartbeat. A duplicate of the latest one still shows
// that the replica is running; an older one shows nothing.
func (t *Table) applyRepeat(now time.Time, known *row, record Record, direct bool) bool {
	if !direct || record.Sequence < known.standing.Record.Sequence {
		return false
	}
	known.heardAt = now
	known.direct = true
	if !known.standing.unconfirmed() {
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

// Len returns the number of known replicas.
func (t *Table) Len() int { return len(t.rows) }

// Leaving reports whether a replica is known to be draining or gone.
func (t *Table) Leaving(id string) bool {
	known := t.rows[id]
	return known != nil && known.standing.Record.Leaving()
}

// Record returns the record of a replica, if it is known.
func (t *Table) Record(id string) (Record, bool) {
	known := t.rows[id]
	if known == nil {
		return Record{}, false
	}
	return known.standing.Record, true
}

// Starts returns the records of all known starts of a replica.
func (t *Table) Starts(name string) []Record {
	var starts []Record
	for _, known := range t.rows {
		if known.standing.Record.ReplicaName() == name {
			starts = append(starts, known.standing.Record)
		}
	}
	return starts
}

// EndingStart returns the start of a replica that an end notice refers to, among those known to this
// node.
func (t *Table) EndingStart(name string) (Record, bool) { return EndingStart(t.Starts(name)) }

// EndingStart returns the start of a replica that an end notice refers to; the notice carries only
// the replica's name. It is one that is draining and not gone, since the notice of an earlier start
// may arrive after the first heartbeat of a later one; otherwise it is the latest. A start may be
// given several times, as different nodes know it.
func EndingStart(starts []Record) (Record, bool) {
	merged := map[string]Record{}
	for _, start := range starts {
		if known, found := merged[start.ID]; found {
			start.Draining = start.Draining || known.Draining
			start.Gone = start.Gone || known.Gone
		}
		merged[start.ID] = start
	}
	var ending *Record
	for _, start := range merged {
		if ending == nil || endsFirst(&start, ending) {
			ending = &start
		}
	}
	if ending == nil {
		return Record{}, false
	}
	return *ending, true
}

// endsFirst reports whether an end notice refers to the first of two starts rather than to the
// second.
func endsFirst(first, second *Record) bool {
	firstEnds, secondEnds := first.Draining && !first.Gone, second.Draining && !second.Gone
	if firstEnds != secondEnds {
		return firstEnds
	}
	return second.startedBefore(first)
}

// Excuse lets the time for which the node itself stood still until now not count as silence.
func (t *Table) Excuse(now time.Time, stoodStill time.Duration) {
	for _, known := range t.rows {
		if heardAt := known.heardAt.Add(stoodStill); heardAt.Before(now) {
			known.heardAt = heardAt
		} else if known.heardAt.Before(now) {
			known.heardAt = now
		}
	}
}

// Sweep marks replicas that have become silent and removes old ones. It reports whether other nodes
// must learn of a change.
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

// Since returns the replicas that changed after a stamp, in the order in which the node learned of
// them: of two at one address the later one owns it.
func (t *Table) Since(stamp uint64) []ReplicaStatus {
	var changed []ReplicaStatus
	for _, known := range t.sorted() {
		if known.stamp > stamp {
			changed = append(changed, known.standing)
		}
	}
	return changed
}
