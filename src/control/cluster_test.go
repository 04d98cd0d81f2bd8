package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/store"
	"github.com/moorspool/moorspool/src/wire"
)

// clusterNode is a cluster node that runs in the test process with a real data folder and real
// connections.
type clusterNode struct {
	address string
	folder  string
	cluster *Cluster
	node    *Node
	server  *rpc.Server
	disk    *store.Folder
	cut     *fault.Cut
	stop    context.CancelFunc
	ended   chan struct{}
	// committed is the last index that the disk knew to be committed when the node was started.
	committed uint64
}

// testCluster is a cluster whose founders listen on loopback addresses.
type testCluster struct {
	t     *testing.T
	seeds []string
	nodes map[string]*clusterNode
	// hang makes the writes of nodes that are started from now on wait until it is closed.
	hang chan struct{}
}

// disk returns the storage of a node in a data folder.
func (tc *testCluster) disk(folder *store.Folder) Disk {
	hang := tc.hang
	if hang == nil {
		return Disk{Save: folder.Save, SaveSnapshot: folder.SaveSnapshot}
	}
	return Disk{
		Save: func(state *raft.HardState, entries []raft.Entry) error {
			<-hang
			return folder.Save(state, entries)
		},
		SaveSnapshot: func(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error {
			<-hang
			return folder.SaveSnapshot(snapshot, state, after)
		},
	}
}

func newTestCluster(t *testing.T, founders int) *testCluster {
	tc := &testCluster{t: t, nodes: map[string]*clusterNode{}}
	var reserved []*rpc.Server
	for i := 0; i < founders; i++ {
		server, err := rpc.Listen("127.0.0.1:0", rpc.NewMux(), &rpc.Meter{})
		if err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, server)
		tc.seeds = append(tc.seeds, server.Address())
	}
	for _, server := range reserved {
		server.Close()
	}
	for _, seed := range tc.seeds {
		tc.start(seed, t.TempDir(), true)
	}
	t.Cleanup(func() {
		for _, n := range tc.nodes {
			n.kill()
		}
	})
	return tc
}

// start starts a node at an address with a data folder.
func (tc *testCluster) start(address, folder string, found bool) *clusterNode {
	tc.t.Helper()
	var founders []raft.ID
	for _, seed := range tc.seeds {
		founders = append(founders, raft.ID(seed+"#"+store.FounderIncarnation))
	}
	disk, start, err := store.Open(store.Options{Path: folder, Cluster: "c", Name: address, Founder: found, Founders: founders})
	if err != nil {
		tc.t.Fatal(err)
	}
	n := &clusterNode{address: address, folder: folder, disk: disk, cut: &fault.Cut{}, ended: make(chan struct{})}
	n.committed = min(start.HardState.Commit, start.LastIndex())
	id := disk.Identity().ID()
	replica, err := NewReplica(id, start, tc.disk(disk), raft.DefaultOptions(), rand.New(rand.NewPCG(uint64(len(tc.nodes)), 7)), nil, time.Now())
	if err != nil {
		tc.t.Fatal(err)
	}
	links := NewLinks(&rpc.Meter{}, n.cut)
	n.node = NewNode(replica, links.Send, nil, time.Now)
	n.cluster = NewCluster(n.node, links, ClusterOptions{ID: id, Voters: 3, Seeds: tc.seeds}, nil, time.Now)
	mux := rpc.NewMux()
	n.cluster.Register(mux)
	n.server, err = rpc.Listen(address, mux, &rpc.Meter{})
	if err != nil {
		tc.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		_ = n.node.Run(ctx)
		close(n.ended)
	}()
	go n.cluster.MaintainMembership(ctx)
	go n.cluster.MaintainConfirmation(ctx)
	tc.nodes[address] = n
	return n
}

func (n *clusterNode) kill() {
	n.stop()
	n.server.Close()
	<-n.ended
	_ = n.disk.Close()
}

// put sends a document to a node until it is accepted.
func (tc *testCluster) put(n *clusterNode, version uint64, raw string) {
	tc.t.Helper()
	tc.eventually(fmt.Sprintf("version %d is accepted", version), func() bool {
		reply := n.cluster.Put(context.Background(), wire.DocumentRequest{Version: version, Packed: []byte(raw)})
		return reply.Outcome == wire.Accepted
	})
}

