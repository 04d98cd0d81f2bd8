package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	held, err := rpc.Listen("127.0.0.1:0", rpc.NewMux(), &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	return held.Address()
}

// newSpare starts an empty node that is not a seed and waits until it is a learner.
func (tc *testCluster) newSpare() string {
	tc.t.Helper()
	address := freeAddress(tc.t)
	tc.start(address, tc.t.TempDir(), false)
	tc.eventually("the spare node is a learner", func() bool {
		return tc.nodes[address].cluster.Quorum().Member
	})
	return address
}

// wipe stops a node and restarts it with an empty folder.
func (tc *testCluster) wipe(address string) *clusterNode {
	tc.t.Helper()
	tc.nodes[address].kill()
	return tc.start(address, tc.t.TempDir(), false)
}

// electNode makes the voter at an address the leader.
func (tc *testCluster) electNode(address string) {
	tc.t.Helper()
	n := tc.nodes[address]
	tc.eventually(address+" leads", func() bool {
		if n.cluster.Leadership().Self {
			return true
		}
		n.node.Do(func(now time.Time) {
			core := n.node.replica.core
			core.Step(now, raft.Message{Kind: raft.MsgTimeoutNow, To: core.ID(), Term: core.Term()})
		})
		return false
	})
}

// allInContact reports whether every node is a member and a leader is in contact with all voters.
func (tc *testCluster) allInContact() bool {
	led := false
	for _, n := range tc.nodes {
		q := n.cluster.Quorum()
		if !q.Member {
			return false
		}
		led = led || q.Leading && q.Voters == 3 && q.InContact == q.Voters
	}
	return led
}

// votersAre reports whether the voters, as known by the asked node, are exactly the nodes at the
// given addresses.
func (tc *testCluster) votersAre(asked string, addresses ...string) bool {
	members := tc.nodes[asked].cluster.members()
	if len(members.Voters) != len(addresses) {
		return false
	}
	for _, address := range addresses {
		if !members.IsVoter(tc.nodes[address].disk.Identity().ID()) {
			return false
		}
	}
	return true
}

// electNonSeed stops the node of the second seed, lets a spare node take its vote and become the
// leader, and returns the address of the spare node.
func (tc *testCluster) electNonSeed() string {
	tc.t.Helper()
	a, b, c := tc.seeds[0], tc.seeds[1], tc.seeds[2]
	spare := tc.newSpare()
	tc.nodes[b].kill()
	tc.eventually("the spare node votes", func() bool { return tc.votersAre(a, a, spare, c) })
	tc.electNode(spare)
	return spare
}

// Seeds are only the first addresses to ask; the leader may be another node.
func TestWipedNodeJoinsWhenNoSeedLeads(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.electNonSeed()
	back := tc.start(tc.seeds[1], t.TempDir(), false)
	tc.eventually("the wiped node has joined", func() bool { return back.cluster.Quorum().Member })
	tc.waitForRead(back, 5, "five")
}

// The node joins from an address that no other node knows.
func TestNewNodeJoinsWhenNoSeedLeads(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.electNonSeed()
	delete(tc.nodes, tc.seeds[1])
	tc.newSpare()
}

// Each lost disk is replaced before the next one is lost, so a majority always holds the last
// acknowledged change, also after all nodes lose power at once.
func TestDisksLostInSequenceLeaveAMajority(t *testing.T) {
	tc := newTestCluster(t, 3)
	a, b, c := tc.seeds[0], tc.seeds[1], tc.seeds[2]
	spare := tc.electNonSeed()
	tc.start(b, t.TempDir(), false)
	tc.eventually("all nodes are in contact", tc.allInContact)
	tc.wipe(c)
	tc.eventually("all nodes are in contact again", tc.allInContact)
	tc.put(tc.nodes[spare], 6, "six")
	folders := map[string]string{}
	for address, n := range tc.nodes {
		folders[address] = n.folder
		n.kill()
	}
	folders[a] = t.TempDir()
	for address, folder := range folders {
		tc.start(address, folder, false)
	}
	tc.waitForRead(tc.nodes[spare], 6, "six")
}

// Wiped voters are replaced by the learners at their own addresses, even if another caught-up
// learner precedes those in the membership.
func TestNextVotersReplacesTwoWipedVoters(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{
		Voters:   []raft.ID{"a#0", "b#0", "c#0", "d#0", "e#0"},
		Learners: []raft.ID{"f#1", "d#2", "e#2"},
	}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "f#1", "d#2", "e#2"}
	now := replyFor(core, noon, 1500*time.Millisecond, heard...)
	next := nextVoters(core, now, 5)
	is.True(next != nil)
	is.True(!next.IsVoter("d#0") || !next.IsVoter("e#0"))
	is.Equal(len(next.Voters), 4)
}

