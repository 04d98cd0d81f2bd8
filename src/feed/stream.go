package feed

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

func (p *Publisher) watch(_ context.Context, peer *rpc.Peer, request wire.FeedRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	go p.stream(peer, request)
	return wire.Empty{}, nil
}

func (p *Publisher) stream(peer *rpc.Peer, request wire.FeedRequest) {
	if request.Gateway {
		p.count(request.Node, 1)
		defer p.count(request.Node, -1)
	}
	ticker := time.NewTicker(signEvery)
	defer ticker.Stop()
	stream := feedStream{publisher: p, first: true}
	for {
		committed := p.cluster.Changed()
		update, changed := stream.next()
		if err := peer.Notify(context.Background(), wire.MethodFeed, update); err != nil {
			return
		}
		select {
		case <-changed:
		case <-committed:
		case <-ticker.C:
		case <-peer.Done():
			return
		}
	}
}

func (p *Publisher) count(node string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[node] += by
	if p.gateways[node] <= 0 {
		delete(p.gateways, node)
	}
}

// holdingsSince returns the holdings for a subscriber that was told some before:
// what changed, if they are of the same term. Most subscribers were told the same,
// so the latest difference is kept. The lock is held.
func (p *Publisher) holdingsSince(told *wire.Holdings) *wire.Holdings {
	if told == nil || p.holdings == nil || told.Term != p.holdings.Term {
		return p.holdings
	}
	if p.delta == nil || p.delta.Base != told.Version || p.delta.Version != p.holdings.Version || p.delta.Term != told.Term {
		p.delta = p.holdings.Since(told)
	}
	return p.delta
}

// feedStream is what one subscriber was told already.
type feedStream struct {
	publisher *Publisher
	first     bool
	stamp     uint64
	holdings  *wire.Holdings
	members   []string
}

// next returns what the subscriber does not know yet, and a channel that is
// closed when there is more.
func (s *feedStream) next() (wire.FeedUpdate, <-chan struct{}) {
	p := s.publisher
	update := wire.FeedUpdate{Version: p.cluster.Version(), Leading: p.cluster.Leading()}
	if s.first {
		update.Node, update.Zone = p.node, p.zone
	}
	if members := p.cluster.Members(); s.first || !slices.Equal(members, s.members) {
		s.members = members
		update.Members = members
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	update.Full = s.first
	update.Standings = p.table.Since(s.stamp)
	update.Gateways = len(p.gateways)
	if s.holdings != p.holdings {
		update.Holdings = p.holdingsSince(s.holdings)
	}
	s.first = false
	s.stamp = p.table.Stamp()
	s.holdings = p.holdings
	return update, p.changed
}
