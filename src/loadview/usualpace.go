package loadview

import (
	"math"
	"time"
)

const (
	// usualPaceWindow is the time over which the usual pace of a replica is averaged. It covers
	// several of the moments in which other work on the same machine slows a replica down.
	usualPaceWindow = 5 * time.Second
	// usualPacePrior is the time for which a pace of 1 counts before any was told.
	usualPacePrior = 300 * time.Millisecond
)

// UsualPace is the mean of the paces that a replica told. Replicas may tell their pace relative to
// their own usual time or to that of all replicas; in either case the mean belongs to the replica and
// the rest to the moment. The zero value has a mean of 1.
type UsualPace struct {
	// sum is the integral of the pace over seconds, both weighed by age.
	sum     float64
	seconds float64
	last    float64
	lastAt  time.Time
}

// Note adds a pace; 0 is unknown.
func (u *UsualPace) Note(now time.Time, pace float64) {
	if pace <= 0 {
		return
	}
	if u.last > 0 && now.After(u.lastAt) {
		passed := now.Sub(u.lastAt)
		keep := math.Exp(-passed.Seconds() / usualPaceWindow.Seconds())
		// A pace counts for as long as it is used.
		used := min(passed, PaceTTL).Seconds()
		u.sum = u.sum*keep + u.last*used
		u.seconds = u.seconds*keep + used
	}
	u.last, u.lastAt = pace, now
}

// Mean returns the usual pace.
func (u *UsualPace) Mean() float64 {
	prior := usualPacePrior.Seconds()
	return (u.sum + prior) / (u.seconds + prior)
}
