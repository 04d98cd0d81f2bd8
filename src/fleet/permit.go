package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// leaderPermitTimeout bounds the wait for the leader's response; the gateway waits half of a
	// permit's lifetime.
	leaderPermitTimeout = ratelimit.PermitTTL / 3
	// leaderLostAfter is how long a control node gets no response from a leader before it issues
	// permits from its own share: most elections are over by then.
	leaderLostAfter = time.Second
	// limitsBatchDelay is how long changed limits wait for further ones. Limits are sent again
	// after limitsResendDelay, to gateways that were busy with another notification, and at
	// limitsInterval while there are any.
	limitsBatchDelay  = 50 * time.Millisecond
	limitsResendDelay = 200 * time.Millisecond
	limitsInterval    = 2 * time.Second
	// maxSharedLimits bounds the limits that are sent to all gateways. Each gateway learns of
	// further ones by its first response from the replica.
	maxSharedLimits = 256
	// limitEndShared is for how long gateways are sent the end of a limit.
	limitEndShared = 10 * time.Second
)

// permits issues permits at a control node.
type permits struct {
	issuer   *ratelimit.Issuer
	fallback *ratelimit.FallbackIssuer
	// lostSince is the time of the first request without a response from a leader, in nanoseconds;
	// 0 while the leader responds.
	lostSince atomic.Int64
	// changed is raised when a limit has changed at this node, or was received without a leader.
	changed wakeup.Flag

	mu sync.Mutex
	// pending are limits that gateways received from replicas while no leader responded.
	pending map[string]ratelimit.State
}

// addPending records a limit that a gateway received from a replica and no leader knows, to be sent
// to the other gateways.
func (p *permits) addPending(request wire.PermitRequest) {
	if !request.FromResponse || !request.Limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) < maxSharedLimits {
		p.pending[request.Replica] = ratelimit.State{Limited: true, PerSecond: request.PerSecond}
		p.changed.Raise()
	}
}

// drainPending returns the limits recorded since the last call.
func (p *permits) drainPending() []ratelimit.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var limits []ratelimit.ServerLimit
	for name, state := range p.pending {
		limits = append(limits, ratelimit.ServerLimit{Server: name, State: state})
	}
	clear(p.pending)
	return limits
}

// leaderLost records a request without a response from a leader; it reports whether that has lasted
// so long that this node issues permits from its own share.
func (p *permits) leaderLost(now time.Time) bool {
	p.lostSince.CompareAndSwap(0, now.UnixNano())
	return now.UnixNano()-p.lostSince.Load() >= int64(leaderLostAfter)
}

// askPermit asks the nearest control node for a permit.
func (g *gateway) askPermit(ctx context.Context, request wire.PermitRequest) (wire.PermitReply, error) {
	return feed.CallBest[wire.PermitReply](ctx, g.follower, wire.MethodPermit, request)
}

// buildPermits creates what issues permits for cold and limited replicas, and registers its
// methods.
func (c *controlNode) buildPermits() {
	c.permits.fallback, c.permits.changed = ratelimit.NewFallbackIssuer(rand.Float64), wakeup.New()
	c.permits.pending = map[string]ratelimit.State{}
	c.permits.issuer = ratelimit.NewIssuer(func() ratelimit.Leadership {
		lead := c.cluster.Leadership()
		return ratelimit.Leadership{Self: lead.Self, Term: lead.Term, Since: lead.Since}
	}, c.limitChanged)
	mux := c.proc.Mux()
	mux.Handle(wire.MethodPermit, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.PermitRequest) (wire.PermitReply, error) {
		return c.permit(ctx, request), nil
	}))
	mux.Handle(wire.MethodPermitIssue, rpc.Typed(func(_ context.Context, _ *rpc.Peer, request wire.PermitRequest) (wire.PermitReply, error) {
		return c.issue(request), nil
	}))
	mux.Handle(wire.MethodLimits, rpc.Typed(func(_ context.Context, _ *rpc.Peer, limits wire.Limits) (wire.Empty, error) {
		c.tellLimits(limits)
		return wire.Empty{}, nil
	}))
}

