package exchange

import (
	"sync"
	"time"
)

const (
	// restOutcomeTTL is how long it counts that a service's replicas refused rests.
	restOutcomeTTL = time.Minute
	// maxInsistedRefusals is how many streams in a row may get no rest from an ended run before replicas are asked once only.
	maxInsistedRefusals = 2
)

// restOutcomes decides how the runs of a service are secured, by what became of the requests for their rests. Some replicas
// keep no copy of a run that has ended, so that only a run that is stopped before can go on. The zero value is ready to
// use; it is safe for concurrent use.
type restOutcomes struct {
	mu       sync.Mutex
	services map[string]*refusedRests
}

// refusedRests are the streams of a service that got no rest.
type refusedRests struct {
	// ended counts those in a row whose run had ended by itself, the last one at endedAt.
	ended   int
	endedAt time.Time
	// stoppedAt is when the last one got none whose run was stopped for it.
	stoppedAt time.Time
}

// mayStop reports whether runs may be stopped to go on with another response.
func (o *restOutcomes) mayStop(now time.Time, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[service]
	return known == nil || !within(now, known.stoppedAt)
}

// mustStop reports whether only runs that are stopped are likely to go on.
func (o *restOutcomes) mustStop(now time.Time, service string) bool {
	return o.refusesEnded(now, service) && o.mayStop(now, service)
}

// refusesEnded reports whether the rest of a run that has ended by itself is likely to be refused.
func (o *restOutcomes) refusesEnded(now time.Time, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[service]
	return known != nil && known.ended > 0 && within(now, known.endedAt)
}

// mayInsist reports whether a replica is asked again that refused a rest without a reason that passes.
func (o *restOutcomes) mayInsist(now time.Time, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[service]
	return known == nil || known.ended < maxInsistedRefusals || !within(now, known.endedAt)
}

// note records whether a stream got its rest, and whether its run was stopped for it.
func (o *restOutcomes) note(now time.Time, service string, stopped, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.services[service]
	if known == nil && served {
		return
	}
	if known == nil {
		known = &refusedRests{}
		if o.services == nil {
			o.services = map[string]*refusedRests{}
		}
		o.services[service] = known
	}
	switch {
	case stopped && !served:
		known.stoppedAt = now
	case !stopped && served:
		known.ended = 0
	case !stopped:
		known.ended++
		known.endedAt = now
	}
}

func within(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < restOutcomeTTL }
