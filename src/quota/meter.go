package quota

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of a meter: long compared with bursts of clients, short
// compared with the seconds in which demand moves between gateways.
const meterTimeConstant = time.Second

// meter measures a rate as an exponentially decaying average.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time, units float64) {
	m.decay(now)
	m.sum += units
}

// rate returns the units a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterTimeConstant.Seconds()
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.sum *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		m.at = now
	}
}
