package loadview

import "time"

const (
	// idleInterval is how often a gateway reports that has sent no new requests. It is below the
	// lifetime of a report and short compared with most streams.
	idleInterval = 50 * time.Millisecond
	// minInterval is the shortest interval between two rounds. Requests arrive in bursts, and what
	// another gateway sent some milliseconds ago decides where the next prompt is sent.
	minInterval = 5 * time.Millisecond
	// maxInterval is the longest interval between two rounds. Prompts are read within it, so that
	// older totals would be of no use.
	maxInterval = 250 * time.Millisecond
	// entriesPerSecond is how many entries are sent to all gateways together. Each round sends
	// every busy replica to every gateway, so larger installations need rarer rounds: rounds 23 ms
	// apart, with 250,000 entries a second for 62 gateways and 93 replicas, took some four cores in
	// all.
	entriesPerSecond = 37000
)

// ReportInterval returns how often a gateway reports that has sent no new requests.
func ReportInterval(gateways, replicas int) time.Duration {
	return max(idleInterval, RoundInterval(gateways, replicas))
}

// RoundInterval returns the shortest interval between two reports, or between two rounds of totals.
func RoundInterval(gateways, replicas int) time.Duration {
	pause := time.Duration(gateways*replicas) * time.Second / entriesPerSecond
	return min(max(pause, minInterval), maxInterval)
}
