package fleet

import (
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/store"
)

// saveReplicas returns the function that keeps the known replicas in a file.
func (c *controlNode) saveReplicas(file *store.ReplicaFile) func([]registry.Record) error {
	return func(records []registry.Record) error {
		err := file.Save(records)
		if err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the known replicas were not saved: " + err.Error()})
		}
		return err
	}
}

// recall takes in the replicas known before a restart; a file that can't be read
// costs a heartbeat's time, not the start.
func (c *controlNode) recall(file *store.ReplicaFile) {
	records, err := file.Load()
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the replicas known before are not recalled: " + err.Error()})
		return
	}
	c.publisher.Recall(records)
}
