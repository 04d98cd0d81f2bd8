package exchange

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/warmup"
	"github.com/moorspool/moorspool/src/wire"
)

// Warmup issues the permits without which nothing is sent to a cold replica of a service that
// bounds what one bears.
type Warmup struct {
	// Ask waits for a permit; nil if nobody issues any, and then nothing is sent to a cold one.
	Ask func(ctx context.Context, request wire.WarmupRequest) (wire.WarmupReply, error)
}

const (
	// coldCost is what the ask for a permit adds to a choice, in milliseconds: a round trip to the
	// leader.
	coldCost = 5.0
	// permitTimeout bounds an ask: a permit that comes later would be of little use.
	permitTimeout = warmup.Life / 2
	// permitShare is the part of its target that a request waits for a permit. The wait is told
	// beforehand, so that no request waits in vain.
	permitShare = 0.5
	// permitLost is how long a cold replica is left alone after an ask without an answer.
	permitLost = 200 * time.Millisecond
	// maxPermitAsks is for how many cold replicas a request asks before it looks at warm ones only.
	maxPermitAsks = 2
	// longestCold bounds for how long a replica's word that it is cold is kept.
	longestCold = 10 * time.Minute
	// refillTime is how long the replicas of a zone whose drain has ended count as cold: they may
	// have become so shortly before, and tell it with their next heartbeat, two of which come in
	// this time. The zone fills without a burst.
	refillTime = 3 * time.Second
)

// coldPermit lets one request go to a cold replica.
type coldPermit struct {
	peer  *Peer
	until time.Time
}

// covers reports whether a request may be sent with it now.
func (p *coldPermit) covers(now time.Time, peer *Peer) bool {
	return p.peer == peer && now.Before(p.until)
}

// boundCold takes in which services bound the requests that a cold replica gets.
func (f *Fleet) boundCold(table *catalog.Table) {
	bounded := map[string]bool{}
	for i := range table.Document().Services {
		if service := &table.Document().Services[i]; service.ColdRate > 0 {
			bounded[service.Name] = true
		}
	}
	f.bounded.Store(&bounded)
}

// chill takes in that a replica is cold for a while, by the clock that counts suspensions. A time
// that was told is never shortened: the words of one replica come on several ways.
func (p *Peer) chill(now time.Time, left time.Duration) {
	until := now.Add(min(left, longestCold)).UnixNano()
	for {
		known := p.coldUntil.Load()
		if until <= known || p.coldUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// cold reports whether a replica must not be sent a request without a permit.
func (f *Fleet) cold(peer *Peer) bool {
	until := peer.coldUntil.Load()
	if until == 0 || f.bootNow().UnixNano() >= until {
		return false
	}
	bounded := f.bounded.Load()
	return bounded != nil && (*bounded)[peer.service]
}

// permitIn returns how long a request for a cold replica has to wait at the least for a permit, as far
// as is known.
func (f *Fleet) permitIn(peer *Peer) time.Duration {
	return max(time.Duration(peer.permitFrom.Load()-f.bootNow().UnixNano()), 0)
}

// Cold returns how many replicas get requests with permits only.
func (f *Fleet) Cold() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, peer := range f.peers {
		if f.cold(peer) {
			count++
		}
	}
	return count
}

// refill lets the replicas of zones whose drain has ended count as cold for a while.
func (f *Fleet) refill(before, after *wire.ZoneDrains) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if zone := peer.zone(); before.Drained(zone) && !after.Drained(zone) {
			peer.chill(f.bootNow(), refillTime)
		}
	}
}

// permitWithin is how long the request can wait for a permit, below 0 if it is to ask for none.
func (c *call) permitWithin(now time.Time) time.Duration {
	if c.permitAsks >= maxPermitAsks {
		return -1
	}
	by := c.began.Add(time.Duration(float64(c.route.Target) * permitShare))
	return max(min(by.Sub(now), warmup.Ahead), 0)
}

// permitted reports whether the request may go to a chosen replica: a cold one needs a permit, which
// is asked for and whose time is waited for.
func (c *call) permitted(ctx context.Context, peer *Peer, within time.Duration) bool {
	fleet := c.handler.options.Fleet
	if !fleet.cold(peer) || c.cold.covers(fleet.bootNow(), peer) {
		return true
	}
	c.permitAsks++
	asked := fleet.bootNow()
	reply, known := c.askPermit(ctx, peer, within)
	if !known {
		peer.permitFrom.Store(fleet.bootNow().Add(permitLost).UnixNano())
		return false
	}
	wait := time.Duration(reply.WaitUS) * time.Microsecond
	if !reply.Granted {
		peer.permitFrom.Store(fleet.bootNow().Add(wait).UnixNano())
		return false
	}
	if !sleep(ctx, wait) {
		return false
	}
	// By the time of the asking: the answer may have been on its way for long.
	c.cold = coldPermit{peer: peer, until: asked.Add(wait + warmup.Life)}
	return c.cold.covers(fleet.bootNow(), peer)
}

// askPermit asks for a permit; known is false if nobody answered who may issue one.
func (c *call) askPermit(ctx context.Context, peer *Peer, within time.Duration) (reply wire.WarmupReply, known bool) {
	h := c.handler
	if h.options.Warmup.Ask == nil {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := h.options.Warmup.Ask(ctx, wire.WarmupRequest{Service: peer.service, Replica: peer.ID(), WithinMS: within.Milliseconds()})
	if err != nil || !reply.Known {
		h.options.Metrics.PermitsLost.Inc(1)
		return reply, false
	}
	return reply, true
}

// admitsCold reports whether a request that is sent now may go to a replica, and uses its permit up
// if the replica is cold.
func (c *call) admitsCold(peer *Peer) bool {
	fleet := c.handler.options.Fleet
	if !fleet.cold(peer) {
		return true
	}
	covered := c.cold.covers(fleet.bootNow(), peer)
	c.cold = coldPermit{}
	return covered
}
