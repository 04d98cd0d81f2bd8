package schedule

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the rate of arriving work is averaged. It spans several
	// streams and is shorter than the targets of requests that can wait.
	rateWindow = 4 * time.Second
	// demandWindow is the time over which the demand of an account is averaged. It is longer, as there
	// are few requests of each account.
	demandWindow = 6 * time.Second
	// maxDecays is after how many windows the averages are scaled anew.
	maxDecays = 30
	// minAge is the least time over which work is averaged.
	minAge = 500 * time.Millisecond
	// minRate is the rate in slots below which nothing is asked for.
	minRate = 0.01
)

// decay scales moving averages that all fade alike: a sample counts by when it was added, and all are
// scaled down together when they are read.
type decay struct {
	window          time.Duration
	started, origin time.Time
}

func newDecay(now time.Time, window time.Duration) decay {
	return decay{window: window, started: now, origin: now}
}

// weight returns how much a sample of the present counts.
func (d *decay) weight(now time.Time) float64 {
	return math.Exp(float64(now.Sub(d.origin)) / float64(d.window))
}

// total returns what the samples of one unit of work a second add up to. There are none from before
// the start.
func (d *decay) total(now time.Time) float64 {
	age := max(now.Sub(d.started), minAge)
	return d.weight(now) * d.window.Seconds() * (1 - math.Exp(-float64(age)/float64(d.window)))
}

// due reports whether the averages have to be multiplied by 1/weight and the origin be set to now.
func (d *decay) due(now time.Time) bool { return now.Sub(d.origin) > maxDecays*d.window }

// rates are moving averages of the work that is let in, by level.
type rates struct {
	decay decay
	// work is the work in seconds, due is the time from its arrival until it was due, by work.
	work, due [levels]float64
}

// add counts work that arrives and when it is due.
func (s *rates) add(now time.Time, l level, work, due time.Duration) {
	if s.decay.due(now) {
		factor := 1 / s.decay.weight(now)
		for i := range s.work {
			s.work[i] *= factor
			s.due[i] *= factor
		}
		s.decay.origin = now
	}
	sample := s.decay.weight(now) * work.Seconds()
	s.work[l] += sample
	s.due[l] += sample * due.Seconds()
}

// before returns the rate of the work that goes before a level, in slots.
func (s *rates) before(now time.Time, l level) float64 {
	return sum(s.work[:l.first()]) / s.decay.total(now)
}

// first returns the first level that is asked for.
func (s *rates) first(now time.Time) level {
	least := minRate * s.decay.total(now)
	for i, work := range s.work {
		if work >= least {
			return level(i).first()
		}
	}
	return levels
}

// overtaking returns the rate of the work that goes before a level, and the later work that will
// overtake a request of that level: what arrives soon enough to be due earlier, and all within the
// shares of accounts if the request is beyond that of its own.
func (s *rates) overtaking(now time.Time, l level, due time.Duration) (slots float64, work time.Duration) {
	total := s.decay.total(now)
	seconds := 0.0
	for i, sample := range s.work[:l.first()] {
		if sample == 0 {
			continue
		}
		rate := sample / total
		slots += rate
		within := due.Seconds() - s.due[i]/sample
		if l >= beyondShare && level(i) < beyondShare {
			within = due.Seconds()
		}
		seconds += rate * max(within, 0)
	}
	return slots, time.Duration(seconds * float64(time.Second))
}
