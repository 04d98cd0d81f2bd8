package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/warmup"
	"github.com/moorspool/moorspool/src/wire"
)

// askWarmup asks the nearest control node for a permit.
func (g *gateway) askWarmup(ctx context.Context, request wire.WarmupRequest) (wire.WarmupReply, error) {
	return feed.AskOne[wire.WarmupReply](ctx, g.follower, wire.MethodWarmup, request)
}

// buildIssuer makes what issues permits for cold replicas while this node leads.
func (c *controlNode) buildIssuer() {
	c.issuer = warmup.NewIssuer(func() warmup.Leadership {
		lead := c.cluster.Leadership()
		return warmup.Leadership{Self: lead.Self, Term: lead.Term, Since: lead.Since}
	})
	mux := c.proc.Mux()
	mux.Handle(wire.MethodWarmup, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.WarmupRequest) (wire.WarmupReply, error) {
		if reply := c.issue(request); reply.Known {
			return reply, nil
		}
		var reply wire.WarmupReply
		err := c.cluster.CallLeader(ctx, wire.MethodWarmupIssue, request, &reply)
		return reply, err
	}))
	mux.Handle(wire.MethodWarmupIssue, rpc.Typed(func(_ context.Context, _ *rpc.Peer, request wire.WarmupRequest) (wire.WarmupReply, error) {
		return c.issue(request), nil
	}))
}

// issue answers an ask if this node leads.
func (c *controlNode) issue(request wire.WarmupRequest) wire.WarmupReply {
	table := c.table()
	if table == nil {
		return wire.WarmupReply{}
	}
	service := table.Service(request.Service)
	if service == nil {
		return wire.WarmupReply{}
	}
	got := c.issuer.Take(clock.Now(), request.Replica, service.ColdRate, time.Duration(request.WithinMS)*time.Millisecond)
	return wire.WarmupReply{Known: got.Known, Granted: got.Granted, WaitUS: (got.Wait + time.Microsecond - 1).Microseconds()}
}
