package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// What users saw: after all power had been lost, requests were handled by the configuration
// before the one that had been acknowledged last, for as long as no leader was elected.
//
// Order of events: a configuration is committed and acknowledged; the disks hold its entry,
// but not yet that it is committed, since a commit index is written with the next entries;
// all power is lost; each control node comes back and applies what its disk knows to be
// committed, which is the configuration before; gateways follow it.
//
// Evidence: with the nodes kept apart, so that none can be elected, all three apply version
// 5 after version 6 was acknowledged.
func TestWhatWasAcknowledgedIsInForceAfterALossOfPowerWithoutALeader(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.put(tc.nodes[tc.seeds[0]], 6, "six")
	is.True(tc.knowAlone(6) >= 2) // a majority: two lost disks of five leave one that knows
}

// TestAChangeSentAgainIsAcknowledgedAsSurely: its first answer was lost; the second one
// promises as much.
func TestAChangeSentAgainIsAcknowledgedAsSurely(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first := tc.nodes[tc.seeds[0]]
	tc.put(first, 5, "five")
	tc.eventually("the configuration is in the log without an answer", func() bool {
		for _, n := range tc.nodes {
			if !n.cluster.Leadership().Self {
				continue
			}
			_, err := n.node.propose(t.Context(), command{Document: &documentCommand{Version: 6, Packed: []byte("six")}})
			return err == nil && n.cluster.Version() == 6
		}
		return false
	})
	tc.put(first, 6, "six")
	is.True(tc.knowAlone(6) >= 2)
}

// knowAlone takes the power from all nodes, starts each by itself and returns how many have
// applied a version though no leader can be elected.
func (tc *testCluster) knowAlone(version uint64) int {
	tc.t.Helper()
	know := 0
	tc.eachAlone(func(n *clusterNode) {
		if n.cluster.Version() >= version {
			know++
		}
	})
	return know
}

// eachAlone takes the power from all nodes and shows each to see, started by itself on the folder
// that it had, once it has applied what its disk knows to be committed. That may be nothing at a
// node that lagged behind the majority.
func (tc *testCluster) eachAlone(see func(n *clusterNode)) {
	tc.t.Helper()
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	for _, seed := range tc.seeds {
		n := tc.start(seed, tc.nodes[seed].folder, false)
		tc.eventually("it has applied what it knew to be committed", func() bool {
			var applied uint64
			n.node.Do(func(time.Time) { applied = n.node.replica.applied })
			return applied >= n.committed
		})
		see(n)
		if n.cluster.Leadership().Self {
			tc.t.Fatal("a node was elected alone")
		}
		n.kill()
	}
	tc.nodes = map[string]*clusterNode{}
}

// TestTheProductsOwnChangesAreKnownAfterALossOfPowerToo: its control nodes acknowledged in
// the same way, and each restarted one handed out the configuration before.
func TestTheProductsOwnChangesAreKnownAfterALossOfPowerToo(t *testing.T) {
	is := is.New(t)
	nodes, disks, stop := ownNodes(t)
	change := config.Change{ID: "c", Put: []config.Object{{
		Key: config.Key{Kind: config.KindModel, Name: "m"}, Model: &config.Model{Memory: 1, Version: "1"},
	}}}
	accepted := false
	for i := 0; i < 600 && !accepted; i++ {
		for _, n := range nodes {
			service := NewService(n, nil, nil, &rpc.Meter{}, nil, time.Now)
			reply, err := service.apply(t.Context(), nil, wire.ApplyRequest{Change: change})
			accepted = accepted || err == nil && reply.Outcome == wire.Accepted
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(accepted)
	stop()
	know := 0
	for id, disk := range disks {
		alone, err := NewReplica(id, disk.start, Disk{Save: disk.save, SaveSnapshot: disk.saveSnapshot}, raft.DefaultOptions(), rand.New(rand.NewPCG(1, 1)), nil, time.Now())
		is.NoErr(err)
		_, err = alone.Flush(time.Now())
		is.NoErr(err)
		if _, again := alone.State().Answered("c"); again {
			know++
		}
	}
	is.True(know >= 2)
}

// ownNodes runs three nodes whose messages go from one to the other at once; stop ends them.
func ownNodes(t *testing.T) (map[raft.ID]*Node, map[raft.ID]*simDisk, func()) {
	t.Helper()
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}}
	nodes, disks := map[raft.ID]*Node{}, map[raft.ID]*simDisk{}
	for i, id := range members.Voters {
		disk := &simDisk{start: raft.Start{Snapshot: raft.Snapshot{Members: members}}}
		replica, err := NewReplica(id, disk.start, Disk{Save: disk.save, SaveSnapshot: disk.saveSnapshot}, raft.DefaultOptions(), rand.New(rand.NewPCG(uint64(i), 1)), nil, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		disks[id] = disk
		nodes[id] = NewNode(replica, func(m raft.Message) { nodes[m.To].Deliver(m) }, nil, time.Now)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() { _ = n.Run(ctx) })
	}
	return nodes, disks, func() {
		cancel()
		running.Wait()
	}
}
