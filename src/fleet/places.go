package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// askPlace asks the nearest control node for a place.
func (g *gateway) askPlace(ctx context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
	return feed.AskOne[wire.PlaceReply](ctx, g.follower, wire.MethodPlace, request)
}

// releasePlace tells how a request with a place ended. One that is not told of counts as
// ended after a while.
func (g *gateway) releasePlace(release wire.PlaceRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), noteWait)
	defer cancel()
	g.follower.NotifyNearest(ctx, wire.MethodRelease, release)
}

// buildDesk makes what assigns places while this node leads.
func (c *controlNode) buildDesk() {
	c.desk = dispatch.NewDesk(clock.Now)
	mux := c.proc.Mux()
	mux.Handle(wire.MethodPlace, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.PlaceRequest) (wire.PlaceReply, error) {
		if c.cluster.Leadership().Self {
			return c.assign(ctx, request), nil
		}
		var reply wire.PlaceReply
		err := c.cluster.CallLeader(ctx, wire.MethodAssign, request, &reply)
		return reply, err
	}))
	mux.Handle(wire.MethodAssign, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.PlaceRequest) (wire.PlaceReply, error) {
		if !c.cluster.Leadership().Self {
			return wire.PlaceReply{}, nil
		}
		return c.assign(ctx, request), nil
	}))
	mux.Handle(wire.MethodRelease, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, release wire.PlaceRelease) (wire.Empty, error) {
		c.released(release)
		go c.passRelease(release)
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodReleased, rpc.Typed(func(_ context.Context, _ *rpc.Peer, release wire.PlaceRelease) (wire.Empty, error) {
		c.released(release)
		return wire.Empty{}, nil
	}))
}

// assign waits for a place.
func (c *controlNode) assign(ctx context.Context, request wire.PlaceRequest) wire.PlaceReply {
	ask := dispatch.Ask{Account: request.Account, Priority: request.Priority, Within: request.Within(), Tried: request.Tried}
	place, err := c.desk.Ask(ctx, request.Service, ask)
	if err != nil {
		return wire.PlaceReply{}
	}
	return wire.PlaceReply{Known: true, Replica: place.Replica, Ticket: place.Ticket, RetryMS: place.RetryAfter.Milliseconds()}
}

// released takes in a release; a node that does not lead knows no such ticket.
func (c *controlNode) released(release wire.PlaceRelease) {
	c.desk.Release(release.Service, release.Ticket, dispatch.Outcome(release.Outcome), time.Duration(release.TookMS)*time.Millisecond)
}

// passRelease tells the leader, if that is another node.
func (c *controlNode) passRelease(release wire.PlaceRelease) {
	lead := c.cluster.Leadership()
	if lead.Self || lead.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteWait)
	defer cancel()
	// A release that is lost is made good by the ticket's end.
	_ = c.links.Client(lead.Address).Notify(ctx, wire.MethodReleased, release)
}
