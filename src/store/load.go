package store

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// load reads the snapshot and then the log files in order.
func (f *Folder) load() (raft.InitialState, error) {
	var start raft.InitialState
	if err := f.loadSnapshot(&start); err != nil {
		return start, err
	}
	names, err := f.segmentNames()
	if err != nil {
		return start, err
	}
	for i, name := range names {
		if err := f.loadSegment(name, i == len(names)-1, &start); err != nil {
			return start, err
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &f.sequence); err != nil {
			return start, errors.Wrapf(ErrDamaged, "%s has no number in its name", name)
		}
		f.segments = append(f.segments, name)
	}
	return start, nil
}

func (f *Folder) loadSnapshot(start *raft.InitialState) error {
	data, err := os.ReadFile(filepath.Join(f.path, snapshotFile))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reading the snapshot")
	}
	body, _, ok := nextFrame(data)
	if !ok || cbor.Unmarshal(body, &start.Snapshot) != nil {
		return errors.Wrap(ErrDamaged, snapshotFile)
	}
	return nil
}

// loadSegment reads one log file. A torn record at the end of the newest file is left out: it was never
// acknowledged.
func (f *Folder) loadSegment(name string, newest bool, start *raft.InitialState) error {
	path := filepath.Join(f.path, name)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the log")
	}
	f.size = len(data)
	rest := data
	for len(rest) > 0 {
		body, after, ok := nextFrame(rest)
		if !ok {
			return f.noteTornTail(name, rest, len(data)-len(rest), newest)
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return errors.Wrapf(ErrDamaged, "%s at byte %d", name, len(data)-len(rest))
		}
		if err := replay(start, r); err != nil {
			return errors.Wrapf(err, "%s at byte %d", name, len(data)-len(rest))
		}
		rest = after
	}
	return nil
}

// noteTornTail records that the log ends with a torn record, which the first write removes. If a valid
// record follows, the corruption is not at the end and acknowledged entries may be lost, so it returns
// ErrDamaged.
func (f *Folder) noteTornTail(name string, rest []byte, offset int, newest bool) error {
	if !newest || validRecordFollows(rest) {
		return errors.Wrapf(ErrDamaged, "%s at byte %d", name, offset)
	}
	f.torn, f.size = true, offset
	return nil
}

func validRecordFollows(rest []byte) bool {
	for i := 1; i+headerSize < len(rest); i++ {
		if body, _, ok := nextFrame(rest[i:]); ok {
			var r record
			if cbor.Unmarshal(body, &r) == nil && (len(r.Entries) > 0 || r.HardState != nil) {
				return true
			}
		}
	}
	return false
}

func replay(start *raft.InitialState, r record) error {
	if r.HardState != nil {
		start.HardState = *r.HardState
	}
	for _, entry := range r.Entries {
		if entry.Index <= start.Snapshot.Index {
			continue
		}
		next := start.LastIndex() + 1
		if entry.Index > next {
			return errors.Wrapf(ErrDamaged, "entry %d follows %d", entry.Index, next-1)
		}
		keep := entry.Index - start.Snapshot.Index - 1
		start.Entries = append(start.Entries[:keep], entry)
	}
	return nil
}
