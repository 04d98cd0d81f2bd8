package control

import (
	"testing"

	"github.com/matryer/is"
)

// What users saw: after all power had been lost, requests were handled by the configuration
// before the one that had been acknowledged last, for as long as no leader was elected.
//
// Order of events: a configuration is committed and acknowledged; the disks hold its entry,
// but not yet that it is committed, since a commit index is written with the next entries;
// all power is lost; each control node comes back and applies what its disk knows to be
// committed, which is the configuration before; gateways follow it.
//
// Evidence: with the nodes kept apart, so that none can be elected, all three apply version
// 5 after version 6 was acknowledged.
func TestWhatWasAcknowledgedIsInForceAfterALossOfPowerWithoutALeader(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	tc.put(tc.nodes[tc.seeds[0]], 5, "five")
	tc.put(tc.nodes[tc.seeds[0]], 6, "six")
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	is.True(tc.knowAlone(6) >= 2) // a majority: two lost disks of five leave one that knows
}

// TestAChangeSentAgainIsAcknowledgedAsSurely: its first answer was lost; the second one
// promises as much.
func TestAChangeSentAgainIsAcknowledgedAsSurely(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first := tc.nodes[tc.seeds[0]]
	tc.put(first, 5, "five")
	tc.eventually("the configuration is in the log without an answer", func() bool {
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
	for _, seed := range tc.seeds {
		tc.nodes[seed].kill()
	}
	is.True(tc.knowAlone(6) >= 2)
}

// knowAlone starts each node by itself, on the folder that it had, and returns how many
// have applied a version though no leader can be elected.
func (tc *testCluster) knowAlone(version uint64) int {
	tc.t.Helper()
	know := 0
	for _, seed := range tc.seeds {
		n := tc.start(seed, tc.nodes[seed].folder, false)
		tc.eventually("it has applied what it knew to be committed", func() bool { return n.cluster.Version() > 0 })
		if n.cluster.Version() >= version {
			know++
		}
		if n.cluster.Leadership().Self {
			tc.t.Fatal("a node was elected alone")
		}
		n.kill()
	}
	tc.nodes = map[string]*clusterNode{}
	return know
}
