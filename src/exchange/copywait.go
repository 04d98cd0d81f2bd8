package exchange

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLoadOverrun is how long a model that should have been loaded is still waited for. Loading
	// takes longer while many loads run.
	maxLoadOverrun = 2 * time.Second
	// A client is assumed to give up without a first byte after clientPatienceTargets times its
	// target, but not before minClientPatience.
	clientPatienceTargets = 4
	minClientPatience     = 2 * time.Second
	// loadedMargin is the time kept for the notice that the model is loaded and for the first byte
	// of the run.
	loadedMargin = 300 * time.Millisecond
)

// copyExpectedAt returns when the first copy of a model is expected to be loaded; known is false if
// no copy is known to be loading.
func (f *Fleet) copyExpectedAt(now time.Time, service, model string) (at time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known = f.expectedCopies[indexKey{service, copyKey{model: model}}]
	return at, known && now.Before(at.Add(maxLoadOverrun))
}

// waitsForCopy reports whether a request whose model is not loaded can wait for the copy that is
// loading. A late response is worth more to the client than none. If it would be too late to be
// useful, the request is refused at once and told when to retry. A stopping gateway holds no
// requests, since it may end before the model is loaded.
func (c *call) waitsForCopy(now time.Time) bool {
	at, known := c.handler.options.Fleet.copyExpectedAt(now, c.service, c.requestInfo.Model)
	if !known || c.handler.stopping.Load() {
		return false
	}
	wait := max(at.Sub(now), 0)
	patience := max(clientPatienceTargets*c.route.Target, minClientPatience)
	if now.Add(wait + loadedMargin).Before(earlier(c.deadline, c.waitEnd(patience, patience))) {
		return true
	}
	c.retryIn = jitterRetry(wait, rand.Float64())
	return false
}
