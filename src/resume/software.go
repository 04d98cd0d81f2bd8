package resume

import (
	"sync"
	"time"
)

// Software is what one incarnation of a replica reports of its software. The zero value has reported
// nothing. It is not safe for concurrent use.
type Software struct {
	version       string
	contradictory bool
}

// Learn adds a reported version. A report without one says nothing: control nodes of earlier builds
// leave it out. An incarnation has one version, so different ones make it unknown for good.
func (s *Software) Learn(version string) {
	switch {
	case version == "" || version == s.version:
	case s.version == "":
		s.version = version
	default:
		s.contradictory = true
	}
}

// Version returns the version, "" if it is not known.
func (s *Software) Version() string {
	if s.contradictory {
		return ""
	}
	return s.version
}

// SettleTime is how long the versions of a census must not have changed, for the only one of them to have
// begun all streams that still last. What is listed proves nothing of the time before: control nodes that
// were killed together forget replicas that have crashed.
const SettleTime = Retention

// Census counts the listed replicas of one service by software version. It is not safe for concurrent use.
type Census struct {
	counts map[string]int
	// changedAt is when a version was last added or removed.
	changedAt time.Time
}

// Add counts a replica; its version is "" if it is not known.
func (c *Census) Add(now time.Time, version string) {
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	if c.counts[version] == 0 {
		c.changedAt = now
	}
	c.counts[version]++
}

// Remove counts a replica no longer that was added with a version.
func (c *Census) Remove(now time.Time, version string) {
	c.counts[version]--
	if c.counts[version] > 0 {
		return
	}
	delete(c.counts, version)
	c.changedAt = now
}

// Sole returns the only software version of the service and how long it has been the only one. It
// returns false if there are several, one is not known, or the versions changed less than SettleTime ago.
func (c *Census) Sole(now time.Time) (version string, age time.Duration, sole bool) {
	age = now.Sub(c.changedAt)
	if len(c.counts) != 1 || age < SettleTime {
		return "", 0, false
	}
	for version := range c.counts {
		return version, age, version != ""
	}
	return "", 0, false
}

// Versions holds a Census of each service. It is safe for concurrent use.
type Versions struct {
	mu       sync.Mutex
	services map[string]*Census
	replicas map[string]listedReplica
}

// listedReplica is one incarnation of a replica that is counted.
type listedReplica struct {
	service  string
	software Software
}

// NewVersions returns Versions without replicas.
func NewVersions() *Versions {
	return &Versions{services: map[string]*Census{}, replicas: map[string]listedReplica{}}
}

// List counts an incarnation of a replica, or what is newly reported of one that is counted.
func (v *Versions) List(now time.Time, id, service, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before, counted := v.replicas[id]
	next := listedReplica{service: service, software: before.software}
	next.software.Learn(version)
	if counted && before.service == service && before.software.Version() == next.software.Version() {
		v.replicas[id] = next
		return
	}
	v.remove(now, id)
	census := v.services[service]
	if census == nil {
		census = &Census{}
		v.services[service] = census
	}
	census.Add(now, next.software.Version())
	v.replicas[id] = next
}

// Remove counts an incarnation of a replica no longer.
func (v *Versions) Remove(now time.Time, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(now, id)
}

// remove counts a replica no longer if it is counted; the lock is held.
func (v *Versions) remove(now time.Time, id string) {
	known, counted := v.replicas[id]
	if !counted {
		return
	}
	delete(v.replicas, id)
	v.services[known.service].Remove(now, known.software.Version())
}

// Sole returns the only software version of a service; see Census.Sole.
func (v *Versions) Sole(now time.Time, service string) (version string, age time.Duration, sole bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	census := v.services[service]
	if census == nil {
		return "", 0, false
	}
	return census.Sole(now)
}
