package control

import (
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
)

// Quorum summarizes the membership as seen by a control node.
type Quorum struct {
	// Leading is set while this node leads. InContact is known only then.
	Leading bool
	// LeaderKnown is set while this node leads or follows a leader.
	LeaderKnown bool
	// Member is set if this node is a voter or a learner.
	Member   bool
	Voters   int
	Learners int
	// InContact is the number of voters in contact, including this node.
	InContact int
	// Version is the version of the applied configuration, 0 if there is none.
	Version uint64
	Term    uint64
}

// String formats the quorum for a log line.
func (q Quorum) String() string {
	return fmt.Sprintf("%d of %d voters heard, %d learners", q.InContact, q.Voters, q.Learners)
}

// Quorum returns the membership as of the last loop iteration. It does not wait for the event loop:
// metrics must be available especially while a disk is slow.
func (c *Cluster) Quorum() Quorum { return c.node.currentView().quorum }

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
		q.InContact = len(members.Voters) - len(silentVoters(core, now))
	}
	return q
}

// silentVoters returns the other voters that are out of contact with this leader.
func silentVoters(core *raft.Core, now time.Time) []raft.ID {
	var silent []raft.ID
	for _, id := range core.Members().Voters {
		if id != core.ID() && now.Sub(lastContact(core, id)) >= contactTimeout {
			silent = append(silent, id)
		}
	}
	return silent
}

// lastContact returns when a member last responded to this leader. A member that has not responded
// yet counts as heard at the election.
func lastContact(core *raft.Core, id raft.ID) time.Time {
	at := core.LastContact(id)
	if since := core.LeaderSince(); at.Before(since) {
		return since
	}
	return at
}

// logQuorumChange logs the quorum of a leader when it has changed.
func (c *Cluster) logQuorumChange(q Quorum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.loggedQuorum
	c.loggedQuorum = q
	if q.Leading && (!before.Leading || before.String() != q.String()) {
		c.ring.Add(event.Event{Kind: event.QuorumChanged, Host: c.Address(), Reason: q.String()})
	}
}

// joinLogInterval limits how often the reasons for rejected join requests are logged. Each node
// that is asked gives its own reason, five times a second in total.
const joinLogInterval = 5 * time.Second

// logJoin logs the outcome of a join request when it has changed.
func (c *Cluster) logJoin(now time.Time, accepted bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted == c.joinAccepted && (reason == c.joinReason || now.Sub(c.joinLoggedAt) < joinLogInterval) {
		return
	}
	c.joinAccepted, c.joinReason, c.joinLoggedAt = accepted, reason, now
	c.ring.Add(event.Event{Kind: event.JoinAsked, Host: c.Address(), Reason: reason})
}
