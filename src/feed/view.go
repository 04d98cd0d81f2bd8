package feed

import (
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// View is a follower's merged view of the control nodes, without the replicas themselves.
type View struct {
	// Stamp is that of the newest change of a replica.
	Stamp    uint64
	Holdings *wire.Holdings
	// Drains is the newest state of drained zones that any control node reported, nil if none did.
	Drains *wire.ZoneDrains
	// Version is the newest configuration that any connected control node has applied.
	Version uint64
	// Confirmed is when Version was last known to be the newest accepted configuration, as reported
	// by the sources that have it; the zero time if none reports it.
	Confirmed time.Time
	// ConnectedNodes is the number of connected control nodes.
	ConnectedNodes int
	// Gateways is the number of gateways that follow any control node.
	Gateways int
	// Peers lists gateways that requests can be forwarded to, nil if none are known.
	Peers *wire.GatewayList
	// Zones are the known availability zones of control nodes, by address.
	Zones map[string]string
}

// members returns the control nodes at the addresses, with their availability zones where known.
func (k *View) members(addresses []string) []wire.Member {
	members := make([]wire.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, wire.Member{Address: address, Zone: k.Zones[address]})
	}
	return members
}

// View returns the current merged view.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := View{Stamp: f.directory.Stamp(), Holdings: f.holdings, Drains: f.drains, ConnectedNodes: f.live(), Gateways: f.gateways(f.now()), Peers: f.peers, Zones: map[string]string{}}
	for _, s := range f.sources {
		if s.live {
			known.mergeVersion(s)
		}
		if s.zone != "" {
			known.Zones[s.address] = s.zone
		}
	}
	return known
}

// mergeVersion merges the version of a connected source and the time of its confirmation.
func (k *View) mergeVersion(s *source) {
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

// Starts returns the records of all starts of a replica that any node knows.
func (f *Follower) Starts(name string) []registry.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Starts(name)
}

// Standings returns the replicas that changed after a stamp.
func (f *Follower) Standings(since uint64) []registry.ReplicaStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Since(since)
}

// Changed returns a channel that is closed at the next change of the merged view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
