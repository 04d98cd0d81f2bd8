package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
)

func openReplicas(t *testing.T, path string) *ReplicaFile {
	t.Helper()
	folder, _, err := Open(Options{Path: path, Cluster: "c", Name: "n", Founder: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = folder.Close() })
	return folder.Replicas()
}

func TestReplicasAreLoadedAsSaved(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	file := openReplicas(t, path)
	records, err := file.Load()
	is.NoErr(err)
	is.Equal(len(records), 0)
	saved := []registry.Record{{ID: "a", Service: "s", Address: "x:1", Sequence: 4, Draining: true, Models: []registry.Held{{Name: "m", Adapters: []string{"a1"}}}}, {ID: "b"}}
	is.NoErr(file.Save(saved))
	records, err = file.Load()
	is.NoErr(err)
	is.Equal(records, saved)
}

// TestDamagedReplicaFileDoesNotPreventOpen: the file only speeds up a restart, so the
// folder can be opened without it.
func TestDamagedReplicaFileDoesNotPreventOpen(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	is.NoErr(openReplicas(t, path).Save([]registry.Record{{ID: "a"}}))
	name := filepath.Join(path, replicasFile)
	data, err := os.ReadFile(name)
	is.NoErr(err)
	is.NoErr(os.WriteFile(name, data[:len(data)-1], fileMode))
	_, err = openReplicas(t, path).Load()
	is.True(errors.Is(err, ErrDamaged))
}
