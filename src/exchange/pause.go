package exchange

import (
	"fmt"
	"time"
)

// pauses records the longest pause between two events of a stream as they arrive from replicas. It
// determines whether the stream met its target and which replica caused the pause.
type pauses struct {
	last    time.Time
	events  int
	longest time.Duration
	// endedAt is when the longest pause ended, replica the replica that ran the stream then.
	endedAt time.Time
	replica string
}

// note records that events arrived from a replica.
func (p *pauses) note(now time.Time, replica string) {
	if pause := now.Sub(p.last); p.events > 0 && pause > p.longest {
		p.longest, p.endedAt, p.replica = pause, now, replica
	}
	p.last = now
	p.events++
}

// String describes the longest pause for the request's log line.
func (p *pauses) String() string {
	if p.longest == 0 {
		return "0 ms"
	}
	return fmt.Sprintf("%d ms at %s before %s", p.longest.Milliseconds(), p.replica, p.endedAt.UTC().Format("15:04:05.000"))
}
