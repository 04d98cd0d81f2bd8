package quota

import (
	"math"
	"time"
)

// meterTime is the time over which a meter forgets: long beside the clumps in which
// clients come, short beside the seconds in which demand moves between gateways.
const meterTime = time.Second

// meter measures a rate that it forgets little by little.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time, units float64) {
	m.fade(now)
	m.sum += units
}

// rate returns the units a second.
func (m *meter) rate(now time.Time) float64 {
	m.fade(now)
	return m.sum / meterTime.Seconds()
}

func (m *meter) fade(now time.Time) {
	if passed := now.Sub(m.at); passed > 0 {
		m.sum *= math.Exp(-passed.Seconds() / meterTime.Seconds())
		m.at = now
	}
}
