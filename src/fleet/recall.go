package fleet

import (
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/store"
)

// saveReplicas returns the function that saves the known replicas to a file.
func (c *controlNode) saveReplicas(file *store.ReplicaFile) func([]registry.Record) error {
	return func(records []registry.Record) error {
		err := file.Save(records)
		if err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the known replicas were not saved: " + err.Error()})
		}
		return err
	}
}

// restoreReplicas loads the replicas known before a restart. If the file can't be read, the node
// starts without them and learns them from the next heartbeats.
func (c *controlNode) restoreReplicas(file *store.ReplicaFile) {
	records, err := file.Load()
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the replicas known before the restart were not restored: " + err.Error()})
		return
	}
	c.publisher.Recall(records)
}
