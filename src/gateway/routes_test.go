package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

func newTestRoutes() *Routes {
	return NewRoutes("e1", "a", nil, &rpc.Meter{}, nil, time.Now, func() {})
}

// routesAt returns the full routes of a zone at a position; the host's name tells it.
func routesAt(epoch, seq uint64) wire.RoutesUpdate {
	host := wire.HostRoute{Host: fmt.Sprintf("%d/%d", epoch, seq), Zone: "a"}
	return wire.RoutesUpdate{Zone: "a", Epoch: epoch, Seq: seq, Full: true, Hosts: []wire.HostRoute{host}}
}

// at returns the position of a zone's routes and the name of its only host.
func (r *Routes) at(zone string) (position, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.known[zone] {
		return r.position[zone], name
	}
	return r.position[zone], ""
}

// What a gateway knows of a zone's routes never goes back. The routes of a peer were checked under one lock and
// applied under another, so that they replaced newer ones of the planner that had come in between; and a late
// update of the planner's last connection replaced those of its new one.
func TestRoutesNeverGoBack(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newTestRoutes()
		var updates sync.WaitGroup
		newest := position{}
		for range 6 {
			update := routesAt(1+random.Uint64N(2), 1+random.Uint64N(5))
			fromPeer := random.IntN(3) == 0
			if !fromPeer && newest.before(positionOf(update)) {
				newest = positionOf(update)
			}
			updates.Go(func() {
				if fromPeer {
					r.applyFromPeer(update)
					return
				}
				r.apply(update)
			})
		}
		updates.Wait()
		at, host := r.at("a")
		is.True(!at.before(newest))
		is.Equal(host, fmt.Sprintf("%d/%d", at.epoch, at.seq))
	}
}

// A late update of an epoch replaced a newer one of the same epoch.
func TestOlderUpdateOfAnEpochIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newTestRoutes()
	r.apply(routesAt(2, 5))
	r.apply(routesAt(2, 4))
	r.apply(routesAt(1, 9))
	_, host := r.at("a")
	is.Equal(host, "2/5")
	r.apply(routesAt(2, 5)) // a planner sends all of its routes again on a new connection
	r.apply(routesAt(3, 1))
	_, host = r.at("a")
	is.Equal(host, "3/1")
}

// A gateway that started while a planner was out of reach asked one peer only: one that had just started as well
// knew no routes, and the gateway served nothing though others knew them.
func TestRoutesAreFetchedFromAPeerThatKnowsAny(t *testing.T) {
	is := is.New(t)
	var peers []*rpc.Client
	for _, reply := range []wire.RoutesReply{{}, {Zones: []wire.RoutesUpdate{routesAt(1, 7)}}} {
		mux := rpc.NewMux()
		mux.Handle(wire.MethodPeerRoutes, rpc.Typed(func(context.Context, *rpc.Peer, wire.Empty) (wire.RoutesReply, error) { return reply, nil }))
		server, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
		is.NoErr(err)
		t.Cleanup(server.Close)
		peers = append(peers, rpc.NewClient(server.Address(), rpc.NewMux(), &rpc.Meter{}, nil, time.Second))
	}
	r := newTestRoutes()
	r.fetchFrom(t.Context(), peers)
	_, host := r.at("a")
	is.Equal(host, "1/7")
}
