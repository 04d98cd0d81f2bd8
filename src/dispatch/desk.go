package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// Desk has a dispatcher for each service that is asked for; it is safe for concurrent use.
type Desk struct {
	now func() time.Time

	mu sync.Mutex
	// listed are the replicas that are there, replicas the places of those among them whose zone
	// is not drained, by service.
	listed   map[string]registry.Record
	replicas map[string]map[string]int
	drains   *wire.ZoneDrains
	// serviceOf are the services of these replicas.
	serviceOf   map[string]string
	dispatchers map[string]*Dispatcher
}

// NewDesk returns a desk that knows no replica.
func NewDesk(now func() time.Time) *Desk {
	return &Desk{now: now, listed: map[string]registry.Record{}, replicas: map[string]map[string]int{}, serviceOf: map[string]string{}, dispatchers: map[string]*Dispatcher{}}
}

// SetReplicas takes in what changed of the replicas.
func (d *Desk) SetReplicas(changes registry.Changes) {
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
		d.settle(now, entry.Record.ID)
	}
	for _, id := range changes.Removed {
		delete(d.listed, id)
		d.settle(now, id)
	}
}

// SetDrains takes in the zones whose replicas get nothing new.
func (d *Desk) SetDrains(drains *wire.ZoneDrains) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drains = drains
	now := d.now()
	for id := range d.listed {
		d.settle(now, id)
	}
}

// settle lets a replica have requests or not, as it is listed now; the lock is held.
func (d *Desk) settle(now time.Time, id string) {
	record, listed := d.listed[id]
	if listed && !d.drains.Drained(record.Zone) {
		d.set(now, &record)
	} else {
		d.remove(id)
	}
}

func (d *Desk) set(now time.Time, record *registry.Record) {
	if d.serviceOf[record.ID] != record.Service {
		d.remove(record.ID)
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

func (d *Desk) remove(id string) {
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
func (d *Desk) dispatcher(now time.Time, service string) *Dispatcher {
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

// Ask waits until a request of a service has a place or is refused.
func (d *Desk) Ask(ctx context.Context, service string, ask Ask) (Place, error) {
	places := make(chan Place, 1)
	ask.Assign = func(place Place) { places <- place }
	d.mu.Lock()
	now := d.now()
	d.dispatcher(now, service).Submit(now, ask)
	d.mu.Unlock()
	timer := time.NewTimer(max(ask.Within, 0))
	defer timer.Stop()
	for {
		select {
		case place := <-places:
			return place, nil
		case <-timer.C:
			d.expire(service)
			timer.Reset(startMargin)
		case <-ctx.Done():
			go d.abandon(service, places)
			return Place{}, ctx.Err()
		}
	}
}

// expire lets time pass at a service where nothing else happens.
func (d *Desk) expire(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.dispatcher(now, service).Expire(now)
}

// abandon frees the place of an ask that nobody waits for any more.
func (d *Desk) abandon(service string, places <-chan Place) {
	for {
		select {
		case place := <-places:
			d.Release(service, place.Ticket, Full, 0)
			return
		case <-time.After(longestWork):
			d.expire(service)
		}
	}
}

// Release takes in how a request that had a place ended.
func (d *Desk) Release(service string, ticket uint64, outcome Outcome, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dispatcher := d.dispatchers[service]; dispatcher != nil {
		dispatcher.Release(d.now(), ticket, outcome, took)
	}
}
