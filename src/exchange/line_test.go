package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// firstOf reports whether a waiter was told that it is first, or out.
func firstOf(w *waiter) bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// TestALineStandsByPriorityAndAccount: the more urgent first, then each account's first before any
// account's second.
func TestALineStandsByPriorityAndAccount(t *testing.T) {
	is := is.New(t)
	l, of := newWaitQueues(), queueKey{service: "s"}
	many1 := l.enqueue(of, 1, "many", 8)
	many2 := l.enqueue(of, 1, "many", 8)
	many3 := l.enqueue(of, 1, "many", 8)
	few := l.enqueue(of, 1, "few", 8)
	urgent := l.enqueue(of, 0, "many", 8)
	is.True(firstOf(many1)) // it came when nobody stood there
	is.True(l.isFirst(of, urgent))
	for _, next := range []*waiter{urgent, many1, few, many2, many3} {
		is.True(l.isFirst(of, next) && firstOf(next))
		l.remove(of, next)
		l.remove(of, next)
	}
	is.True(!l.any(of))
	is.Equal(l.waiting.Load(), int64(0))
}

// TestAFullLineMakesWayForTheMoreUrgent and for nobody else.
func TestAFullLineMakesWayForTheMoreUrgent(t *testing.T) {
	is := is.New(t)
	l, of := newWaitQueues(), queueKey{service: "s"}
	first, second := l.enqueue(of, 1, "a", 2), l.enqueue(of, 1, "a", 2)
	is.Equal(l.enqueue(of, 1, "a", 2), nil)
	is.Equal(l.enqueue(of, 2, "b", 2), nil)
	is.True(l.enqueue(of, 0, "a", 2) != nil)
	is.True(l.wasEvicted(second) && firstOf(second))
	is.True(!l.wasEvicted(first))
	is.Equal(l.waiting.Load(), int64(2))
	is.Equal(l.enqueue(queueKey{service: "t"}, 0, "a", 0), nil) // no place at all
}
