package quota

import "time"

// Terms say how exactly limits are kept; every process has the same.
type Terms struct {
	// Window is the span over which use is counted.
	Window time.Duration
	// Overage is the part of a limit over the window by which use may exceed it, Slack
	// what may come on top, in units.
	Overage float64
	Slack   float64
	// Lease is how long a holder may use a share without hearing from the divider.
	Lease time.Duration
	// Life is how long a grant may be spent.
	Life time.Duration
}

// The bounds of the terms' times.
const (
	// lease keeps an availability zone that is cut off at work for a while; it is below the
	// 2.5 s after which a silent control node loses its membership, so that a new leader
	// never counts without a holder that still spends.
	lease = 2400 * time.Millisecond
	// longestLife is more than an exchange between availability zones takes with a control
	// node that is busy.
	longestLife = 400 * time.Millisecond
	// shortestLife lets a grant reach its request where no overage is allowed.
	shortestLife = 100 * time.Millisecond
)

// NewTerms returns the terms for use that is counted over a window. Half of the overage is
// for grants under way.
func NewTerms(window time.Duration, overage, slack float64) Terms {
	half := time.Duration(float64(window) * overage / 2)
	return Terms{
		Window:  window,
		Overage: overage,
		Slack:   slack,
		Lease:   lease,
		Life:    min(max(half, shortestLife), longestLife),
	}
}

// saved returns how many units all holders together may save of an account: a third of
// what may exceed the limit beyond the grants under way. Another third is for what holders
// give back of the time before a window; the last one for clocks that run apart and for a
// request larger than the burst.
func (t *Terms) saved(limit Limit) float64 {
	over := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	return max(over-limit.Rate*t.Life.Seconds(), 0) / 3
}

// Limit is how much an account may use over all.
type Limit struct {
	// Rate is in units a second.
	Rate float64
	// Burst is what may come on top, in units.
	Burst float64
}
