package exchange

import (
	"fmt"
	"time"
)

// pauses notes the longest wait between two events of a stream, as they come from
// replicas: it decides whether a stream was in time, and tells whose fault it was.
type pauses struct {
	last    time.Time
	events  int
	longest time.Duration
	// endedAt is when the longest pause ended, replica where the stream ran then.
	endedAt time.Time
	replica string
}

// note takes in that events came from a replica.
func (p *pauses) note(now time.Time, replica string) {
	if pause := now.Sub(p.last); p.events > 0 && pause > p.longest {
		p.longest, p.endedAt, p.replica = pause, now, replica
	}
	p.last = now
	p.events++
}

// String describes the longest pause for the request's line in the log.
func (p *pauses) String() string {
	if p.longest == 0 {
		return "0 ms"
	}
	return fmt.Sprintf("%d ms at %s before %s", p.longest.Milliseconds(), p.replica, p.endedAt.UTC().Format("15:04:05.000"))
}
