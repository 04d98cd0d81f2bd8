package control

import (
	"time"

	"github.com/moorspool/moorspool/src/raft"
)

// Disk is the durable storage of a control node. Tests inject faults through its functions.
type Disk struct {
	// Save makes a hard state and entries durable before it returns.
	Save func(state *raft.HardState, entries []raft.Entry) error
	// SaveSnapshot makes a snapshot durable and discards the entries it covers.
	SaveSnapshot func(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error
}

// write is one unit of work for the disk: either output of consensus or a snapshot of the node's
// own state.
type write struct {
	ready raft.Ready
	// localSnapshot is a snapshot of the node's own state, nil if there is none. The hard state and
	// the entries after the snapshot are written with it. coveredBytes is the size of the entries
	// that it replaces.
	localSnapshot *raft.Snapshot
	state         raft.HardState
	entriesAfter  []raft.Entry
	coveredBytes  int
}

// perform makes a write durable.
func (d Disk) perform(w *write) error {
	switch {
	case w.localSnapshot != nil:
		return d.SaveSnapshot(*w.localSnapshot, w.state, w.entriesAfter)
	case w.ready.Snapshot != nil:
		return d.SaveSnapshot(*w.ready.Snapshot, *w.ready.HardState, w.ready.Entries)
	}
	return d.Save(w.ready.HardState, w.ready.Entries)
}

// finishedWrite is a write that has ended, with its error and duration.
type finishedWrite struct {
	write *write
	err   error
	took  time.Duration
}

// writer performs a node's writes one at a time, in order, in a goroutine of its own, so that the
// event loop does not block on the disk.
type writer struct {
	disk Disk
	now  func() time.Time
	// pending holds the next write. The loop queues a write only after the previous one has
	// finished.
	pending chan *write
	// ended delivers the finished writes.
	ended chan finishedWrite
}

func newWriter(disk Disk, now func() time.Time) *writer {
	return &writer{disk: disk, now: now, pending: make(chan *write, 1), ended: make(chan finishedWrite, 1)}
}

// run performs writes until pending is closed.
func (w *writer) run() {
	for next := range w.pending {
		began := w.now()
		err := w.disk.perform(next)
		w.ended <- finishedWrite{write: next, err: err, took: w.now().Sub(began)}
	}
	close(w.ended)
}

// stop waits for the write in progress, after which the data folder may be closed.
func (w *writer) stop() {
	close(w.pending)
	for range w.ended {
		// The result is not needed.
	}
}
