package dispatch

import "time"

// The times and weights of a replica's state.
const (
	// ahead is how many requests more than it has places a replica is sent: the next one
	// lies there when one ends, while the word of its end is still under way.
	ahead = 1
	// initialTook is how long a request is taken to last before any has ended.
	initialTook = 50 * time.Millisecond
	// tookWeight and failingWeight are the weights of each new request in what is known of
	// a replica.
	tookWeight    = 0.1
	failingWeight = 0.15
	// worksBadly is the share of failures from which a replica is used only where no other
	// has a place.
	worksBadly = 0.25
	// avoidFirst and avoidMost bound how long a replica that was not reached is avoided.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidFull is how long a replica is left alone that refused a request because it is
	// full: others send to it too.
	avoidFull = 30 * time.Millisecond
)

// replica is what the dispatcher knows of one replica.
type replica struct {
	id    string
	slots int
	// atWork are the requests that were sent there and have not ended.
	atWork int
	// took is how long requests take there, smoothed.
	took time.Duration
	// failing is the recent share of requests that failed.
	failing  float64
	failures int
	avoided  time.Time
}

// free reports whether a request may be sent there now.
func (r *replica) free(now time.Time) bool {
	return r.atWork < r.slots+ahead && !now.Before(r.avoided)
}

// before reports whether a request had better go to this replica than to another.
func (r *replica) before(other *replica) bool {
	if bad, otherBad := r.failing > worksBadly, other.failing > worksBadly; bad != otherBad {
		return otherBad
	}
	return r.atWork*other.slots < other.atWork*r.slots
}

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	// Answered means that the replica answered well.
	Answered Outcome = "answered"
	// Failed means that it answered badly, or not at all though it was reached.
	Failed Outcome = "failed"
	// Full means that it did not run the request.
	Full Outcome = "full"
	// Unreachable means that nothing could be sent to it.
	Unreachable Outcome = "unreachable"
	// Unused means that the request was not sent there, which says nothing of the replica. A
	// dispatcher that does not know this outcome frees the place as well and notes nothing.
	Unused Outcome = "unused"
)

// note takes in how a request ended that took so long.
func (r *replica) note(now time.Time, outcome Outcome, took time.Duration) {
	switch outcome {
	case Answered:
		r.failures = 0
		r.failing *= 1 - failingWeight
		r.took += time.Duration(tookWeight * float64(took-r.took))
	case Failed:
		r.failing += (1 - r.failing) * failingWeight
	case Full:
		r.avoided = now.Add(avoidFull)
	case Unreachable:
		r.avoided = now.Add(min(avoidFirst<<min(r.failures, 8), avoidMost))
		r.failures++
	}
}
