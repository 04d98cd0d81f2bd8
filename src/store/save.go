package store

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// prepareWrites prepares a loaded folder for its first write: it truncates a torn record and opens the
// newest log file.
func (f *Folder) prepareWrites() error {
	if f.segment != nil {
		return nil
	}
	if len(f.segments) == 0 {
		return f.openSegment()
	}
	path := filepath.Join(f.path, f.segments[len(f.segments)-1])
	if f.torn {
		if err := os.Truncate(path, int64(f.size)); err != nil {
			return errors.Wrap(err, "truncating a torn record")
		}
	}
	file, err := f.openFile(path)
	if err != nil {
		return errors.Wrap(err, "opening a log file")
	}
	f.segment = file
	return nil
}

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
	f.folderSynced = true
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
	if err := f.prepareWrites(); err != nil {
		return err
	}
	buf, err := appendRecord(nil, record{HardState: state, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := f.segment.Write(buf); err != nil {
		return errors.Wrap(err, "writing the log")
	}
	if err := f.syncLog(); err != nil {
		return err
	}
	f.syncs++
	f.size += len(buf)
	if f.size < segmentLimit {
		return nil
	}
	return f.openSegment()
}

// syncLog syncs the log file. The first sync after the start also covers the folder, since the names of
// files that were read then may not be durable; on a slow disk the two take as long as one.
func (f *Folder) syncLog() error {
	names := make(chan error, 1)
	if f.folderSynced {
		names <- nil
	} else {
		go func() { names <- f.syncFolder() }()
	}
	delaySync(f.path)
	err := f.segment.Sync()
	if namesErr := <-names; namesErr != nil {
		return namesErr
	}
	if err != nil {
		return errors.Wrap(err, "syncing the log")
	}
	f.folderSynced = true
	return nil
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
	if err := f.prepareWrites(); err != nil {
		return err
	}
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
	if f.segment == nil {
		return nil
	}
	return errors.Wrap(f.segment.Close(), "closing the log")
}
