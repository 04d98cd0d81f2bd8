package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
)

// Gateway streams, demand reports and orders used to read version, members and leader through the
// event loop, and so waited for its disk.
func TestReadsDoNotWaitForTheEventLoop(t *testing.T) {
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
		t.Error("reads wait for the event loop")
	}
	close(release)
	<-answered
}

// A view that is kept for longer than the lease must not be treated as the newest.
func TestViewHasReadLeaseOnlyUntilItExpires(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	v := &view{readLeaseUntil: noon}
	is.True(v.hasReadLease(noon.Add(-1)))
	is.True(!v.hasReadLease(noon))
	is.True(!(&view{}).hasReadLease(noon))
}

// The lease end is later than the last time this node confirmed its state as a follower.
func TestConfirmedIsTheLeaseEndOnceTheLeaseHasExpired(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	v := &view{readLeaseUntil: noon, confirmedAt: noon.Add(-time.Hour)}
	is.Equal(v.confirmed(noon.Add(-1)), noon.Add(-1))
	is.Equal(v.confirmed(noon.Add(time.Second)), noon)
	is.Equal((&view{confirmedAt: noon}).confirmed(noon.Add(time.Second)), noon)
}

// A leader that steps down keeps the end of its lease as its confirmed time.
func TestDeposedLeaderKeepsItsConfirmedTime(t *testing.T) {
	is := is.New(t)
	noon := time.Unix(1_800_000_000, 0)
	core := leadingCore(noon, raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}})
	beat := noon.Add(100 * time.Millisecond)
	replyFrom(core, beat, "b#0", "c#0")
	persist(core, beat)
	until := core.ReadLeaseUntil()
	is.True(until.After(beat))
	now := until.Add(time.Second)
	core.Step(now, raft.Message{Kind: raft.MsgAppend, From: "b#0", To: "a#0", Term: core.Term() + 1, Index: 99, LogTerm: 99, Commit: 99})
	is.Equal(core.Role(), raft.Follower)
	is.Equal(core.ConfirmedAt(), until)
}
