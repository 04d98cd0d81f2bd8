package exchange

import (
	"slices"
	"sync"
	"sync/atomic"
)

// lines are the requests that wait at this gateway until a replica takes requests again, by what
// they ask for; they are safe for concurrent use.
type lines struct {
	// waiting counts those in all lines, so that a request meets no lock where nobody waits.
	waiting atomic.Int64

	mu   sync.Mutex
	open map[copyOf][]*waiter
}

// copyOf is what a line waits for.
type copyOf struct {
	service string
	held    copyKey
}

// waiter is one request in a line.
type waiter struct {
	priority int
	account  string
	// rank is how many of the account's requests of this priority stood before it as it came.
	rank int
	// first is closed once the request is the first of its line, or has been put out of it.
	first chan struct{}
	out   bool
}

func newLines() *lines { return &lines{open: map[copyOf][]*waiter{}} }

// join puts a request into the line of at most a number of requests; the last one of a full line
// makes way for a more urgent one. It returns nil if there is no place.
//
// More urgent ones stand first; of one priority each account has its first request before any
// account's second, so that the one that sends the most does not take the places of all (start-time
// fair queueing, P. Goyal and others, 1996, with each request as one unit).
func (l *lines) join(of copyOf, priority int, account string, most int) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.open[of]
	w := &waiter{priority: priority, account: account, first: make(chan struct{})}
	for _, other := range line {
		if other.priority == priority && other.account == account {
			w.rank++
		}
	}
	at := len(line)
	for at > 0 && w.before(line[at-1]) {
		at--
	}
	if at >= most {
		return nil
	}
	if len(line) >= most {
		last := line[len(line)-1]
		line = line[:len(line)-1]
		last.out = true
		last.release()
		l.waiting.Add(-1)
	}
	l.open[of] = slices.Insert(line, at, w)
	l.waiting.Add(1)
	if at == 0 {
		w.release()
	}
	return w
}

// before reports whether a request stands before another one that came earlier.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.rank < other.rank
}

// release closes the channel once.
func (w *waiter) release() {
	select {
	case <-w.first:
	default:
		close(w.first)
	}
}

// leave takes a request out of its line; the next one is the first then.
func (l *lines) leave(of copyOf, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.open[of]
	at := slices.Index(line, w)
	if at < 0 {
		return
	}
	line = slices.Delete(line, at, at+1)
	l.waiting.Add(-1)
	if len(line) == 0 {
		delete(l.open, of)
		return
	}
	l.open[of] = line
	line[0].release()
}

// putOut reports whether a more urgent request took the place.
func (l *lines) putOut(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.out
}

// turn reports whether a request is the first of its line.
func (l *lines) turn(of copyOf, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.open[of]
	return len(line) > 0 && line[0] == w
}

// any reports whether requests wait for something.
func (l *lines) any(of copyOf) bool {
	if l.waiting.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open[of]) > 0
}
