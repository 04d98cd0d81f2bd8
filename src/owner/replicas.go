package owner

import (
	"sync"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// Replicas holds the replicas to which requests may be sent. It is safe for concurrent use.
type Replicas struct {
	mu     sync.Mutex
	listed map[string]registry.Record
	drains *wire.ZoneDrains
}

// NewReplicas returns Replicas without any.
func NewReplicas() *Replicas { return &Replicas{listed: map[string]registry.Record{}} }

// SetReplicas applies changes of the replicas.
func (r *Replicas) SetReplicas(changes registry.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes.Entries {
		entry := &changes.Entries[i]
		if entry.Usable() {
			r.listed[entry.Record.ID] = entry.Record
		} else {
			delete(r.listed, entry.Record.ID)
		}
	}
	for _, id := range changes.Removed {
		delete(r.listed, id)
	}
}

// SetDrains sets the zones whose replicas get no new requests.
func (r *Replicas) SetDrains(drains *wire.ZoneDrains) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = drains
}

// Slots returns how many requests a replica runs at once. It returns false if the replica may get
// no new requests.
func (r *Replicas) Slots(id string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, listed := r.listed[id]
	if !listed || r.drains.Drained(record.Zone) {
		return 0, false
	}
	return max(record.Slots, 1), true
}
