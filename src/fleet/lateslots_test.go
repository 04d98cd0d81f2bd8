package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// slotServer assigns slots once it goes on.
type slotServer struct {
	*rpc.Server
	goOn     chan struct{}
	released chan wire.PlaceRelease
}

// newSlotServer starts a control node that stands still as it gets a request for a slot.
func newSlotServer(t *testing.T) *slotServer {
	t.Helper()
	s := &slotServer{goOn: make(chan struct{}), released: make(chan wire.PlaceRelease, 4)}
	mux := rpc.NewMux()
	for _, method := range []string{wire.MethodPlace, wire.MethodAssign} {
		mux.Handle(method, rpc.Typed(func(context.Context, *rpc.Peer, wire.PlaceRequest) (wire.PlaceReply, error) {
			<-s.goOn
			return wire.PlaceReply{Known: true, Replica: "r", Ticket: 7, Owner: "o:1"}, nil
		}))
	}
	mux.Handle(wire.MethodRelease, rpc.Typed(func(_ context.Context, _ *rpc.Peer, release wire.PlaceRelease) (wire.Empty, error) {
		s.released <- release
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodWatchFeed, rpc.Typed(func(_ context.Context, peer *rpc.Peer, _ wire.FeedRequest) (wire.Empty, error) {
		return wire.Empty{}, peer.Notify(wire.MethodFeed, wire.FeedUpdate{Full: true, Zone: "z"})
	}))
	server, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	s.Server = server
	t.Cleanup(server.Close)
	return s
}

// awaitRelease returns what is given back within a second.
func awaitRelease(t *testing.T, released <-chan wire.PlaceRelease) wire.PlaceRelease {
	t.Helper()
	select {
	case release := <-released:
		return release
	case <-time.After(time.Second):
		t.Fatal("the slot is not given back")
	}
	return wire.PlaceRelease{}
}

// TestASlotThatComesTooLateIsGivenBack: the request waited in a control node that stood still, and its gateway has
// stopped waiting.
func TestASlotThatComesTooLateIsGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSlotServer(t)
	sink := feed.Sink{Replicas: func(registry.Changes) {}}
	follower := feed.NewFollower(feed.Options{Node: "g", Zone: "z", Gateway: true, Seeds: []string{s.Address()}}, sink, &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.Run(ctx)
	g := &gateway{follower: follower}
	deadline := time.Now().Add(5 * time.Second)
	for {
		waiting, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		_, err := g.requestSlot(waiting, wire.PlaceRequest{Service: "s"})
		stop()
		is.True(err != nil)
		if err == context.DeadlineExceeded {
			break
		}
		is.True(time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
	close(s.goOn)
	is.Equal(awaitRelease(t, s.released), wire.PlaceRelease{Service: "s", Ticket: 7, Owner: "o:1", Outcome: string(dispatch.Unused)})
}

// TestASlotOfALostOwnerIsGivenBack: an owner that goes on assigns what another node has assigned meanwhile.
func TestASlotOfALostOwnerIsGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSlotServer(t)
	client := rpc.NewClient(s.Address(), rpc.NewMux(), &rpc.Meter{}, nil, time.Hour)
	defer client.Close()
	released := make(chan wire.PlaceRelease, 1)
	n := newSlotNode(nil)
	n.giveBack = func(release wire.PlaceRelease) { released <- release }
	n.slotOwners.call = func(ctx context.Context, _ string, request wire.PlaceRequest) (wire.PlaceReply, error) {
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		var reply wire.PlaceReply
		err := client.Call(ctx, wire.MethodAssign, request, &reply)
		return reply, err
	}
	is.Equal(n.place(context.Background(), wire.PlaceRequest{Service: "s", WithinMS: 100}).Owner, "self")
	close(s.goOn)
	is.Equal(awaitRelease(t, released), wire.PlaceRelease{Service: "s", Ticket: 7, Owner: "other", Outcome: string(dispatch.Unused)})
}