// Voters that are permanently gone are replaced one at a time, although two of them are silent.
func TestNextVotersReplacesFailedVoters(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{
		Voters:   []raft.ID{"a#0", "b#0", "c#0", "d#0", "e#0"},
		Learners: []raft.ID{"f#1", "g#1"},
	}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "f#1", "g#1"}
	now := replyFor(core, noon, 2*time.Second, heard...)
	is.True(nextVoters(core, now, 5) == nil) // a short silence does not cost a vote
	now = replyFor(core, now, time.Second, heard...)
	next := nextVoters(core, now, 5)
	is.True(next != nil)
	is.True(!next.IsVoter("d#0") || !next.IsVoter("e#0"))
	is.True(next.IsVoter("b#0") && next.IsVoter("c#0"))
}

// Only learners that are out of contact are removed.
func TestNextVotersRemovesSilentLearners(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}, Learners: []raft.ID{"f#1", "g#1"}}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "g#1"}
	now := replyFor(core, noon, learnerRemoveAfter-time.Second, heard...)
	is.True(nextVoters(core, now, 3) == nil)
	now = replyFor(core, now, 2*time.Second, heard...)
	next := nextVoters(core, now, 3)
	is.True(next != nil)
	is.Equal(next.Learners, []raft.ID{"g#1"})
	is.Equal(next.Voters, members.Voters)
}

// replyFor makes members reply to the leader's heartbeats for a span and returns the time at its
// end.
func replyFor(core *raft.Core, from time.Time, span time.Duration, ids ...raft.ID) time.Time {
	now := from
	for now.Before(from.Add(span)) {
		now = now.Add(100 * time.Millisecond)
		replyFrom(core, now, ids...)
	}
	return now
}

// The other nodes still send messages to the address under its earlier identity; their senders need
// not be seeds.
func TestMessageForAnEarlierIdentityRevealsItsSender(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	tc.seeds = nil
	outside := tc.start(freeAddress(t), t.TempDir(), false)
	is.Equal(len(outside.cluster.otherAddresses()), 0)
	lost := raft.ID(outside.address + "#lost")
	_, err := outside.cluster.step(context.Background(), nil, raft.Message{Kind: raft.MsgAppend, From: "127.0.0.1:1#0", To: lost, Term: 1})
	is.NoErr(err)
	is.Equal(outside.cluster.otherAddresses(), []string{"127.0.0.1:1"})
}

// Two nodes that take each other for the leader must not forward a request back and forth. The
// reply names other nodes to ask.
func TestJoinRequestIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	a, b := tc.nodes[tc.seeds[0]], tc.nodes[tc.seeds[1]]
	tc.electNode(a.address)
	tc.eventually("the other node follows", func() bool { return b.cluster.Leadership().Address == a.address })
	ask := func(id raft.ID, forwarded bool) wire.MembersReply {
		reply, err := b.cluster.changeMembers(context.Background(), nil, wire.MembersRequest{AddLearner: id, Forwarded: forwarded})
		is.NoErr(err)
		return reply
	}
	refused := ask("127.0.0.1:1#1", true)
	is.Equal(refused.Outcome, wire.Unavailable)
	is.Equal(len(refused.Members.Voters), 3)
	tc.eventually("the request is forwarded", func() bool { return ask("127.0.0.1:1#1", false).Outcome == wire.Accepted })
}

// A node that is not a member must not acknowledge anything that requires a majority.
func TestNonMemberKnowsNoMajority(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	tc.seeds = nil
	outside := tc.start(freeAddress(t), t.TempDir(), false)
	_, known := outside.cluster.Majority()
	is.True(!known)
}

// Every node that is asked gives its own reason, so reasons are logged at intervals, while
// acceptance is logged at once.
func TestRejectedJoinRequestsAreLoggedAtAnInterval(t *testing.T) {
	is := is.New(t)
	ring := event.NewRing("n", 64, nil, time.Now)
	c := &Cluster{ring: ring}
	logged := func() int {
		events, _ := ring.Since(0, "")
		return len(events)
	}
	now := time.Unix(1_800_000_000, 0)
	for range 25 {
		c.logJoin(now, false, "a: no leader")
		c.logJoin(now, false, "b: can't be reached")
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(logged(), 1)
	c.logJoin(now, false, "a: no leader")
	c.logJoin(now, false, "b: can't be reached")
	is.Equal(logged(), 2)
	c.logJoin(now, true, "accepted by a")
	is.Equal(logged(), 3)
}
