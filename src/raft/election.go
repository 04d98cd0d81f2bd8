package raft

import "time"

// Tick handles elapsed timeouts: elections, heartbeats and the leader's lease.
func (c *Core) Tick(now time.Time) {
	c.noteStandstill(now)
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) || c.writes.inFlight || !c.hardStateDurable() {
		// This node's vote could not become durable soon, since an earlier write has not completed.
		return
	}
	if !c.Members().IsVoter(c.id) {
		c.resetElection(now)
		return
	}
	c.schedulePreVoteRetry(now)
	c.campaign(now, PreCandidate, false)
}

// NextTick returns when Tick has to be called next.
func (c *Core) NextTick() time.Time {
	if c.role == Leader {
		return c.heartbeatAt
	}
	return c.electionAt
}

func (c *Core) tickLeader(now time.Time) {
	if c.transferTo != "" && now.After(c.transferDeadline) {
		c.transferTo = ""
	}
	if c.ownDiskIsSlow(now) {
		c.Transfer(now)
	}
	if c.transferTo == "" && !c.LeaseValid(now) && now.Sub(c.leaderSeenAt) > c.options.Lease {
		// Check-quorum: the lease has expired, so there may be another leader.
		c.becomeFollower(now, c.term, "")
		return
	}
	if now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeat(now)
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader ID) {
	c.confirmAsLeader(now)
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.rounds = nil
	c.transferTo = ""
	c.resetElection(now)
}

// campaign starts a pre-vote or an election. The requests of a candidate are sent and its own vote is
// counted once that vote is durable. A pre-candidate asks whether it could win without increasing its
// term, so that a node that was partitioned does not depose a working leader when it reconnects.
func (c *Core) campaign(now time.Time, as Role, force bool) {
	c.role = as
	c.leader = ""
	c.votes = map[ID]bool{c.id: as == PreCandidate}
	kind, term := MsgPreVote, c.term+1
	if as == Candidate {
		c.term++
		c.vote = c.id
		kind, term = MsgVote, c.term
	}
	for _, id := range c.Members().Voters {
		if id == c.id {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: force})
	}
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	members := c.Members()
	granted := 0
	for _, id := range members.Voters {
		if c.votes[id] {
			granted++
		}
	}
	if granted < members.Quorum() || !c.votes[c.id] {
		return
	}
	if c.role == PreCandidate {
		c.resetElection(now)
		c.campaign(now, Candidate, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.progress = map[ID]*progress{}
	c.rounds = nil
	c.leaderSeenAt = now
	c.ledSince = now
	c.commitLatency = commitLatency{}
	c.quorumPersisted = quorumPersisted{}
	c.failedElections = 0
	c.trackMembers(now)
	// Entries of earlier terms are committed only through an entry of the current term.
	_, _, _ = c.appendOwn(now, Entry{Kind: EntryCommand})
	c.heartbeatAt = now.Add(c.options.Heartbeat)
}

// trackMembers creates the progress of new members and deletes that of removed ones.
func (c *Core) trackMembers(now time.Time) {
	members := c.Members()
	for _, id := range members.All() {
		if id != c.id && c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, probing: true}
		}
	}
	for id := range c.progress {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			delete(c.progress, id)
		}
	}
}

// Step handles a received message.
func (c *Core) Step(now time.Time, m Message) {
	switch m.Kind {
	case MsgPreVote:
		c.stepPreVote(now, m)
		return
	case MsgVote:
		if !c.mayConsiderVote(now, m) {
			return
		}
	}
	if m.Term > c.term && m.Kind != MsgPreVoteReply {
		leader := ID("")
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
			leader = m.From
		}
		c.becomeFollower(now, m.Term, leader)
	}
	if m.Term < c.term {
		c.rejectStale(m)
		return
	}
	switch m.Kind {
	case MsgPreVoteReply:
		c.stepPreVoteReply(now, m)
	case MsgVote:
		c.stepVote(now, m)
	case MsgVoteReply:
		if c.role == Candidate {
			c.votes[m.From] = !m.Reject
			c.countVotes(now)
		}
	case MsgAppend:
		c.stepAppend(now, m)
	case MsgAppendReply:
		c.stepAppendReply(now, m)
	case MsgSnapshot:
		c.stepSnapshot(now, m)
	case MsgTimeoutNow:
		if c.Members().IsVoter(c.id) && m.Term == c.term {
			c.campaign(now, Candidate, true)
		}
	}
}

// rejectStale informs the leader of an older term about the current term.
func (c *Core) rejectStale(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	}
}

// leaderLeaseMayBeValid reports whether a leader was heard from so recently that its lease may still be
// valid.
func (c *Core) leaderLeaseMayBeValid(now time.Time) bool {
	if c.role == Leader {
		return c.LeaseValid(now)
	}
	if now.Before(c.noVoteUntil) {
		return true
	}
	return c.leader != "" && now.Sub(c.leaderSeenAt) < c.options.Election
}

// mayConsiderVote reports whether a vote request may be handled. While a leader's lease may be valid
// no vote is granted, except to a candidate that the leader itself transfers leadership to.
func (c *Core) mayConsiderVote(now time.Time, m Message) bool {
	return m.Force || !c.leaderLeaseMayBeValid(now)
}

func (c *Core) candidateUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) stepPreVote(now time.Time, m Message) {
	reject := c.leaderLeaseMayBeValid(now) || m.Term <= c.term || !c.candidateUpToDate(m)
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: reject}
	if reject {
		// The reply carries this node's term so that a sender with an older term can update its own.
		reply.Term = c.durableState.Term
	}
	c.send(reply)
}

func (c *Core) stepPreVoteReply(now time.Time, m Message) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role == PreCandidate && m.Term == c.term+1 {
		c.votes[m.From] = true
		c.countVotes(now)
	}
}

func (c *Core) stepVote(now time.Time, m Message) {
	grant := (c.vote == "" || c.vote == m.From) && c.leader == "" && c.candidateUpToDate(m)
	if grant {
		c.vote = m.From
		c.resetElection(now)
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}
