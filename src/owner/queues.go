package owner

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/schedule"
	"github.com/moorspool/moorspool/src/wakeup"
)

const (
	// advanceInterval is how often the queues look at the replicas while requests wait. Room that is
	// given back goes to the next request at once.
	advanceInterval = 25 * time.Millisecond
	// stateInterval is how often queues are told the state of a replica that has not changed: requests
	// that are sent without a place take the slots of those that have ended, at the same load.
	stateInterval = 50 * time.Millisecond
	// expireInterval is how often places are checked.
	expireInterval = time.Second
	// backlogChange is the least difference from the expected backlog that a queue is told.
	backlogChange = 5 * time.Millisecond
	// releaseMargin is how long after the deadline of its request a place is kept that nobody has
	// given back.
	releaseMargin = time.Second
)

// QueuesOptions are the dependencies of Queues.
type QueuesOptions struct {
	// State returns the load of a replica. It returns false if the replica may get no requests.
	State func(now time.Time, replica string) (schedule.State, bool)
	Now   func() time.Time
}

// Queues keeps a queue for each service. It is safe for concurrent use.
type Queues struct {
	options QueuesOptions
	// submitted wakes Run.
	submitted wakeup.Flag

	mu       sync.Mutex
	services map[string]*service
	// places holds the requests that wait and the places that are taken, by the ID of the request.
	places map[uint64]*place
	// expiredAt is when the places were last checked.
	expiredAt time.Time
}

// service is the queue of one service.
type service struct {
	queue *schedule.Queue
	// told holds what the queue was last told of each replica.
	told map[string]toldState
}

// toldState is the state of a replica that a queue was told.
type toldState struct {
	schedule.State
	at time.Time
}

// differs reports whether a state is news. A backlog that has only been read since is none.
func (t *toldState) differs(now time.Time, state schedule.State) bool {
	backlog := max(t.Backlog-now.Sub(t.at), 0)
	if state.Slots != t.Slots || state.Running != t.Running || state.Waiting != t.Waiting {
		return true
	}
	return (state.Backlog - backlog).Abs() >= backlogChange
}

// Key identifies the requests of one model.
type Key struct {
	Service string
	Model   string
}

// place is a request that waits, or that has a place.
type place struct {
	key     Key
	kind    string
	account string
	ticket  uint64
	since   time.Time
	expires time.Time
	// replica is "" while the request waits.
	replica string
}

// NewQueues returns queues without requests.
func NewQueues(options QueuesOptions) *Queues {
	return &Queues{options: options, submitted: wakeup.New(), services: map[string]*service{}, places: map[uint64]*place{}}
}

// Run advances the queues until the context ends.
func (q *Queues) Run(ctx context.Context) {
	timer := time.NewTimer(expireInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.submitted.Raised():
			timer.Reset(advanceInterval)
		case <-timer.C:
			timer.Reset(q.advance())
		}
	}
}

// Request waits until a request has its place or is refused. It is withdrawn when the context ends.
func (q *Queues) Request(ctx context.Context, id uint64, key Key, request schedule.Request) (schedule.Result, error) {
	if err := context.Cause(ctx); err != nil {
		return schedule.Result{}, err
	}
	results := make(chan schedule.Result, 1)
	q.submit(id, key, request, results)
	var result schedule.Result
	select {
	case result = <-results:
	case <-ctx.Done():
	}
	if err := context.Cause(ctx); err != nil {
		q.Release(id)
		return schedule.Result{}, err
	}
	return result, nil
}

// submit queues a request.
func (q *Queues) submit(id uint64, key Key, request schedule.Request, results chan<- schedule.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Now()
	s := q.service(key.Service)
	for _, candidate := range request.Candidates {
		q.refresh(now, s, candidate.Replica)
	}
	p := &place{key: key, kind: request.Kind, account: request.Account, since: now}
	p.expires = now.Add(max(request.Deadline, 0) + releaseMargin)
	q.places[id] = p
	request.OnResult = func(result schedule.Result) {
		q.settle(id, p, result)
		results <- result
	}
	ticket := s.queue.Submit(now, request)
	if p.ticket == 0 {
		p.ticket = ticket
	}
	q.submitted.Raise()
}

// settle records the result of a request; the lock is held.
func (q *Queues) settle(id uint64, p *place, result schedule.Result) {
	if result.Replica == "" {
		delete(q.places, id)
		return
	}
	p.ticket, p.replica = result.Ticket, result.Replica
}

// service returns the queue of a service; the lock is held.
func (q *Queues) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{queue: schedule.New(), told: map[string]toldState{}}
		q.services[name] = s
	}
	return s
}

// refresh tells a queue the state of a replica; the lock is held.
func (q *Queues) refresh(now time.Time, s *service, replica string) {
	state, usable := q.options.State(now, replica)
	last, told := s.told[replica]
	switch {
	case !usable && told:
		delete(s.told, replica)
		s.queue.RemoveReplica(now, replica)
	case usable && (!told || now.Sub(last.at) >= stateInterval || last.differs(now, state)):
		s.told[replica] = toldState{State: state, at: now}
		s.queue.SetReplica(now, replica, state)
	}
}

// advance gives out room that has become free, and returns when to do so again.
func (q *Queues) advance() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Now()
	q.expire(now)
	waiting := 0
	for _, s := range q.services {
		if s.queue.Waiting() == 0 {
			continue
		}
		for replica := range s.told {
			q.refresh(now, s, replica)
		}
		s.queue.Advance(now)
		waiting += s.queue.Waiting()
	}
	if waiting == 0 {
		return expireInterval
	}
	return advanceInterval
}

// expire gives back the places that nobody has given back in time; the lock is held.
func (q *Queues) expire(now time.Time) {
	if now.Sub(q.expiredAt) < expireInterval {
		return
	}
	q.expiredAt = now
	for id, p := range q.places {
		if !now.Before(p.expires) {
			q.release(now, id, p)
		}
	}
}

// Release gives the place of a request back, or withdraws the request if it waits. It returns false
// if the request is not known.
func (q *Queues) Release(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.places[id]
	if p == nil {
		return false
	}
	q.release(q.options.Now(), id, p)
	return true
}

// release releases one place; the lock is held.
func (q *Queues) release(now time.Time, id uint64, p *place) {
	delete(q.places, id)
	s := q.service(p.key.Service)
	if p.replica == "" {
		s.queue.Cancel(now, p.ticket)
		return
	}
	// The replica may have been lost since.
	q.refresh(now, s, p.replica)
	s.queue.Release(now, p.ticket)
}
