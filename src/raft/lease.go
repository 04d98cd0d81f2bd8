package raft

import (
	"sort"
	"time"
)

// HasReadLease reports whether this node's applied state includes every committed change:
// it is the leader with a valid lease, has committed an entry of its own term and has applied
// everything committed.
func (c *Core) HasReadLease(now time.Time) bool { return now.Before(c.ReadLeaseUntil()) }

// ReadLeaseUntil returns when HasReadLease stops holding if nothing changes, or the zero time if it
// does not hold now.
func (c *Core) ReadLeaseUntil() time.Time {
	if !c.committedInTerm() || c.applied != c.commit {
		return time.Time{}
	}
	return c.leaseEnd()
}

// ConfirmedAt returns the latest time after which a leader is known to have sent this node, as a follower, a
// message all of whose committed changes it has applied; or at which it was a leader for which HasReadLease held, once it
// has stepped down. It is the zero time if there was none. For a current leader use HasReadLease.
func (c *Core) ConfirmedAt() time.Time { return c.confirmedAt }

// confirmApplied updates confirmedAt if everything the leader last reported as committed is applied. A new
// leader may not know all that was committed before until it has committed an entry of its own term.
func (c *Core) confirmApplied() {
	if c.role != Follower || c.leader == "" || c.applied < c.leaderCommit {
		return
	}
	if term, found := c.log.term(c.leaderCommit); found && term == c.term {
		c.confirmedAt = later(c.confirmedAt, c.leaderSentAt)
	}
}

// noteStandstill records that this node did nothing for longer than usual until now.
func (c *Core) noteStandstill(now time.Time) {
	if c.stoodStill(now) {
		c.pausedAt, c.resumedAt = c.tickedAt, now
	}
	c.tickedAt = now
}

// stoodStill reports whether this node has done nothing since its last tick for longer than usual.
func (c *Core) stoodStill(now time.Time) bool {
	return !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > c.options.Heartbeat
}

// sentAfter returns the time after which a message that is handled now was sent. What waited while this node stood still
// has been handled an election timeout after that.
func (c *Core) sentAfter(now time.Time) time.Time {
	switch {
	case c.stoodStill(now):
		return c.tickedAt
	case now.Sub(c.resumedAt) < c.options.Election:
		return c.pausedAt
	}
	return now
}

// confirmAsLeader sets confirmedAt to the latest time HasReadLease held, before a leader steps down.
func (c *Core) confirmAsLeader(now time.Time) {
	until := c.ReadLeaseUntil()
	if until.After(now) {
		until = now
	}
	c.confirmedAt = later(c.confirmedAt, until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LeaseValid reports whether this leader has had contact with a quorum so recently that
// no other leader can have been elected.
func (c *Core) LeaseValid(now time.Time) bool { return now.Before(c.leaseEnd()) }

// leaseEnd returns when the leader's lease ends, or the zero time if this node has no lease.
func (c *Core) leaseEnd() time.Time {
	if c.role != Leader || c.transferTo != "" {
		return time.Time{}
	}
	lastContact := c.quorumContact()
	if lastContact.IsZero() {
		return lastContact
	}
	return lastContact.Add(c.options.Lease)
}

// quorumContact returns the latest time at which a quorum is known to have followed this leader.
// For each member this is when the leader sent the message that the member acknowledged, not when
// the acknowledgment arrived.
func (c *Core) quorumContact() time.Time {
	members := c.Members()
	var times []time.Time
	for _, id := range members.Voters {
		if id == c.id {
			times = append(times, c.latestRoundSentAt())
			continue
		}
		if p := c.progress[id]; p != nil {
			times = append(times, p.ackedAt)
		}
	}
	if len(times) < members.Quorum() {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[members.Quorum()-1]
}

func (c *Core) latestRoundSentAt() time.Time {
	if len(c.rounds) == 0 {
		return time.Time{}
	}
	return c.rounds[len(c.rounds)-1].sentAt
}
