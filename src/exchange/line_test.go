package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// firstOf reports whether a waiter was told that it is first, or out.
func firstOf(w *waiter) bool {
	select {
	case <-w.first:
		return true
	default:
		return false
	}
}

// TestALineStandsByPriorityAndAccount: the more urgent first, then each account's first before any
// account's second.
func TestALineStandsByPriorityAndAccount(t *testing.T) {
	is := is.New(t)
	l, of := newLines(), copyOf{service: "s"}
	many1 := l.join(of, 1, "many", 8)
	many2 := l.join(of, 1, "many", 8)
	many3 := l.join(of, 1, "many", 8)
	few := l.join(of, 1, "few", 8)
	urgent := l.join(of, 0, "many", 8)
	is.True(firstOf(many1)) // it came when nobody stood there
	is.True(l.turn(of, urgent))
	for _, next := range []*waiter{urgent, many1, few, many2, many3} {
		is.True(l.turn(of, next) && firstOf(next))
		l.leave(of, next)
		l.leave(of, next)
	}
	is.True(!l.any(of))
	is.Equal(l.waiting.Load(), int64(0))
}

// TestAFullLineMakesWayForTheMoreUrgent and for nobody else.
func TestAFullLineMakesWayForTheMoreUrgent(t *testing.T) {
	is := is.New(t)
	l, of := newLines(), copyOf{service: "s"}
	first, second := l.join(of, 1, "a", 2), l.join(of, 1, "a", 2)
	is.Equal(l.join(of, 1, "a", 2), nil)
	is.Equal(l.join(of, 2, "b", 2), nil)
	is.True(l.join(of, 0, "a", 2) != nil)
	is.True(l.putOut(second) && firstOf(second))
	is.True(!l.putOut(first))
	is.Equal(l.waiting.Load(), int64(2))
	is.Equal(l.join(copyOf{service: "t"}, 0, "a", 0), nil) // no place at all
}
