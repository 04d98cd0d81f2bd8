package store

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// backup is the content of a data folder in one file.
type backup struct {
	Identity Identity       `cbor:"1,keyasint"`
	State    raft.HardState `cbor:"2,keyasint"`
	Snapshot raft.Snapshot  `cbor:"3,keyasint"`
	Entries  []raft.Entry   `cbor:"4,keyasint"`
}

// Read returns the contents of a data folder without modifying it. A torn record is an error
// only if valid records follow it.
func Read(path string) (Identity, raft.InitialState, error) {
	copied, err := os.MkdirTemp("", "moorspool-read-")
	if err != nil {
		return Identity{}, raft.InitialState{}, errors.Wrap(err, "reading the data folder")
	}
	defer os.RemoveAll(copied)
	if err := os.CopyFS(copied, os.DirFS(path)); err != nil {
		return Identity{}, raft.InitialState{}, errors.Wrap(err, "reading the data folder")
	}
	f := &Folder{path: copied}
	if err := f.readIdentity(); err != nil {
		return Identity{}, raft.InitialState{}, err
	}
	start, err := f.load()
	return f.identity, start, err
}

// Backup writes the data folder of a stopped control node to a single file.
func Backup(folder, file string) error {
	identity, start, err := Read(folder)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(backup{Identity: identity, State: start.HardState, Snapshot: start.Snapshot, Entries: start.Entries})
	if err != nil {
		return errors.Wrap(err, "encoding the backup")
	}
	return errors.Wrap(renameio.WriteFile(file, appendFrame(nil, body), fileMode), "writing the backup")
}

// Restore writes a backup to an empty folder. It is meant for an installation that
// lost a majority of its control nodes. The restored control node has the state at the time of the
// backup; changes accepted later are lost.
func Restore(file, folder string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "reading the backup")
	}
	body, rest, ok := nextFrame(data)
	var saved backup
	if !ok || len(rest) > 0 || cbor.Unmarshal(body, &saved) != nil {
		return errors.Wrapf(ErrDamaged, "%s", filepath.Base(file))
	}
	if names, err := os.ReadDir(folder); err == nil && len(names) > 0 {
		return errors.Errorf("%s is not empty; restore writes only into an empty folder", folder)
	}
	f, _, err := Open(Options{Path: folder, Cluster: saved.Identity.Cluster, Name: saved.Identity.Name})
	if err != nil {
		return err
	}
	defer f.Close()
	identity, err := cbor.Marshal(saved.Identity)
	if err != nil {
		return errors.Wrap(err, "encoding the identity")
	}
	if err := f.replace(identityFile, identity); err != nil {
		return err
	}
	return f.SaveSnapshot(saved.Snapshot, saved.State, saved.Entries)
}
