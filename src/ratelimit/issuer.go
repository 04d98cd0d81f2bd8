package ratelimit

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// scheduleTTL is how long an unused schedule is kept.
	scheduleTTL = 10 * time.Second
	// priorityWindow is how long requests of lower priority yield after one of higher priority.
	priorityWindow = time.Second
	// limitTTL is how long a limit is kept that nobody asks about. Gateways keep it and report it
	// again.
	limitTTL = 10 * time.Minute
)

// Leadership is the state of the issuer's control node.
type Leadership struct {
	// Self is set while the node leads with a valid lease; it became the leader of Term at Since.
	Self  bool
	Term  uint64
	Since time.Time
}

// Request is a gateway's request for a permit for one request.
type Request struct {
	Server string
	// ColdPerSecond is the number of requests a second that a cold backend server accepts, 0 if it
	// is not cold or has no such limit.
	ColdPerSecond float64
	LimitReport   LimitReport
	// MaxWait is the longest time that the request can wait; below 0 if the gateway only reports a
	// limit.
	MaxWait time.Duration
	// Priority is the request's priority, 0 for the most urgent.
	Priority int
}

// Reply is the issuer's reply to a Request.
type Reply struct {
	// Known is false if this node may not issue permits.
	Known   bool
	Granted bool
	// Wait is the time until the permit may be used, or until it could have been if it was refused.
	Wait time.Duration
	// State is the limit in force as of Version in Term; Permit is the number of the granted
	// permit.
	State   State
	Term    uint64
	Version uint64
	Permit  uint64
}

// Change describes a change of a limit.
type Change struct {
	Server        string
	Before, After State
	// Age is how long the limit before was in force.
	Age time.Duration
}

func (c Change) String() string {
	return fmt.Sprintf("%s, before %s for %s", c.After, c.Before, c.Age.Round(time.Millisecond))
}

// Issuer issues permits while its control node leads; it is safe for concurrent use.
type Issuer struct {
	leadership func() Leadership
	// onChange is called for each change of a limit; it must not block.
	onChange func(Change)

	mu         sync.Mutex
	term       uint64
	version    uint64
	lastPermit uint64
	servers    map[string]*server
	lastSweep  time.Time
}

// server is the issuer's state of one backend server.
type server struct {
	schedule schedule
	limit    knownLimit
	// limitSince is when the limit came into force, lastRequest the time of the last request for a
	// permit.
	limitSince, lastRequest time.Time
	// topPriority is the highest priority requested recently, at topPriorityAt.
	topPriority   int
	topPriorityAt time.Time
}

// maxWait returns how far ahead a request may get a permit. Requests of lower priority than others
// seen recently look less far ahead, so that scarce permits go to the more urgent ones.
func (s *server) maxWait(now time.Time, request Request) time.Duration {
	if request.Priority <= s.topPriority || now.Sub(s.topPriorityAt) > priorityWindow {
		s.topPriority, s.topPriorityAt = request.Priority, now
	}
	return min(request.MaxWait, Horizon/time.Duration(1+request.Priority-s.topPriority))
}

// NewIssuer returns an issuer without limits or permits; onChange may be nil.
func NewIssuer(leadership func() Leadership, onChange func(Change)) *Issuer {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Issuer{leadership: leadership, onChange: onChange, servers: map[string]*server{}}
}

// Take processes the limit that a gateway reports and issues a permit for its request. A backend
// server that is neither cold nor limited needs no permits, so the request is granted at once.
func (i *Issuer) Take(now time.Time, request Request) Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	lead := i.leadership()
	if !lead.Self {
		return Reply{}
	}
	i.lead(lead.Term)
	i.sweep(now)
	s, found := i.servers[request.Server]
	if !found {
		s = &server{limitSince: now}
		i.servers[request.Server] = s
	}
	s.lastRequest = now
	i.observe(now, request, s)
	answer := Reply{Known: true, State: s.limit.state, Term: i.term, Version: i.version}
	p, bounded := s.pace(request.ColdPerSecond)
	if !bounded || request.MaxWait < 0 {
		answer.Granted = !bounded
		return answer
	}
	if s.schedule.next.IsZero() {
		s.schedule.reset(later(now, lead.Since.Add(Horizon)), p)
	}
	answer.Wait, answer.Granted = s.schedule.take(now, p, s.maxWait(now, request))
	if answer.Granted {
		i.lastPermit++
		answer.Permit = i.lastPermit
	}
	return answer
}

// lead resets the state in a new term, since the permits and limits of the previous leader are
// unknown. The lock is held.
func (i *Issuer) lead(term uint64) {
	if term == i.term {
		return
	}
	i.term, i.version, i.lastPermit = term, 0, 0
	clear(i.servers)
}

// observe processes the limit that a gateway reports; the lock is held.
func (i *Issuer) observe(now time.Time, request Request, s *server) {
	before := s.limit.state
	if !s.limit.update(i.term, i.lastPermit, request.LimitReport) {
		return
	}
	i.version++
	i.onChange(Change{Server: request.Server, Before: before, After: s.limit.state, Age: now.Sub(s.limitSince)})
	s.limitSince = now
	if p, bounded := s.pace(request.ColdPerSecond); bounded && !before.Limited && !s.schedule.next.IsZero() {
		// Requests sent before the limit was known are not counted, so no burst is allowed on top
		// of them.
		s.schedule.reset(later(now, s.schedule.next), p)
	}
}

// pace returns the pace of the backend server's permits; bounded is false if it needs none.
func (s *server) pace(cold float64) (p pace, bounded bool) {
	switch {
	case s.limit.state.Limited && cold > 0:
		return limitPace(s.limit.state.PerSecond).slower(evenPace(cold)), true
	case s.limit.state.Limited:
		return limitPace(s.limit.state.PerSecond), true
	case cold > 0:
		return evenPace(cold), true
	}
	return pace{}, false
}

// ServerLimit is the limit of a backend server, as gateways are told of it.
type ServerLimit struct {
	Server string
	State  State
}

// Limits returns the limits in force and those that ended within endedWithin, the most recently
// changed first and at most maxCount; none while the node does not lead.
func (i *Issuer) Limits(now time.Time, maxCount int, endedWithin time.Duration) (term, version uint64, limits []ServerLimit) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if lead := i.leadership(); !lead.Self || lead.Term != i.term {
		return 0, 0, nil
	}
	for name, s := range i.servers {
		if s.limit.state.Limited || s.limit.known && now.Sub(s.limitSince) < endedWithin {
			limits = append(limits, ServerLimit{Server: name, State: s.limit.state})
		}
	}
	i.sortByChange(limits)
	return i.term, i.version, limits[:min(len(limits), maxCount)]
}

// sweep removes backend servers that are no longer used; the lock is held.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.lastSweep) < scheduleTTL {
		return
	}
	i.lastSweep = now
	for name, s := range i.servers {
		idle := now.Sub(s.lastRequest)
		if now.Sub(s.schedule.next) > scheduleTTL && (idle > limitTTL || idle > scheduleTTL && !s.limit.known) {
			delete(i.servers, name)
		}
	}
}

// sortByChange sorts limits by the time of their last change, the most recent first; the lock is
// held.
func (i *Issuer) sortByChange(limits []ServerLimit) {
	slices.SortFunc(limits, func(a, b ServerLimit) int {
		return cmp.Or(i.servers[b.Server].limitSince.Compare(i.servers[a.Server].limitSince), cmp.Compare(a.Server, b.Server))
	})
}
