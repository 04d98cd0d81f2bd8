package feed

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// newGateway starts the follower of a gateway in an availability zone; cut blocks its connections.
func (n *testNet) newGateway(zone string, cut *fault.Cut) (*Follower, *recordingSink) {
	s := &recordingSink{}
	f := NewFollower(Options{Node: "g", Zone: zone, Gateway: true, Seeds: n.addresses()[:1]}, s.sink(), &rpc.Meter{}, cut, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	n.t.Cleanup(cancel)
	go f.Run(ctx)
	return f, s
}

// subscribers returns the number of gateways that follow each node.
func (n *testNet) subscribers() []int {
	var counts []int
	for _, node := range n.nodes {
		counts = append(counts, node.relay.Gateways())
	}
	return counts
}

func (n *testNet) onlyFollows(index int) func() bool {
	return func() bool {
		for i, count := range n.subscribers() {
			if i == index && count != 1 || i != index && count != 0 {
				return false
			}
		}
		return true
	}
}

// TestAGatewayFollowsOneControlNodeOfItsZone guards against the cost of a gateway growing with the
// number of control nodes, and against updates crossing to its zone more than once.
func TestAGatewayFollowsOneControlNodeOfItsZone(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	_, s := n.newGateway("z", nil)
	eventually(t, "only the node of its zone is followed", n.onlyFollows(2))
	n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	eventually(t, "the replica that another node knows is known", func() bool { _, usable := s.usable("r"); return usable })
	eventually(t, "all gateways are counted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gateways == 1
	})
}

// TestSilentControlNodeIsReplaced checks that another node is followed while the zone's own is
// silent, and only the own one after it has recovered.
func TestSilentControlNodeIsReplaced(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	cut := &fault.Cut{}
	f, s := n.newGateway("z", cut)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	cut.Set([]string{n.nodes[2].server.Address()})
	eventually(t, "another one is followed as well", func() bool { return n.subscribers()[0]+n.subscribers()[1] > 0 })
	n.nodes[1].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	eventually(t, "the update arrives", func() bool { _, usable := s.usable("r"); return usable })
	cut.Set(nil)
	eventually(t, "only the node of its zone is followed again", n.onlyFollows(2))
	eventually(t, "that one is connected", func() bool { return f.ConnectedNodes() == 1 })
	_, usable := s.usable("r")
	if !usable {
		t.Error("the other node's update is lost")
	}
}

// TestCutOffControlNodeIsNotFollowedAlone covers a gateway that reaches its zone's node while
// that node can't reach the others.
func TestCutOffControlNodeIsNotFollowedAlone(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	_, s := n.newGateway("z", nil)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	n.nodes[2].cut.Set([]string{n.nodes[0].server.Address(), n.nodes[1].server.Address()})
	n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	eventually(t, "the update of the other nodes arrives", func() bool { _, usable := s.usable("r"); return usable })
	n.nodes[2].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "q", Sequence: 1})
	eventually(t, "news of the own zone arrives", func() bool { _, usable := s.usable("q"); return usable })
	n.nodes[2].cut.Set(nil)
	eventually(t, "only the node of its zone is followed again", n.onlyFollows(2))
}

// TestControlNodeWithoutMembersIsNotFollowedAlone covers a node that has lost its disk and has not
// been readmitted yet.
func TestControlNodeWithoutMembersIsNotFollowedAlone(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	n.nodes[2].outside.Store(true)
	n.newGateway("z", nil)
	eventually(t, "the node of its zone is followed and another one beside it", func() bool {
		counts := n.subscribers()
		return counts[2] == 1 && counts[0]+counts[1] == 1
	})
	n.nodes[2].outside.Store(false)
	eventually(t, "only the node of its zone is followed again", n.onlyFollows(2))
}

// TestUncertainControlNodeIsNotFollowedAlone covers a node that reaches the others but knows no
// leader, so that it would not learn of a newer configuration.
func TestUncertainControlNodeIsNotFollowedAlone(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	f, _ := n.newGateway("z", nil)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	eventually(t, "its confirmation is known", func() bool { return !f.View().Confirmed.IsZero() })
	n.nodes[2].unconfirmed.Store(true)
	eventually(t, "another one is followed beside it", func() bool {
		counts := n.subscribers()
		return counts[2] == 1 && counts[0]+counts[1] == 1
	})
	n.nodes[2].unconfirmed.Store(false)
	eventually(t, "only the node of its zone is followed again", n.onlyFollows(2))
}

// TestCutOffZoneKeepsItsControlNode checks that a gateway that reaches only its own zone's node
// keeps following it.
func TestCutOffZoneKeepsItsControlNode(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	others := []string{n.nodes[0].server.Address(), n.nodes[1].server.Address()}
	cut := &fault.Cut{}
	f, s := n.newGateway("z", cut)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	n.nodes[2].cut.Set(others)
	cut.Set(others)
	n.nodes[2].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "q", Sequence: 1})
	eventually(t, "news of the own zone arrives", func() bool { _, usable := s.usable("q"); return usable })
	if f.ConnectedNodes() != 1 {
		t.Error("want only the own zone's node connected")
	}
}

// TestLaggingControlNodeIsNotFollowedAlone checks that a configuration that other nodes have
// applied comes into force although the own zone's node does not receive it.
func TestLaggingControlNodeIsNotFollowedAlone(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	_, s := n.newGateway("z", nil)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	n.nodes[0].setDocument(4, "four")
	n.nodes[1].setDocument(4, "four")
	eventually(t, "version 4 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1 && s.versions[0] == 4
	})
}

