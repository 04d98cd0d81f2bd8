package raft

import (
	"sort"
	"time"
)

// maxInFlight bounds the entries sent to a member beyond what it has confirmed.
const maxInFlight = 4096

// roundsPerHeartbeat bounds the numbered sends of one heartbeat's time.
const roundsPerHeartbeat = 8

func (c *Core) heartbeat(now time.Time) {
	c.heartbeatAt = now.Add(c.options.Heartbeat)
	number := c.startRound(now)
	for _, id := range c.Members().All() {
		if id != c.id {
			c.sendAppend(now, id, number, true)
		}
	}
}

// broadcast sends new entries to the members that are not being probed.
func (c *Core) broadcast(now time.Time) {
	number := c.startRound(now)
	for _, id := range c.Members().All() {
		if id != c.id {
			c.sendAppend(now, id, number, false)
		}
	}
}

// startRound numbers a send. Sends close together share a number and the
// earlier one's time, so that the few remembered rounds outlast a lease.
func (c *Core) startRound(now time.Time) uint64 {
	if n := len(c.rounds); n > 0 && now.Sub(c.rounds[n-1].sentAt) < c.options.Heartbeat/roundsPerHeartbeat {
		return c.rounds[n-1].number
	}
	c.nextRound++
	c.rounds = append(c.rounds, round{number: c.nextRound, sentAt: now})
	if len(c.rounds) > maxRounds {
		c.rounds = c.rounds[len(c.rounds)-maxRounds:]
	}
	return c.nextRound
}

// roundSent returns when a round was sent, the zero time if that is forgotten.
func (c *Core) roundSent(number uint64) time.Time {
	for _, r := range c.rounds {
		if r.number == number {
			return r.sentAt
		}
	}
	return time.Time{}
}

func (c *Core) sendAppend(now time.Time, to ID, number uint64, heartbeat bool) {
	p := c.progress[to]
	if p == nil {
		return
	}
	if p.probing && !heartbeat && now.Sub(p.sentAt) < c.options.Heartbeat {
		return
	}
	p.sentAt = now
	before := p.next - 1
	term, found := c.log.term(before)
	if !found {
		snapshot := c.log.snapshot
		c.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &snapshot, Round: number})
		return
	}
	m := Message{Kind: MsgAppend, To: to, Index: before, LogTerm: term, Commit: c.commit, Round: number}
	if p.next <= p.match+maxInFlight {
		m.Entries = c.log.slice(p.next, c.log.lastIndex(), c.options.MaxEntries)
	}
	if n := len(m.Entries); n > 0 && !p.probing {
		// Pipelining: what was sent is taken as received until a reply says otherwise.
		p.next = m.Entries[n-1].Index + 1
	}
	c.send(m)
}

func (c *Core) stepAppend(now time.Time, m Message) {
	c.followLeader(now, m.From)
	c.leaderCommit = m.Commit
	c.confirm()
	last := m.Index + uint64(len(m.Entries))
	if m.Index < c.commit {
		// All up to commit is known to agree with any leader.
		last = max(c.commit, last)
	} else if term, found := c.log.term(m.Index); !found || term != m.LogTerm {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Reject: true, Index: min(c.log.lastIndex(), m.Index-1)})
		return
	}
	if c.unwritten > c.options.MaxUnwritten {
		// The leader sends them again.
		m.Entries = nil
		last = max(m.Index, min(c.commit, last))
	}
	grown := c.acceptEntries(m)
	c.commitTo(min(m.Commit, last))
	c.answerAppend(m, last, grown)
}

// answerAppend tells a leader up to where the log agrees with its own, once that is durable. What
// brings nothing new is answered at once by what is durable already: that proves contact, and a
// leader must not lose its lease because its followers' disks are slow.
func (c *Core) answerAppend(m Message, last uint64, grown bool) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: last}
	if grown {
		c.sendDurable(reply)
		return
	}
	reply.Index = min(last, c.durable())
	c.send(reply)
}

// acceptEntries puts entries into the log, marks what has to be written again and reports whether
// there is any.
func (c *Core) acceptEntries(m Message) bool {
	entries := trimTo(m.Entries, c.commit)
	changed := c.log.append(entries)
	if changed == 0 {
		return false
	}
	c.stable = min(c.stable, changed-1)
	c.countUnwritten()
	return true
}

// trimTo drops the entries up to index, which are committed and so already here.
func trimTo(entries []Entry, index uint64) []Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

func (c *Core) followLeader(now time.Time, leader ID) {
	if c.role != Follower {
		c.becomeFollower(now, c.term, leader)
	}
	c.leader = leader
	c.leaderSeenAt = now
	c.failed = 0
	c.resetElection(now)
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = min(index, c.log.lastIndex())
	}
}

func (c *Core) stepSnapshot(now time.Time, m Message) {
	c.followLeader(now, m.From)
	if term, found := c.log.term(m.Snapshot.Index); found && term == m.Snapshot.Term {
		// The log already agrees that far; what follows may have been confirmed and must stay.
		c.commitTo(m.Snapshot.Index)
	} else if m.Snapshot.Index > c.commit {
		snapshot := *m.Snapshot
		c.log = memoryLog{snapshot: snapshot}
		c.newSnapshot = &snapshot
		c.commit = snapshot.Index
		c.stable = snapshot.Index
		c.countUnwritten()
	}
	c.sendDurable(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: c.commit})
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if sent := c.roundSent(m.Round); sent.After(p.ackedAt) {
		p.ackedAt = sent
	}
	if m.Reject {
		c.stepBack(now, m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit(now)
	}
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.next <= c.log.lastIndex() && p.next >= c.log.firstIndex() {
		// A member that needs a snapshot gets the next one with a heartbeat.
		c.sendAppend(now, m.From, c.nextRound, false)
	}
	if c.transferTo == m.From {
		c.continueTransfer()
	}
}

// stepBack tries an earlier place after a member refused one.
func (c *Core) stepBack(now time.Time, m Message, p *progress) {
	if m.Index < p.match {
		// An old refusal, overtaken by what the member confirmed since.
		return
	}
	p.next = max(p.match, min(m.Index, c.log.lastIndex())) + 1
	p.probing = true
	p.sentAt = time.Time{}
	c.sendAppend(now, m.From, c.nextRound, false)
}

// advanceCommit commits what a quorum holds, if it is of the leader's own term.
func (c *Core) advanceCommit(now time.Time) {
	members := c.Members()
	var matched []uint64
	for _, id := range members.Voters {
		if id == c.id {
			matched = append(matched, c.stable)
			continue
		}
		matched = append(matched, c.Match(id))
	}
	if len(matched) < members.Quorum() {
		return
	}
	sort.Slice(matched, func(i, j int) bool { return matched[i] > matched[j] })
	index := matched[members.Quorum()-1]
	if term, _ := c.log.term(index); index <= c.commit || term != c.term {
		return
	}
	c.commit = index
	c.timing.committed(now, index)
	c.settling.committed(index)
	if _, at := c.log.members(); at <= c.commit && !members.IsVoter(c.id) {
		// This leader has removed itself.
		c.becomeFollower(now, c.term, "")
		return
	}
	c.broadcastCommit(now)
}

// broadcastCommit lets followers apply without waiting for the next heartbeat.
func (c *Core) broadcastCommit(now time.Time) {
	number := c.startRound(now)
	for _, id := range c.Members().All() {
		if id != c.id && !c.progress[id].probing {
			c.sendAppend(now, id, number, false)
		}
	}
}
