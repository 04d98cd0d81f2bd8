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

// drained returns the drained zones that a follower acts on.
func (s *seen) drained() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drains == nil {
		return nil
	}
	return s.drains.Zones
}

// TestDrainsReachAGatewayWhoeverHasAppliedThem: the node that it follows lags behind another one.
func TestDrainsReachAGatewayWhoeverHasAppliedThem(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	_, s := n.gatewayIn("z", nil)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	n.nodes[0].drain(1, "x")
	eventually(t, "the gateway acts on it", func() bool { return slices.Equal(s.drained(), []string{"x"}) })
	n.nodes[0].drain(2)
	eventually(t, "the gateway acts on its end", func() bool { return len(s.drained()) == 0 })
	n.nodes[1].drain(1, "x")
	n.nodes[0].drain(3, "y")
	eventually(t, "the next order counts", func() bool { return slices.Equal(s.drained(), []string{"y"}) })
}

// TestAGatewayThatComesLaterKnowsTheDrainsBeforeAnyReplica.
func TestAGatewayThatComesLaterKnowsTheDrainsBeforeAnyReplica(t *testing.T) {
	is := is.New(t)
	n := newZonedNet(t, "x", "y", "z")
	n.nodes[0].drain(1, "x")
	n.nodes[0].publisher.Hear(context.Background(), registry.Record{ID: "r", Zone: "x", Sequence: 1})
	eventually(t, "the zone's node knows both", func() bool {
		known := n.nodes[2].follower.Known()
		return known.Drains != nil && known.Drains.Revision == 1 && known.Stamp > 0
	})
	knew := make(chan bool, 1)
	s := &seen{}
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

// TestAnOlderStateOfDrainsIsNotTakenIn: a source may lag behind the one before it.
func TestAnOlderStateOfDrainsIsNotTakenIn(t *testing.T) {
	is := is.New(t)
	s := &seen{}
	f := NewFollower(Options{Node: "g", Gateway: true}, s.sink(), &rpc.Meter{}, nil, nil, time.Now)
	f.takeDrains(&wire.ZoneDrains{Revision: 2})
	f.takeDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{"x"}})
	is.Equal(len(s.drained()), 0)
	f.takeDrains(&wire.ZoneDrains{Revision: 3, Zones: []string{"y"}})
	is.Equal(s.drained(), []string{"y"})
}
