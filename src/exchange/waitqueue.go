package exchange

import (
	"slices"
	"sync"
	"sync/atomic"
)

// waitQueues holds the requests that wait at this gateway until a replica accepts requests again,
// in one queue for each combination of service, model and adapter. It is safe for concurrent use.
type waitQueues struct {
	// waiting counts the requests in all queues, so that no lock is taken while nothing waits.
	waiting atomic.Int64

	mu     sync.Mutex
	queues map[queueKey][]*waiter
}

// queueKey identifies what the requests of a queue wait for.
type queueKey struct {
	service string
	held    copyKey
}

// waiter is a request in a queue.
type waiter struct {
	priority int
	account  string
	// rank is the number of requests of the same account and priority that were in the queue before
	// it.
	rank int
	// ready is closed once the request is first in its queue, or was evicted.
	ready   chan struct{}
	evicted bool
}

func newWaitQueues() *waitQueues { return &waitQueues{queues: map[queueKey][]*waiter{}} }

// enqueue adds a request to a queue of at most limit requests. If the queue is full, a request that
// sorts before the last one evicts it; any other request is not added, and enqueue returns nil.
//
// Requests are ordered by priority. Within a priority, every account's first request comes before
// any account's second, so that the busiest account cannot occupy the whole queue (start-time fair
// queueing, P. Goyal and others, 1996, with each request as one unit).
func (l *waitQueues) enqueue(key queueKey, priority int, account string, limit int) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[key]
	w := &waiter{priority: priority, account: account, ready: make(chan struct{})}
	for _, other := range queue {
		if other.priority == priority && other.account == account {
			w.rank++
		}
	}
	at := len(queue)
	for at > 0 && w.before(queue[at-1]) {
		at--
	}
	if at >= limit {
		return nil
	}
	if len(queue) >= limit {
		last := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		last.evicted = true
		last.signal()
		l.waiting.Add(-1)
	}
	l.queues[key] = slices.Insert(queue, at, w)
	l.waiting.Add(1)
	if at == 0 {
		w.signal()
	}
	return w
}

// before reports whether a request sorts before another one that arrived earlier.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.rank < other.rank
}

// signal closes the channel ready if it is still open.
func (w *waiter) signal() {
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
}

// remove takes a request out of its queue and signals the one that is then first.
func (l *waitQueues) remove(key queueKey, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[key]
	at := slices.Index(queue, w)
	if at < 0 {
		return
	}
	queue = slices.Delete(queue, at, at+1)
	l.waiting.Add(-1)
	if len(queue) == 0 {
		delete(l.queues, key)
		return
	}
	l.queues[key] = queue
	queue[0].signal()
}

// wasEvicted reports whether a request of higher precedence took the place of this one.
func (l *waitQueues) wasEvicted(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.evicted
}

// isFirst reports whether a request is the first of its queue.
func (l *waitQueues) isFirst(key queueKey, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[key]
	return len(queue) > 0 && queue[0] == w
}

// any reports whether a queue holds requests.
func (l *waitQueues) any(key queueKey) bool {
	if l.waiting.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queues[key]) > 0
}
