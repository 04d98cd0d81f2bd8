package quota

import "time"

// Parameters are the parameters of the limits; every process has the same.
type Parameters struct {
	// Window is the span over which use is counted.
	Window time.Duration
	// Overage is the part of a limit over the window by which use may exceed it, and Slack the
	// units that may come on top.
	Overage float64
	Slack   float64
	// Lease is how long a holder may use a share without hearing from the allocator.
	Lease time.Duration
	// GrantTTL is how long a grant may be spent.
	GrantTTL time.Duration
}

// Limits of the lease and of a grant's TTL.
const (
	// leaseDuration lets an availability zone that is cut off keep working for a while. It is below
	// the 2.5 s after which a silent control node loses its membership, so that a new leader always
	// counts every holder that may still spend.
	leaseDuration = 2400 * time.Millisecond
	// maxGrantTTL is longer than a round trip between availability zones takes with a busy control
	// node.
	maxGrantTTL = 400 * time.Millisecond
	// minGrantTTL lets a grant reach its request where no overage is allowed.
	minGrantTTL = 100 * time.Millisecond
)

// NewParameters returns the parameters for a window. Half of the overage is reserved for grants
// that are still unspent.
func NewParameters(window time.Duration, overage, slack float64) Parameters {
	half := time.Duration(float64(window) * overage / 2)
	return Parameters{
		Window:   window,
		Overage:  overage,
		Slack:    slack,
		Lease:    leaseDuration,
		GrantTTL: min(max(half, minGrantTTL), maxGrantTTL),
	}
}

// maxSaved returns how many units of an account all holders together may save. It is a third of the
// allowed excess that is left after unspent grants. Another third covers units that holders give
// back from before a window, the last one clock drift and requests larger than the burst.
func (t *Parameters) maxSaved(limit Limit) float64 {
	over := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	return max(over-limit.Rate*t.GrantTTL.Seconds(), 0) / 3
}

// uncertainty returns how many units that are not known to be used an account with an extension need
// not be charged for. Its use is summed over a window and one grant's TTL, so the part of the
// allowed excess that unspent grants take otherwise is free, and so is the part for units from before
// a window.
func (t *Parameters) uncertainty(limit Limit) float64 {
	over := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	return max(over-2*t.maxSaved(limit), 0)
}

// Limit is how much an account may use over all gateways.
type Limit struct {
	// Rate is in units a second.
	Rate float64
	// Burst is how many units may come on top.
	Burst float64
}
