package loadview

import "time"

const (
	// minStateInterval is the shortest interval between two rounds of states. A replica of a busy
	// service gets some ten requests a second, so few of them change in less.
	minStateInterval = 50 * time.Millisecond
	// statesPerSecond is how many states are sent to one gateway, which takes some 21 KB/s.
	statesPerSecond = 1000
	// repeatInterval is the longest interval between two rounds of states while any replica is
	// busy, so that gateways which use a state for a second know of streams that began longer ago.
	repeatInterval = 300 * time.Millisecond
)

// stateInterval returns the shortest interval between two rounds of states.
func stateInterval(replicas int) time.Duration {
	return min(max(time.Duration(replicas)*time.Second/statesPerSecond, minStateInterval), maxInterval)
}

// StateRounds decides when states are sent to gateways. It is not safe for concurrent use.
type StateRounds struct {
	sentAt  time.Time
	changed bool
	busy    bool
}

// Changed records that states have changed.
func (r *StateRounds) Changed() { r.changed = true }

// Sent records that states were sent; busy is set if any replica has requests in progress.
func (r *StateRounds) Sent(now time.Time, busy bool) {
	*r = StateRounds{sentAt: now, busy: busy}
}

// Wait returns the time until states are due; found is false if they are not due until they change.
func (r *StateRounds) Wait(now time.Time, replicas int) (wait time.Duration, found bool) {
	interval := repeatInterval
	if r.changed {
		interval = stateInterval(replicas)
	}
	return max(r.sentAt.Add(interval).Sub(now), 0), r.changed || r.busy
}
