package store

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// openSegment starts the next log file.
func (f *Folder) openSegment() error {
	if f.segment != nil {
		if err := f.segment.Close(); err != nil {
			return errors.Wrap(err, "closing a log file")
		}
	}
	f.sequence++
	name := segmentName(f.sequence)
	file, err := f.openFile(filepath.Join(f.path, name))
	if err != nil {
		return errors.Wrap(err, "opening a log file")
	}
	f.segment = file
	f.size = 0
	f.segments = append(f.segments, name)
	return f.syncFolder()
}

// Save makes the hard state and entries durable with one sync. After an error every later
// call fails too, because the state of a disk that failed once is unknown.
func (f *Folder) Save(state *raft.HardState, entries []raft.Entry) error {
	if f.failure != nil {
		return f.failure
	}
	if state == nil && len(entries) == 0 {
		return nil
	}
	f.failure = f.save(state, entries)
	return f.failure
}

func (f *Folder) save(state *raft.HardState, entries []raft.Entry) error {
	buf, err := appendRecord(nil, record{HardState: state, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := f.segment.Write(buf); err != nil {
		return errors.Wrap(err, "writing the log")
	}
	delaySync(f.path)
	if err := f.segment.Sync(); err != nil {
		return errors.Wrap(err, "syncing the log")
	}
	f.syncs++
	f.size += len(buf)
	if f.size < segmentLimit {
		return nil
	}
	return f.openSegment()
}

// SaveSnapshot makes a snapshot durable and then removes the log files it covers. It also writes state
// and the entries after the snapshot, since the removed files may hold their only copy.
func (f *Folder) SaveSnapshot(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error {
	if f.failure != nil {
		return f.failure
	}
	f.failure = f.saveSnapshot(snapshot, state, after)
	return f.failure
}

func (f *Folder) saveSnapshot(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error {
	body, err := cbor.Marshal(snapshot)
	if err != nil {
		return errors.Wrap(err, "encoding the snapshot")
	}
	if err := f.replace(snapshotFile, body); err != nil {
		return err
	}
	old := f.segments
	f.segments = nil
	if err := f.openSegment(); err != nil {
		return err
	}
	if err := f.save(&state, after); err != nil {
		return err
	}
	for _, name := range old {
		if err := os.Remove(filepath.Join(f.path, name)); err != nil {
			return errors.Wrap(err, "removing a log file")
		}
	}
	return f.syncFolder()
}

// Close closes the log file.
func (f *Folder) Close() error {
	return errors.Wrap(f.segment.Close(), "closing the log")
}
