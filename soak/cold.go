package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// coldRate is the configured limit of requests a second for a cold replica, maxColdPerSecond the
	// highest number that the check accepts.
	coldRate         = 10
	maxColdPerSecond = coldRate*1.5 + 5
	// coldDuration is how long a replica is cold, coldPause the pause between two cold zones.
	coldDuration = 3 * time.Second
	coldPause    = 5 * time.Second
	// coldNoticeTime is how long it takes until every gateway without a fault knows what a replica
	// told a control node.
	coldNoticeTime = time.Second
)

// coldPeriod records when a replica is cold and which requests it receives meanwhile. It is safe for
// concurrent use.
type coldPeriod struct {
	mu sync.Mutex
	// until is the end of the period, acknowledgedAt when a control node first acknowledged it.
	until          time.Time
	acknowledgedAt time.Time
	arrivals       []time.Time
}

// begin makes the replica cold from now on.
func (c *coldPeriod) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.acknowledgedAt, c.arrivals = time.Now().Add(coldDuration), time.Time{}, nil
}

// remaining returns how much longer the replica is cold.
func (c *coldPeriod) remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(time.Until(c.until), 0)
}

// recordAcknowledged records that a control node knows that the replica is cold.
func (c *coldPeriod) recordAcknowledged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acknowledgedAt.IsZero() {
		c.acknowledgedAt = time.Now()
	}
}

// recordArrival counts a request and returns how many arrived within the last second. It returns 0
// unless the replica is cold and every gateway knows it.
func (c *coldPeriod) recordArrival(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.until) || c.acknowledgedAt.IsZero() || now.Sub(c.acknowledgedAt) < coldNoticeTime {
		return 0
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > time.Second {
		c.arrivals = c.arrivals[1:]
	}
	return len(c.arrivals)
}

// checkCold checks that a cold replica does not receive too many requests.
func (r *replicas) checkCold(rep *replica) {
	if got := rep.cold.recordArrival(time.Now()); float64(got) > maxColdPerSecond && r.faultFree("") {
		r.check.late("cold", "%s got %d requests in a second while it was cold", rep.id, got)
	}
}

// makeZonesCold makes all replicas of a random zone cold at regular intervals.
func (r *replicas) makeZonesCold(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(coldPause):
		}
		zone := zoneOf(random.IntN(zoneCount))
		for _, rep := range r.firstShare(1) {
			if zoneOf(rep.host) == zone {
				rep.cold.begin()
			}
		}
		r.check.count("cold zones")
	}
}
