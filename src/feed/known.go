package feed

import (
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// Known is what a follower knows, but for the replicas themselves.
type Known struct {
	// Stamp is that of the newest change of a replica.
	Stamp    uint64
	Holdings *wire.Holdings
	// Drains are the newest that any control node told of, nil if none did.
	Drains *wire.ZoneDrains
	// Version is the newest configuration that any control node in reach has applied.
	Version uint64
	// Confirmed is when the newest of these was last known to be the newest accepted, as its
	// source says; the zero time if none says it.
	Confirmed time.Time
	// Reach is the number of control nodes in reach.
	Reach int
	// Gateways is the number of gateways that follow any control node.
	Gateways int
	// Zones are the control nodes' availability zones, as far as they are known.
	Zones map[string]string
}

// members returns control nodes with what is known of their availability zones.
func (k *Known) members(addresses []string) []wire.Member {
	members := make([]wire.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, wire.Member{Address: address, Zone: k.Zones[address]})
	}
	return members
}

// Known returns what the follower knows now.
func (f *Follower) Known() Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := Known{Stamp: f.directory.Stamp(), Holdings: f.holdings, Drains: f.drains, Reach: f.live(), Gateways: f.gateways(f.now()), Zones: map[string]string{}}
	for _, s := range f.sources {
		if s.live {
			known.take(s)
		}
		if s.zone != "" {
			known.Zones[s.address] = s.zone
		}
	}
	return known
}

// take takes in the version of a source in reach and how certain it is.
func (k *Known) take(s *source) {
	switch {
	case s.version > k.Version:
		k.Version, k.Confirmed = s.version, s.confirmedAt
	case s.version == k.Version:
		k.Confirmed = later(k.Confirmed, s.confirmedAt)
	}
}

// Gateways returns the number of gateways that follow any control node.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways(f.now())
}

// Standings returns the replicas that have changed since a stamp.
func (f *Follower) Standings(since uint64) []registry.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Since(since)
}

// Changed returns a channel that is closed when something is known that was not before.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
