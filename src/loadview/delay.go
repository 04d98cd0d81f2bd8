package loadview

import "time"

const (
	// clockDrift bounds how much faster one host's clock runs than another's.
	clockDrift = 1.0 / 1000
	// reporterTTL is how long a silent reporter is remembered.
	reporterTTL = time.Minute
	// maxReporters bounds the reporters that are remembered: several times the number of gateways
	// in the largest installation. Reports of further ones count as not delayed.
	maxReporters = 4096
)

// reportDelays estimates how long reports were delayed, by reporter. Clocks of hosts differ, so the
// smallest difference between the times of receipt and report that was seen of a reporter counts as
// no delay. A process or connection that stood still is thereby known to deliver old reports.
type reportDelays map[string]reporterClock

// reporterClock is the difference between the clocks of this node and a reporter.
type reporterClock struct {
	offset  time.Duration
	heardAt time.Time
}

// delay returns how long before now a report was made, by the reporter's clock in milliseconds.
func (d reportDelays) delay(now time.Time, node string, atMS int64) time.Duration {
	if node == "" {
		return 0
	}
	observed := time.Duration(now.UnixMilli()-atMS) * time.Millisecond
	known, found := d[node]
	if !found && len(d) >= maxReporters {
		return 0
	}
	offset := observed
	if found {
		drift := time.Duration(float64(max(now.Sub(known.heardAt), 0)) * clockDrift)
		offset = min(known.offset+drift, observed)
	}
	d[node] = reporterClock{offset: offset, heardAt: now}
	return observed - offset
}

// expire removes reporters that have been silent for too long.
func (d reportDelays) expire(now time.Time) {
	for node, clock := range d {
		if now.Sub(clock.heardAt) > reporterTTL {
			delete(d, node)
		}
	}
}
