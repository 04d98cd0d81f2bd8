package main

import (
	"math/rand/v2"
	"time"
)

// restRefusal is which requests for the rest of a run replicas refuse beside those without a copy; "" is none.
type restRefusal string

const (
	// refusesAll refuses all, refusesSome restRefusalPercent of them; the copy stays.
	refusesAll  restRefusal = "all"
	refusesSome restRefusal = "some"
	// refusesEnded refuses those for runs that have ended well, whose copies go.
	refusesEnded restRefusal = "ended"
	// refusesFirst refuses the first one for each run for the time restPause; the copy stays.
	refusesFirst restRefusal = "first"
)

const (
	restRefusalPercent = 30
	restPause          = 300 * time.Millisecond
)

// refuses reports whether a request for the rest of a run is refused that so many others for it came before, and for how
// long, 0 if that is not told.
func (r restRefusal) refuses(run *streamRun, before int, seed uint64) (refused bool, wait time.Duration) {
	switch r {
	case refusesAll:
		return true, 0
	case refusesSome:
		// The draws of the runs themselves have lower numbers.
		random := rand.New(rand.NewPCG(seed, ^(requestNumber(run.id)<<16 + uint64(run.after)<<8 + uint64(before))))
		return random.IntN(100) < restRefusalPercent, 0
	case refusesFirst:
		if before == 0 {
			return true, restPause
		}
	}
	return false, 0
}

// takeUnlessRefused uses a copy as take does, unless the rest is refused; wait is for how long, 0 if that is not told.
func (c *runCopies) takeUnlessRefused(name, address, id string, now time.Time) (run *streamRun, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.find(name, address, id, now)
	if kept == nil {
		return nil, 0
	}
	before := kept.run.asked
	kept.run.asked++
	if refused, wait := c.refusal.refuses(kept.run, before, c.seed); refused {
		c.counts.refused++
		c.refusedRests[id]++
		return nil, wait
	}
	return c.use(name, kept), 0
}

// fate returns how many requests for a rest of a request's runs were refused, whether a call stopped one of the runs, and
// whether a replica with a copy of one has left.
func (c *runCopies) fate(id string, runs []*streamRun) (refused int, stopped, holderLeft bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, run := range runs {
		stopped, holderLeft = stopped || run.stopped, holderLeft || run.holderLeft
	}
	return c.refusedRests[id], stopped, holderLeft
}
