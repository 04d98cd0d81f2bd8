package ratelimit

import (
	"sync"
	"time"
)

const (
	// controlShare and gatewayShare are the parts of a rate that all control nodes, and all
	// gateways, have together without an issuer. At most half of the control nodes are cut off from
	// an issuer that goes on at the full rate, so that the total is at most one and a half times
	// the rate.
	controlShare = 0.5
	gatewayShare = 0.25
	// maxSpacing is the longest time between two permits of a FallbackIssuer.
	maxSpacing = time.Hour
)

// ControlShare returns the part of a rate that one of members control nodes has without an issuer.
func ControlShare(members int) float64 { return controlShare / float64(max(members, 1)) }

// GatewayShare returns the part of a rate that one of that many gateways has without an issuer.
func GatewayShare(gateways int) float64 { return gatewayShare / float64(max(gateways, 1)) }

// FallbackIssuer issues permits for a fixed share of each rate where no issuer answers; it is safe
// for concurrent use. Its permits have no number, so that limits in the answers to them are never
// taken to be newer than known ones.
//
// The permits of each FallbackIssuer come at fixed times with a random phase, and a permit that is
// not used within PermitTTL is lost. Every FallbackIssuer starts at the same moment when the leader
// is lost: if unused permits were kept, as many requests would be sent at once as there are
// processes.
type FallbackIssuer struct {
	// random returns a number from 0 to 1.
	random func() float64

	mu        sync.Mutex
	servers   map[string]*slotSchedule
	lastSweep time.Time
}

// slotSchedule holds the permit times of one backend server.
type slotSchedule struct {
	// phase is the offset of the slots as a part of the spacing, lastUsed the time of the last used
	// slot.
	phase       float64
	lastUsed    time.Time
	lastRequest time.Time
}

// NewFallbackIssuer returns a FallbackIssuer that has issued no permits; random returns a number
// from 0 to 1.
func NewFallbackIssuer(random func() float64) *FallbackIssuer {
	return &FallbackIssuer{random: random, servers: map[string]*slotSchedule{}}
}

// Take takes a permit based on the limit that the gateway knows, at a share of the rate.
func (s *FallbackIssuer) Take(now time.Time, request Request, share float64) Reply {
	known := server{limit: knownLimit{state: request.LimitReport.State}}
	p, bounded := known.pace(request.ColdPerSecond)
	if !bounded || request.MaxWait < 0 {
		return Reply{}
	}
	if request.ColdPerSecond > 0 {
		// The bound of a cold backend server applies over one second, in which the life of a permit
		// weighs more.
		share /= 2
	}
	spacing := min(time.Duration(float64(p.spacing)/share), maxSpacing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	slots, found := s.servers[request.Server]
	if !found {
		slots = &slotSchedule{phase: s.random()}
		s.servers[request.Server] = slots
	}
	slots.lastRequest = now
	wait, granted := slots.take(now, spacing, min(request.MaxWait, Horizon))
	return Reply{Known: true, Granted: granted, Wait: wait, State: request.LimitReport.State}
}

// take takes the present slot if it is still valid and unused, or the next one if it comes within a
// duration; wait is the time until then.
func (s *slotSchedule) take(now time.Time, spacing, within time.Duration) (wait time.Duration, taken bool) {
	began := now.Add(-time.Duration((now.UnixNano() - int64(s.phase*float64(spacing))) % int64(spacing)))
	if now.Sub(began) < PermitTTL && began.After(s.lastUsed) {
		s.lastUsed = began
		return 0, true
	}
	next := began.Add(spacing)
	for !next.After(s.lastUsed) {
		next = next.Add(spacing)
	}
	wait = next.Sub(now)
	if wait > within {
		return wait, false
	}
	s.lastUsed = next
	return wait, true
}

// sweep removes backend servers that are no longer used; the lock is held.
func (s *FallbackIssuer) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < scheduleTTL {
		return
	}
	s.lastSweep = now
	for name, slots := range s.servers {
		if now.Sub(slots.lastRequest) > limitTTL {
			delete(s.servers, name)
		}
	}
}
