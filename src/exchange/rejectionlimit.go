package exchange

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
)

const (
	// rejectionLimitTTL is how long an answer tells whether its replica, or any of its service, bears few
	// rejections. It is longer than the pauses between the answers of a service that is in use.
	rejectionLimitTTL = 5 * time.Second
	// rejectionLimitRetry is when a request looks again for a replica at which this gateway has its share
	// under way.
	rejectionLimitRetry = 50 * time.Millisecond
)

// RejectionLimit is what a response says of how many rejections its replica bears.
type RejectionLimit struct {
	// Told is set if the replica fails when it has to reject too many requests in a second.
	Told bool
	// PerSecond is how many it may reject in a second without failing, 0 if that can't be read.
	PerSecond float64
	// ParseError describes a value that could not be parsed, "" if there is none.
	ParseError string
}

// rejectionLimits holds which services have replicas that fail when they reject too many requests. It
// is safe for concurrent use.
type rejectionLimits struct {
	// any is set once a replica has said so.
	any atomic.Bool

	mu     sync.Mutex
	toldAt map[string]time.Time
}

// told records that a replica of a service said so, and reports whether none had lately.
func (b *rejectionLimits) told(now time.Time, service string) bool {
	b.any.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.toldAt[service]
	b.toldAt[service] = now
	return !known || now.Sub(before) > rejectionLimitTTL
}

func (b *rejectionLimits) lately(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, known := b.toldAt[service]
	return known && now.Sub(at) <= rejectionLimitTTL
}

// rejectionAnswer is what the last answer of a replica said.
type rejectionAnswer struct {
	at   time.Time
	told bool
}

// noteRejectionLimit records what an answer says of its replica.
func (f *Fleet) noteRejectionLimit(peer *Peer, said RejectionLimit) {
	if !said.Told && !f.rejections.any.Load() {
		return
	}
	now := f.now()
	peer.rejections.Store(&rejectionAnswer{at: now, told: said.Told})
	if !said.Told || !f.rejections.told(now, peer.service) {
		return
	}
	reason := fmt.Sprintf("service %s: it bears %g rejections a second", peer.service, said.PerSecond)
	if said.ParseError != "" {
		reason += "; " + said.ParseError
	}
	f.ring.Add(event.Event{Kind: event.RejectionsLimited, Host: peer.ID(), Reason: reason})
}

// limitsRejections reports whether a replica must not have to reject requests: its last answer decides, or
// those of its service if it has not answered lately.
func (f *Fleet) limitsRejections(peer *Peer) bool {
	if !f.rejections.any.Load() {
		return false
	}
	now := f.now()
	if last := peer.rejections.Load(); last != nil && now.Sub(last.at) <= rejectionLimitTTL {
		return last.told
	}
	return f.rejections.lately(now, peer.service)
}

// shareTaken reports whether this gateway has its share of the slots of a replica that bears few rejections
// under way, if it sends further requests there. The shares of all gateways together never exceed the slots, so that
// the replica has none to reject, and need nobody who assigns them.
func (f *Fleet) shareTaken(peer *Peer, further int) bool {
	return f.limitsRejections(peer) && peer.underWay()+further > f.gatewayShare(peer)
}

// gatewayShare returns how many of a replica's slots are this gateway's.
func (f *Fleet) gatewayShare(peer *Peer) int {
	slots, gateways := peer.slots(), f.gateways.count()
	if slots >= gateways {
		return slots / gateways
	}
	if f.gateways.rank(peer.ID()) < slots {
		return 1
	}
	return 0
}

// gatewaySet is what is known of all gateways. It is safe for concurrent use.
type gatewaySet struct {
	self string

	mu     sync.Mutex
	number int
	names  []string
}

func (g *gatewaySet) setNumber(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number = n
}

func (g *gatewaySet) setNames(self string, names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self, g.names = self, names
}

func (g *gatewaySet) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.number, len(g.names), 1)
}

// rank returns this gateway's place among all of them for a replica, from 0. Each replica orders them in
// another way. Without the names of all, the place is drawn.
func (g *gatewaySet) rank(replica string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := gatewayHash(g.self, replica)
	if !slices.Contains(g.names, g.self) || len(g.names) < g.number {
		return int(own % uint64(max(g.number, len(g.names), 1)))
	}
	before := 0
	for _, name := range g.names {
		if name != g.self && gatewayHash(name, replica) < own {
			before++
		}
	}
	return before
}

func gatewayHash(gateway, replica string) uint64 {
	h := fnv.New64a()
	// Write never fails for a hash.
	_, _ = h.Write([]byte(gateway + " " + replica))
	return h.Sum64()
}
