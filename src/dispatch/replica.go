package dispatch

import "time"

// Parameters of a replica's state.
const (
	// prefetch is how many requests more than its slots a replica is sent. The next one is already
	// there when one ends, while the report of the end is still on its way.
	prefetch = 1
	// initialDuration is the assumed duration of a request before any has ended.
	initialDuration = 50 * time.Millisecond
	// durationWeight and failureWeight are the weights of a new sample in the moving averages.
	durationWeight = 0.1
	failureWeight  = 0.15
	// failureRateThreshold is the failure rate above which a replica is used only if no other is
	// available.
	failureRateThreshold = 0.25
	// minAvoidTime and maxAvoidTime bound how long an unreachable replica is avoided.
	minAvoidTime = 400 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// fullAvoidTime is how long a replica is avoided after it refused a request because it was
	// full, as others send to it too.
	fullAvoidTime = 30 * time.Millisecond
)

// replica is the dispatcher's state of one replica.
type replica struct {
	id    string
	slots int
	// running is the number of requests that were sent and have not ended.
	running int
	// duration is the moving average of the duration of requests.
	duration time.Duration
	// failureRate is the moving average of failed requests.
	failureRate      float64
	unreachableCount int
	avoidedUntil     time.Time
	// answeredAt is when its last successful answer was reported.
	answeredAt time.Time
	// latency is the moving average of the time for which an assignment is held beyond the duration of
	// its request: until the gateway knows of it, and until its end is reported.
	latency time.Duration
}

// available reports whether a request may be sent to the replica now.
func (r *replica) available(now time.Time, coverLatency bool) bool {
	limit := r.slots + prefetch
	if coverLatency {
		limit += r.onTheWay()
	}
	return r.running < limit && !now.Before(r.avoidedUntil)
}

// onTheWay returns how many assignments are held on average while their requests are not at the
// replica. Where requests take no longer than the messages about them, slots stay free without these.
func (r *replica) onTheWay() int {
	if r.duration <= 0 {
		return 0
	}
	share := min(float64(r.latency)/float64(r.duration), 1)
	return int(share * float64(r.slots))
}

// recordHeld updates the latency with the time for which an assignment was held.
func (r *replica) recordHeld(held, duration time.Duration) {
	sample := min(max(held-duration, 0), duration)
	r.latency += time.Duration(durationWeight * float64(sample-r.latency))
}

// betterThan reports whether a request should go to this replica rather than to another.
func (r *replica) betterThan(other *replica) bool {
	if failing, otherFailing := r.failureRate > failureRateThreshold, other.failureRate > failureRateThreshold; failing != otherFailing {
		return otherFailing
	}
	return r.running*other.slots < other.running*r.slots
}

// Outcome is how a request ended.
type Outcome string

const (
	// Answered means that the replica answered successfully.
	Answered Outcome = "answered"
	// Failed means that it answered with an error, or not at all although it was reached.
	Failed Outcome = "failed"
	// Full means that it did not run the request.
	Full Outcome = "full"
	// Unreachable means that nothing could be sent to it.
	Unreachable Outcome = "unreachable"
	// Unused means that the request was not sent there, which says nothing about the replica. A
	// dispatcher that does not know this outcome releases the assignment as well and records
	// nothing.
	Unused Outcome = "unused"
)

// record updates the state with the outcome and duration of a request.
func (r *replica) record(now time.Time, outcome Outcome, duration time.Duration) {
	switch outcome {
	case Answered:
		r.unreachableCount = 0
		r.answeredAt = now
		r.failureRate *= 1 - failureWeight
		r.duration += time.Duration(durationWeight * float64(duration-r.duration))
	case Failed:
		r.failureRate += (1 - r.failureRate) * failureWeight
	case Full:
		r.avoidedUntil = now.Add(fullAvoidTime)
	case Unreachable:
		r.avoidedUntil = now.Add(min(minAvoidTime<<min(r.unreachableCount, 8), maxAvoidTime))
		r.unreachableCount++
	}
}
