package feed

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// The heartbeats of the tests of a node that stands still.
const (
	beatInterval = 1200 * time.Millisecond
	beatSilence  = 4 * beatInterval
	beatReplicas = 12
)

// standingNode is a publisher whose node can stand still, with replicas that send it heartbeats.
type standingNode struct {
	*Publisher
	stoodStill atomic.Int64
	began      time.Time
	beats      uint64
}

func newStandingNode() *standingNode {
	n := &standingNode{began: time.Now()}
	cluster := Cluster{Serves: func(string) bool { return true }, Save: func([]registry.Record) error { return nil }}
	times := registry.Times{Silence: beatSilence, Forget: time.Hour}
	n.Publisher = NewPublisher("n", "z", times, cluster, func() time.Time { return time.Now().Add(time.Duration(n.stoodStill.Load())) })
	return n
}

// hear passes the time, in which the replicas send their heartbeats one after the other, those before the first one
// given none.
func (n *standingNode) hear(t *testing.T, span time.Duration, first int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(beatInterval / beatReplicas) {
		n.beats++
		if replica := int(n.beats % beatReplicas); replica >= first {
			n.ApplyHeartbeat(t.Context(), registry.Record{ID: fmt.Sprint(replica), Sequence: n.beats})
		}
	}
}

// silent returns how many replicas count as silent.
func (n *standingNode) silent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, status := range n.table.Since(0) {
		if status.Silent {
			count++
		}
	}
	return count
}

// TestAStandstillOfTheNodeIsNotTheSilenceOfReplicas: a control node that stood still called replicas silent as it went on,
// though it was the one that had not listened.
func TestAStandstillOfTheNodeIsNotTheSilenceOfReplicas(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newStandingNode()
			go n.Run(t.Context())
			n.hear(t, 5*beatInterval, 0)
			n.stoodStill.Add(int64(pause))
			for range 30 {
				n.hear(t, beatInterval/10, 0)
				is.Equal(n.silent(), 0)
			}
		})
	}
}

// TestAReplicaThatEndsWhileTheNodeStandsStillIsSilentInTime: it counts as running for no longer than the standstill and the
// usual time, however often the node stands still and whatever is heard of others.
func TestAReplicaThatEndsWhileTheNodeStandsStillIsSilentInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStandingNode()
		go n.Run(t.Context())
		n.hear(t, 5*beatInterval, 0)
		lastHeard := time.Now()
		const ended = 5
		for range 3 {
			n.stoodStill.Add(int64(4 * time.Second))
			n.hear(t, beatInterval, ended)
		}
		time.Sleep(time.Until(lastHeard.Add(beatSilence - beatInterval - sweepInterval)))
		is.Equal(n.silent(), 0)
		n.hear(t, beatInterval+3*sweepInterval, ended)
		is.Equal(n.silent(), ended)
		time.Sleep(beatSilence + 2*sweepInterval)
		is.Equal(n.silent(), beatReplicas) // those that were heard after it last have the usual time
	})
}

// TestAnUpdateFromBeforeAStandstillIsNotSentAsNew: a relay told gateways the age of its configuration as of before its node
// stood still, and they refused for good by it.
func TestAnUpdateFromBeforeAStandstillIsNotSentAsNew(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1).nodes[0]
	now := time.Now()
	confirmedAt := now
	cluster := n.publisher.cluster
	cluster.Confirmed = func(time.Time) time.Time { return confirmedAt }
	r := NewRelay("n", "z", n.follower, cluster, func() time.Time { return now })
	r.round(now)
	told := func() time.Duration {
		encoded, _, _, err := r.next(relayState{})
		is.NoErr(err)
		var update wire.FeedUpdate
		is.NoErr(json.Unmarshal(encoded.Params(), &update))
		return time.Duration(update.ConfirmedMS) * time.Millisecond
	}
	is.Equal(told(), time.Millisecond)
	now = now.Add(4 * time.Second)
	is.Equal(told(), 4*time.Second)
}
