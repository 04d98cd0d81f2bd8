package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// coldRate is how many requests a second a cold replica bears, coldAllowed how many it may get.
	coldRate    = 10
	coldAllowed = coldRate*1.5 + 5
	// coldFor is how long a replica is cold, coldEvery the pause between two zones that become so.
	coldFor   = 3 * time.Second
	coldEvery = 5 * time.Second
	// coldSlack is after how long every calm gateway knows what a control node was told of a replica.
	coldSlack = time.Second
)

// coldness is whether one start of a replica is cold, and what it gets then; it is safe for
// concurrent use.
type coldness struct {
	mu sync.Mutex
	// until is until when it is cold, toldAt when a control node first acknowledged that.
	until    time.Time
	toldAt   time.Time
	arrivals []time.Time
}

// begin makes the replica cold from now on.
func (c *coldness) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.toldAt, c.arrivals = time.Now().Add(coldFor), time.Time{}, nil
}

// left returns for how much longer the replica is cold.
func (c *coldness) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(time.Until(c.until), 0)
}

// told takes in that a control node knows of it.
func (c *coldness) told() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.toldAt.IsZero() {
		c.toldAt = time.Now()
	}
}

// arrived counts a request and returns how many came in the last second in which every gateway knew
// that the replica is cold.
func (c *coldness) arrived(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.until) || c.toldAt.IsZero() || now.Sub(c.toldAt) < coldSlack {
		return 0
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > time.Second {
		c.arrivals = c.arrivals[1:]
	}
	return len(c.arrivals)
}

// checkCold holds that a cold replica does not get more than it may.
func (r *replicas) checkCold(one *replica) {
	if got := one.cold.arrived(time.Now()); float64(got) > coldAllowed && r.settled("") {
		r.check.late("cold", "%s got %d requests in a second while it was cold", one.id, got)
	}
}

// coolZones lets all replicas of a zone become cold at once now and then.
func (r *replicas) coolZones(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(coldEvery):
		}
		zone := zoneOf(random.IntN(zoneCount))
		for _, one := range r.some(1) {
			if zoneOf(one.host) == zone {
				one.cold.begin()
			}
		}
		r.check.count("cold zones")
	}
}
