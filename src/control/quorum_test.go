package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
)

// TestTheMembershipIsToldWhileTheDiskHangs
//
// A control node gave no metrics within a second at the end of a run. Whoever asked for the membership
// waited for a turn of the agreement, and a turn waits for the disk, up to 1 s beside others that
// write much. That this was the cause of that run is not shown; this test fails without the mend.
func TestTheMembershipIsToldWhileTheDiskHangs(t *testing.T) {
	is := is.New(t)
	hangs, release := make(chan struct{}, 16), make(chan struct{})
	save := func(*raft.HardState, []raft.Entry) error {
		hangs <- struct{}{}
		<-release
		return nil
	}
	start := raft.Start{Snapshot: raft.Snapshot{Members: raft.Members{Voters: []raft.ID{"a#0"}}}}
	replica, err := NewReplica("a#0", start, Disk{Save: save}, raft.DefaultOptions(), rand.New(rand.NewPCG(1, 1)), nil, time.Now())
	is.NoErr(err)
	node := NewNode(replica, func(raft.Message) {}, nil, time.Now)
	cluster := NewCluster(node, nil, ClusterOptions{ID: "a#0", Voters: 1}, nil, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	<-hangs
	told := make(chan Quorum, 1)
	go func() { told <- cluster.Quorum() }()
	select {
	case q := <-told:
		is.Equal(q.Voters, 1)
	case <-time.After(20 * time.Second):
		t.Error("the membership is not told as long as the disk hangs")
	}
	close(release)
	cancel()
	is.NoErr(<-ended)
}
