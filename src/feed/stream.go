package feed

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// newsJoin is how long news waits for more before it leaves: replicas call and are
// ordered in clumps, and each message costs a wake-up on either side.
const newsJoin = 15 * time.Millisecond

func (p *Publisher) watch(_ context.Context, peer *rpc.Peer, request wire.FeedRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	if request.Gateway {
		go p.relay.stream(peer)
		return wire.Empty{}, nil
	}
	go p.stream(peer)
	return wire.Empty{}, nil
}

// stream tells another control node what is new until it is gone.
func (p *Publisher) stream(peer *rpc.Peer) {
	ticker := time.NewTicker(signEvery)
	defer ticker.Stop()
	stream := feedStream{publisher: p, first: true}
	for {
		committed := p.cluster.Changed()
		update, changed := stream.next()
		if err := peer.Notify(wire.MethodFeed, update); err != nil {
			return
		}
		select {
		case <-changed:
		case <-committed:
		case <-ticker.C:
			continue
		case <-peer.Done():
			return
		}
		time.Sleep(newsJoin)
	}
}

// holdingsDelta makes the differences between holdings. Most subscribers were told the
// same before, so the latest difference is kept.
type holdingsDelta struct {
	delta *wire.Holdings
}

// since returns holdings for a subscriber that was told some before: what changed, if
// they are of the same term.
func (d *holdingsDelta) since(told, now *wire.Holdings) *wire.Holdings {
	if told == nil || now == nil || told.Term != now.Term {
		return now
	}
	if d.delta == nil || d.delta.Base != told.Version || d.delta.Version != now.Version || d.delta.Term != told.Term {
		d.delta = now.Since(told)
	}
	return d.delta
}

// feedStream is what one control node was told already.
type feedStream struct {
	publisher *Publisher
	first     bool
	stamp     uint64
	holdings  *wire.Holdings
	members   []string
	drains    *wire.ZoneDrains
	deltas    holdingsDelta
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
		update.Members = asMembers(members)
	}
	if drains := p.cluster.Drains(); drains != s.drains {
		s.drains = drains
		update.Drains = drains
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

func asMembers(addresses []string) []wire.Member {
	members := make([]wire.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, wire.Member{Address: address})
	}
	return members
}
