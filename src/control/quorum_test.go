package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
)

// Reading the quorum used to wait for the event loop, and the loop for the disk, up to 1 s next to
// other heavy writers. In one run a control node served no metrics within a second; it is not
// proven that this was the cause.
func TestQuorumIsReadableWhileTheDiskHangs(t *testing.T) {
	is := is.New(t)
	hangs, release := make(chan struct{}, 16), make(chan struct{})
	save := func(*raft.HardState, []raft.Entry) error {
		hangs <- struct{}{}
		<-release
		return nil
	}
	start := raft.InitialState{Snapshot: raft.Snapshot{Members: raft.Members{Voters: []raft.ID{"a#0"}}}}
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
		t.Error("the quorum can't be read while the disk hangs")
	}
	close(release)
	cancel()
	is.NoErr(<-ended)
}
