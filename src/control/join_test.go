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

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	held, err := rpc.Listen("127.0.0.1:0", rpc.NewMux(), &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	return held.Address()
}

// newSpare starts an empty node that is nobody's seed and waits until it is a learner.
func (tc *testCluster) newSpare() string {
	tc.t.Helper()
	address := freeAddress(tc.t)
	tc.start(address, tc.t.TempDir(), false)
	tc.eventually("the spare node is a learner", func() bool {
		return tc.nodes[address].cluster.Quorum().Member
	})
	return address
}

// wipe ends a node and starts it again with an empty folder.
func (tc *testCluster) wipe(address string) *clusterNode {
	tc.t.Helper()
	tc.nodes[address].kill()
	return tc.start(address, tc.t.TempDir(), false)
}

// leadAt lets the node at an address, a voter, be elected.
func (tc *testCluster) leadAt(address string) {
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

// repaired reports whether every node is a member and a leader hears all voters.
func (tc *testCluster) repaired() bool {
	led := false
	for _, n := range tc.nodes {
		q := n.cluster.Quorum()
		if !q.Member {
			return false
		}
		led = led || q.Leading && q.Voters == 3 && q.Heard == q.Voters
	}
	return led
}

// voting returns whether the nodes at the addresses are the voters, as one of them knows.
func (tc *testCluster) voting(asked string, addresses ...string) bool {
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

// leadFromNoSeed kills the second seed's node, lets a spare node take its vote and lead, and
// returns the spare node's address.
func (tc *testCluster) leadFromNoSeed() string {
	tc.t.Helper()
	a, b, c := tc.seeds[0], tc.seeds[1], tc.seeds[2]
	spare := tc.newSpare()
	tc.nodes[b].kill()
	tc.eventually("the spare node votes", func() bool { return tc.voting(a, a, spare, c) })
	tc.leadAt(spare)
	return spare
}

// TestAWipedNodeIsLetInThoughNoSeedLeads: seeds tell where to ask first; who leads changes.
func TestAWipedNodeIsLetInThoughNoSeedLeads(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.leadFromNoSeed()
	back := tc.start(tc.seeds[1], t.TempDir(), false)
	tc.eventually("the wiped node is let in", func() bool { return back.cluster.Quorum().Member })
	tc.readsBack(back, 5, "five")
}

// TestAnEmptyNodeElsewhereIsLetInThoughNoSeedLeads: nobody knows its address.
func TestAnEmptyNodeElsewhereIsLetInThoughNoSeedLeads(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.leadFromNoSeed()
	delete(tc.nodes, tc.seeds[1])
	tc.newSpare()
}

// TestDisksLostOneAfterTheOtherLeaveAMajority: each is replaced before the next is lost, so
// that what was acknowledged last is in force after all have lost power at once.
func TestDisksLostOneAfterTheOtherLeaveAMajority(t *testing.T) {
	tc := newTestCluster(t, 3)
	a, b, c := tc.seeds[0], tc.seeds[1], tc.seeds[2]
	spare := tc.leadFromNoSeed()
	tc.start(b, t.TempDir(), false)
	tc.eventually("all take part", tc.repaired)
	tc.wipe(c)
	tc.eventually("all take part again", tc.repaired)
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
	tc.readsBack(tc.nodes[spare], 6, "six")
}

// TestNextVotersReplacesTwoWipedVoters though a learner that holds everything stands before
// them, and takes a learner at another address where nobody came back.
func TestNextVotersReplacesTwoWipedVoters(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{
		Voters:   []raft.ID{"a#0", "b#0", "c#0", "d#0", "e#0"},
		Learners: []raft.ID{"f#1", "d#2", "e#2"},
	}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "f#1", "d#2", "e#2"}
	now := answerFor(core, noon, 1500*time.Millisecond, heard...)
	next := nextVoters(core, now, 5)
	is.True(next != nil)
	is.True(!next.IsVoter("d#0") || !next.IsVoter("e#0"))
	is.Equal(len(next.Voters), 4)
}

// TestNextVotersReplacesVotersThatAreGoneForGood, one after the other, though two are silent.
func TestNextVotersReplacesVotersThatAreGoneForGood(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{
		Voters:   []raft.ID{"a#0", "b#0", "c#0", "d#0", "e#0"},
		Learners: []raft.ID{"f#1", "g#1"},
	}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "f#1", "g#1"}
	now := answerFor(core, noon, 2*time.Second, heard...)
	is.True(nextVoters(core, now, 5) == nil) // a short silence costs no place
	now = answerFor(core, now, time.Second, heard...)
	next := nextVoters(core, now, 5)
	is.True(next != nil)
	is.True(!next.IsVoter("d#0") || !next.IsVoter("e#0"))
	is.True(next.IsVoter("b#0") && next.IsVoter("c#0"))
}

