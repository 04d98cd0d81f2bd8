package dispatch

import (
	"slices"
	"time"
)

const (
	// longestWork bounds how long a request counts as at work whose end was never told: its
	// gateway has ended. Requests that take longer are counted too few by then, and more are
	// sent than there are places; the users' take 60 ms.
	longestWork = time.Second
	// startMargin is kept from the time in which a request has to begin, for its ways.
	startMargin = 10 * time.Millisecond
)

// Ask is a request that wants a place.
type Ask struct {
	// Account is the client account, "" for none; Priority is lower for what is more urgent.
	Account  string
	Priority int
	// Within is how long the request has until it should be answered.
	Within time.Duration
	// Tried are replicas that it must not go to.
	Tried []string
	// Assign is called once, with the place or the refusal; it must not block.
	Assign func(Place)
}

// Place is what became of an ask.
type Place struct {
	// Ticket names the place until its request has ended, 0 for a refusal.
	Ticket uint64
	// Replica is where the request may be sent, "" for a refusal.
	Replica string
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
}

// Dispatcher assigns the requests of one service; it is not safe for concurrent use.
type Dispatcher struct {
	replicas map[string]*replica
	queue    []*waiting
	tickets  map[uint64]ticket
	last     uint64
	// atWork are the requests at work by account.
	atWork map[string]int
	// turned is the work that was refused lately and may come back, as of turnedAt.
	turned   time.Duration
	turnedAt time.Time
}

// waiting is an ask in the queue.
type waiting struct {
	ask Ask
	// latest is when the request has to begin to be in time.
	latest time.Time
}

// ticket is a request at work.
type ticket struct {
	replica string
	account string
	ends    time.Time
}

// New returns a dispatcher without replicas.
func New() *Dispatcher {
	return &Dispatcher{replicas: map[string]*replica{}, tickets: map[uint64]ticket{}, atWork: map[string]int{}}
}

// Set takes in a replica with its places; Remove takes one away that gets no new requests.
func (d *Dispatcher) Set(now time.Time, id string, slots int) {
	r := d.replicas[id]
	if r == nil {
		r = &replica{id: id, took: d.took()}
		d.replicas[id] = r
	}
	r.slots = max(slots, 1)
	d.assign(now)
}

// Remove takes a replica away that gets no new requests.
func (d *Dispatcher) Remove(id string) { delete(d.replicas, id) }

// Replicas returns the number of replicas.
func (d *Dispatcher) Replicas() int { return len(d.replicas) }

// took returns how long a request takes, over all replicas.
func (d *Dispatcher) took() time.Duration {
	sum, count := time.Duration(0), 0
	for _, r := range d.replicas {
		sum += r.took
		count++
	}
	if count == 0 {
		return initialTook
	}
	return sum / time.Duration(count)
}

// pace returns how long the replicas together need for one request of many.
func (d *Dispatcher) pace(now time.Time) time.Duration {
	slots := 0
	for _, r := range d.replicas {
		if !now.Before(r.avoided) {
			slots += r.slots
		}
	}
	if slots == 0 {
		return never
	}
	return d.took() / time.Duration(slots)
}

// never is longer than any request may wait.
const never = time.Hour

// Submit takes in an ask. It is assigned at once if there is a place, queued if one is
// expected in time, and else refused at once.
func (d *Dispatcher) Submit(now time.Time, ask Ask) {
	d.Expire(now)
	latest := now.Add(ask.Within - d.took() - startMargin)
	if r := d.best(now, ask.Tried); r != nil && len(d.queue) == 0 {
		d.place(now, r, &ask)
		return
	}
	pace := d.pace(now)
	expected := time.Duration(d.ahead(&ask)+1) * pace
	if pace == never || now.Add(expected).After(latest) {
		ask.Assign(Place{RetryAfter: d.turn(now, pace, expected)})
		return
	}
	d.queue = append(d.queue, &waiting{ask: ask, latest: latest})
	d.assign(now)
}

