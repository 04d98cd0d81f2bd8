package store

import "github.com/moorspool/moorspool/src/registry"

// replicasFile is the file with the known replicas.
const replicasFile = "replicas"

// ReplicaFile stores the replicas known to a control node, so that requests can be served after a
// restart before every replica has registered again. It is safe for concurrent use.
type ReplicaFile struct {
	list listFile[registry.Record]
}

// Replicas returns the folder's file of known replicas.
func (f *Folder) Replicas() *ReplicaFile {
	return &ReplicaFile{list: listFile[registry.Record]{folder: f, name: replicasFile}}
}

// Save writes the records. It returns once they would survive a loss of power.
func (r *ReplicaFile) Save(records []registry.Record) error { return r.list.save(records) }

// Load returns the records saved last, or none if nothing was saved.
func (r *ReplicaFile) Load() ([]registry.Record, error) { return r.list.load() }
