package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/owner"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/schedule"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// releaseBatchDelay is how long places to be given back are collected.
const releaseBatchDelay = 5 * time.Millisecond

// queueReleases collects the places that a gateway gives back. It is safe for concurrent use.
type queueReleases struct {
	mu     sync.Mutex
	places []wire.QueuePlace
	added  wakeup.Flag
}

// requestPlace asks the nearest control node for a place in the queue of the request's model.
func (g *gateway) requestPlace(ctx context.Context, request wire.QueueRequest) (wire.QueueReply, error) {
	return feed.CallWatched[wire.QueueReply](ctx, g.follower, wire.MethodQueue, request, owner.Silence)
}

// releasePlace gives a place back soon.
func (g *gateway) releasePlace(place wire.QueuePlace) {
	g.releases.mu.Lock()
	defer g.releases.mu.Unlock()
	g.releases.places = append(g.releases.places, place)
	g.releases.added.Raise()
}

// sendReleases gives the collected places back. Those that are lost on the way expire.
func (g *gateway) sendReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.releases.added.Raised():
		}
		time.Sleep(releaseBatchDelay)
		g.releases.mu.Lock()
		release := wire.QueueRelease{Places: g.releases.places}
		g.releases.places = nil
		g.releases.mu.Unlock()
		g.follower.NotifyBest(ctx, wire.MethodQueueRelease, release)
	}
}

// buildQueues creates what gives places to the requests of models whose replicas have no room, and
// registers its methods.
func (c *controlNode) buildQueues() {
	c.replicas = owner.NewReplicas()
	c.queues = owner.NewQueues(owner.QueuesOptions{State: c.replicaState, Now: clock.Now})
	c.router = owner.NewRouter(owner.RouterOptions{
		Self:    c.cluster.Address(),
		Members: c.cluster.Members,
		Queues:  c.queues,
		Call:    c.callOwner,
		Release: c.forwardPlaces,
		Probe:   c.probeOwner,
		Now:     clock.Now,
		Lost: func(address string, err error) {
			c.proc.Ring().Add(event.Event{Kind: event.QueueOwnerLost, Host: address, Reason: err.Error()})
		},
		Found: func(address string) {
			c.proc.Ring().Add(event.Event{Kind: event.QueueOwnerFound, Host: address})
		},
	})
	mux := c.proc.Mux()
	mux.Handle(wire.MethodQueue, rpc.Typed(func(ctx context.Context, peer *rpc.Peer, request wire.QueueRequest) (wire.QueueReply, error) {
		return c.router.Request(ctx, peer, request), nil
	}))
	mux.Handle(wire.MethodQueueOwner, rpc.Typed(func(ctx context.Context, peer *rpc.Peer, request wire.QueueRequest) (wire.QueueReply, error) {
		return c.router.RequestOwn(ctx, peer, request), nil
	}))
	mux.Handle(wire.MethodQueueRelease, rpc.Typed(func(_ context.Context, _ *rpc.Peer, release wire.QueueRelease) (wire.Empty, error) {
		c.router.Release(release)
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodQueueList, rpc.Typed(c.listQueues))
	mux.Handle(wire.MethodQueueProbe, rpc.Typed(func(context.Context, *rpc.Peer, wire.Empty) (wire.Empty, error) {
		return wire.Empty{}, nil
	}))
}

// replicaState returns the load of a replica for the queues.
func (c *controlNode) replicaState(now time.Time, replica string) (schedule.State, bool) {
	slots, usable := c.replicas.Slots(replica)
	if !usable {
		return schedule.State{}, false
	}
	state := schedule.State{Slots: slots, Backlog: c.backlog.Left(now, replica)}
	if told, found := c.states.State(now, replica); found {
		state.Running, state.Waiting = told.Running, told.Waiting
		if told.Slots > 0 {
			state.Slots = told.Slots
		}
	}
	return state, true
}

// callOwner asks another control node for a place in a queue that it owns.
func (c *controlNode) callOwner(ctx context.Context, address string, request wire.QueueRequest) (wire.QueueReply, error) {
	var reply wire.QueueReply
	err := c.links.Client(address).CallWatched(ctx, wire.MethodQueueOwner, request, &reply, owner.Silence)
	return reply, err
}

// forwardPlaces gives places back to the control node that gave them.
func (c *controlNode) forwardPlaces(address string, release wire.QueueRelease) {
	c.notify(context.Background(), address, wire.MethodQueueRelease, release)
}

// probeOwner reports whether another control node gives places.
func (c *controlNode) probeOwner(ctx context.Context, address string) error {
	return c.links.Client(address).Call(ctx, wire.MethodQueueProbe, wire.Empty{}, nil)
}
