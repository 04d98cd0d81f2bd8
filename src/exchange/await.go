package exchange

import (
	"context"
	"time"
)

// openShare is the part of its target that a request waits for a replica that wants nothing for a
// time. A simulated service of four replicas that turn away what is too much, for 0.3, 1 or 3 s
// each time, at 0.8 to 2 times its capacity, gave callers a mean worth of 0.330 with it, 0.302
// where all were refused at once, 0.292 with a third of the target, 0.077 with all of it and 0.166
// with all of the deadline (TestAShortWaitForAReplicaIsBestForCallers, all ways): what waits longer
// arrives in a crowd, and is turned away again.
const openShare = 0.125

// standing is a request's place in the line for replicas that take nothing now.
type standing struct {
	waiter *waiter
	of     copyOf
}

// behind reports whether others wait for what the request asks for, so that it must not overtake
// them, as long as it may wait.
func (c *call) behind(now time.Time) bool {
	lines := c.handler.lines
	return lines.waiting.Load() > 0 && c.standing.waiter == nil && now.Before(c.openBy()) && lines.any(c.awaited())
}

// awaited is what the request's line is for.
func (c *call) awaited() copyOf {
	return copyOf{service: c.service, held: copyKey{model: c.facts.Model, adapter: c.facts.Adapter}}
}

// openBy is until when the request waits for a replica that wants nothing now.
func (c *call) openBy() time.Time {
	return c.began.Add(time.Duration(float64(c.route.Target) * openShare))
}

// standInLine waits a moment in the line of what the request asks for. It reports false if the
// request is not to wait: no replica takes requests soon enough, the line is full, or a more
// urgent request took its place.
func (c *call) standInLine(ctx context.Context, now time.Time, choice Choice) bool {
	by := c.openBy()
	if len(c.tried) > 0 || now.Add(choice.OpensIn).After(by) {
		return false
	}
	lines, s := c.handler.lines, &c.standing
	if s.waiter == nil {
		s.of = c.awaited()
		s.waiter = lines.join(s.of, c.priority(), c.accountName(), choice.Places)
	}
	if s.waiter == nil {
		return false
	}
	timer := time.NewTimer(c.pauseInLine(now, by, choice))
	defer timer.Stop()
	first := s.waiter.first
	if lines.turn(s.of, s.waiter) {
		first = nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-first:
	case <-timer.C:
	}
	return !lines.putOut(s.waiter)
}

// pauseInLine is how long the request waits before it looks again: the first one until a replica
// takes requests, the others until it is their turn or their time is over.
func (c *call) pauseInLine(now, by time.Time, choice Choice) time.Duration {
	if c.handler.lines.turn(c.standing.of, c.standing.waiter) {
		return max(choice.OpensIn, time.Millisecond)
	}
	return by.Sub(now)
}

// leaveLine gives the request's place in a line up.
func (c *call) leaveLine() {
	if c.standing.waiter == nil {
		return
	}
	c.handler.lines.leave(c.standing.of, c.standing.waiter)
	c.standing = standing{}
}
