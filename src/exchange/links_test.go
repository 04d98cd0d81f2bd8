package exchange

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
)

// testLinks are links of a gateway to replicas that a test cuts.
type testLinks struct{ cut atomic.Bool }

func (l *testLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	if l.cut.Load() {
		return nil, errors.New("the link is cut")
	}
	return Dial(ctx, address)
}

// newLinkBench returns a handler whose links to the replicas can be cut.
func newLinkBench(t *testing.T, r catalog.Route, replicas ...*fakeReplica) (*bench, *testLinks) {
	links := &testLinks{}
	b := newBench(t, r)
	b.fleet = NewFleet("z", links.dial, nil, time.Now, time.Now)
	b.handler.options.Fleet = b.fleet
	b.handler.placeQueues = newPlaceQueues(b.fleet, time.Now)
	b.fleet.setCrashHandler(b.handler.crashDetector.confirm)
	b.handler.SetTable(b.handler.Table())
	b.register(replicas...)
	return b, links
}

func TestAGatewayNoticesThatItReachesNoReplicaAndWhenItDoesAgain(t *testing.T) {
	is := is.New(t)
	// Replicas that close each connection make every request dial, once the gateway can know of the close.
	closed := make(chan struct{}, 4)
	closing := func(a arrival) bool {
		whole(a)
		_ = a.conn.Close()
		closed <- struct{}{}
		return false
	}
	b, links := newLinkBench(t, route(catalog.Unsafe, 1), newReplica(t, "a", closing), newReplica(t, "b", closing))
	ring := event.NewRing("test", 64, nil, time.Now)
	b.fleet.ring = ring
	is.Equal(b.do("POST", "one", "").status, 200)
	<-closed
	links.cut.Store(true)
	is.Equal(b.do("POST", "two", "").status, 503)
	is.Equal(b.fleet.Unreachable(), []string{"s"})
	links.cut.Store(false)
	for range 100 {
		b.fleet.ProbeUnreachable(context.Background())
	}
	is.Equal(len(b.fleet.Unreachable()), 0)
	logged, _ := ring.Since(0, "")
	var kinds []event.Kind
	for _, e := range logged {
		if e.Kind == event.ServiceUnreachable || e.Kind == event.ServiceReachable {
			kinds = append(kinds, e.Kind)
		}
	}
	is.Equal(kinds, []event.Kind{event.ServiceUnreachable, event.ServiceReachable})
}

func TestAReplicaThatLeavesIsNoEvidenceOfALostLink(t *testing.T) {
	is := is.New(t)
	fleet := NewFleet("z", nil, nil, time.Now, time.Now)
	record := registry.Record{ID: "a", Service: "s", Address: "192.0.2.1:1", Zone: "z"}
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	peer := fleet.peers["a"]
	record.Draining = true
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	fleet.noteDial(peer, false)
	is.Equal(len(fleet.Unreachable()), 0)
}