// ahead returns how many asks in the queue go before a new one.
func (d *Dispatcher) ahead(ask *Ask) int {
	count := 0
	for _, w := range d.queue {
		if !d.before(ask, &w.ask) {
			count++
		}
	}
	return count
}

// turn notes a refusal and returns when the request should come back: behind those that
// were refused before, once what waits is done.
func (d *Dispatcher) turn(now time.Time, pace, expected time.Duration) time.Duration {
	if pace == never {
		return avoidFirst
	}
	d.turned = max(d.turned-now.Sub(d.turnedAt), 0) + pace
	d.turnedAt = now
	return expected + d.turned
}

// best returns the replica that a request had better go to, nil if none has a place.
func (d *Dispatcher) best(now time.Time, tried []string) *replica {
	var best *replica
	for _, r := range d.replicas {
		if !r.free(now) || slices.Contains(tried, r.id) {
			continue
		}
		if best == nil || r.before(best) || !best.before(r) && r.id < best.id {
			best = r
		}
	}
	return best
}

// place sends a request to a replica.
func (d *Dispatcher) place(now time.Time, r *replica, ask *Ask) {
	d.last++
	d.tickets[d.last] = ticket{replica: r.id, account: ask.Account, ends: now.Add(longestWork)}
	r.atWork++
	d.atWork[ask.Account]++
	ask.Assign(Place{Ticket: d.last, Replica: r.id})
}

// assign gives the free places to what waits, and refuses what can't be in time any more.
func (d *Dispatcher) assign(now time.Time) {
	d.drop(now)
	for {
		next := d.next(now)
		if next < 0 {
			return
		}
		w := d.queue[next]
		d.queue = slices.Delete(d.queue, next, next+1)
		d.place(now, d.best(now, w.ask.Tried), &w.ask)
	}
}

// drop refuses what waits and can't be in time any more.
func (d *Dispatcher) drop(now time.Time) {
	d.queue = slices.DeleteFunc(d.queue, func(w *waiting) bool {
		if !now.After(w.latest) {
			return false
		}
		pace := d.pace(now)
		w.ask.Assign(Place{RetryAfter: d.turn(now, pace, pace)})
		return true
	})
}

// next returns the place in the queue of the ask that goes next, -1 if none can.
func (d *Dispatcher) next(now time.Time) int {
	next := -1
	for i, w := range d.queue {
		if d.best(now, w.ask.Tried) == nil {
			continue
		}
		if next < 0 || d.before(&w.ask, &d.queue[next].ask) {
			next = i
		}
	}
	return next
}

// before reports whether an ask goes before another that came earlier.
func (d *Dispatcher) before(a, b *Ask) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return d.atWork[a.Account] < d.atWork[b.Account]
}

// Release takes in how a request ended.
func (d *Dispatcher) Release(now time.Time, id uint64, outcome Outcome, took time.Duration) {
	t, found := d.tickets[id]
	if !found {
		return
	}
	d.end(id, t)
	if r := d.replicas[t.replica]; r != nil {
		r.note(now, outcome, took)
	}
	d.assign(now)
}

func (d *Dispatcher) end(id uint64, t ticket) {
	delete(d.tickets, id)
	if r := d.replicas[t.replica]; r != nil {
		// One that was taken away and is there again has begun to count anew.
		r.atWork = max(r.atWork-1, 0)
	}
	d.atWork[t.account]--
	if d.atWork[t.account] == 0 {
		delete(d.atWork, t.account)
	}
}

// Expire ends what was never told to have ended, and refuses what waits in vain.
func (d *Dispatcher) Expire(now time.Time) {
	for id, t := range d.tickets {
		if !now.Before(t.ends) {
			d.end(id, t)
		}
	}
	d.assign(now)
}

// Queued returns the number of asks that wait.
func (d *Dispatcher) Queued() int { return len(d.queue) }
