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
	"github.com/moorspool/moorspool/src/store"
	"github.com/moorspool/moorspool/src/wire"
)

// A commit index is stored with the next entries, so the disks may hold an acknowledged
// configuration without knowing that it is committed. If all nodes then lose power, each restarted
// node applies the previous configuration, and gateways follow it, until a leader is elected. With
// all nodes isolated after such a power loss, all three applied version 5 after version 6 had been
// acknowledged.
func TestAcknowledgedConfigurationIsAppliedAfterPowerLossWithoutALeader(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.put(tc.nodes[tc.seeds[0]], 6, "six")
	is.True(tc.countAppliedAfterPowerLoss(6) >= 2) // a majority: after the loss of two disks of five, one that knows remains
}

// A change that is sent again because its first reply was lost must be settled before it is
// acknowledged, like the first one.
func TestResentChangeIsSettledWhenAcknowledged(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first := tc.nodes[tc.seeds[0]]
	tc.put(first, 5, "five")
	tc.eventually("the configuration is applied without an acknowledgement", func() bool {
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
	is.True(tc.countAppliedAfterPowerLoss(6) >= 2)
}

// countAppliedAfterPowerLoss stops all nodes, restarts each in isolation and returns how many have
// applied a version without a leader.
func (tc *testCluster) countAppliedAfterPowerLoss(version uint64) int {
	tc.t.Helper()
	know := 0
	tc.restartEachAlone(func(n *clusterNode) {
		if n.cluster.Version() >= version {
			know++
		}
	})
	return know
}

// restartEachAlone stops all nodes, then restarts each in isolation on its previous folder and
// passes it to inspect once it has applied everything that its disk knows to be committed. A node
// that lagged behind the majority may have applied nothing.
func (tc *testCluster) restartEachAlone(inspect func(n *clusterNode)) {
	tc.t.Helper()
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	for _, seed := range tc.seeds {
		n := tc.start(seed, tc.nodes[seed].folder, false)
		tc.eventually("it has applied everything its disk knows to be committed", func() bool {
			var applied uint64
			n.node.Do(func(time.Time) { applied = n.node.replica.applied })
			return applied >= n.committed
		})
		inspect(n)
		if n.cluster.Leadership().Self {
			tc.t.Fatal("an isolated node was elected")
		}
		n.kill()
	}
	tc.nodes = map[string]*clusterNode{}
}

// The changes that a Service acknowledges must also be known after a power loss; its control nodes,
// too, used to serve the previous configuration after a restart.
func TestServiceChangesAreKnownAfterPowerLoss(t *testing.T) {
	is := is.New(t)
	nodes, disks, stop := runServiceNodes(t)
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
		if _, again := alone.State().AcceptedRevision("c"); again {
			know++
		}
	}
	is.True(know >= 2)
}

// runServiceNodes runs three nodes that exchange messages without delay; the returned function
// stops them.
func runServiceNodes(t *testing.T) (map[raft.ID]*Node, map[raft.ID]*simDisk, func()) {
	t.Helper()
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}}
	nodes, disks := map[raft.ID]*Node{}, map[raft.ID]*simDisk{}
	for i, id := range members.Voters {
		disk := &simDisk{start: raft.InitialState{Snapshot: raft.Snapshot{Members: members}}}
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

// A node that was started read its disk but applied it only in the first iteration of its event loop. What
// asked in between was told the state of the last snapshot, and gateways may act on that.
func TestNodeKnowsItsDiskBeforeItsLoopRuns(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	know := 0
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	for _, seed := range tc.seeds {
		disk, start, err := store.Open(store.Options{Path: tc.nodes[seed].folder, Cluster: "c", Name: seed})
		is.NoErr(err)
		replica, err := NewReplica(disk.Identity().ID(), start, Disk{}, raft.DefaultOptions(), rand.New(rand.NewPCG(1, 1)), nil, time.Now())
		is.NoErr(err)
		if NewNode(replica, nil, nil, time.Now).currentView().document.Version == 5 {
			know++
		}
		is.NoErr(disk.Close())
	}
	tc.nodes = map[string]*clusterNode{}
	is.True(know >= 2)
}
