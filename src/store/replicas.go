package store

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/registry"
)

// replicasFile holds the replicas that a control node knew of.
const replicasFile = "replicas"

// ReplicaFile keeps the replicas that a control node knows of, so that after a
// restart requests can be served before each replica has called again; it is safe
// for concurrent use.
type ReplicaFile struct {
	folder *Folder
	mu     sync.Mutex
}

// Replicas returns the folder's file of replicas.
func (f *Folder) Replicas() *ReplicaFile { return &ReplicaFile{folder: f} }

// Save writes the records and returns once they would survive a loss of power.
func (r *ReplicaFile) Save(records []registry.Record) error {
	body, err := cbor.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encoding the replicas")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folder.replace(replicasFile, body)
}

// Load returns the records that were saved last, none if there are none yet.
func (r *ReplicaFile) Load() ([]registry.Record, error) {
	data, err := os.ReadFile(filepath.Join(r.folder.path, replicasFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the replicas")
	}
	body, _, ok := nextFrame(data)
	var records []registry.Record
	if !ok || cbor.Unmarshal(body, &records) != nil {
		return nil, errors.Wrap(ErrDamaged, replicasFile)
	}
	return records, nil
}
