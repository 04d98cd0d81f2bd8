package exchange

import (
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// maxColdTime limits how long a replica counts as cold after it said so.
	maxColdTime = 10 * time.Minute
	// coldAfterDrain is how long the replicas of a zone count as cold after its drain has ended, so
	// that the zone does not receive a burst. They may have become cold shortly before, which they
	// report with their next heartbeat; two heartbeats arrive in this time.
	coldAfterDrain = 3 * time.Second
)

// setColdRates sets the request rates of cold replicas for the services that limit them.
func (f *Fleet) setColdRates(table *catalog.Table) {
	coldRates := map[string]float64{}
	for i := range table.Document().Services {
		if service := &table.Document().Services[i]; service.ColdRate > 0 {
			coldRates[service.Name] = service.ColdRate
		}
	}
	f.coldRates.Store(&coldRates)
}

// coldReply is for how long a replica was cold by a response.
type coldReply struct {
	until time.Time
	// brokenConns is the number of broken connections as it came.
	brokenConns int64
}

// noteColdReply records a response that says for how long its replica is cold.
func (p *Peer) noteColdReply(now time.Time, remaining time.Duration) {
	p.markCold(now, remaining)
	breaks, _ := p.pool.checkIdle()
	p.coldReply.Store(&coldReply{until: now.Add(min(remaining, maxColdTime)), brokenConns: int64(breaks)})
}

// markCold marks a replica as cold for the remaining time, on the clock that counts while the host
// is suspended. It never shortens the time, since reports of one replica arrive over several paths.
func (p *Peer) markCold(now time.Time, remaining time.Duration) {
	until := now.Add(min(remaining, maxColdTime)).UnixNano()
	for {
		known := p.coldUntil.Load()
		if until <= known || p.coldUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// isCold reports whether a replica is cold and its service has a cold rate.
func (f *Fleet) isCold(peer *Peer) bool {
	until := peer.coldUntil.Load()
	if until == 0 || f.bootNow().UnixNano() >= until {
		return false
	}
	return f.coldRate(peer.service) > 0
}

// coldRate returns the number of requests per second that a cold replica of a service can take, 0
// if that is not limited.
func (f *Fleet) coldRate(service string) float64 {
	coldRates := f.coldRates.Load()
	if coldRates == nil {
		return 0
	}
	return (*coldRates)[service]
}

// ColdReplicas returns the number of cold replicas that need permits.
func (f *Fleet) ColdReplicas() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, peer := range f.peers {
		if f.isCold(peer) {
			count++
		}
	}
	return count
}

// markReopenedCold marks the replicas of zones whose drain has ended as cold for a while.
func (f *Fleet) markReopenedCold(before, after *wire.ZoneDrains) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if zone := peer.zone(); before.Drained(zone) && !after.Drained(zone) {
			peer.markCold(f.bootNow(), coldAfterDrain)
		}
	}
}
