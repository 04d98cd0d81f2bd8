package store

import "github.com/moorspool/moorspool/src/registry"

// replicasFile holds the replicas that a control node knew of.
const replicasFile = "replicas"

// ReplicaFile keeps the replicas that a control node knows of, so that after a
// restart requests can be served before each replica has called again; it is safe
// for concurrent use.
type ReplicaFile struct {
	list listFile[registry.Record]
}

// Replicas returns the folder's file of replicas.
func (f *Folder) Replicas() *ReplicaFile {
	return &ReplicaFile{list: listFile[registry.Record]{folder: f, name: replicasFile}}
}

// Save writes the records and returns once they would survive a loss of power.
func (r *ReplicaFile) Save(records []registry.Record) error { return r.list.save(records) }

// Load returns the records that were saved last, none if there are none yet.
func (r *ReplicaFile) Load() ([]registry.Record, error) { return r.list.load() }
