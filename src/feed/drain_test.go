package feed

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// drained returns the drained zones that the sink received last.
func (s *recordingSink) drained() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drains == nil {
		return nil
	}
	return s.drains.Zones
}

// TestDrainsReachGatewaysFromAnyControlNode covers a followed node that lags behind another one.
func TestDrainsReachGatewaysFromAnyControlNode(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	_, s := n.newGateway("z", nil)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	n.nodes[0].drain(1, "x")
	eventually(t, "the gateway applies the drain", func() bool { return slices.Equal(s.drained(), []string{"x"}) })
	n.nodes[0].drain(2)
	eventually(t, "the gateway applies its end", func() bool { return len(s.drained()) == 0 })
	n.nodes[1].drain(1, "x")
	n.nodes[0].drain(3, "y")
	eventually(t, "the gateway applies the next order", func() bool { return slices.Equal(s.drained(), []string{"y"}) })
}

// TestAGatewayThatComesLaterKnowsTheDrainsBeforeAnyReplica guards against requests to a drained
// zone from a gateway that has just started.
func TestAGatewayThatComesLaterKnowsTheDrainsBeforeAnyReplica(t *testing.T) {
	is := is.New(t)
	n := newZonedNet(t, "x", "y", "z")
	n.nodes[0].drain(1, "x")
	n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Zone: "x", Sequence: 1})
	eventually(t, "the zone's node has the drain and the replica", func() bool {
		known := n.nodes[2].follower.View()
		return known.Drains != nil && known.Drains.Revision == 1 && known.Stamp > 0
	})
	knew := make(chan bool, 1)
	s := &recordingSink{}
	sink := s.sink()
	take := sink.Replicas
	sink.Replicas = func(changes registry.Changes) {
		take(changes)
		if _, usable := s.usable("r"); usable {
			select {
			case knew <- slices.Equal(s.drained(), []string{"x"}):
			default:
			}
		}
	}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()[2:]}, sink, &rpc.Meter{}, &fault.Cut{}, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	is.True(<-knew)
}

// TestOlderDrainsAreIgnored covers a source that lags behind the previous one.
func TestOlderDrainsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := &recordingSink{}
	f := NewFollower(Options{Node: "g", Gateway: true}, s.sink(), &rpc.Meter{}, nil, nil, time.Now)
	f.applyDrains(&wire.ZoneDrains{Revision: 2})
	f.applyDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{"x"}})
	is.Equal(len(s.drained()), 0)
	f.applyDrains(&wire.ZoneDrains{Revision: 3, Zones: []string{"y"}})
	is.Equal(s.drained(), []string{"y"})
}
