package raft

import (
	"sort"
	"time"
)

// ReadSafe reports whether this node's applied state is the newest accepted one:
// it leads under a valid lease and has committed an entry of its own term.
func (c *Core) ReadSafe(now time.Time) bool { return now.Before(c.ReadSafeUntil()) }

// ReadSafeUntil returns until when ReadSafe holds if nothing changes, the zero time if it
// does not hold.
func (c *Core) ReadSafeUntil() time.Time {
	if !c.committedInTerm() || c.applied != c.commit {
		return time.Time{}
	}
	return c.leaseEnd()
}

// Confirmed returns when this node last heard a leader say that nothing beyond what it had
// applied was committed, the zero time if it never did. A leader is sure of itself by
// ReadSafe.
func (c *Core) Confirmed() time.Time { return c.confirmedAt }

// confirm notes that all that the leader last said to be committed is applied.
func (c *Core) confirm() {
	if c.role == Follower && c.leader != "" && c.applied >= c.leaderCommit {
		c.confirmedAt = c.leaderSeenAt
	}
}

// confirmAsLeader keeps until when a leader that gives up was sure of itself.
func (c *Core) confirmAsLeader(now time.Time) {
	until := c.ReadSafeUntil()
	if until.After(now) {
		until = now
	}
	if until.After(c.confirmedAt) {
		c.confirmedAt = until
	}
}

// LeaseValid reports whether this leader has heard from a quorum so lately that
// no other leader can have been elected.
func (c *Core) LeaseValid(now time.Time) bool { return now.Before(c.leaseEnd()) }

// leaseEnd returns when the leader's lease ends, the zero time if the node has none.
func (c *Core) leaseEnd() time.Time {
	if c.role != Leader || c.transferTo != "" {
		return time.Time{}
	}
	contact := c.quorumContact()
	if contact.IsZero() {
		return contact
	}
	return contact.Add(c.options.Lease)
}

// quorumContact returns the latest time at which a quorum is known to have
// followed this leader: the send time of what it answered, not the answer's.
func (c *Core) quorumContact() time.Time {
	members := c.Members()
	var times []time.Time
	for _, id := range members.Voters {
		if id == c.id {
			times = append(times, c.latestSend())
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

func (c *Core) latestSend() time.Time {
	if len(c.rounds) == 0 {
		return time.Time{}
	}
	return c.rounds[len(c.rounds)-1].sentAt
}
