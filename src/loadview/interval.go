package loadview

import "time"

const (
	// restInterval is how often a gateway reports that has sent nothing new: below the
	// time for which a report counts, and short beside most streams.
	restInterval = 50 * time.Millisecond
	// shortestPause is the least time between two rounds. Clients come in clumps, and
	// what another gateway sent some milliseconds ago decides where the next prompt goes.
	shortestPause = 5 * time.Millisecond
	// longestPause keeps totals worth something: prompts are read within it.
	longestPause = 250 * time.Millisecond
	// entriesPerSecond is how many entries all gateways together are told. Each round
	// tells every gateway of every busy replica, so that rounds must be rarer in larger
	// installations: on the users' bench rounds 23 ms apart, with 250,000 entries a
	// second for 62 gateways and 93 replicas, took some four cores in all.
	entriesPerSecond = 37000
)

// Interval is how often a gateway reports that has sent nothing new.
func Interval(gateways, replicas int) time.Duration {
	return max(restInterval, Pause(gateways, replicas))
}

// Pause is the least time between two reports, or two rounds of totals.
func Pause(gateways, replicas int) time.Duration {
	pause := time.Duration(gateways*replicas) * time.Second / entriesPerSecond
	return min(max(pause, shortestPause), longestPause)
}
