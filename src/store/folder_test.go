package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

func testOptions(path string) Options {
	return Options{Path: path, Cluster: "c", Name: "k1", Founder: true}
}

func makeEntries(from, to uint64) []raft.Entry {
	var all []raft.Entry
	for i := from; i <= to; i++ {
		all = append(all, raft.Entry{Term: 1, Index: i, Data: []byte{byte(i)}})
	}
	return all
}

// writeRecords writes three records and returns the path of the newest log file.
func writeRecords(t *testing.T, path string) string {
	t.Helper()
	f, _, err := Open(testOptions(path))
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(0); i < 3; i++ {
		if err := f.Save(&raft.HardState{Term: i + 1, Vote: "k2#0"}, makeEntries(i*2+1, i*2+2)); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(path, segmentName(f.sequence))
}

func TestSavedStateIsLoaded(t *testing.T) {
	path := t.TempDir()
	writeRecords(t, path)
	_, start, err := Open(testOptions(path))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(start.HardState, raft.HardState{Term: 3, Vote: "k2#0"})
	is.Equal(start.LastIndex(), uint64(6))
}

func TestRecordTornAtAnyByteIsTruncated(t *testing.T) {
	whole := t.TempDir()
	data, err := os.ReadFile(writeRecords(t, whole))
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(data) - 1; cut > 0; cut-- {
		path := t.TempDir()
		file := writeRecords(t, path)
		if err := os.Truncate(file, int64(cut)); err != nil {
			t.Fatal(err)
		}
		_, start, err := Open(testOptions(path))
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if last := start.LastIndex(); last != 0 && last != 2 && last != 4 {
			t.Fatalf("cut at %d: %d entries: part of a record was loaded", cut, last)
		}
	}
}

func TestCorruptionBeforeEndIsRejected(t *testing.T) {
	path := t.TempDir()
	file := writeRecords(t, path)
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[headerSize+2] ^= 0xff
	if err := os.WriteFile(file, data, fileMode); err != nil {
		t.Fatal(err)
	}
	_, _, err = Open(testOptions(path))
	is.New(t).True(errors.Is(err, ErrDamaged))
}

func TestForeignFolderAndOtherVersionAreRejected(t *testing.T) {
	path := t.TempDir()
	writeRecords(t, path)
	is := is.New(t)
	other := testOptions(path)
	other.Name = "k2"
	_, _, err := Open(other)
	is.True(errors.Is(err, ErrForeign))
	f := &Folder{path: path}
	is.NoErr(f.replace(identityFile, []byte{0xa1, 0x01, 0x18, 0x63})) // version 99
	_, _, err = Open(testOptions(path))
	is.True(errors.Is(err, ErrVersion))
}

func TestEmptyFolderGetsUniqueIdentity(t *testing.T) {
	is := is.New(t)
	joining := testOptions(t.TempDir())
	joining.Founder = false
	first, _, err := Open(joining)
	is.NoErr(err)
	joining.Path = t.TempDir()
	second, _, err := Open(joining)
	is.NoErr(err)
	is.True(first.Identity().ID() != second.Identity().ID())
	is.True(first.Identity().ID() != "k1#0")
}

// failingFile fails after the given numbers of syncs and writes.
type failingFile struct {
	File
	syncs  int
	writes int
}

func (f *failingFile) Sync() error {
	if f.syncs--; f.syncs < 0 {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func (f *failingFile) Write(p []byte) (int, error) {
	if f.writes--; f.writes < 0 {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

func TestNoWritesAfterDiskError(t *testing.T) {
	for _, failing := range []failingFile{{syncs: 1, writes: 9}, {syncs: 9, writes: 1}} {
		o := testOptions(t.TempDir())
		o.OpenFile = func(name string) (File, error) {
			file, err := openAppend(name)
			failing.File = file
			return &failing, err
		}
		f, _, err := Open(o)
		is := is.New(t)
		is.NoErr(err)
		is.NoErr(f.Save(nil, makeEntries(1, 1)))
		is.True(f.Save(nil, makeEntries(2, 2)) != nil)
		failing.syncs, failing.writes = 9, 9
		is.True(f.Save(nil, makeEntries(2, 2)) != nil)
	}
}

func TestSnapshotReplacesCoveredLog(t *testing.T) {
	path := t.TempDir()
	writeRecords(t, path)
	is := is.New(t)
	f, _, err := Open(testOptions(path))
	is.NoErr(err)
	is.NoErr(f.SaveSnapshot(raft.Snapshot{Term: 1, Index: 4, Data: []byte("state")}, raft.HardState{Term: 3, Vote: "k2#0"}, makeEntries(5, 6)))
	is.NoErr(f.Save(nil, makeEntries(7, 7)))
	_, start, err := Open(testOptions(path))
	is.NoErr(err)
	is.Equal(start.Snapshot.Index, uint64(4))
	is.Equal(len(start.Entries), 3)
	is.Equal(start.HardState.Term, uint64(3))
}

func TestRestoreReturnsBackedUpState(t *testing.T) {
	path := t.TempDir()
	writeRecords(t, path)
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "backup")
	is.NoErr(Backup(path, file))
	restored := filepath.Join(t.TempDir(), "folder")
	is.NoErr(Restore(file, restored))
	identity, start, err := Read(restored)
	is.NoErr(err)
	is.Equal(identity.ID(), raft.ID("k1#0"))
	is.Equal(start.LastIndex(), uint64(6))
	is.True(Restore(file, restored) != nil) // the folder is not empty
}