// eventually waits for a condition, for much longer than it should take.
func (tc *testCluster) eventually(what string, met func() bool) {
	tc.t.Helper()
	for i := 0; i < 600; i++ {
		if met() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tc.t.Fatalf("timed out waiting: %s", what)
}

// waitForRead waits until a node reads the given version, and fails if it reads an older one.
func (tc *testCluster) waitForRead(n *clusterNode, version uint64, raw string) {
	tc.t.Helper()
	tc.eventually(fmt.Sprintf("%s reads version %d", n.address, version), func() bool {
		held := n.cluster.Read(context.Background())
		if held.Known && held.Version < version {
			tc.t.Fatalf("read version %d after %d was accepted", held.Version, version)
		}
		return held.Known && held.Version == version && string(held.Packed) == raw
	})
}

func (tc *testCluster) voters(n *clusterNode) []string {
	var list []string
	for _, id := range n.cluster.members().Voters {
		list = append(list, nameOf(id))
	}
	return list
}

func TestHighestVersionWinsAndLowerOnesAreAcknowledged(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first := tc.nodes[tc.seeds[0]]
	tc.put(first, 7, "seven")
	for _, seed := range tc.seeds {
		tc.put(tc.nodes[seed], 3, "three")
		tc.put(tc.nodes[seed], 7, "another seven")
		tc.waitForRead(tc.nodes[seed], 7, "seven")
	}
	tc.put(tc.nodes[tc.seeds[2]], 9, "nine")
	tc.waitForRead(first, 9, "nine")
	is.Equal(len(tc.voters(first)), 3)
}

func TestAcceptedDocumentSurvivesRestartOfAllNodes(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	folders := map[string]string{}
	for _, seed := range tc.seeds {
		folders[seed] = tc.nodes[seed].folder
		tc.nodes[seed].kill()
	}
	for _, seed := range tc.seeds {
		tc.start(seed, folders[seed], false)
	}
	tc.waitForRead(tc.nodes[tc.seeds[1]], 5, "five")
}

// A node that restarts alone still serves subscribers the configuration on its disk, although it
// cannot guarantee that it is the newest.
func TestRestartedNodeServesItsConfigurationWithoutALeader(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.put(tc.nodes[tc.seeds[0]], 6, "six")
	tc.eventually("every node has applied version 6", func() bool {
		for _, seed := range tc.seeds {
			if tc.nodes[seed].cluster.Version() != 6 {
				return false
			}
		}
		return true
	})
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	alone := tc.start(tc.seeds[1], tc.nodes[tc.seeds[1]].folder, false)
	delete(tc.nodes, tc.seeds[0])
	delete(tc.nodes, tc.seeds[2])
	tc.eventually("it has applied everything its disk knows to be committed", func() bool { return alone.cluster.Version() >= 5 })
	is.True(!alone.cluster.Read(context.Background()).Known)
}

func TestFoundersAreKeptWhenSeedsChange(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	seeds := tc.seeds
	folders := map[string]string{}
	for _, seed := range seeds {
		folders[seed] = tc.nodes[seed].folder
		tc.nodes[seed].kill()
	}
	tc.seeds = []string{seeds[2], "127.0.0.1:1", seeds[0]}
	for _, seed := range seeds {
		tc.start(seed, folders[seed], false)
	}
	tc.waitForRead(tc.nodes[seeds[1]], 5, "five")
}

func TestWipedNodeRejoinsAndNeverVotesUnderItsOldIdentity(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	wiped := tc.seeds[1]
	old := tc.nodes[wiped].disk.Identity().ID()
	tc.nodes[wiped].kill()
	n := tc.start(wiped, t.TempDir(), false)
	is.True(n.disk.Identity().ID() != old)
	tc.eventually("the wiped node votes under its new identity", func() bool {
		members := tc.nodes[tc.seeds[0]].cluster.members()
		return members.IsVoter(n.disk.Identity().ID()) && !members.IsVoter(old)
	})
	tc.waitForRead(n, 5, "five")
}

func TestNewNodeReplacesLostVoterAndAnotherLossIsTolerated(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.nodes[tc.seeds[2]].kill()
	delete(tc.nodes, tc.seeds[2])
	held, err := rpc.Listen("127.0.0.1:0", rpc.NewMux(), &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	address := held.Address()
	held.Close()
	added := tc.start(address, t.TempDir(), false)
	tc.eventually("the new node has replaced the lost voter", func() bool {
		members := tc.nodes[tc.seeds[0]].cluster.members()
		return members.IsVoter(added.disk.Identity().ID()) && len(members.Voters) == 3
	})
	tc.nodes[tc.seeds[1]].kill()
	delete(tc.nodes, tc.seeds[1])
	tc.put(added, 6, "six")
	tc.waitForRead(tc.nodes[tc.seeds[0]], 6, "six")
}

// A majority need not include every node: a node that was unreachable during the change receives it
// later.
func TestAnAcknowledgedChangeIsHeldByAMajority(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	away := tc.nodes[tc.seeds[0]]
	tc.eventually("the isolated node has applied the first version", func() bool { return away.cluster.Version() == 5 })
	for _, address := range tc.seeds[1:] {
		tc.nodes[address].cut.Set([]string{tc.seeds[0]})
	}
	away.cut.Set(tc.seeds[1:])
	tc.put(tc.nodes[tc.seeds[1]], 6, "six")
	is.Equal(away.cluster.Version(), uint64(5))
	for _, address := range tc.seeds {
		tc.nodes[address].cut.Set(nil)
	}
	tc.eventually("the isolated node has applied the second version", func() bool { return away.cluster.Version() == 6 })
}

func TestANodeWithoutAMajorityPromisesNothing(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	// A majority has applied it, which may be the other two nodes.
	tc.eventually("the node has applied it", func() bool { return tc.nodes[tc.seeds[0]].cluster.Version() == 5 })
	tc.nodes[tc.seeds[1]].kill()
	tc.nodes[tc.seeds[2]].kill()
	delete(tc.nodes, tc.seeds[1])
	delete(tc.nodes, tc.seeds[2])
	alone := tc.nodes[tc.seeds[0]]
	tc.eventually("the remaining node no longer knows the newest version", func() bool {
		return !alone.cluster.Read(context.Background()).Known
	})
	reply := alone.cluster.Put(context.Background(), wire.DocumentRequest{Version: 6, Packed: []byte("six")})
	is.True(reply.Outcome != wire.Accepted)
	is.Equal(alone.cluster.Version(), uint64(5))
}

// A caller that asks right after the election, before anything else ran, must not be told that the
// node has led since the zero time.
func TestNewLeaderKnowsItsElectionTime(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	n := tc.nodes[tc.seeds[0]]
	idle := NewCluster(n.node, NewLinks(&rpc.Meter{}, n.cut), ClusterOptions{ID: n.cluster.options.ID, Voters: 1}, nil, time.Now)
	tc.eventually("the node leads", func() bool { return idle.Leadership().Self })
	is.True(!idle.Leadership().Since.IsZero())
}

// TestNextVoters checks which voter may be replaced, and by which learner.
func TestNextVoters(t *testing.T) {
	noon := time.Unix(1_800_000_000, 0)
	is := is.New(t)
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}, Learners: []raft.ID{"d#1"}}
	core := leadingCore(noon, members)
	answer := func(now time.Time, ids ...raft.ID) { replyFrom(core, now, ids...) }
	answer(noon, "b#0", "c#0", "d#1")
	is.True(nextVoters(core, noon, 3) == nil) // all voters are in contact
	now := noon
	for now.Before(noon.Add(2 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		answer(now, "b#0", "d#1")
		is.True(nextVoters(core, now, 3) == nil) // a short silence does not cost a vote
	}
	for now.Before(noon.Add(3 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		answer(now, "b#0", "d#1")
	}
	is.True(nextVoters(core, now.Add(2*time.Second), 3) == nil) // two are silent: a majority could be lost
	next := nextVoters(core, now, 3)
	is.True(next != nil)
	is.True(!next.IsVoter("c#0"))
	is.True(next.IsVoter("b#0"))
}

// leadingCore returns a core that leads a membership of up to five voters, including b#0 and c#0.
func leadingCore(now time.Time, members raft.Members) *raft.Core {
	start := raft.InitialState{HardState: raft.HardState{}, Snapshot: raft.Snapshot{Members: members}}
	core := raft.New("a#0", start, raft.DefaultOptions(), rand.New(rand.NewPCG(1, 1)), now.Add(-2*time.Second))
	core.Tick(now.Add(-time.Millisecond))
	for _, kind := range []raft.MessageKind{raft.MsgPreVoteReply, raft.MsgVoteReply} {
		term := core.Term()
		if kind == raft.MsgPreVoteReply {
			term++
		}
		for _, voter := range []raft.ID{"b#0", "c#0"} {
			core.Step(now.Add(-time.Millisecond), raft.Message{Kind: kind, From: voter, To: "a#0", Term: term})
		}
	}
	persist(core, now)
	return core
}

func persist(core *raft.Core, now time.Time) {
	ready := core.Ready(now)
	core.Persisted(now, ready)
}

// replyFrom makes members reply to the leader's current heartbeat.
func replyFrom(core *raft.Core, now time.Time, ids ...raft.ID) {
	core.Tick(now)
	ready := core.Ready(now)
	core.Persisted(now, ready)
	for _, m := range ready.Messages {
		for _, id := range ids {
			if m.To == id && m.Kind == raft.MsgAppend {
				core.Step(now, raft.Message{Kind: raft.MsgAppendReply, From: id, To: "a#0", Term: core.Term(), Index: m.Index + uint64(len(m.Entries)), Round: m.Round})
			}
		}
	}
}
