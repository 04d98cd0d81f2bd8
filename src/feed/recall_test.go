package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
)

// TestALeavingReplicaIsSavedByAMajorityBeforeItsCallIsAcknowledged guards against a replica
// counting as running again after all nodes have lost power.
func TestALeavingReplicaIsSavedByAMajorityBeforeItsCallIsAcknowledged(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	record := registry.Record{ID: "a", Sequence: 1}
	is.True(n.nodes[0].publisher.ApplyHeartbeat(context.Background(), record))
	n.nodes[1].failing.Store(true)
	n.nodes[2].failing.Store(true)
	record.Sequence, record.Draining = 2, true
	is.True(!n.nodes[0].publisher.ApplyHeartbeat(context.Background(), record)) // saved on one disk of three
	n.nodes[2].failing.Store(false)
	is.True(n.nodes[0].publisher.ApplyHeartbeat(context.Background(), record))
	copies := 0
	for _, node := range n.nodes {
		node.mu.Lock()
		for _, saved := range node.saved {
			if saved.ID == "a" && saved.Draining {
				copies++
			}
		}
		node.mu.Unlock()
	}
	is.True(copies >= 2)
}

// TestSlowSaveDoesNotOverwriteNewerReplicas guards against a slow disk write restoring a replica
// whose departure has been acknowledged in the meantime.
func TestSlowSaveDoesNotOverwriteNewerReplicas(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	node := n.nodes[0]
	p := node.publisher
	is.True(p.ApplyHeartbeat(context.Background(), registry.Record{ID: "a", Sequence: 1}))
	begun, ended := make(chan struct{}), make(chan struct{})
	p.cluster.Save = func(records []registry.Record) error {
		if !records[0].Draining {
			close(begun)
			time.Sleep(50 * time.Millisecond)
		}
		return node.save(records)
	}
	go func() {
		defer close(ended)
		is.NoErr(p.save())
	}()
	<-begun
	is.True(p.ApplyHeartbeat(context.Background(), registry.Record{ID: "a", Sequence: 2, Draining: true}))
	<-ended
	is.True(node.saved[0].Draining)
}

func TestSubscribersLearnOfRecalledReplicasAtOnce(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	n.nodes[0].publisher.Recall([]registry.Record{{ID: "a", Sequence: 3}})
	stream := feedStream{publisher: n.nodes[0].publisher, first: true}
	update, _ := stream.next()
	is.Equal(len(update.Standings), 1)
	is.True(!update.Standings[0].Silent)
	is.True(update.Standings[0].Recalled)
}
