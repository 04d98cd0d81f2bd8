package exchange

import (
	"math/rand/v2"
	"time"
)

const (
	// overdueFor is for how long a copy that should serve already is still waited for: a load takes
	// longer while many run.
	overdueFor = 2 * time.Second
	// leavesAfterTargets and leavesAfter are when a client has given up that has no first byte: after
	// so many targets, and not before that time.
	leavesAfterTargets = 4
	leavesAfter        = 2 * time.Second
	// comingMargin is kept for the way of the word that the copy serves, and for the run's first byte.
	comingMargin = 300 * time.Millisecond
)

// comingAt returns when the first copy of a model is expected to serve; known is false if none is
// being loaded, as far as is known.
func (f *Fleet) comingAt(now time.Time, service, model string) (at time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known = f.coming[indexKey{service, copyKey{model: model}}]
	return at, known && now.Before(at.Add(overdueFor))
}

// outwaits reports whether a request without a copy of its model can wait for the one that is being
// loaded. Its answer is late, which is worth more to its client than none; one that can't be in time
// to be of any use is refused at once instead, and told when the copy serves. A gateway that stops
// holds none: it may end before the copy is there.
func (c *call) outwaits(now time.Time) bool {
	at, known := c.handler.options.Fleet.comingAt(now, c.service, c.facts.Model)
	if !known || c.handler.stopping.Load() {
		return false
	}
	wait := max(at.Sub(now), 0)
	stays := max(leavesAfterTargets*c.route.Target, leavesAfter)
	if now.Add(wait + comingMargin).Before(earlier(c.deadline, c.began.Add(stays))) {
		return true
	}
	c.retryIn = spreadReturn(wait, rand.Float64())
	return false
}
