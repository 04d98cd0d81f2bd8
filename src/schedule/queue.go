package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultMaxWaiting bounds the waiting requests; more could not be served within the longest
	// deadline by the replicas of one service.
	defaultMaxWaiting = 4096
	// maxCandidates bounds the replicas that are considered for one request.
	maxCandidates = 32
	// networkMargin is subtracted from the time in which a request has to start, for network
	// latency.
	networkMargin = 10 * time.Millisecond
	// minWork is the least time that a request is assumed to occupy a slot.
	minWork = time.Millisecond
)

// Candidate is a replica that could serve a request.
type Candidate struct {
	Replica string
	// Prefill is how long the replica needs to read the part of the prompt that it has not cached.
	Prefill time.Duration
	// Work is how long the request is expected to occupy a slot of the replica.
	Work time.Duration
}

// Request is a request that waits for room.
type Request struct {
	// Kind names the route.
	Kind string
	// Account is the client account, "" for none, and AccountWeight its share relative to others.
	Account       string
	AccountWeight float64
	// Priority is the rank of the request; lower values are more urgent.
	Priority int
	// Target is the time left until the first event should reach the client, Deadline the time left
	// until the client gives up.
	Target   time.Duration
	Deadline time.Duration
	// Returned is set if the client was refused before.
	Returned bool
	// Candidates are the replicas that could serve it, best first.
	Candidates []Candidate
	// OnResult is called once, with the result; it must not block.
	OnResult func(Result)
}

// Result is what becomes of a request.
type Result struct {
	// Ticket identifies the place until it is released, 0 for a refusal.
	Ticket uint64
	// Replica is where the request may be sent, "" for a refusal.
	Replica string
	// RetryAfter is when a refused request should be retried.
	RetryAfter time.Duration
	// Reason says why the request was refused or how long it waited.
	Reason string
}

// State is the load of a replica.
type State struct {
	Slots   int
	Running int
	Waiting int
	// Backlog is how long the replica needs for the prompts that it has not read yet.
	Backlog time.Duration
}

// Queue orders the requests of one service. It is not safe for concurrent use.
type Queue struct {
	settings   Settings
	replicas   map[string]*replica
	accounts   accounts
	waiting    map[uint64]*waitingRequest
	order      queueList
	places     map[uint64]*place
	expiries   expiries
	refusals   refusals
	lastTicket uint64
	// results are calls of OnResult that are due once the queue is consistent.
	results    []func()
	delivering bool
}

// New returns a queue without replicas.
func New() *Queue {
	return &Queue{
		replicas: map[string]*replica{},
		accounts: accounts{byName: map[string]*account{}},
		waiting:  map[uint64]*waitingRequest{},
		places:   map[uint64]*place{},
		refusals: newRefusals(),
	}
}

// SetSettings changes the settings; requests that wait already keep their order.
func (q *Queue) SetSettings(settings Settings) { q.settings = settings }

// SetReplica adds a replica or changes its state.
func (q *Queue) SetReplica(now time.Time, id string, state State) {
	r := q.replicas[id]
	if r == nil {
		r = newReplica(now, id)
		q.replicas[id] = r
		if q.refusals.started.IsZero() {
			q.refusals.started = now
		}
	}
	r.setState(now, state)
	q.fill(now, r)
	q.deliver()
}

// RemoveReplica removes a replica, which then gets no requests.
func (q *Queue) RemoveReplica(now time.Time, id string) {
	r := q.replicas[id]
	if r == nil {
		return
	}
	delete(q.replicas, id)
	for _, w := range slices.Clone(r.waiting) {
		w.ask(-1)
		w.removeCandidate(r)
		w.ask(1)
	}
	q.reconsider(now)
	q.deliver()
}

// Submit queues a request, gives it a place, or refuses it at once if no order would serve it.
func (q *Queue) Submit(now time.Time, request Request) uint64 {
	q.lastTicket++
	ticket := q.lastTicket
	q.expire(now)
	w := q.newWaiting(now, ticket, request)
	q.admit(now, w)
	q.forgetUnused(w.account)
	q.deliver()
	return ticket
}

// Cancel removes a waiting request without calling its OnResult.
func (q *Queue) Cancel(now time.Time, ticket uint64) {
	if w := q.waiting[ticket]; w != nil {
		q.remove(w)
	}
}

// Release frees the place of a request that has ended.
func (q *Queue) Release(now time.Time, ticket uint64) {
	if p := q.places[ticket]; p != nil {
		q.free(now, ticket, p)
		q.fill(now, p.replica)
	}
	q.deliver()
}

