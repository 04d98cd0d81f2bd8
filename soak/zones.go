package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	zoneCount = 3
	// zoneOrderTimeout is how long an order about a zone is retried; it is the default in the
	// settings.
	zoneOrderTimeout = 8 * time.Second
	// zoneDrainPause is the pause between two drains, zoneDrainDuration how long each lasts.
	zoneDrainPause    = 2 * time.Second
	zoneDrainDuration = 4 * time.Second
	// zoneNoticeTime is how long after its acknowledgement every gateway without a fault must follow
	// an order.
	zoneNoticeTime = 2 * time.Second
)

func zoneOf(host int) string { return fmt.Sprint("zone-", host%zoneCount) }

// zoneDrains records which availability zones operators have drained. It is safe for concurrent use.
type zoneDrains struct {
	mu sync.Mutex
	// drainedSince holds when each zone's drain was acknowledged; it is zero from the order to end
	// the drain on.
	drainedSince map[string]time.Time
}

func newZoneDrains() *zoneDrains { return &zoneDrains{drainedSince: map[string]time.Time{}} }

func (z *zoneDrains) set(zone string, at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.drainedSince[zone] = at
}

// since returns since when a zone is drained, the zero time if it is not.
func (z *zoneDrains) since(zone string) time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.drainedSince[zone]
}

// drainZones repeatedly drains a random zone and ends the drain, sometimes followed by a late copy
// of the drain order.
func (o *operators) drainZones(ctx context.Context, random *rand.Rand) {
	defer o.work.Done()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(zoneDrainPause):
		}
		zone := zoneOf(random.IntN(zoneCount))
		if o.orderZone(http.MethodPost, zone, random.IntN(controlNodeCount)) {
			o.check.count("zones drained")
			select {
			case <-ctx.Done():
			case <-time.After(zoneDrainDuration):
			}
		}
		drained := o.zones.since(zone)
		ended := o.orderZone(http.MethodDelete, zone, random.IntN(controlNodeCount))
		if ended && random.IntN(2) == 0 {
			o.repeatDrain(zone, drained, random.IntN(controlNodeCount))
		}
	}
}

// repeatDrain sends a copy of a drain order after the end of the drain; the copy must have no
// effect.
func (o *operators) repeatDrain(zone string, drained time.Time, control int) {
	status, _ := o.callZone(http.MethodPost, zone, control)
	if status == http.StatusOK && time.Since(drained) < zoneOrderTimeout {
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

// orderZone sends an order to the control nodes in turn until one acknowledges it. An order that may be a
// copy of one that was carried out before is told when it will be carried out, which is within
// zoneOrderTimeout after that one; it is sent once more then, even if the time is over by some milliseconds.
func (o *operators) orderZone(method, zone string, first int) bool {
	if method == http.MethodDelete {
		// The zone may receive requests again as soon as the first copy is sent.
		o.zones.set(zone, time.Time{})
	}
	began := time.Now()
	var retryAfter time.Duration
	turn := first
	for ; time.Since(began) < zoneOrderTimeout; turn++ {
		var acknowledged bool
		if acknowledged, retryAfter = o.tryZoneOrder(method, zone, turn); acknowledged {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	if retryAfter > 0 {
		time.Sleep(min(retryAfter, zoneOrderTimeout))
		for range controlNodeCount {
			if acknowledged, _ := o.tryZoneOrder(method, zone, turn); acknowledged {
				return true
			}
			turn++
		}
	}
	o.check.count("zone orders without an answer")
	return false
}

// tryZoneOrder sends an order to one control node. It reports whether the order was acknowledged, and when to
// send it again if the node says so.
func (o *operators) tryZoneOrder(method, zone string, turn int) (acknowledged bool, retryAfter time.Duration) {
	status, retryAfter := o.callZone(method, zone, turn%controlNodeCount)
	if status == http.StatusOK {
		if method == http.MethodPost {
			o.zones.set(zone, time.Now())
		}
		return true, 0
	}
	if status >= 400 && status < 500 {
		o.check.fail("zone", "%s of %s was answered %d", method, zone, status)
	}
	return false, retryAfter
}

// callZone sends an order to a control node and returns the status and the time in Retry-After, 0 if there is
// none.
func (o *operators) callZone(method, zone string, control int) (status int, retryAfter time.Duration) {
	m := o.in.controlNodes()[control]
	request, err := http.NewRequest(method, "http://"+o.in.proxyAddress(m, o.in.callPort())+"/-/evacuation/"+zone, nil)
	if err != nil {
		return 0, 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, 0
	}
	_ = response.Body.Close()
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return response.StatusCode, 0
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// checkZone checks that no request reaches a drained zone.
func (r *replicas) checkZone(rep *replica, id string) {
	zone := zoneOf(rep.host)
	if at := r.zones.since(zone); !at.IsZero() && time.Since(at) > zoneNoticeTime && r.faultFree("") {
		r.check.late("zone", "%s in %s got request %s %s after the zone's drain was acknowledged", rep.id, zone, id, time.Since(at))
	}
}
