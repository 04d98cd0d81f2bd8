package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// signalled reports whether a waiter was signalled as first or evicted.
func signalled(w *waiter) bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// TestQueueOrder: requests are ordered by priority, then every account's first request comes before
// any account's second.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	l, of := newWaitQueues(), queueKey{service: "s"}
	many1 := l.enqueue(of, 1, "many", 8)
	many2 := l.enqueue(of, 1, "many", 8)
	many3 := l.enqueue(of, 1, "many", 8)
	few := l.enqueue(of, 1, "few", 8)
	urgent := l.enqueue(of, 0, "many", 8)
	is.True(signalled(many1)) // the queue was empty
	is.True(l.isFirst(of, urgent))
	for _, next := range []*waiter{urgent, many1, few, many2, many3} {
		is.True(l.isFirst(of, next) && signalled(next))
		l.remove(of, next)
		l.remove(of, next)
	}
	is.True(!l.any(of))
	is.Equal(l.waiting.Load(), int64(0))
}

// TestFullQueueEvictsLessUrgentRequest: a more urgent request evicts the last one of a full queue.
// All others are not admitted.
func TestFullQueueEvictsLessUrgentRequest(t *testing.T) {
	is := is.New(t)
	l, of := newWaitQueues(), queueKey{service: "s"}
	first, second := l.enqueue(of, 1, "a", 2), l.enqueue(of, 1, "a", 2)
	is.Equal(l.enqueue(of, 1, "a", 2), nil)
	is.Equal(l.enqueue(of, 2, "b", 2), nil)
	is.True(l.enqueue(of, 0, "a", 2) != nil)
	is.True(l.wasEvicted(second) && signalled(second))
	is.True(!l.wasEvicted(first))
	is.Equal(l.waiting.Load(), int64(2))
	is.Equal(l.enqueue(queueKey{service: "t"}, 0, "a", 0), nil) // a queue without room
}
