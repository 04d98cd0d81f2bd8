package raft

import "time"

// Tick lets time pass: elections, heartbeats and the leader's own lease.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) || c.disk.busy || !c.stateDurable() {
		// A node whose disk is behind could not make its own vote durable soon.
		return
	}
	if !c.Members().IsVoter(c.id) {
		c.resetElection(now)
		return
	}
	c.askAgainSoon(now)
	c.campaign(now, PreCandidate, false)
}

// NextTick returns the time at which Tick next has something to do.
func (c *Core) NextTick() time.Time {
	if c.role == Leader {
		return c.heartbeatAt
	}
	return c.electionAt
}

func (c *Core) tickLeader(now time.Time) {
	if c.transferTo != "" && now.After(c.transferEnds) {
		c.transferTo = ""
	}
	if c.othersAreAhead(now) {
		c.Transfer(now)
	}
	if c.transferTo == "" && !c.LeaseValid(now) && now.Sub(c.leaderSeenAt) > c.options.Lease {
		// Check-quorum: a leader that may have been replaced stops by itself.
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

// campaign asks for votes. A candidate's own vote counts, and its requests leave, once the vote is
// durable. A pre-candidate asks whether it could win without
// raising its term, so that a control node that was cut off disturbs nobody when it
// comes back.
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
	c.timing = timing{}
	c.settling = settling{}
	c.failed = 0
	c.trackMembers(now)
	// An entry of the own term: only with it can earlier ones be counted as committed.
	_, _, _ = c.appendOwn(now, Entry{Kind: EntryCommand})
	c.heartbeatAt = now.Add(c.options.Heartbeat)
}

// trackMembers starts following new members and forgets those that left.
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

// Step takes in one message.
func (c *Core) Step(now time.Time, m Message) {
	switch m.Kind {
	case MsgPreVote:
		c.stepPreVote(now, m)
		return
	case MsgVote:
		if !c.mayVote(now, m) {
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
		c.answerStale(m)
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

// answerStale tells a leader of an older term about the present one.
func (c *Core) answerStale(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	}
}

// followsLeader reports whether a leader was heard of so lately that its lease may still run.
func (c *Core) followsLeader(now time.Time) bool {
	if c.role == Leader {
		return c.LeaseValid(now)
	}
	if now.Before(c.quietUntil) {
		return true
	}
	return c.leader != "" && now.Sub(c.leaderSeenAt) < c.options.Election
}

// mayVote keeps a leader's lease true: nobody votes while one may run, unless
// the leader itself chose the candidate.
func (c *Core) mayVote(now time.Time, m Message) bool {
	return m.Force || !c.followsLeader(now)
}

func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) stepPreVote(now time.Time, m Message) {
	reject := c.followsLeader(now) || m.Term <= c.term || !c.upToDate(m)
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: reject}
	if reject {
		// The own term, so that a control node behind it catches up with the term.
		reply.Term = c.savedState.Term
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
	grant := (c.vote == "" || c.vote == m.From) && c.leader == "" && c.upToDate(m)
	if grant {
		c.vote = m.From
		c.resetElection(now)
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}
