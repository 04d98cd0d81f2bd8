package control

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// Tend looks after the membership until the context ends: a node that is no
// member asks to become a learner, and the leader lets caught-up learners take
// the places of voters that are gone.
func (c *Cluster) Tend(ctx context.Context) {
	ticker := time.NewTicker(tendMembersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.tendOnce(ctx)
	}
}

func (c *Cluster) tendOnce(ctx context.Context) {
	var next *raft.Members
	var quorum Quorum
	c.node.Do(func(now time.Time) {
		quorum = quorumOf(c.node.replica, now)
		c.noteLeader(now, quorum.LeaderKnown)
		if quorum.Leading {
			next = nextVoters(c.node.replica.core, now, c.options.Voters)
		}
	})
	c.noteQuorum(quorum)
	if next != nil {
		c.proposeMembers(ctx, *next)
	}
	if !quorum.Leading && c.alone(c.now()) {
		c.askToJoin(ctx)
	}
}

func (c *Cluster) noteLeader(now time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.leaderAt = now
	}
}

// alone reports whether no leader was known for so long that this node may
// have been replaced.
func (c *Cluster) alone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leaderAt) > lonely
}

// nextVoters returns the next single step towards the wanted number of live voters, then
// towards learners that are heard; nil if there is none to take.
func nextVoters(core *raft.Core, now time.Time, wanted int) *raft.Members {
	members := core.Members()
	for _, learner := range caughtUp(core, now) {
		if len(members.Voters) < wanted {
			next := members.WithVoter(learner)
			return &next
		}
		if gone := goneVoter(core, now, learner); gone != "" {
			next := members.Without(gone)
			return &next
		}
	}
	for _, id := range members.Learners {
		if now.Sub(lastContact(core, id)) >= learnerSilence {
			next := members.Without(id)
			return &next
		}
	}
	return nil
}

// caughtUp returns the learners that hold all that is committed and are in contact.
func caughtUp(core *raft.Core, now time.Time) []raft.ID {
	var ready []raft.ID
	for _, id := range core.Members().Learners {
		if core.Match(id) >= core.Commit() && now.Sub(core.Contact(id)) < voterContact {
			ready = append(ready, id)
		}
	}
	return ready
}

// goneVoter returns the voter whose place the learner may take, "" if there is none: the
// one whose machine came back without its disk as this learner, else the one silent
// longest, if long enough. The voters that are heard must decide without it too.
func goneVoter(core *raft.Core, now time.Time, learner raft.ID) raft.ID {
	for _, id := range core.Members().Voters {
		if nameOf(id) == nameOf(learner) && spared(core, now, id) {
			return id
		}
	}
	gone := longestSilent(core, now)
	if gone == "" || now.Sub(lastContact(core, gone)) < voterSilence || !spared(core, now, gone) {
		return ""
	}
	return gone
}

// longestSilent returns the silent voter that was heard least lately, "" if all are heard.
func longestSilent(core *raft.Core, now time.Time) raft.ID {
	var longest raft.ID
	for _, id := range silentVoters(core, now) {
		if longest == "" || lastContact(core, id).Before(lastContact(core, longest)) {
			longest = id
		}
	}
	return longest
}

// spared reports whether the voters that are heard decide among those left without one.
func spared(core *raft.Core, now time.Time, without raft.ID) bool {
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
