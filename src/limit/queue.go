package limit

import (
	"container/heap"
	"sync"
	"time"
)

// Ticket is a queued request.
type Ticket struct {
	priority int
	arrived  time.Time
	sequence uint64
	index    int
	called   chan struct{}
	lost     chan struct{}
	model    string
}

// Ready returns a channel that is closed when the request may try again.
func (t *Ticket) Ready() <-chan struct{} { return t.called }

// Evicted returns a channel that is closed when a request of higher priority took the place.
func (t *Ticket) Evicted() <-chan struct{} { return t.lost }

// waitPerPriority is the waiting time that counts as much as one step of priority, so that requests
// of low priority are served eventually.
const waitPerPriority = 500 * time.Millisecond

// Queues holds the waiting requests in one bounded queue for each model. It is safe for concurrent
// use.
type Queues struct {
	mu       sync.Mutex
	size     int
	sequence uint64
	models   map[string]*ticketHeap
	total    int
}

// NewQueues returns queues of at most size requests for each model.
func NewQueues(size int) *Queues {
	return &Queues{size: size, models: map[string]*ticketHeap{}}
}

// Join adds a request. If the queue is full it evicts the request to serve last if that has a lower
// priority, and returns nil otherwise.
func (q *Queues) Join(model string, priority int, now time.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	tickets := q.models[model]
	if tickets == nil {
		tickets = &ticketHeap{}
		q.models[model] = tickets
	}
	if tickets.Len() >= q.size {
		evicted := tickets.servedLast()
		if evicted.priority >= priority {
			return nil
		}
		q.remove(evicted)
		close(evicted.lost)
	}
	q.sequence++
	ticket := &Ticket{priority: priority, arrived: now, sequence: q.sequence, called: make(chan struct{}), lost: make(chan struct{}), model: model}
	heap.Push(tickets, ticket)
	q.models[model] = tickets
	q.total++
	return ticket
}

// Leave removes a request, whether it was called or gave up.
func (q *Queues) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(t)
}

func (q *Queues) remove(t *Ticket) {
	tickets := q.models[t.model]
	if tickets == nil || t.index < 0 {
		return
	}
	heap.Remove(tickets, t.index)
	t.index = -1
	q.total--
	if tickets.Len() == 0 {
		delete(q.models, t.model)
	}
}

// Release calls the first waiting request of a model; it reports false if there is none.
func (q *Queues) Release(model string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	tickets := q.models[model]
	if tickets == nil {
		return false
	}
	first := (*tickets)[0]
	q.remove(first)
	close(first.called)
	return true
}

// ReleaseAll calls the first waiting request of every model, after the routes changed.
func (q *Queues) ReleaseAll() {
	q.mu.Lock()
	models := make([]string, 0, len(q.models))
	for model := range q.models {
		models = append(models, model)
	}
	q.mu.Unlock()
	for _, model := range models {
		q.Release(model)
	}
}

// Waiting returns the number of waiting requests of a model.
func (q *Queues) Waiting(model string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tickets := q.models[model]; tickets != nil {
		return tickets.Len()
	}
	return 0
}

// ticketHeap is a heap with the request to serve first at the top.
type ticketHeap []*Ticket

// rank orders tickets by priority and waiting time; the lowest rank goes first. All tickets age
// alike, so the order of two tickets never changes.
func (t *Ticket) rank() int64 {
	return t.arrived.UnixNano() - int64(t.priority)*int64(waitPerPriority)
}

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	if a, b := h[i].rank(), h[j].rank(); a != b {
		return a < b
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// servedLast returns the request to serve last.
func (h ticketHeap) servedLast() *Ticket {
	servedLast := h[0]
	for _, t := range h {
		if t.rank() > servedLast.rank() {
			servedLast = t
		}
	}
	return servedLast
}
