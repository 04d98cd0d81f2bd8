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
	// standstill is set if the gateway stood still around a signal. That holds answers up, and ends none once it goes on.
	standstill bool
	from       time.Time
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
	return l.add(gateway, &strike{name: name, planned: planned, from: time.Now()})
}

// beginStandstill records that a gateway stands still around a signal, and returns what records that it goes on.
func (l *strikeLog) beginStandstill(gateway string) (end func()) {
	ended := l.add(gateway, &strike{name: "standstill", standstill: true, from: time.Now()})
	return func() { ended(0) }
}

// add records a strike and returns what ends it.
func (l *strikeLog) add(gateway string, s *strike) (end func(after time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string][]*strike{}
	}
	l.byName[gateway] = append(l.byName[gateway], s)
	return func(after time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now().Add(after)
	}
}

// explaining returns the name of a strike by which an answer that a gateway passed on may have ended early,
// "" if there is none. atWork is set if its replica was at work at the end.
func (l *strikeLog) explaining(gateway string, answer endedAnswer, atWork bool, stop plannedStop) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byName[gateway] {
		if s.explains(answer, atWork, stop) {
			return s.name
		}
	}
	return ""
}

// explains reports whether an answer may have ended early by the strike. A planned stop may end it at its limit if the
// replica is at work, by the time of the request's last byte after the sending of the signal. A standstill explains what
// others ended meanwhile. Every other strike counts from the first byte on.
func (s *strike) explains(answer endedAnswer, atWork bool, stop plannedStop) bool {
	switch {
	case s.planned:
		inTime := !answer.lastByteAt.IsZero() && !answer.lastByteAt.After(s.from.Add(lastRequestTime))
		return inTime && atWork && answer.endedAt.After(s.from.Add(stop.limit*5/6))
	case s.standstill:
		return !answer.endedAt.Before(s.from) && (s.to.IsZero() || !answer.endedAt.After(s.to))
	}
	return !answer.endedAt.Before(s.from) && (s.to.IsZero() || answer.firstByteAt.Before(s.to))
}

// stopped reports whether a gateway was told to stop less than plannedWorkTime before a time, whichever process took the
// request that ended then.
func (l *strikeLog) stopped(gateway string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byName[gateway] {
		if s.planned && !at.Before(s.from) && at.Sub(s.from) < plannedWorkTime {
			return true
		}
	}
	return false
}
