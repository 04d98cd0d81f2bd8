package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// maxForwardedPerGateway is how many requests this gateway has under way at one other gateway. Gateways
// are small hosts, and each serves its own clients too.
const maxForwardedPerGateway = 64

// otherGateways holds the gateways to which requests can be forwarded. It is safe for concurrent use.
type otherGateways struct {
	self string
	zone string
	dial dialFunc

	mu     sync.Mutex
	byName map[string]*otherGateway
}

// otherGateway is one of them. Its peer counts the requests under way there and its failures.
type otherGateway struct {
	peer        *Peer
	zone        string
	unreachable []string
	// down is set once it could not be connected to, until a probe is accepted. Requests do not pay
	// for the discovery that it is back.
	down *atomic.Bool
}

func newOtherGateways(self, zone string, dial dialFunc) *otherGateways {
	return &otherGateways{self: self, zone: zone, dial: dial, byName: map[string]*otherGateway{}}
}

// set replaces the gateways by those that control nodes list.
func (g *otherGateways) set(listed []wire.GatewayPeer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*otherGateway, len(listed))
	for _, l := range listed {
		if l.Node == g.self {
			continue
		}
		other := g.byName[l.Node]
		if other == nil || other.peer.pool.address != l.Address {
			other = &otherGateway{peer: newPeer(registry.Record{ID: l.Node, Address: l.Address, Zone: l.Zone}, g.dial), down: &atomic.Bool{}}
		}
		next[l.Node] = &otherGateway{peer: other.peer, zone: l.Zone, unreachable: l.Unreachable, down: other.down}
	}
	g.byName = next
}

// pick returns a gateway that reaches a service and was not tried: one of the own availability zone if
// there is any, of two drawn by lot the one with fewer of this gateway's requests. It returns nil if
// there is none.
func (g *otherGateways) pick(now time.Time, service string, tried []*Peer, allowed func(zone string) bool) *Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own, others []*Peer
	for _, other := range g.byName {
		switch {
		case other.down.Load(), slices.Contains(other.unreachable, service), wasTried(tried, other.peer), !allowed(other.zone), !other.peer.takesForwarded(now):
		case other.zone == g.zone:
			own = append(own, other.peer)
		default:
			others = append(others, other.peer)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return nil
	}
	first, second := own[rand.IntN(len(own))], own[rand.IntN(len(own))]
	if second.underWay() < first.underWay() {
		return second
	}
	return first
}

// markDown avoids a gateway that could not be connected to.
func (g *otherGateways) markDown(peer *Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other := g.byName[peer.ID()]; other != nil {
		other.down.Store(true)
	}
}

// probe dials one of the gateways that could not be connected to.
func (g *otherGateways) probe(ctx context.Context) {
	g.mu.Lock()
	var down []*otherGateway
	for _, other := range g.byName {
		if other.down.Load() {
			down = append(down, other)
		}
	}
	g.mu.Unlock()
	if len(down) == 0 {
		return
	}
	other := down[rand.IntN(len(down))]
	if conn, err := other.peer.pool.connect(ctx, dialAttempt); err == nil {
		_ = conn.Close()
		other.down.Store(false)
	}
}

// takesForwarded reports whether a gateway has not failed lately and has few enough of this gateway's
// requests.
func (p *Peer) takesForwarded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.ejected) && p.running < maxForwardedPerGateway
}

// underWay returns the number of this gateway's requests in progress at a peer.
func (p *Peer) underWay() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}
