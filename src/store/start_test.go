package store

import (
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// TestOpenReadsWithoutWriting guards against a control node that answers nobody while its disk hangs:
// opening a log file and syncing the folder came before everything else at a start. After a loss of all
// power the nodes that held the newest configuration were silent for as long as a sync took, and gateways
// followed one that did not have it.
func TestOpenReadsWithoutWriting(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeRecords(t, path)
	o := testOptions(path)
	o.OpenFile = func(string) (File, error) { return nil, errors.New("the disk hangs") }
	f, start, err := Open(o)
	is.NoErr(err)
	is.Equal(start.LastIndex(), uint64(6))
	is.True(f.Save(nil, makeEntries(7, 7)) != nil)
	is.NoErr(f.Close())
}

// TestFirstWriteRemovesTornRecord: a torn record is left on the disk when the folder is opened, so that
// the first write has to remove it. Otherwise what is acknowledged afterwards would follow damaged data.
func TestFirstWriteRemovesTornRecord(t *testing.T) {
	is := is.New(t)
	for _, write := range []func(f *Folder) error{
		func(f *Folder) error { return f.Save(nil, makeEntries(5, 5)) },
		func(f *Folder) error {
			return f.SaveSnapshot(raft.Snapshot{Term: 1, Index: 4}, raft.HardState{Term: 2}, makeEntries(5, 5))
		},
	} {
		path := t.TempDir()
		file := writeRecords(t, path)
		data, err := os.ReadFile(file)
		is.NoErr(err)
		is.NoErr(os.Truncate(file, int64(len(data)-1)))
		f, start, err := Open(testOptions(path))
		is.NoErr(err)
		is.Equal(start.LastIndex(), uint64(4))
		is.NoErr(write(f))
		is.NoErr(f.Close())
		_, start, err = Open(testOptions(path))
		is.NoErr(err)
		is.Equal(start.LastIndex(), uint64(5))
	}
}

// TestOpenChecksThatTheDiskWorksAgain: a node is rebuilt after a disk failure only once a write succeeds. On a
// full disk files can be opened and folders synced, so that a node that checked no more than that would serve
// and fail each second.
func TestOpenChecksThatTheDiskWorksAgain(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeRecords(t, path)
	o := testOptions(path)
	o.CheckWritable = true
	o.OpenFile = func(name string) (File, error) {
		file, err := openAppend(name)
		return &failingFile{File: file, syncs: 9}, err
	}
	_, _, err := Open(o)
	is.True(err != nil)
	o.OpenFile = nil
	f, start, err := Open(o)
	is.NoErr(err)
	is.Equal(start.HardState, raft.HardState{Term: 3, Vote: "k2#0"})
	is.True(!start.Unsynced)
	is.NoErr(f.Save(nil, makeEntries(7, 7)))
}
