package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/owner"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// requestSlot asks the nearest control node to assign a slot at a replica.
func (g *gateway) requestSlot(ctx context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
	ctx = withLateSlot(ctx, request.Service, g.releaseSlot)
	return feed.CallBest[wire.PlaceReply](ctx, g.follower, wire.MethodPlace, request)
}

// releaseSlot reports how a request with a slot ended. If the report is lost, the slot is
// released by a timeout.
func (g *gateway) releaseSlot(release wire.PlaceRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	g.follower.NotifyBest(ctx, wire.MethodRelease, release)
}

// buildDispatchers creates what assigns slots while this node leads or owns a service, and registers
// its methods.
func (c *controlNode) buildDispatchers() {
	c.dispatchers = dispatch.NewDispatchers(clock.Now)
	mux := c.proc.Mux()
	mux.Handle(wire.MethodPlace, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.PlaceRequest) (wire.PlaceReply, error) {
		reply, err := c.requestSlot(ctx, request)
		releaseIfHungUp(ctx, request.Service, reply, c.routeRelease)
		return reply, err
	}))
	mux.Handle(wire.MethodAssign, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.PlaceRequest) (wire.PlaceReply, error) {
		if !c.cluster.Leadership().Self && !c.ownersAssign() {
			return wire.PlaceReply{}, nil
		}
		reply := c.assign(ctx, request)
		releaseIfHungUp(ctx, request.Service, reply, c.handleRelease)
		return reply, nil
	}))
	mux.Handle(wire.MethodRelease, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, release wire.PlaceRelease) (wire.Empty, error) {
		c.routeRelease(release)
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodReleased, rpc.Typed(func(_ context.Context, _ *rpc.Peer, release wire.PlaceRelease) (wire.Empty, error) {
		c.handleRelease(release)
		return wire.Empty{}, nil
	}))
}

// requestSlot assigns a slot, or asks the owner of the service or the leader for one.
func (c *controlNode) requestSlot(ctx context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
	if c.ownersAssign() {
		owners := c.slotOwners()
		return owners.place(ctx, request), nil
	}
	if c.cluster.Leadership().Self {
		return c.assign(ctx, request), nil
	}
	var reply wire.PlaceReply
	err := c.cluster.CallLeader(withLateSlot(ctx, request.Service, c.routeRelease), wire.MethodAssign, request, &reply)
	return reply, err
}

// ownersAssign reports whether owners assign the slots of plain services instead of the leader, so
// that they are assigned without a leader too. Installations that have engines with small batches
// have owners.
func (c *controlNode) ownersAssign() bool {
	table := c.tableCache.get(c.cluster.Version(), c.cluster.Document)
	return table != nil && table.SmallBatches()
}

// slotOwners returns what forwards requests for slots to the owners of their services.
func (c *controlNode) slotOwners() slotOwners {
	return slotOwners{
		self:     c.cluster.Address(),
		owner:    func(service string) string { return c.router.Owner(owner.Key{Service: service}) },
		markLost: c.router.MarkLost,
		assign:   c.assign,
		call: func(ctx context.Context, address string, request wire.PlaceRequest) (wire.PlaceReply, error) {
			var reply wire.PlaceReply
			err := c.links.Client(address).CallWatched(ctx, wire.MethodAssign, request, &reply, owner.Silence)
			return reply, err
		},
		giveBack: c.routeRelease,
		now:      clock.Now,
	}
}

// assign waits for a slot and returns it.
func (c *controlNode) assign(ctx context.Context, request wire.PlaceRequest) wire.PlaceReply {
	ask := dispatch.Request{Account: request.Account, Priority: request.Priority, TimeLeft: request.TimeLeft(), Tried: request.Tried, CoverLatency: c.ownersAssign()}
	assignment, err := c.dispatchers.Request(ctx, request.Service, ask)
	if err != nil {
		return wire.PlaceReply{}
	}
	return wire.PlaceReply{Known: true, Replica: assignment.Replica, Ticket: assignment.Ticket, RetryMS: assignment.RetryAfter.Milliseconds()}
}

// routeRelease passes a release to the node that assigned the slot.
func (c *controlNode) routeRelease(release wire.PlaceRelease) {
	switch release.Owner {
	case "":
		c.handleRelease(release)
		go c.forwardRelease(release)
	case c.cluster.Address():
		c.handleRelease(release)
	default:
		go c.notify(context.Background(), release.Owner, wire.MethodReleased, release)
	}
}

// handleRelease handles a release; a node that does not lead does not know the ticket and ignores
// it.
func (c *controlNode) handleRelease(release wire.PlaceRelease) {
	c.dispatchers.Release(release.Service, release.Ticket, dispatch.Outcome(release.Outcome), time.Duration(release.TookMS)*time.Millisecond)
}

// forwardRelease forwards a release to the leader, if that is another node.
func (c *controlNode) forwardRelease(release wire.PlaceRelease) {
	lead := c.cluster.Leadership()
	if lead.Self || lead.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	// If a release is lost, the ticket expires.
	_ = c.links.Client(lead.Address).Notify(ctx, wire.MethodReleased, release)
}
