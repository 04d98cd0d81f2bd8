package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// Dispatchers keeps a dispatcher for each requested service; it is safe for concurrent use.
type Dispatchers struct {
	now func() time.Time

	mu sync.Mutex
	// listed are the usable replicas by ID. replicas are the slots of those whose zone is not
	// drained, by service and ID.
	listed   map[string]registry.Record
	replicas map[string]map[string]int
	drains   *wire.ZoneDrains
	// serviceOf is the service of each replica in replicas.
	serviceOf   map[string]string
	dispatchers map[string]*Dispatcher
}

// NewDispatchers returns Dispatchers without replicas.
func NewDispatchers(now func() time.Time) *Dispatchers {
	return &Dispatchers{now: now, listed: map[string]registry.Record{}, replicas: map[string]map[string]int{}, serviceOf: map[string]string{}, dispatchers: map[string]*Dispatcher{}}
}

// SetReplicas applies changes of the replicas.
func (d *Dispatchers) SetReplicas(changes registry.Changes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for i := range changes.Entries {
		entry := &changes.Entries[i]
		if entry.Usable() {
			d.listed[entry.Record.ID] = entry.Record
		} else {
			delete(d.listed, entry.Record.ID)
		}
		d.refreshReplica(now, entry.Record.ID)
	}
	for _, id := range changes.Removed {
		delete(d.listed, id)
		d.refreshReplica(now, id)
	}
}

// SetDrains sets the zones whose replicas get no new requests.
func (d *Dispatchers) SetDrains(drains *wire.ZoneDrains) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drains = drains
	now := d.now()
	for id := range d.listed {
		d.refreshReplica(now, id)
	}
}

// refreshReplica adds or removes a replica according to its record and the drained zones; the lock
// is held.
func (d *Dispatchers) refreshReplica(now time.Time, id string) {
	record, listed := d.listed[id]
	if listed && !d.drains.Drained(record.Zone) {
		d.addReplica(now, &record)
	} else {
		d.removeReplica(id)
	}
}

func (d *Dispatchers) addReplica(now time.Time, record *registry.Record) {
	if d.serviceOf[record.ID] != record.Service {
		d.removeReplica(record.ID)
	}
	d.serviceOf[record.ID] = record.Service
	if d.replicas[record.Service] == nil {
		d.replicas[record.Service] = map[string]int{}
	}
	d.replicas[record.Service][record.ID] = record.Slots
	if dispatcher := d.dispatchers[record.Service]; dispatcher != nil {
		dispatcher.Set(now, record.ID, record.Slots)
	}
}

func (d *Dispatchers) removeReplica(id string) {
	service, known := d.serviceOf[id]
	if !known {
		return
	}
	delete(d.serviceOf, id)
	delete(d.replicas[service], id)
	if dispatcher := d.dispatchers[service]; dispatcher != nil {
		dispatcher.Remove(id)
	}
}

// dispatcher returns the dispatcher of a service; the lock is held.
func (d *Dispatchers) dispatcher(now time.Time, service string) *Dispatcher {
	dispatcher := d.dispatchers[service]
	if dispatcher == nil {
		dispatcher = New()
		for id, slots := range d.replicas[service] {
			dispatcher.Set(now, id, slots)
		}
		d.dispatchers[service] = dispatcher
	}
	return dispatcher
}

// Request waits until a request of a service is assigned or refused.
func (d *Dispatchers) Request(ctx context.Context, service string, request Request) (Assignment, error) {
	if err := ctx.Err(); err != nil {
		return Assignment{}, err
	}
	results := make(chan Assignment, 1)
	request.OnResult = func(assignment Assignment) { results <- assignment }
	d.mu.Lock()
	now := d.now()
	d.dispatcher(now, service).Submit(now, request)
	d.mu.Unlock()
	timer := time.NewTimer(max(request.TimeLeft, 0))
	defer timer.Stop()
	for {
		select {
		case assignment := <-results:
			return assignment, nil
		case <-timer.C:
			d.expire(service)
			timer.Reset(networkMargin)
		case <-ctx.Done():
			go d.releaseAbandoned(service, results)
			return Assignment{}, ctx.Err()
		}
	}
}

// expire expires the assignments and queued requests of a service, in case nothing else does.
func (d *Dispatchers) expire(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.dispatcher(now, service).Expire(now)
}

// releaseAbandoned releases the assignment of a request that is no longer waited for.
func (d *Dispatchers) releaseAbandoned(service string, results <-chan Assignment) {
	for {
		select {
		case assignment := <-results:
			d.Release(service, assignment.Ticket, Unused, 0)
			return
		case <-time.After(assignmentTTL):
			d.expire(service)
		}
	}
}

// Release records how an assigned request ended.
func (d *Dispatchers) Release(service string, ticket uint64, outcome Outcome, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dispatcher := d.dispatchers[service]; dispatcher != nil {
		dispatcher.Release(d.now(), ticket, outcome, took)
	}
}
