package control

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// MaintainMembership maintains the membership until the context ends. A node that is not a member
// asks to become a learner, and the leader lets caught-up learners replace failed voters.
func (c *Cluster) MaintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.maintainOnce(ctx)
	}
}

func (c *Cluster) maintainOnce(ctx context.Context) {
	var next *raft.Members
	var quorum Quorum
	c.node.Do(func(now time.Time) {
		quorum = quorumOf(c.node.replica, now)
		c.recordLeader(now, quorum.LeaderKnown)
		if quorum.Leading {
			next = nextVoters(c.node.replica.core, now, c.options.Voters)
		}
	})
	c.logQuorumChange(quorum)
	if next != nil {
		c.proposeMembers(ctx, *next)
	}
	if !quorum.Leading && c.leaderMissing(c.now()) {
		c.requestJoin(ctx)
	}
}

func (c *Cluster) recordLeader(now time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.leaderKnownAt = now
	}
}

// leaderMissing reports whether no leader has been known for so long that this node may have been
// removed from the membership.
func (c *Cluster) leaderMissing(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leaderKnownAt) > rejoinAfter
}

// nextVoters returns the next single membership change: towards the target number of live voters
// first, then towards removing learners that are out of contact. It returns nil if there is none.
func nextVoters(core *raft.Core, now time.Time, wanted int) *raft.Members {
	members := core.Members()
	for _, learner := range caughtUp(core, now) {
		if len(members.Voters) < wanted {
			next := members.WithVoter(learner)
			return &next
		}
		if failed := replaceableVoter(core, now, learner); failed != "" {
			next := members.Without(failed)
			return &next
		}
	}
	for _, id := range members.Learners {
		if now.Sub(lastContact(core, id)) >= learnerRemoveAfter {
			next := members.Without(id)
			return &next
		}
	}
	return nil
}

// caughtUp returns the learners that hold every committed entry and are in contact.
func caughtUp(core *raft.Core, now time.Time) []raft.ID {
	var ready []raft.ID
	for _, id := range core.Members().Learners {
		if core.Match(id) >= core.Commit() && now.Sub(core.LastContact(id)) < contactTimeout {
			ready = append(ready, id)
		}
	}
	return ready
}

// replaceableVoter returns the voter that the learner may replace, "" if there is none. It prefers
// the previous identity of the learner's own host, whose disk was lost, and otherwise picks the
// voter out of contact the longest, if that is long enough. The remaining voters that are in
// contact must form a majority without it.
func replaceableVoter(core *raft.Core, now time.Time, learner raft.ID) raft.ID {
	for _, id := range core.Members().Voters {
		if nameOf(id) == nameOf(learner) && quorumWithout(core, now, id) {
			return id
		}
	}
	silent := longestSilent(core, now)
	if silent == "" || now.Sub(lastContact(core, silent)) < voterReplaceAfter || !quorumWithout(core, now, silent) {
		return ""
	}
	return silent
}

// longestSilent returns the voter that has been out of contact the longest, "" if there is none.
func longestSilent(core *raft.Core, now time.Time) raft.ID {
	var longest raft.ID
	for _, id := range silentVoters(core, now) {
		if longest == "" || lastContact(core, id).Before(lastContact(core, longest)) {
			longest = id
		}
	}
	return longest
}

// quorumWithout reports whether the voters in contact form a quorum of the membership without the
// given voter.
func quorumWithout(core *raft.Core, now time.Time, without raft.ID) bool {
	left := core.Members().Without(without)
	heard := len(left.Voters)
	for _, id := range silentVoters(core, now) {
		if id != without {
			heard--
		}
	}
	return heard >= left.Quorum()
}

func (c *Cluster) proposeMembers(ctx context.Context, next raft.Members) wire.MembersReply {
	applied, err := c.node.await(ctx, func(now time.Time, done func(result, error)) {
		c.node.replica.ProposeMembers(now, next, done)
	})
	if err != nil {
		return wire.MembersReply{Outcome: wire.Refused, Reason: err.Error()}
	}
	return wire.MembersReply{Outcome: applied.outcome, Members: next, Reason: applied.reason}
}
