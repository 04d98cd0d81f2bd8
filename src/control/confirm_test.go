package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

// After a loss of all power whoever starts first may lack the newest configuration and drains, and a leader
// needs several syncs. While disks hang, gateways followed the node that lagged, without a way to tell that
// it did. Two of three nodes know the newest state without a leader and without a write; the third one
// alone must not believe that it does.
func TestMajorityConfirmsItsStateWhileDisksHang(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first, second, lagging := tc.seeds[0], tc.seeds[1], tc.seeds[2]
	tc.put(tc.nodes[first], 5, "five")
	tc.eventually("all have version 5", func() bool { return tc.nodes[lagging].cluster.Version() == 5 })
	tc.nodes[lagging].kill()
	tc.put(tc.nodes[first], 6, "six")
	tc.eventually("a zone is drained", func() bool {
		return tc.nodes[first].cluster.OrderZone(t.Context(), "z", true).Outcome == wire.Accepted
	})
	drains := tc.nodes[first].cluster.Drains().Revision
	tc.nodes[first].kill()
	tc.nodes[second].kill()

	tc.hang = make(chan struct{})
	t.Cleanup(func() { close(tc.hang) })
	alone := tc.start(lagging, tc.nodes[lagging].folder, false)
	alone.cluster.confirmByMajority(t.Context(), time.Now())
	is.True(alone.cluster.MajorityConfirmed(5, 0).IsZero())

	began := time.Now()
	knowing := tc.start(first, tc.nodes[first].folder, false)
	confirmed := func(n *clusterNode, version, drains uint64) bool {
		return n.cluster.MajorityConfirmed(version, drains).After(began)
	}
	tc.eventually("two nodes confirm the newest state", func() bool { return confirmed(knowing, 6, drains) && confirmed(alone, 6, drains) })
	is.True(!confirmed(alone, 5, drains))
	is.True(!confirmed(alone, 6, drains-1))
	is.True(alone.cluster.Version() < 6)
	is.True(!knowing.cluster.Leadership().Self && !alone.cluster.Leadership().Self)
}

// A node that missed a change of the membership counts voters that have been replaced. Two such nodes are a
// majority of the voters that they know, while those that acknowledge changes are others.
func TestMajorityNeedsVotersThatAgreeOnTheMembership(t *testing.T) {
	before, after := []string{"a", "b", "c"}, []string{"a", "b", "d"}
	state := func(id string, voters []string, version uint64) wire.AppliedState {
		return wire.AppliedState{ID: id, Voters: voters, Version: version}
	}
	for name, test := range map[string]struct {
		states   []wire.AppliedState
		majority bool
	}{
		"one of three":                 {[]wire.AppliedState{state("a", before, 5)}, false},
		"two of three":                 {[]wire.AppliedState{state("a", before, 5), state("b", before, 6)}, true},
		"no answer":                    {[]wire.AppliedState{state("a", before, 5), {}}, false},
		"two that disagree":            {[]wire.AppliedState{state("a", before, 5), state("b", after, 6)}, false},
		"a node that does not vote":    {[]wire.AppliedState{state("a", after, 5), state("c", after, 6)}, false},
		"a majority and an older view": {[]wire.AppliedState{state("c", before, 5), state("a", after, 6), state("d", after, 6)}, true},
		"a node that knows no voters":  {[]wire.AppliedState{state("e", nil, 0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			newest, majority := majorityState(test.states)
			is.Equal(majority, test.majority)
			if majority {
				is.Equal(newest.version, uint64(6))
			}
		})
	}
}