// permit answers a gateway's request from the leader, or from this node's share if no leader has
// responded for a while.
func (c *controlNode) permit(ctx context.Context, request wire.PermitRequest) wire.PermitReply {
	if reply := c.issue(request); reply.Known {
		c.permits.lostSince.Store(0)
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, leaderPermitTimeout)
	defer cancel()
	var reply wire.PermitReply
	if err := c.cluster.CallLeader(ctx, wire.MethodPermitIssue, request, &reply); err == nil && reply.Known {
		c.permits.lostSince.Store(0)
		return reply
	}
	c.permits.addPending(request)
	now := clock.Now()
	if !c.permits.leaderLost(now) {
		return wire.PermitReply{}
	}
	return permitReply(c.permits.fallback.Take(now, c.permitAsk(request), ratelimit.ControlShare(len(c.cluster.Members()))))
}

// issue answers a request if this node leads.
func (c *controlNode) issue(request wire.PermitRequest) wire.PermitReply {
	return permitReply(c.permits.issuer.Take(clock.Now(), c.permitAsk(request)))
}

// permitAsk converts a request for the issuers.
func (c *controlNode) permitAsk(request wire.PermitRequest) ratelimit.Request {
	ask := ratelimit.Request{
		Server: request.Replica,
		LimitReport: ratelimit.LimitReport{
			State:        ratelimit.State{Limited: request.Limited, PerSecond: request.PerSecond},
			FromResponse: request.FromResponse, Term: request.Term, Permit: request.Permit,
		},
		MaxWait:  time.Duration(request.WithinMS) * time.Millisecond,
		Priority: request.Priority,
	}
	if table := c.table(); table != nil && !request.Warm {
		if service := table.Service(request.Service); service != nil {
			ask.ColdPerSecond = service.ColdRate
		}
	}
	return ask
}

// permitReply converts the issuers' answer for a gateway.
func permitReply(a ratelimit.Reply) wire.PermitReply {
	return wire.PermitReply{
		Known: a.Known, Granted: a.Granted, WaitUS: (a.Wait + time.Microsecond - 1).Microseconds(), Limits: a.Known,
		Limited: a.State.Limited, PerSecond: a.State.PerSecond, Term: a.Term, Version: a.Version, Permit: a.Permit,
	}
}

// limitChanged logs a changed limit and has it sent to all gateways.
func (c *controlNode) limitChanged(change ratelimit.Change) {
	c.proc.Ring().Add(event.Event{Kind: event.RateLimitChanged, Host: change.Server, Reason: change.String() + "; by what gateways were told"})
	c.permits.changed.Raise()
}

// shareLimits sends the limits of replicas to all gateways while this node leads: at once when one
// changes, and at an interval for gateways that were not reached.
func (c *controlNode) shareLimits(ctx context.Context) {
	timer := time.NewTimer(limitsInterval)
	defer timer.Stop()
	for {
		pause := limitsInterval
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.permits.changed.Raised():
			pause = limitsResendDelay
		}
		timer.Reset(pause)
		term, version, states := c.permits.issuer.Limits(clock.Now(), maxSharedLimits, limitEndShared)
		c.placer.SetLimits(perSecond(states))
		c.sendLimits(ctx, term, version, states)
		c.sendLimits(ctx, 0, 0, c.permits.drainPending())
		time.Sleep(c.sharePause(limitsBatchDelay))
	}
}

// perSecond returns the limits in force, in requests per second by backend server.
func perSecond(states []ratelimit.ServerLimit) map[string]float64 {
	limits := map[string]float64{}
	for _, limit := range states {
		if limit.State.Limited {
			limits[limit.Server] = limit.State.PerSecond
		}
	}
	return limits
}

// sendLimits sends limits to the gateways of all control nodes.
func (c *controlNode) sendLimits(ctx context.Context, term, version uint64, states []ratelimit.ServerLimit) {
	if len(states) == 0 {
		return
	}
	limits := wire.Limits{Term: term, Version: version}
	for _, limit := range states {
		limits.Limits = append(limits.Limits, wire.ReplicaLimit{Replica: limit.Server, Limited: limit.State.Limited, PerSecond: limit.State.PerSecond})
	}
	for _, address := range c.cluster.Peers() {
		go c.notify(ctx, address, wire.MethodLimits, limits)
	}
	c.tellLimits(limits)
}

// notifyLimits sends limits to the gateways that follow this node.
func (c *controlNode) tellLimits(limits wire.Limits) {
	n, err := rpc.NewNotification(wire.MethodLimits, limits)
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.UpdateNotEncoded, Reason: err.Error()})
		return
	}
	c.relay.Broadcast(n)
}
