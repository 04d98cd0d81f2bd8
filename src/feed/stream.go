package feed

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// batchDelay is how long changes are collected before they are sent: heartbeats and orders come in
// bursts, and each message costs a wake-up on both sides.
const batchDelay = 15 * time.Millisecond

// handleWatch starts a stream to the calling gateway or control node.
func (p *Publisher) handleWatch(_ context.Context, peer *rpc.Peer, request wire.FeedRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	if request.Gateway {
		go p.relay.stream(peer, request.Peer)
		return wire.Empty{}, nil
	}
	go p.stream(peer)
	return wire.Empty{}, nil
}

// stream sends updates to another control node until it disconnects.
func (p *Publisher) stream(peer *rpc.Peer) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	stream := feedStream{publisher: p, first: true}
	for {
		configChanged := p.cluster.Changed()
		update, changed := stream.next()
		if err := peer.Notify(wire.MethodFeed, update); err != nil {
			return
		}
		select {
		case <-changed:
		case <-configChanged:
		case <-ticker.C:
			continue
		case <-peer.Done():
			return
		}
		time.Sleep(batchDelay)
	}
}

// deltaCache computes deltas between holdings. It keeps the latest one, since most subscribers were
// sent the same holdings before.
type deltaCache struct {
	delta *wire.Holdings
}

// since returns the update for a subscriber that was sent some holdings before: a delta if both are
// of the same term, else the complete holdings.
func (d *deltaCache) since(sent, now *wire.Holdings) *wire.Holdings {
	if sent == nil || now == nil || sent.Term != now.Term {
		return now
	}
	if d.delta == nil || d.delta.Base != sent.Version || d.delta.Version != now.Version || d.delta.Term != sent.Term {
		d.delta = now.Since(sent)
	}
	return d.delta
}

// feedStream tracks what one control node was already sent.
type feedStream struct {
	publisher *Publisher
	first     bool
	stamp     uint64
	holdings  *wire.Holdings
	members   []string
	drains    *wire.ZoneDrains
	peers     *wire.GatewayList
	deltas    deltaCache
}

// next returns what the subscriber was not sent yet, and a channel that is closed at the next
// change.
func (s *feedStream) next() (wire.FeedUpdate, <-chan struct{}) {
	p := s.publisher
	update := wire.FeedUpdate{Version: p.cluster.Version(), Leading: p.cluster.Leading()}
	if s.first {
		update.Node, update.Zone = p.node, p.zone
	}
	if members := p.cluster.Members(); s.first || !slices.Equal(members, s.members) {
		s.members = members
		update.Members = toMembers(members)
	}
	if drains := p.cluster.Drains(); drains != s.drains {
		s.drains = drains
		update.Drains = drains
	}
	if peers := p.relay.followers(); peers != s.peers {
		s.peers = peers
		update.Peers = peers
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	update.Full = s.first
	update.Standings = p.table.Since(s.stamp)
	update.Gateways = p.relay.Gateways()
	if s.holdings != p.holdings {
		update.Holdings = s.deltas.since(s.holdings, p.holdings)
	}
	s.first = false
	s.stamp = p.table.Stamp()
	s.holdings = p.holdings
	return update, p.changed
}

func toMembers(addresses []string) []wire.Member {
	members := make([]wire.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, wire.Member{Address: address})
	}
	return members
}
