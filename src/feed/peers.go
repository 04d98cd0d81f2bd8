package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// maxPeersPerZone is how many gateways of each availability zone are listed for forwarding, so that the
// cost of a list does not grow with the number of gateways.
const maxPeersPerZone = 8

// handleGateway handles a gateway's changed state for other gateways.
func (p *Publisher) handleGateway(_ context.Context, peer *rpc.Peer, state wire.GatewayPeer) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	p.relay.setGateway(peer, state)
	return wire.Empty{}, nil
}

// setGateway sets the state of a gateway that follows this node, unless a later one is known.
func (r *Relay) setGateway(peer *rpc.Peer, state wire.GatewayPeer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.subscribers[peer]
	if s == nil || s.peer != nil && s.peer.Change > state.Change {
		return
	}
	s.peer = &state
	r.listFollowers()
}

// listFollowers lists the gateways that follow this node and accept forwarded requests. The caller
// holds the lock.
func (r *Relay) listFollowers() {
	var peers []wire.GatewayPeer
	for _, s := range r.subscribers {
		if s.peer != nil {
			peers = append(peers, *s.peer)
		}
	}
	r.listed = &wire.GatewayList{Gateways: selectPeers(r.node, peers)}
}

// followers returns the gateways that follow this node and accept forwarded requests.
func (r *Relay) followers() *wire.GatewayList {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// applyPeers sets the gateways that a source lists, and passes on the merged list if it has changed.
// The caller holds the lock.
func (f *Follower) applyPeers(now time.Time, s *source, update wire.FeedUpdate) {
	if update.Peers == nil {
		return
	}
	s.peers = update.Peers
	var all []wire.GatewayPeer
	for _, other := range f.sources {
		if other.peers != nil && (other.live || now.Sub(other.lostAt) < lostGatewayRetention) {
			all = append(all, other.peers.Gateways...)
		}
	}
	merged := selectPeers(f.options.Node, all)
	if f.peers != nil && slices.EqualFunc(f.peers.Gateways, merged, equalPeers) {
		return
	}
	f.peers = &wire.GatewayList{Gateways: merged}
	f.notifyChanged()
	if f.sink.Peers != nil {
		f.sink.Peers(merged)
	}
}

// selectPeers returns up to maxPeersPerZone gateways of each availability zone, sorted by name, each with its
// newest state. Those that reach all services come first; each node prefers others, so that gateways
// of different control nodes forward to different ones.
func selectPeers(node string, all []wire.GatewayPeer) []wire.GatewayPeer {
	newest := map[string]wire.GatewayPeer{}
	for _, peer := range all {
		if known, found := newest[peer.Node]; !found || known.Change < peer.Change {
			newest[peer.Node] = peer
		}
	}
	byZone := map[string][]wire.GatewayPeer{}
	for _, peer := range newest {
		if !peer.Leaving {
			byZone[peer.Zone] = append(byZone[peer.Zone], peer)
		}
	}
	var selected []wire.GatewayPeer
	for _, peers := range byZone {
		slices.SortFunc(peers, func(a, b wire.GatewayPeer) int {
			return cmp.Or(cmp.Compare(len(a.Unreachable), len(b.Unreachable)), cmp.Compare(rankFor(node, a.Node), rankFor(node, b.Node)))
		})
		selected = append(selected, peers[:min(len(peers), maxPeersPerZone)]...)
	}
	slices.SortFunc(selected, func(a, b wire.GatewayPeer) int { return cmp.Compare(a.Node, b.Node) })
	return selected
}

func equalPeers(a, b wire.GatewayPeer) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Address == b.Address && a.Change == b.Change && slices.Equal(a.Unreachable, b.Unreachable)
}
