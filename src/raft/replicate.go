package raft

import (
	"sort"
	"time"
)

// maxInFlight is the maximum number of entries sent to a member ahead of its last acknowledgment.
const maxInFlight = 4096

// roundsPerHeartbeat is the maximum number of rounds in one heartbeat interval.
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

// broadcast sends new entries to all members. A member being probed gets at most one append in each
// heartbeat interval.
func (c *Core) broadcast(now time.Time) {
	number := c.startRound(now)
	for _, id := range c.Members().All() {
		if id != c.id {
			c.sendAppend(now, id, number, false)
		}
	}
}

// startRound returns the number for a broadcast. Broadcasts shortly after one another share the number
// and time of the first, so that the maxRounds remembered ones span more than a lease.
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

// roundSentAt returns when a round was sent, or the zero time if it is no longer remembered.
func (c *Core) roundSentAt(number uint64) time.Time {
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
	previous := p.next - 1
	term, found := c.log.term(previous)
	if !found {
		snapshot := c.log.snapshot
		c.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &snapshot, Round: number})
		return
	}
	m := Message{Kind: MsgAppend, To: to, Index: previous, LogTerm: term, Commit: c.commit, Round: number}
	if p.next <= p.match+maxInFlight {
		m.Entries = c.log.slice(p.next, c.log.lastIndex(), c.options.MaxEntries)
	}
	if n := len(m.Entries); n > 0 && !p.probing {
		// Pipelining: assume delivery until a reply says otherwise.
		p.next = m.Entries[n-1].Index + 1
	}
	c.send(m)
}

func (c *Core) stepAppend(now time.Time, m Message) {
	c.followLeader(now, m.From)
	c.leaderCommit = m.Commit
	c.confirmApplied()
	last := m.Index + uint64(len(m.Entries))
	if m.Index < c.commit {
		// Committed entries match those of any leader.
		last = max(c.commit, last)
	} else if term, found := c.log.term(m.Index); !found || term != m.LogTerm {
		c.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Reject: true, Index: min(c.log.lastIndex(), m.Index-1)})
		return
	}
	if c.unwrittenBytes > c.options.MaxUnwrittenBytes {
		// Ignore the entries; the leader will send them again.
		m.Entries = nil
		last = max(m.Index, min(c.commit, last))
	}
	appended := c.acceptEntries(m)
	c.commitTo(min(m.Commit, last))
	c.replyToAppend(m, last, appended)
}

// replyToAppend reports how far the log matches the leader's, once that part is durable. If the message
// added nothing, it replies at once with the durable index: this confirms contact, so that the
// leader does not lose its lease because its followers' disks are slow.
func (c *Core) replyToAppend(m Message, last uint64, appended bool) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: last}
	if appended {
		c.sendOncePersisted(reply)
		return
	}
	reply.Index = min(last, c.durableIndex())
	c.send(reply)
}

// acceptEntries stores received entries in the log and marks those that are new or replaced as not
// durable. It reports whether there are any.
func (c *Core) acceptEntries(m Message) bool {
	entries := dropThrough(m.Entries, c.commit)
	changed := c.log.append(entries)
	if changed == 0 {
		return false
	}
	c.stable = min(c.stable, changed-1)
	c.recountUnwritten()
	return true
}

// dropThrough removes the entries up to index. They are committed, so the log already has them.
func dropThrough(entries []Entry, index uint64) []Entry {
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
	c.leaderSeenAt, c.leaderSentAt = now, c.sentAfter(now)
	c.failedElections = 0
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
		// The log already matches up to the snapshot. Keep the entries after it: they may have been
		// acknowledged.
		c.commitTo(m.Snapshot.Index)
	} else if m.Snapshot.Index > c.commit {
		snapshot := *m.Snapshot
		c.log = memoryLog{snapshot: snapshot}
		c.unwrittenSnapshot = &snapshot
		c.commit = snapshot.Index
		c.stable = snapshot.Index
		c.recountUnwritten()
	}
	c.sendOncePersisted(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: c.commit})
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if sent := c.roundSentAt(m.Round); sent.After(p.ackedAt) {
		p.ackedAt = sent
	}
	if m.Reject {
		c.rewindNext(now, m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit(now)
	}
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.next <= c.log.lastIndex() && p.next >= c.log.firstIndex() {
		// A member that needs a snapshot gets it with the next heartbeat.
		c.sendAppend(now, m.From, c.nextRound, false)
	}
	if c.transferTo == m.From {
		c.sendTimeoutNowIfCaughtUp()
	}
}

// rewindNext retries from an earlier index after a member rejected an append.
func (c *Core) rewindNext(now time.Time, m Message, p *progress) {
	if m.Index < p.match {
		// A delayed rejection: the member has acknowledged later entries since.
		return
	}
	p.next = max(p.match, min(m.Index, c.log.lastIndex())) + 1
	p.probing = true
	p.sentAt = time.Time{}
	c.sendAppend(now, m.From, c.nextRound, false)
}

// advanceCommit commits the entries that a quorum has made durable, up to an entry of the current term.
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
	c.commitLatency.committed(now, index)
	c.quorumPersisted.committed(index)
	if _, at := c.log.members(); at <= c.commit && !members.IsVoter(c.id) {
		// This leader is no longer a voter.
		c.becomeFollower(now, c.term, "")
		return
	}
	c.broadcastCommit(now)
}

// broadcastCommit sends the new commit index at once, so that followers need not wait for the next
// heartbeat.
func (c *Core) broadcastCommit(now time.Time) {
	number := c.startRound(now)
	for _, id := range c.Members().All() {
		if id != c.id && !c.progress[id].probing {
			c.sendAppend(now, id, number, false)
		}
	}
}
