package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The sharing of the origins of streams.
const (
	// originBatchDelay is how long a gateway collects origins. A client needs longer to come back.
	originBatchDelay = 2 * time.Millisecond
	// originAskTimeout bounds the question of a control node to the others.
	originAskTimeout = 80 * time.Millisecond
	// maxGatewayOrigins and maxControlOrigins bound a generation of the records of a gateway and of a
	// control node; there are two.
	maxGatewayOrigins = 1 << 13
	maxControlOrigins = 1 << 16
	// maxOriginSearches is how many origins a gateway asks for at a time. Clients that name attempts at
	// random must not keep the control nodes busy.
	maxOriginSearches = 64
)

// gaugeStreamOrigins is the number of records of a process.
const gaugeStreamOrigins = "stream_origins"

// originAskDelays are the pauses before a control node that has no record is asked again: a client may be
// back before the record of its stream has arrived.
var originAskDelays = []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}

// streamOrigins holds the origins of this gateway's streams, and those that control nodes are to be
// told. It is safe for concurrent use.
type streamOrigins struct {
	table *resume.Table

	mu      sync.Mutex
	pending map[resume.Origin][]resume.Key
	added   wakeup.Flag

	searches atomic.Int64
}

func newStreamOrigins(limit int) *streamOrigins {
	return &streamOrigins{table: resume.NewTable(limit), pending: map[resume.Origin][]resume.Key{}, added: wakeup.New()}
}

// put records an origin.
func (s *streamOrigins) put(now time.Time, key resume.Key, origin resume.Origin) {
	s.table.Put(now, key, origin)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[origin] = append(s.pending[origin], key)
	s.added.Raise()
}

// takePending returns the origins that were recorded since the last call.
func (s *streamOrigins) takePending() wire.StreamOrigins {
	s.mu.Lock()
	defer s.mu.Unlock()
	var told wire.StreamOrigins
	for origin, keys := range s.pending {
		told.Groups = append(told.Groups, wire.StreamOriginGroup{Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, Keys: keys})
	}
	clear(s.pending)
	return told
}

// search asks for an origin until it is known, up to len(originAskDelays) times more. It asks for none if too
// many searches are under way.
func (s *streamOrigins) search(ctx context.Context, ask func() (resume.Finding, bool)) (resume.Finding, bool) {
	defer s.searches.Add(-1)
	if s.searches.Add(1) > maxOriginSearches {
		return resume.Finding{}, false
	}
	finding, known := ask()
	for _, delay := range originAskDelays {
		if known || !admission.Sleep(ctx, delay) {
			break
		}
		finding, known = ask()
	}
	return finding, known
}

// storeOrigin records the origin of a stream here and, soon, at two control nodes.
func (g *gateway) storeOrigin(key resume.Key, origin resume.Origin) {
	g.origins.put(clock.Now(), key, origin)
}

// withdrawOrigin makes the origin of a stream unknown here and at the control nodes that can be reached,
// which pass that on. It waits for their answers.
func (g *gateway) withdrawOrigin(ctx context.Context, key resume.Key) {
	g.origins.table.Put(clock.Now(), key, resume.Origin{})
	feed.CallEach(ctx, g.follower, wire.MethodStreamOrigins, withdrawal(key))
}

// withdrawal returns the message that withdraws records.
func withdrawal(keys ...resume.Key) wire.StreamOrigins {
	return wire.StreamOrigins{Groups: []wire.StreamOriginGroup{{Keys: keys}}}
}

// sendOrigins tells control nodes the origins of streams. What is lost on the way is known here only.
func (g *gateway) sendOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.origins.added.Raised():
		}
		time.Sleep(originBatchDelay)
		g.follower.NotifyTwo(ctx, wire.MethodStreamOrigins, g.origins.takePending())
	}
}