// TestLaggingControlNodeServesPeerConfiguration covers a node without a leader, which never
// receives the configuration by consensus, and gateways that reach no other node.
func TestLaggingControlNodeServesPeerConfiguration(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	cut := &fault.Cut{}
	f, s := n.newGateway("z", cut)
	eventually(t, "the node of its zone is followed", n.onlyFollows(2))
	cut.Set([]string{n.nodes[0].server.Address(), n.nodes[1].server.Address()})
	n.nodes[0].setDocument(4, "four")
	eventually(t, "version 4 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1 && s.versions[0] == 4
	})
	n.nodes[2].setDocument(5, "five")
	eventually(t, "a newer configuration of the node itself is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 2 && s.versions[1] == 5
	})
	if f.ConnectedNodes() != 1 {
		t.Error("want no node but the own zone's connected")
	}
}

// TestTwoControlNodesThatDisagree checks that a replica counts as leaving if either node reports
// it.
func TestTwoControlNodesThatDisagree(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	for _, node := range n.nodes {
		node.publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	}
	_, s := n.newGateway("z", nil)
	eventually(t, "the replica is known", func() bool { _, usable := s.usable("r"); return usable })
	n.nodes[2].cut.Set([]string{n.nodes[0].server.Address(), n.nodes[1].server.Address()})
	eventually(t, "another node is followed as well", func() bool { return n.subscribers()[0]+n.subscribers()[1] > 0 })
	n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true})
	eventually(t, "the replica leaves", func() bool { _, usable := s.usable("r"); return !usable })
	n.nodes[2].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1})
	time.Sleep(3 * batchDelay)
	if _, usable := s.usable("r"); usable {
		t.Error("the replica counts as running again")
	}
}

// TestUpdateIsEncodedOncePerState checks that an update is encoded once for all
// gateways in the same state.
func TestUpdateIsEncodedOncePerState(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	r := n.nodes[0].relay
	first, state, _, err := r.next(relayState{})
	is.NoErr(err)
	again, _, _, err := r.next(relayState{})
	is.NoErr(err)
	is.True(&first.Params()[0] == &again.Params()[0])
	var update wire.FeedUpdate
	is.NoErr(json.Unmarshal(first.Params(), &update))
	is.True(update.Full)
	n.nodes[0].publisher.ApplyHeartbeat(context.Background(), registry.Record{ID: "r", Sequence: 1, InMemory: []string{"m"}})
	eventually(t, "there is a newer state", func() bool {
		next, _, _, _ := r.next(state)
		update = wire.FeedUpdate{}
		_ = json.Unmarshal(next.Params(), &update)
		return len(update.Standings) == 1
	})
	is.True(!update.Full)
	is.Equal(len(update.Standings[0].Record.InMemory), 0) // only placement needs it
}

// subscriberCount returns the number of gateways that are sent notifications. One that comes or leaves changes
// it shortly after Gateways.
func (r *Relay) subscriberCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.subscribers)
}

// TestBroadcastReachesEveryGatewayOfANode checks that Broadcast reaches a gateway that follows the
// node, and that one that has left is forgotten.
func TestBroadcastReachesEveryGatewayOfANode(t *testing.T) {
	n := newTestNet(t, 1)
	received := make(chan wire.Backlogs, 16)
	cut := &fault.Cut{}
	sink := Sink{Replicas: func(registry.Changes) {}, Backlogs: func(b wire.Backlogs) { received <- b }}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, sink, &rpc.Meter{}, cut, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	relay := n.nodes[0].relay
	eventually(t, "the gateway follows", func() bool { return n.onlyFollows(0)() && relay.subscriberCount() == 1 })
	backlogs, err := rpc.NewNotification(wire.MethodBacklogs, json.RawMessage(`{"p":"AQI="}`))
	if err != nil {
		t.Fatal(err)
	}
	relay.Broadcast(backlogs)
	if got := <-received; string(got.Packed) != "\x01\x02" {
		t.Errorf("the gateway received %v", got.Packed)
	}
	cancel()
	cut.Set(n.addresses())
	n.nodes[0].server.Close()
	eventually(t, "the gateway has disconnected", func() bool { return relay.Gateways() == 0 })
	eventually(t, "the gateway that left is forgotten", func() bool { return relay.subscriberCount() == 0 })
}

// TestRelayReportsTheConfirmationOfAMajority: without a leader a gateway would take the state of a node for
// unconfirmed, although a majority of the voters has nothing newer. What counts is the state that the relay
// passes on, with the drained zones.
func TestRelayReportsTheConfirmationOfAMajority(t *testing.T) {
	is := is.New(t)
	r, _ := newManualRelay(t)
	now := time.Unix(1_800_000_000, 0)
	r.now = func() time.Time { return now }
	newest := uint64(1)
	r.cluster.Confirmed = func(time.Time) time.Time { return time.Time{} }
	r.cluster.Drains = func() *wire.ZoneDrains { return &wire.ZoneDrains{Revision: 4} }
	r.cluster.MajorityConfirmed = func(version, drains uint64) time.Time {
		if version < newest || drains < 4 {
			return time.Time{}
		}
		return now.Add(-time.Second)
	}
	r.round(now)
	is.Equal(r.update(&relayState{}).ConfirmedMS, int64(1000))
	version, at := r.MajorityConfirmed()
	is.Equal(version, uint64(1))
	is.Equal(at, now.Add(-time.Second))
	newest = 2
	r.round(now)
	is.Equal(r.update(&relayState{}).ConfirmedMS, int64(0))
	_, at = r.MajorityConfirmed()
	is.True(at.IsZero())
	r.peerDocument = wire.Document{Version: 2} // fetched from another node
	r.round(now)
	version, at = r.MajorityConfirmed()
	is.Equal(version, uint64(2))
	is.Equal(at, now.Add(-time.Second))
}
