package loadview

import "time"

const (
	// shortestInterval is below the time in which a replica reads a long prompt, so
	// that a view tells of most prompts before they are read.
	shortestInterval = 50 * time.Millisecond
	// intervalPerReplica keeps what a gateway hears at rest at some 25 KB a second
	// however many replicas there are; an entry takes about 25 bytes.
	intervalPerReplica = time.Millisecond
	// shortestPause and pausePerReplica bound the rounds while prompts are being sent.
	// Clients come in clumps, and what another gateway sent some milliseconds ago
	// decides where the next prompt goes; four times the traffic at rest is borne.
	shortestPause   = 5 * time.Millisecond
	pausePerReplica = intervalPerReplica / 4
)

// Interval is how often a gateway reports that has sent nothing new.
func Interval(replicas int) time.Duration {
	return max(shortestInterval, time.Duration(replicas)*intervalPerReplica)
}

// Pause is the least time between two reports, or two rounds of totals.
func Pause(replicas int) time.Duration {
	return max(shortestPause, time.Duration(replicas)*pausePerReplica)
}