// findOrigin returns the record of a stream that this gateway or another one began.
func (g *gateway) findOrigin(ctx context.Context, key resume.Key) (resume.Finding, bool) {
	if g.origins.table.Withdrawn(clock.Now(), key) {
		return resume.Finding{Evidence: resume.OwnRecord}, true
	}
	if origin, age, known := g.origins.table.Get(clock.Now(), key); known {
		return resume.Finding{Origin: origin, Evidence: resume.OwnRecord, Age: age}, true
	}
	return g.origins.search(ctx, func() (resume.Finding, bool) { return g.askForOrigin(ctx, key) })
}

// askForOrigin asks the control nodes for the record of a stream.
func (g *gateway) askForOrigin(ctx context.Context, key resume.Key) (resume.Finding, bool) {
	reply, err := feed.CallHedged[wire.StreamOriginReply](ctx, g.follower, wire.MethodStreamOrigin, wire.StreamOriginRequest{Key: key})
	if err != nil || !recorded(&reply) {
		return resume.Finding{}, false
	}
	return resume.Finding{
		Origin:   resume.Origin{Service: reply.Service, SoftwareVersion: reply.SoftwareVersion},
		Evidence: resume.SharedRecord,
		Age:      time.Duration(reply.AgeMS) * time.Millisecond,
	}, true
}

// registerOrigins registers the methods for the origins of streams.
func (c *controlNode) registerOrigins() {
	c.origins = resume.NewTable(maxControlOrigins)
	c.proc.Mux().Handle(wire.MethodStreamOrigins, rpc.Typed(c.handleOrigins))
	c.proc.Mux().Handle(wire.MethodStreamOrigin, rpc.Typed(c.handleOrigin))
}

// handleOrigins records the origins of a gateway's streams. Withdrawals are passed on, as the node that is asked
// may have been told the origin alone.
func (c *controlNode) handleOrigins(_ context.Context, _ *rpc.Peer, told wire.StreamOrigins) (wire.Empty, error) {
	now := clock.Now()
	for _, group := range told.Groups {
		origin := resume.Origin{Service: group.Service, SoftwareVersion: group.SoftwareVersion}
		for _, key := range group.Keys {
			c.origins.Put(now, key, origin)
		}
		if !origin.Known() && !told.Forwarded {
			c.forwardWithdrawal(group.Keys)
		}
	}
	return wire.Empty{}, nil
}

// forwardWithdrawal tells the other control nodes of withdrawn records.
func (c *controlNode) forwardWithdrawal(keys []resume.Key) {
	told := withdrawal(keys...)
	told.Forwarded = true
	for _, address := range c.cluster.Peers() {
		go c.notify(context.Background(), address, wire.MethodStreamOrigins, told)
	}
}

// handleOrigin returns the origin of a stream. A node that has no record asks the others, since each
// gateway tells two of them, and a restarted one has lost what it was told.
func (c *controlNode) handleOrigin(ctx context.Context, _ *rpc.Peer, request wire.StreamOriginRequest) (wire.StreamOriginReply, error) {
	now := clock.Now()
	origin, age, _ := c.origins.Get(now, request.Key)
	reply := wire.StreamOriginReply{Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, AgeMS: age.Milliseconds(), Withdrawn: c.origins.Withdrawn(now, request.Key)}
	if recorded(&reply) || request.Forwarded {
		return reply, nil
	}
	return c.askForOrigin(ctx, request.Key), nil
}

// recorded reports whether a control node has a record of the stream.
func recorded(reply *wire.StreamOriginReply) bool { return reply.Service != "" || reply.Withdrawn }

// askForOrigin asks all other control nodes for the record of a stream and returns the first one.
func (c *controlNode) askForOrigin(ctx context.Context, key resume.Key) wire.StreamOriginReply {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	peers := c.cluster.Peers()
	replies := make(chan wire.StreamOriginReply, len(peers))
	for _, address := range peers {
		go func() {
			var reply wire.StreamOriginReply
			// A node that does not answer has no record to offer in time.
			_ = c.links.Client(address).Call(ctx, wire.MethodStreamOrigin, wire.StreamOriginRequest{Key: key, Forwarded: true}, &reply)
			replies <- reply
		}()
	}
	for range peers {
		if reply := <-replies; recorded(&reply) {
			return reply
		}
	}
	return wire.StreamOriginReply{}
}
