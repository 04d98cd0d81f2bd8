package limit

import (
	"container/heap"
	"sync"
	"time"
)

// Ticket is a request that waits for a place.
type Ticket struct {
	priority int
	arrived  time.Time
	seq      uint64
	index    int
	call     chan struct{}
	lost     chan struct{}
	model    string
}

// Called is closed when the request may try again.
func (t *Ticket) Called() <-chan struct{} { return t.call }

// Lost is closed when a request of higher priority took the place.
func (t *Ticket) Lost() <-chan struct{} { return t.lost }

// ageBonus is the wait that counts as much as one step of priority, so that low
// priorities are served too.
const ageBonus = 500 * time.Millisecond

// Queues hold the requests that wait, one bounded queue a model. They are safe
// for concurrent use.
type Queues struct {
	mu     sync.Mutex
	size   int
	seq    uint64
	models map[string]*ticketHeap
	total  int
}

// NewQueues returns queues of at most size requests for each model.
func NewQueues(size int) *Queues {
	return &Queues{size: size, models: map[string]*ticketHeap{}}
}

// Join adds a request. When the queue is full a request of lower priority loses
// its place; without one, Join returns nil.
func (q *Queues) Join(model string, priority int, now time.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	tickets := q.models[model]
	if tickets == nil {
		tickets = &ticketHeap{}
		q.models[model] = tickets
	}
	if tickets.Len() >= q.size {
		evicted := tickets.weakest()
		if evicted.priority >= priority {
			return nil
		}
		q.remove(evicted)
		close(evicted.lost)
	}
	q.seq++
	ticket := &Ticket{priority: priority, arrived: now, seq: q.seq, call: make(chan struct{}), lost: make(chan struct{}), model: model}
	heap.Push(tickets, ticket)
	q.models[model] = tickets
	q.total++
	return ticket
}

// Leave takes a request out, whether it was called or gave up.
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

// Release calls the first request that waits for a model; it reports false if none does.
func (q *Queues) Release(model string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	tickets := q.models[model]
	if tickets == nil {
		return false
	}
	first := (*tickets)[0]
	q.remove(first)
	close(first.call)
	return true
}

// ReleaseAll calls the first request of every model, after routes changed.
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

// Waiting returns the number of requests that wait for a model.
func (q *Queues) Waiting(model string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tickets := q.models[model]; tickets != nil {
		return tickets.Len()
	}
	return 0
}

// ticketHeap has the request to be served first at the top.
type ticketHeap []*Ticket

// rank orders tickets: priority, with waiting time counted in. As all age alike
// the order between two never changes.
func (t *Ticket) rank() int64 {
	return t.arrived.UnixNano() - int64(t.priority)*int64(ageBonus)
}

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	if a, b := h[i].rank(), h[j].rank(); a != b {
		return a < b
	}
	return h[i].seq < h[j].seq
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

func (h ticketHeap) weakest() *Ticket {
	weakest := h[0]
	for _, t := range h {
		if t.rank() > weakest.rank() {
			weakest = t
		}
	}
	return weakest
}
