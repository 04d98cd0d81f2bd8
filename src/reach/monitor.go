package reach

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// The evidence that a service is out of reach, or in reach again.
const (
	// minReplicas is how many replicas must fail, and later accept, if the service has as many. One
	// alone may have ended.
	minReplicas = 2
	// evidenceTTL is how long a failed dial counts. While a service is out of reach it is dialed much
	// more often.
	evidenceTTL = 5 * time.Second
	// acceptTTL is how long an accepted connection counts for the return of a service.
	acceptTTL = time.Second
	// minHold is how long a service that was lost again shortly after its return stays out of reach
	// at least. It doubles with each further time, up to maxHold.
	minHold = 500 * time.Millisecond
	maxHold = 4 * time.Second
	// stableAfter is how long a service must have been in reach for its next loss to count as the
	// first one.
	stableAfter = 10 * time.Second
	// maxNamed bounds the replicas that a description names.
	maxNamed = 4
)

// Change is a service that went out of reach or came back.
type Change struct {
	Service     string
	Unreachable bool
	// Evidence describes what was observed, and its age.
	Evidence string
}

// Monitor holds which services are out of reach. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is the evidence on one service.
type service struct {
	// failed holds when the last dial to a replica failed, for the failures after the last contact.
	failed map[string]time.Time
	// accepted holds when replicas last accepted a connection, for those that have not failed since.
	accepted    map[string]time.Time
	contactAt   time.Time
	unreachable bool
	// changedAt is when the service last went out of reach or came back.
	changedAt time.Time
	hold      time.Duration
}

// New returns a monitor to which every service is in reach.
func New() *Monitor { return &Monitor{services: map[string]*service{}} }

// Contact records that a replica of a service has sent something.
func (m *Monitor) Contact(now time.Time, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	s.contactAt = now
	if !s.unreachable {
		clear(s.failed)
	}
}

// DialFailed records that a replica did not accept a connection; known is the number of replicas of
// the service.
func (m *Monitor) DialFailed(now time.Time, name, replica string, known int) (Change, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	s.expire(now)
	s.failed[replica] = now
	delete(s.accepted, replica)
	if s.unreachable || len(s.failed) < min(minReplicas, max(known, 1)) {
		return Change{}, false
	}
	s.lose(now)
	return Change{Service: name, Unreachable: true, Evidence: s.describe(now)}, true
}

// DialSucceeded records that a replica accepted a connection; known is the number of replicas of the
// service.
func (m *Monitor) DialSucceeded(now time.Time, name, replica string, known int) (Change, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return Change{}, false
	}
	s.contactAt = now
	if !s.unreachable {
		clear(s.failed)
		return Change{}, false
	}
	s.accepted[replica] = now
	if s.acceptedLately(now) < min(minReplicas, max(known, 1)) || now.Sub(s.changedAt) < s.hold {
		return Change{}, false
	}
	lost := now.Sub(s.changedAt)
	s.unreachable, s.changedAt = false, now
	clear(s.failed)
	clear(s.accepted)
	return Change{Service: name, Evidence: fmt.Sprintf("connections are accepted again after %s", lost.Round(time.Millisecond))}, true
}

// Unreachable reports whether a service is out of reach.
func (m *Monitor) Unreachable(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	return s != nil && s.unreachable
}

// Lost returns the services that are out of reach, sorted.
func (m *Monitor) Lost() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost []string
	for name, s := range m.services {
		if s.unreachable {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// service returns the evidence on a service; the lock is held.
func (m *Monitor) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{failed: map[string]time.Time{}, accepted: map[string]time.Time{}}
		m.services[name] = s
	}
	return s
}

// expire drops failures that are too old.
func (s *service) expire(now time.Time) {
	for replica, at := range s.failed {
		if now.Sub(at) > evidenceTTL {
			delete(s.failed, replica)
		}
	}
}

// acceptedLately returns the number of replicas that accept connections.
func (s *service) acceptedLately(now time.Time) int {
	count := 0
	for _, at := range s.accepted {
		if now.Sub(at) <= acceptTTL {
			count++
		}
	}
	return count
}

// lose marks the service as out of reach. It stays so for longer each time that it comes and goes.
func (s *service) lose(now time.Time) {
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) < stableAfter {
		s.hold = min(max(2*s.hold, minHold), maxHold)
	} else {
		s.hold = 0
	}
	s.unreachable, s.changedAt = true, now
	clear(s.accepted)
}

// describe lists the failures.
func (s *service) describe(now time.Time) string {
	var named []string
	first := now
	for replica, at := range s.failed {
		named = append(named, replica)
		if at.Before(first) {
			first = at
		}
	}
	slices.Sort(named)
	named = named[:min(len(named), maxNamed)]
	heard := "nothing was received before"
	if !s.contactAt.IsZero() {
		heard = fmt.Sprintf("the last contact was %s before", now.Sub(s.contactAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("no connection to %s, the first failed %s before; %s", strings.Join(named, ", "), now.Sub(first).Round(time.Millisecond), heard)
}
