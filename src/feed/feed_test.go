package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

func TestAFollowerFindsEveryNodeFromOneSeed(t *testing.T) {
	n := newTestNet(t, 3)
	s := n.follow("127.0.0.1:1", n.nodes[1].server.Address())
	for i, node := range n.nodes {
		id := string(rune('p' + i))
		node.publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: id, Sequence: 1})
		eventually(t, "the replica that called node "+node.publisher.node+" is known", func() bool {
			_, usable := s.usable(id)
			return usable
		})
	}
	eventually(t, "the gateway is counted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gateways == 1
	})
}

// TestNodeWithoutMembersAcknowledgesNoDeparture guards against such a node counting itself as a
// majority.
func TestNodeWithoutMembersAcknowledgesNoDeparture(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[0].outside.Store(true)
	is.True(n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1}))
	is.True(!n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
	is.True(n.nodes[1].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
}

func TestAnAcknowledgedDrainOutlivesTheNodeThatAcknowledgedIt(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	for _, node := range n.nodes {
		node.publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	}
	is.True(n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
	n.nodes[0].server.Close()
	s := n.follow(n.nodes[1].server.Address(), n.nodes[2].server.Address())
	eventually(t, "a gateway that starts afterwards does not use the replica", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestALeavingReplicaIsNotAcknowledgedWithoutAMajority(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[1].server.Close()
	n.nodes[2].server.Close()
	alone := n.nodes[0].publisher
	s := n.follow(n.nodes[0].server.Address())
	ctx := context.Background()
	is.True(alone.ApplyHeartbeat(ctx, registry.Record{ID: "r", Sequence: 1}))
	is.True(!alone.ApplyHeartbeat(ctx, registry.Record{ID: "r", Sequence: 2, Draining: true}))
	is.True(!alone.ApplyHeartbeat(ctx, registry.Record{ID: "r", Sequence: 2, Draining: true})) // nor when it is repeated
	is.True(!alone.HandleEnd(ctx, "r"))
	eventually(t, "gateways learn of it nevertheless", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestRemovingAnUnknownReplicaIsRemembered(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	is.True(p.HandleEnd(context.Background(), "r"))
	p.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 9})
	s := n.follow(n.nodes[0].server.Address())
	eventually(t, "a late heartbeat does not restore it", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestConfigurationsOnlyGrow(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[0].setDocument(4, "four")
	s := n.follow(n.addresses()...)
	has := func(version uint64) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.versions) > 0 && s.versions[len(s.versions)-1] == version
		}
	}
	eventually(t, "version 4 is in force", has(4))
	n.nodes[1].setDocument(3, "three")
	n.nodes[2].setDocument(7, "seven")
	eventually(t, "version 7 is in force", has(7))
	n.nodes[0].setDocument(5, "five")
	n.nodes[0].setDocument(8, "eight")
	eventually(t, "version 8 is in force", has(8))
	for i := 1; i < len(s.versions); i++ {
		is.True(s.versions[i] > s.versions[i-1])
	}
}

// TestFailedConfigurationIsFetchedAgain guards against advancing the version before
// the configuration is applied: one that failed once was never fetched again, and the gateway kept
// using the previous one.
func TestFailedConfigurationIsFetchedAgain(t *testing.T) {
	n := newTestNet(t, 1)
	n.nodes[0].setDocument(4, "four")
	s := &recordingSink{rejections: 2}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, s.sink(), &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "version 4 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1 && s.versions[0] == 4
	})
}

// TestFailedFetchesBackOff guards against overloading a control node that is short of processor
// time.
func TestFailedFetchesBackOff(t *testing.T) {
	is := is.New(t)
	is.Equal(refetchDelay(0), minRefetchDelay)
	is.Equal(refetchDelay(1), 2*minRefetchDelay)
	is.Equal(refetchDelay(100), maxRefetchDelay)
}

func TestUsageGoesOnlyToTheLeader(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	f := NewFollower(Options{Node: "a", Zone: "z", Seeds: n.addresses()}, (&recordingSink{}).sink(), &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "all nodes are followed", func() bool { return f.ConnectedNodes() == 3 })
	f.NotifyLeader(ctx, wire.MethodUsage, wire.Usage{})
	eventually(t, "without a leader all nodes are notified", func() bool {
		return n.nodes[0].usage.Load() == 1 && n.nodes[1].usage.Load() == 1 && n.nodes[2].usage.Load() == 1
	})
	n.nodes[1].leading.Store(true)
	eventually(t, "the leader is known", func() bool { leaders, _ := f.leaders(); return len(leaders) == 1 })
	for range 5 {
		f.NotifyLeader(ctx, wire.MethodUsage, wire.Usage{})
	}
	eventually(t, "the leader is notified", func() bool { return n.nodes[1].usage.Load() == 6 })
	is.Equal(n.nodes[0].usage.Load(), int64(1))
	is.Equal(n.nodes[2].usage.Load(), int64(1))
	f.NotifyOthers(ctx, wire.MethodUsage, wire.Usage{})
	eventually(t, "the others are notified separately", func() bool { return n.nodes[0].usage.Load() == 2 && n.nodes[2].usage.Load() == 2 })
	is.Equal(n.nodes[1].usage.Load(), int64(6))
}

// TestSlowFetchDoesNotDisconnectTheNode checks that a configuration that takes long to fetch comes
// into force, and that the node counts as connected in the meantime.
func TestSlowFetchDoesNotDisconnectTheNode(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	n.nodes[0].slow.Store(int64(700 * time.Millisecond))
	n.nodes[0].setDocument(5, "five")
	s := &recordingSink{}
	ring := event.NewRing("g", 64, nil, time.Now)
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, s.sink(), &rpc.Meter{}, nil, ring, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "version 5 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1
	})
	events, _ := ring.Since(0, "")
	for _, e := range events {
		is.True(e.Kind != event.ControlLost)
	}
}
