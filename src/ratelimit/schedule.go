package ratelimit

import (
	"time"
)

const (
	// PermitTTL is how long a permit may be used once its time has come: a few round trips to the
	// leader. The number of requests above the rate in any second is proportional to it.
	PermitTTL = 250 * time.Millisecond
	// Horizon is how far ahead permits are issued. A new leader issues none for that long, since
	// permits of the previous one may still be used.
	Horizon = 500 * time.Millisecond
	// ProbeRate is the lowest rate of permits a second for a backend server that announced a limit,
	// since only an answer shows that the limit has changed.
	ProbeRate = 1.0
	// burstDuration is how long unused permits of a limited backend server are kept: what it
	// accepts in a second may also arrive at once.
	burstDuration = time.Second
)

// schedule holds the time of a backend server's next permit.
type schedule struct {
	// next is the earliest time of the next permit without a burst (the theoretical arrival time of
	// the generic cell rate algorithm, ITU-T I.371).
	next time.Time
}

// pace is the rate at which permits follow each other.
type pace struct {
	// spacing is the time between two permits, burst how much earlier than that a permit may be
	// used.
	spacing, burst time.Duration
}

// evenPace spaces permits evenly, so that waiting requests are spread and a backend server that was
// idle gets no burst.
func evenPace(rate float64) pace {
	return pace{spacing: time.Duration(float64(time.Second) / rate)}
}

// limitPace returns the pace for a limit that a backend server announced.
func limitPace(limit float64) pace {
	if limit < ProbeRate {
		return evenPace(ProbeRate)
	}
	p := evenPace(limit)
	p.burst = burstDuration
	return p
}

// slower returns the pace that satisfies both.
func (p pace) slower(other pace) pace {
	return pace{spacing: max(p.spacing, other.spacing), burst: min(p.burst, other.burst)}
}

// reset sets the time of the first permit, without a burst.
func (s *schedule) reset(at time.Time, p pace) { s.next = at.Add(p.burst) }

// take takes the next permit if its time comes within a duration; wait is the time until then.
func (s *schedule) take(now time.Time, p pace, within time.Duration) (wait time.Duration, taken bool) {
	wait = max(s.next.Add(-p.burst).Sub(now), 0)
	if wait > within {
		return wait, false
	}
	s.next = later(s.next, now).Add(p.spacing)
	return wait, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
