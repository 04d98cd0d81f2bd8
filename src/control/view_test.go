package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
)

// TestQuestionsDoNotWaitForTheLoop: gateways' streams, reports of demand and orders asked
// the loop of consensus for version, members and leader, and waited for its disk.
func TestQuestionsDoNotWaitForTheLoop(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	n := tc.nodes[tc.seeds[0]]
	tc.put(n, 5, "five")
	held, release := make(chan struct{}), make(chan struct{})
	go n.node.Do(func(time.Time) {
		close(held)
		<-release
	})
	<-held
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		n.cluster.Leadership()
		n.cluster.Members()
		n.cluster.Majority()
		is.Equal(n.cluster.Version(), uint64(5))
		is.Equal(string(n.cluster.Document().Packed), "five")
	}()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Error("the questions wait for the loop")
	}
	close(release)
	<-answered
}

// TestAViewIsSureOnlyWhileTheLeaseLasts, whoever holds it for how long.
func TestAViewIsSureOnlyWhileTheLeaseLasts(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	v := &view{sureUntil: noon}
	is.True(v.sure(noon.Add(-1)))
	is.True(!v.sure(noon))
	is.True(!(&view{}).sure(noon))
}

// TestALeaderWhoseLeaseEndedIsCertainUntilThen, not as of when it last followed.
func TestALeaderWhoseLeaseEndedIsCertainUntilThen(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	v := &view{sureUntil: noon, confirmedAt: noon.Add(-time.Hour)}
	is.Equal(v.confirmed(noon.Add(-1)), noon.Add(-1))
	is.Equal(v.confirmed(noon.Add(time.Second)), noon)
	is.Equal((&view{confirmedAt: noon}).confirmed(noon.Add(time.Second)), noon)
}

// TestALeaderThatGivesUpKeepsItsCertainty until when it had it.
func TestALeaderThatGivesUpKeepsItsCertainty(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	core := leadingCore(noon, raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}})
	beat := noon.Add(100 * time.Millisecond)
	replyFrom(core, beat, "b#0", "c#0")
	persist(core, beat)
	until := core.ReadSafeUntil()
	is.True(until.After(beat))
	now := until.Add(time.Second)
	core.Step(now, raft.Message{Kind: raft.MsgAppend, From: "b#0", To: "a#0", Term: core.Term() + 1, Index: 99, LogTerm: 99, Commit: 99})
	is.Equal(core.Role(), raft.Follower)
	is.Equal(core.Confirmed(), until)
}
