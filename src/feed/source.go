package feed

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of one source.
const (
	// lostGatewayRetention is how long the gateways of a lost control node are still counted. They
	// connect to another one soon, and a retry budget must not be divided among too few in the
	// meantime.
	lostGatewayRetention = 10 * time.Second
	// gatewayStreamSilenceLimit is streamSilenceLimit for a gateway, which follows another control
	// node long before.
	gatewayStreamSilenceLimit = 1500 * time.Millisecond
)

// source is a control node that can be followed.
type source struct {
	address string
	client  *rpc.Client
	// zone is "" until it is known.
	zone string
	// rank orders the sources of one zone, differently for each follower.
	rank uint64
	// stop ends the subscription, which began at startedAt; it is nil while there is none.
	stop      context.CancelFunc
	startedAt time.Time
	// failed is set while the last attempt to subscribe has failed.
	failed   bool
	version  uint64
	live     bool
	leading  bool
	detached bool
	// uncertain is set while the node can't confirm that its configuration is the newest;
	// confirmedAt is when it last could, the zero time if unknown.
	uncertain   bool
	confirmedAt time.Time
	// gateways is the number of gateways that follow the node, as it reports.
	gateways int
	heardAt  time.Time
	lostAt   time.Time
	// fetchFailedAt is when the node last failed to deliver a configuration.
	fetchFailedAt time.Time
	// holdings are the complete holdings that it last reported.
	holdings *wire.Holdings
	// peers are the gateways that it last listed.
	peers *wire.GatewayList
}

// healthy reports whether a gateway needs no other control node in addition to this one.
func (s *source) healthy(now time.Time) bool { return s.attached(now) && !s.uncertain }

// attached reports whether the source is connected, not silent, and reaches a majority.
func (s *source) attached(now time.Time) bool {
	return s.live && !s.detached && now.Sub(s.heardAt) < unhealthyAfter
}

// addSources adds control nodes that can be followed. The caller holds the lock.
func (f *Follower) addSources(members []wire.Member) {
	for _, member := range members {
		s := f.sources[member.Address]
		if s == nil {
			s = &source{address: member.Address, rank: rankFor(f.options.Node, member.Address)}
			s.client = f.newClient(s)
			f.sources[member.Address] = s
		}
		if s.zone == "" {
			s.zone = member.Zone
		}
	}
}

// rankFor hashes a process and one that it may choose, which spreads the gateways of a zone over its
// control nodes and over the gateways that requests are forwarded to.
func rankFor(node, chosen string) uint64 {
	h := fnv.New64a()
	// Write never fails for a hash.
	_, _ = h.Write([]byte(node + " " + chosen))
	return h.Sum64()
}

func (f *Follower) newClient(s *source) *rpc.Client {
	mux := rpc.NewMux()
	mux.Handle(wire.MethodFeed, func(_ context.Context, _ *rpc.Peer, raw json.RawMessage) (any, error) {
		var update wire.FeedUpdate
		if err := json.Unmarshal(raw, &update); err != nil {
			return nil, err
		}
		f.handleUpdate(s, update)
		return wire.Empty{}, nil
	})
	mux.Handle(wire.MethodLoadTotals, rpc.Typed(f.handleLoads))
	mux.Handle(wire.MethodBacklogs, rpc.Typed(f.handleBacklogs))
	mux.Handle(wire.MethodLimits, rpc.Typed(f.handleLimits))
	silence := streamSilenceLimit
	if f.options.Gateway {
		silence = gatewayStreamSilenceLimit
	}
	client := rpc.NewClient(s.address, mux, f.meter, f.cut, silence)
	client.SetUrgent(f.disconnected)
	return client
}

// startFollowing subscribes to a source unless it is followed already. The caller holds the lock.
func (f *Follower) startFollowing(now time.Time, s *source) {
	if s.stop != nil {
		return
	}
	s.startedAt = now
	s.failed = false
	ctx, cancel := context.WithCancel(f.context)
	s.stop = cancel
	go f.keepStream(ctx, s)
}

// stopFollowing ends the subscription to a source. The caller holds the lock.
func (f *Follower) stopFollowing(s *source) {
	if s.stop == nil {
		return
	}
	s.stop()
	s.stop = nil
	s.client.Disconnect()
	if s.live {
		f.markLost(s)
	}
}

// keepStream keeps a stream from one control node open until the context ends.
func (f *Follower) keepStream(ctx context.Context, s *source) {
	for failures := 0; ctx.Err() == nil; failures++ {
		request := f.request()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.client.Call(call, wire.MethodWatchFeed, request, nil)
		cancel()
		f.recordAttempt(s, err)
		if err == nil {
			failures = 0
			select {
			case <-s.client.Done():
			case <-ctx.Done():
				return
			}
			f.handleStreamEnd(s)
		}
		select {
		case <-time.After(f.resubscribeDelay(failures)):
		case <-ctx.Done():
			return
		}
	}
}

// request returns the request that subscribes to a source.
func (f *Follower) request() wire.FeedRequest {
	request := wire.FeedRequest{Node: f.options.Node, Zone: f.options.Zone, Gateway: f.options.Gateway}
	if f.options.Peer != nil {
		peer := f.options.Peer()
		request.Peer = &peer
	}
	return request
}

// recordAttempt records the result of an attempt to subscribe; after a change another source may
// have to be followed.
func (f *Follower) recordAttempt(s *source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := err != nil
	if failed != s.failed {
		s.failed = failed
		f.updateFollowed(f.now())
		f.check.Raise()
	}
}

// resubscribeDelay returns the delay before a stream is reopened after a number of consecutive
// failures.
func (f *Follower) resubscribeDelay(failures int) time.Duration {
	if f.disconnected() {
		return disconnectedResubscribeDelay
	}
	return min(minResubscribeDelay<<min(failures, 8), maxResubscribeDelay)
}

// gateways returns the number of gateways. To a gateway each source reports the number of all of
// them; to a control node each reports its own, and they are added up. The caller holds the lock.
func (f *Follower) gateways(now time.Time) int {
	most, sum := 0, 0
	for _, s := range f.sources {
		if s.live {
			most = max(most, s.gateways)
		}
		if s.live || now.Sub(s.lostAt) < lostGatewayRetention {
			sum += s.gateways
		}
	}
	if f.options.Gateway {
		return most
	}
	return sum
}