// Advance gives out room that has become free and refuses what can't be in time any more.
func (q *Queue) Advance(now time.Time) {
	q.expire(now)
	for _, r := range q.sortedReplicas() {
		q.fill(now, r)
	}
	q.reconsider(now)
	q.deliver()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// admit gives a new request a place, queues it or refuses it.
func (q *Queue) admit(now time.Time, w *waitingRequest) {
	if len(w.candidates) == 0 {
		q.refuse(now, w, noReplica, "")
		return
	}
	if r := w.bestReplica(now); r != nil {
		q.enter(now, w)
		q.give(now, w, r)
		return
	}
	if w.early {
		q.refuse(now, w, tooEarly, "")
		return
	}
	if wait := q.expectedWait(now, w); !w.inTimeAfter(now, wait) && !q.makeRoom(now, w) && !w.waitLate(now, wait) {
		q.refuse(now, w, noRoom, "")
		return
	}
	if len(q.waiting) >= q.settings.maxWaiting() && !q.displaceLeastValuable(now, w) {
		q.refuse(now, w, queueFull, "")
		return
	}
	q.enter(now, w)
	w.ask(1)
	q.waiting[w.ticket] = w
	q.insert(w)
}

// enter counts a request that is let in.
func (q *Queue) enter(now time.Time, w *waitingRequest) {
	q.accounts.enter(w)
	q.refusals.consume(w)
	for _, c := range w.candidates {
		c.replica.rates.add(now, w.level, w.part(), w.due.Sub(now))
	}
}

// reconsider refuses the waiting requests that can't start before their deadline any more, and
// orders those by their deadline that can't start in time.
func (q *Queue) reconsider(now time.Time) {
	for _, r := range q.replicas {
		r.ahead = 0
	}
	for _, w := range slices.Clone(q.order) {
		start := now.Add(w.leastWait())
		switch {
		case len(w.candidates) == 0:
			q.remove(w)
			q.refuse(now, w, replicaLost, "")
		case start.After(w.latestStart):
			q.remove(w)
			q.refuse(now, w, deadlineNear, "")
		case !w.late && start.After(w.targetStart):
			q.makeLate(w)
		default:
			w.countAhead()
		}
	}
}

// remove removes a waiting request.
func (q *Queue) remove(w *waitingRequest) {
	q.unqueue(w)
	q.accounts.leave(w)
	q.forgetUnused(w.account)
}

// unqueue removes a request from the queues.
func (q *Queue) unqueue(w *waitingRequest) {
	q.extract(w)
	w.ask(-1)
	delete(q.waiting, w.ticket)
}

// insert adds a waiting request to the lists.
func (q *Queue) insert(w *waitingRequest) {
	q.order.insert(w)
	for _, c := range w.candidates {
		c.replica.waiting.insert(w)
	}
}

// extract removes a waiting request from the lists.
func (q *Queue) extract(w *waitingRequest) {
	q.order.remove(w)
	for _, c := range w.candidates {
		c.replica.waiting.remove(w)
	}
}

// makeLate orders a waiting request by its deadline.
func (q *Queue) makeLate(w *waitingRequest) {
	q.extract(w)
	w.becomeLate()
	q.insert(w)
}

// fill gives the room of a replica to the requests that wait for it, in their order.
func (q *Queue) fill(now time.Time, r *replica) {
	if q.replicas[r.id] != r {
		return
	}
	for {
		w := r.next(now)
		if w == nil {
			return
		}
		q.unqueue(w)
		q.give(now, w, r)
	}
}

// give gives a request a place on a replica.
func (q *Queue) give(now time.Time, w *waitingRequest, r *replica) {
	if len(r.waiting) > 0 {
		q.accounts.charge(w)
	}
	q.accounts.leave(w)
	w.account.places++
	r.demands.addPlace(w, 1)
	candidate := w.candidate(r)
	p := &place{replica: r, request: w, expires: now.Add(placeTTL(candidate.work))}
	q.places[w.ticket] = p
	q.expiries.add(expiry{at: p.expires, ticket: w.ticket})
	r.start(now, candidate)
	result := Result{Ticket: w.ticket, Replica: r.id, Reason: waitReason(now.Sub(w.since))}
	q.results = append(q.results, func() { w.request.OnResult(result) })
}

// free ends a place.
func (q *Queue) free(now time.Time, ticket uint64, p *place) {
	delete(q.places, ticket)
	w := p.request
	p.replica.end(now)
	p.replica.demands.addPlace(w, -1)
	w.account.places--
	q.forgetUnused(w.account)
}

// forgetUnused forgets an account without requests.
func (q *Queue) forgetUnused(acc *account) {
	if acc.used() || q.accounts.byName[acc.name] != acc {
		return
	}
	q.accounts.remove(acc)
	for _, r := range q.replicas {
		r.demands.forget(acc)
	}
}

// expire ends the places whose end was not reported in time.
func (q *Queue) expire(now time.Time) {
	for len(q.expiries) > 0 && !now.Before(q.expiries[0].at) {
		ticket := q.expiries.next().ticket
		if p := q.places[ticket]; p != nil {
			q.free(now, ticket, p)
			q.fill(now, p.replica)
		}
	}
	if len(q.expiries) > 2*len(q.places)+minExpiries {
		q.expiries.compact(q.places)
	}
}

// refuse refuses a request that is not in the queue.
func (q *Queue) refuse(now time.Time, w *waitingRequest, reason Reason, inFavour string) {
	retryAfter := q.refusals.note(now, w, q.expectedWait(now, w), reason, inFavour)
	result := Result{RetryAfter: retryAfter, Reason: string(reason)}
	q.results = append(q.results, func() { w.request.OnResult(result) })
}

// deliver calls OnResult of the requests that have a result. A call may use the queue again.
func (q *Queue) deliver() {
	if q.delivering {
		return
	}
	q.delivering = true
	for len(q.results) > 0 {
		call := q.results[0]
		q.results = q.results[1:]
		call()
	}
	q.results = nil
	q.delivering = false
}

// sortedReplicas returns the replicas by ID.
func (q *Queue) sortedReplicas() []*replica {
	sorted := make([]*replica, 0, len(q.replicas))
	for _, r := range q.replicas {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	return sorted
}

// slots returns the slots of all replicas.
func (q *Queue) slots() int {
	sum := 0
	for _, r := range q.replicas {
		sum += r.state.Slots
	}
	return sum
}
