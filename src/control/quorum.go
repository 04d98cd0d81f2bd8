package control

import (
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
)

// Quorum is how a control node sees the membership.
type Quorum struct {
	// Leading is set while this node leads; only then is Heard known.
	Leading bool
	// LeaderKnown is set while this node leads or follows a leader.
	LeaderKnown bool
	// Member is set if this node is a voter or a learner.
	Member   bool
	Voters   int
	Learners int
	// Heard is the number of voters that follow, this node included.
	Heard int
	// Version is that of the applied configuration, 0 if there is none.
	Version uint64
	Term    uint64
}

// String returns the quorum for a log line.
func (q Quorum) String() string {
	return fmt.Sprintf("%d of %d voters heard, %d learners", q.Heard, q.Voters, q.Learners)
}

// Quorum returns how this node saw the membership after its last turn. It does not wait for a turn,
// which may wait for the disk: metrics have to be there just when a disk is slow.
func (c *Cluster) Quorum() Quorum { return c.node.known().quorum }

func quorumOf(r *Replica, now time.Time) Quorum {
	core := r.core
	members := core.Members()
	q := Quorum{
		Leading:     core.Role() == raft.Leader,
		LeaderKnown: core.Leader() != "",
		Member:      members.IsVoter(core.ID()) || members.IsLearner(core.ID()),
		Voters:      len(members.Voters),
		Learners:    len(members.Learners),
		Version:     r.state.document.Version,
		Term:        core.Term(),
	}
	if q.Leading {
		q.Heard = len(members.Voters) - len(silentVoters(core, now))
	}
	return q
}

// silentVoters returns the other voters that have not followed this leader lately.
func silentVoters(core *raft.Core, now time.Time) []raft.ID {
	var silent []raft.ID
	for _, id := range core.Members().Voters {
		if id != core.ID() && now.Sub(lastContact(core, id)) >= voterContact {
			silent = append(silent, id)
		}
	}
	return silent
}

// lastContact returns when a member last followed this leader, which counts as heard
// when it was elected.
func lastContact(core *raft.Core, id raft.ID) time.Time {
	at := core.Contact(id)
	if since := core.LedSince(); at.Before(since) {
		return since
	}
	return at
}

// noteQuorum logs what a leader sees of the membership when that has changed.
func (c *Cluster) noteQuorum(q Quorum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.quorum
	c.quorum = q
	if q.Leading && (!before.Leading || before.String() != q.String()) {
		c.ring.Add(event.Event{Kind: event.QuorumChanged, Host: c.Address(), Reason: q.String()})
	}
}

// joinLogEvery bounds how often a node that is not let in logs why: each of the nodes that it
// asks gives a reason of its own, five times a second in all.
const joinLogEvery = 5 * time.Second

// noteJoin logs what became of asking to be let in, when that has changed.
func (c *Cluster) noteJoin(now time.Time, accepted bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted == c.joined && (reason == c.joinReason || now.Sub(c.joinLoggedAt) < joinLogEvery) {
		return
	}
	c.joined, c.joinReason, c.joinLoggedAt = accepted, reason, now
	c.ring.Add(event.Event{Kind: event.JoinAsked, Host: c.Address(), Reason: reason})
}