// TestNextVotersForgetsLearnersThatAreGone, and no others.
func TestNextVotersForgetsLearnersThatAreGone(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}, Learners: []raft.ID{"f#1", "g#1"}}
	core := leadingCore(noon, members)
	heard := []raft.ID{"b#0", "c#0", "g#1"}
	now := answerFor(core, noon, learnerSilence-time.Second, heard...)
	is.True(nextVoters(core, now, 3) == nil)
	now = answerFor(core, now, 2*time.Second, heard...)
	next := nextVoters(core, now, 3)
	is.True(next != nil)
	is.Equal(next.Learners, []raft.ID{"g#1"})
	is.Equal(next.Voters, members.Voters)
}

// answerFor lets members answer a leader's heartbeats for a while and returns the time.
func answerFor(core *raft.Core, from time.Time, span time.Duration, ids ...raft.ID) time.Time {
	now := from
	for now.Before(from.Add(span)) {
		now = now.Add(100 * time.Millisecond)
		replyFrom(core, now, ids...)
	}
	return now
}

// TestAMessageForALostFolderSaysWhomToAsk: the others still send to the address under the
// identity that was lost, and need be nobody's seed.
func TestAMessageForALostFolderSaysWhomToAsk(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	tc.seeds = nil
	outside := tc.start(freeAddress(t), t.TempDir(), false)
	is.Equal(len(outside.cluster.others()), 0)
	lost := raft.ID(outside.address + "#lost")
	_, err := outside.cluster.step(context.Background(), nil, raft.Message{Kind: raft.MsgAppend, From: "127.0.0.1:1#0", To: lost, Term: 1})
	is.NoErr(err)
	is.Equal(outside.cluster.others(), []string{"127.0.0.1:1"})
}

// TestARequestToBeLetInIsPassedOnOnce: two nodes that take each other for the leader must
// not send it to and fro; the answer names whom else to ask.
func TestARequestToBeLetInIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	a, b := tc.nodes[tc.seeds[0]], tc.nodes[tc.seeds[1]]
	tc.leadAt(a.address)
	tc.eventually("the other one follows", func() bool { return b.cluster.Leadership().Address == a.address })
	ask := func(id raft.ID, forwarded bool) wire.MembersReply {
		reply, err := b.cluster.changeMembers(context.Background(), nil, wire.MembersRequest{AddLearner: id, Forwarded: forwarded})
		is.NoErr(err)
		return reply
	}
	refused := ask("127.0.0.1:1#1", true)
	is.Equal(refused.Outcome, wire.Unavailable)
	is.Equal(len(refused.Members.Voters), 3)
	tc.eventually("it is passed on", func() bool { return ask("127.0.0.1:1#1", false).Outcome == wire.Accepted })
}

// TestANodeThatIsNoMemberKnowsNoMajority, so that it acknowledges nothing that needs one.
func TestANodeThatIsNoMemberKnowsNoMajority(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	tc.seeds = nil
	outside := tc.start(freeAddress(t), t.TempDir(), false)
	_, known := outside.cluster.Majority()
	is.True(!known)
}

// TestWhyANodeIsNotLetInIsLoggedNowAndThen, and at once when it is let in: every node that
// it asks has a reason of its own.
func TestWhyANodeIsNotLetInIsLoggedNowAndThen(t *testing.T) {
	is := is.New(t)
	ring := event.NewRing("n", 64, nil, time.Now)
	c := &Cluster{ring: ring}
	logged := func() int {
		events, _ := ring.Since(0, "")
		return len(events)
	}
	now := time.Unix(1_800_000_000, 0)
	for range 25 {
		c.noteJoin(now, false, "a: no leader")
		c.noteJoin(now, false, "b: can't be reached")
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(logged(), 1)
	c.noteJoin(now, false, "a: no leader")
	c.noteJoin(now, false, "b: can't be reached")
	is.Equal(logged(), 2)
	c.noteJoin(now, true, "accepted by a")
	is.Equal(logged(), 3)
}
