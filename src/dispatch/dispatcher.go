package dispatch

import (
	"slices"
	"time"
)

const (
	// assignmentTTL is how long a request counts as running if its end is never reported because
	// its gateway has ended. While requests take longer than this, more are sent than there are
	// slots; usual requests take 60 ms.
	assignmentTTL = time.Second
	// networkMargin is subtracted from the time in which a request has to start, for network
	// latency.
	networkMargin = 10 * time.Millisecond
)

// Request is a request for an assignment.
type Request struct {
	// Account is the client account, "" for none; lower values of Priority are more urgent.
	Account  string
	Priority int
	// TimeLeft is the time left until the request should be answered.
	TimeLeft time.Duration
	// Tried are the replicas that it must not be assigned to.
	Tried []string
	// CoverLatency lets a replica have as many more requests than its slots as are on the way to it.
	CoverLatency bool
	// OnResult is called once, with the assignment or the refusal; it must not block.
	OnResult func(Assignment)
}

// Assignment is the result of a Request.
type Assignment struct {
	// Ticket identifies the assignment until the request has ended, 0 for a refusal.
	Ticket uint64
	// Replica is where the request may be sent, "" for a refusal.
	Replica string
	// RetryAfter is when a refused request should be retried.
	RetryAfter time.Duration
}

// Dispatcher assigns the requests of one service; it is not safe for concurrent use.
type Dispatcher struct {
	replicas    map[string]*replica
	queue       []*queuedRequest
	assignments map[uint64]runningRequest
	lastTicket  uint64
	// running is the number of running requests by account.
	running map[string]int
	// refusedWork is the work of recently refused requests that may be retried, as of refusedAt.
	refusedWork time.Duration
	refusedAt   time.Time
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request Request
	// latestStart is when the request has to start to be in time.
	latestStart time.Time
}

// runningRequest is a running request.
type runningRequest struct {
	replica    string
	account    string
	assignedAt time.Time
	expires    time.Time
}

// New returns a dispatcher without replicas.
func New() *Dispatcher {
	return &Dispatcher{replicas: map[string]*replica{}, assignments: map[uint64]runningRequest{}, running: map[string]int{}}
}

// Set adds a replica or changes its slots.
func (d *Dispatcher) Set(now time.Time, id string, slots int) {
	r := d.replicas[id]
	if r == nil {
		r = &replica{id: id, duration: d.duration()}
		d.replicas[id] = r
	}
	r.slots = max(slots, 1)
	d.assign(now)
}

// Remove removes a replica, which then gets no new requests.
func (d *Dispatcher) Remove(id string) { delete(d.replicas, id) }

// Replicas returns the number of replicas.
func (d *Dispatcher) Replicas() int { return len(d.replicas) }

// duration returns the mean duration of a request over all replicas.
func (d *Dispatcher) duration() time.Duration {
	sum, count := time.Duration(0), 0
	for _, r := range d.replicas {
		sum += r.duration
		count++
	}
	if count == 0 {
		return initialDuration
	}
	return sum / time.Duration(count)
}

// timePerRequest returns the mean time between two completed requests of all replicas together.
func (d *Dispatcher) timePerRequest(now time.Time) time.Duration {
	slots := 0
	for _, r := range d.replicas {
		if !now.Before(r.avoidedUntil) {
			slots += r.slots
		}
	}
	if slots == 0 {
		return never
	}
	return d.duration() / time.Duration(slots)
}

// never is longer than any request may wait.
const never = time.Hour

// Submit processes a request. It is assigned at once if there is a free slot, queued if one is
// expected in time, and refused at once otherwise.
func (d *Dispatcher) Submit(now time.Time, request Request) {
	d.Expire(now)
	latestStart := now.Add(request.TimeLeft - d.duration() - networkMargin)
	if r := d.bestReplica(now, &request); r != nil && len(d.queue) == 0 {
		d.assignTo(now, r, &request)
		return
	}
	timePerRequest := d.timePerRequest(now)
	expected := time.Duration(d.queuedBefore(&request)+1) * timePerRequest
	if timePerRequest == never || now.Add(expected).After(latestStart) {
		request.OnResult(Assignment{RetryAfter: d.noteRefusal(now, timePerRequest, expected)})
		return
	}
	d.queue = append(d.queue, &queuedRequest{request: request, latestStart: latestStart})
	d.assign(now)
}

