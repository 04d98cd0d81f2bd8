package main

import (
	"sync"
	"time"
)

// strike is what was done to a gateway or to its links, by which its answers may end early.
type strike struct {
	name string
	// planned is set for a planned stop, which gives no reason to end an answer before its limit.
	planned bool
	from    time.Time
	// to is the zero time while the strike lasts.
	to time.Time
}

// strikeLog records the strikes of each gateway. It is safe for concurrent use.
type strikeLog struct {
	mu     sync.Mutex
	byName map[string][]*strike
}

// begin records a strike and returns what ends it after a time in which it may still have an effect.
func (l *strikeLog) begin(gateway, name string, planned bool) (end func(after time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string][]*strike{}
	}
	s := &strike{name: name, planned: planned, from: time.Now()}
	l.byName[gateway] = append(l.byName[gateway], s)
	return func(after time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now().Add(after)
	}
}

// explaining returns the name of a strike by which an answer that a gateway passed on may have ended early,
// "" if there is none.
func (l *strikeLog) explaining(gateway string, answer endedAnswer, stop plannedStop) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byName[gateway] {
		if s.explains(answer, stop) {
			return s.name
		}
	}
	return ""
}

// explains reports whether an answer may have ended early by the strike. Whether a planned stop may end it at its limit
// depends on the last byte of the request; every other strike counts from the first byte on.
func (s *strike) explains(answer endedAnswer, stop plannedStop) bool {
	if s.planned {
		inTime := !answer.lastByteAt.IsZero() && !answer.lastByteAt.After(s.from.Add(lastRequestTime))
		return inTime && answer.endedAt.After(s.from.Add(stop.limit*5/6))
	}
	return !answer.endedAt.Before(s.from) && (s.to.IsZero() || answer.firstByteAt.Before(s.to))
}
