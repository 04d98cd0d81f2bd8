package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// zoneCount is how many availability zones the replicas are in.
	zoneCount = 3
	// zoneOrderFor is for how long an order about a zone is sent again, the default of settings.
	zoneOrderFor = 8 * time.Second
	// zonesEvery and zoneDrainedFor are the pause between two drains and how long each lasts.
	zonesEvery     = 2 * time.Second
	zoneDrainedFor = 4 * time.Second
	// zoneSlack is after how long every calm gateway acts on an order that was acknowledged.
	zoneSlack = 2 * time.Second
)

// zoneOf returns the availability zone of a host.
func zoneOf(host int) string { return fmt.Sprint("zone-", host%zoneCount) }

// zoneOrders are what operators ordered about availability zones; they are safe for concurrent use.
type zoneOrders struct {
	mu sync.Mutex
	// drained is since when a zone's drain is acknowledged and its end not ordered.
	drained map[string]time.Time
}

func newZoneOrders() *zoneOrders { return &zoneOrders{drained: map[string]time.Time{}} }

func (z *zoneOrders) set(zone string, at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.drained[zone] = at
}

// since returns since when a zone is drained, the zero time if it is not.
func (z *zoneOrders) since(zone string) time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.drained[zone]
}

// drainZones drains a zone now and then, and ends that. At times a copy of the first order follows.
func (o *operators) drainZones(ctx context.Context, random *rand.Rand) {
	defer o.work.Done()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(zonesEvery):
		}
		zone := zoneOf(random.IntN(zoneCount))
		if o.orderZone(http.MethodPost, zone, random.IntN(controls)) {
			o.check.count("zones drained")
			select {
			case <-ctx.Done():
			case <-time.After(zoneDrainedFor):
			}
		}
		drained := o.zones.since(zone)
		ended := o.orderZone(http.MethodDelete, zone, random.IntN(controls))
		if ended && random.IntN(2) == 0 {
			o.repeatDrain(zone, drained, random.IntN(controls))
		}
	}
}

// repeatDrain sends a copy of the order that drained a zone, after the end of the drain.
func (o *operators) repeatDrain(zone string, drained time.Time, control int) {
	status := o.callZone(http.MethodPost, zone, control)
	if status == http.StatusOK && time.Since(drained) < zoneOrderFor {
		o.check.fail("zone", "a copy of an order to drain %s was carried out after the drain's end", zone)
	}
	o.check.count("copies of zone orders")
}

// drainLast drains a zone for the rest of the run.
func (o *operators) drainLast() {
	if !o.orderZone(http.MethodPost, zoneOf(0), 0) {
		o.check.late("zone", "the last drain was not acknowledged")
	}
}

// orderZone sends an order to control nodes in turn until one acknowledges it.
func (o *operators) orderZone(method, zone string, first int) bool {
	if method == http.MethodDelete {
		// From the first copy on the zone may take requests again.
		o.zones.set(zone, time.Time{})
	}
	began := time.Now()
	for turn := first; time.Since(began) < zoneOrderFor; turn++ {
		status := o.callZone(method, zone, turn%controls)
		if status == http.StatusOK {
			if method == http.MethodPost {
				o.zones.set(zone, time.Now())
			}
			return true
		}
		if status >= 400 && status < 500 {
			o.check.fail("zone", "%s of %s was answered %d", method, zone, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.check.count("zone orders without an answer")
	return false
}

func (o *operators) callZone(method, zone string, control int) int {
	m := o.in.controlNodes()[control]
	request, err := http.NewRequest(method, "http://"+o.in.outer(m, o.in.callPort())+"/-/evacuation/"+zone, nil)
	if err != nil {
		return 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// checkZone holds that a request does not reach a drained zone.
func (r *replicas) checkZone(one *replica, id string) {
	zone := zoneOf(one.host)
	if at := r.zones.since(zone); !at.IsZero() && time.Since(at) > zoneSlack && r.settled("") {
		r.check.late("zone", "%s in %s got request %s %s after the zone's drain was acknowledged", one.id, zone, id, time.Since(at))
	}
}