// queuedBefore returns how many queued requests go before a new one.
func (d *Dispatcher) queuedBefore(request *Request) int {
	count := 0
	for _, w := range d.queue {
		if !d.precedes(request, &w.request) {
			count++
		}
	}
	return count
}

// noteRefusal records a refusal and returns when to retry: after the queued requests and the
// requests refused before.
func (d *Dispatcher) noteRefusal(now time.Time, timePerRequest, expected time.Duration) time.Duration {
	if timePerRequest == never {
		return minAvoidTime
	}
	d.refusedWork = max(d.refusedWork-now.Sub(d.refusedAt), 0) + timePerRequest
	d.refusedAt = now
	return expected + d.refusedWork
}

// bestReplica returns the best replica for a request, nil if none is available.
func (d *Dispatcher) bestReplica(now time.Time, request *Request) *replica {
	var bestReplica *replica
	for _, r := range d.replicas {
		if !r.available(now, request.CoverLatency) || slices.Contains(request.Tried, r.id) {
			continue
		}
		if bestReplica == nil || r.betterThan(bestReplica) || !bestReplica.betterThan(r) && r.id < bestReplica.id {
			bestReplica = r
		}
	}
	return bestReplica
}

// assignTo assigns a request to a replica.
func (d *Dispatcher) assignTo(now time.Time, r *replica, request *Request) {
	d.lastTicket++
	d.assignments[d.lastTicket] = runningRequest{replica: r.id, account: request.Account, assignedAt: now, expires: now.Add(assignmentTTL)}
	r.running++
	d.running[request.Account]++
	request.OnResult(Assignment{Ticket: d.lastTicket, Replica: r.id})
}

// assign assigns queued requests to free slots and refuses those that can no longer be in time.
func (d *Dispatcher) assign(now time.Time) {
	d.refuseLate(now)
	for {
		nextIndex := d.nextIndex(now)
		if nextIndex < 0 {
			return
		}
		w := d.queue[nextIndex]
		d.queue = slices.Delete(d.queue, nextIndex, nextIndex+1)
		d.assignTo(now, d.bestReplica(now, &w.request), &w.request)
	}
}

// refuseLate refuses queued requests that can no longer be in time.
func (d *Dispatcher) refuseLate(now time.Time) {
	d.queue = slices.DeleteFunc(d.queue, func(w *queuedRequest) bool {
		if !now.After(w.latestStart) {
			return false
		}
		timePerRequest := d.timePerRequest(now)
		w.request.OnResult(Assignment{RetryAfter: d.noteRefusal(now, timePerRequest, timePerRequest)})
		return true
	})
}

// nextIndex returns the index of the queued request that goes next, -1 if there is none.
func (d *Dispatcher) nextIndex(now time.Time) int {
	nextIndex := -1
	for i, w := range d.queue {
		if d.bestReplica(now, &w.request) == nil {
			continue
		}
		if nextIndex < 0 || d.precedes(&w.request, &d.queue[nextIndex].request) {
			nextIndex = i
		}
	}
	return nextIndex
}

// precedes reports whether a goes before b, which arrived earlier.
func (d *Dispatcher) precedes(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return d.running[a.Account] < d.running[b.Account]
}

// Release records how a request ended.
func (d *Dispatcher) Release(now time.Time, id uint64, outcome Outcome, duration time.Duration) {
	t, found := d.assignments[id]
	if !found {
		return
	}
	d.finish(id, t)
	if r := d.replicas[t.replica]; r != nil {
		if outcome == Unreachable && r.answeredAt.After(t.assignedAt) {
			// It has answered others meanwhile, so only the link of that gateway is lost.
			outcome = Unused
		}
		r.record(now, outcome, duration)
		if outcome == Answered {
			r.recordHeld(now.Sub(t.assignedAt), duration)
		}
	}
	d.assign(now)
}

func (d *Dispatcher) finish(id uint64, t runningRequest) {
	delete(d.assignments, id)
	if r := d.replicas[t.replica]; r != nil {
		// A replica that was removed and added again has started to count from 0.
		r.running = max(r.running-1, 0)
	}
	d.running[t.account]--
	if d.running[t.account] == 0 {
		delete(d.running, t.account)
	}
}

// Expire ends assignments whose end was not reported in time and refuses queued requests that can
// no longer be in time.
func (d *Dispatcher) Expire(now time.Time) {
	for id, t := range d.assignments {
		if !now.Before(t.expires) {
			d.finish(id, t)
		}
	}
	d.assign(now)
}

// Queued returns the number of queued requests.
func (d *Dispatcher) Queued() int { return len(d.queue) }
