package raft

import "time"

// writeMemory is for how long the time that a write took tells what the next one will take.
const writeMemory = 10 * time.Second

const (
	// maxDoublings and longestVoteWait bound the time that is left for the votes of others.
	maxDoublings    = 4
	longestVoteWait = 30 * time.Second
	// longestWrite bounds what a write tells of the next one: a host may have been suspended
	// during it.
	longestWrite = 5 * time.Second
)

// writing is what the core knows of the writes that it hands out, one at a time.
type writing struct {
	// busy is set while the disk has a write, beganAt is when it was handed out.
	busy    bool
	beganAt time.Time
	// took is how long a write took that ended at endedAt.
	took    time.Duration
	endedAt time.Time
	// held are the messages that must not be sent before what they tell is durable; those in
	// covered are so once the write under way is.
	held    []Message
	covered []Message
}

// begin notes that a write is handed out.
func (w *writing) begin(now time.Time) {
	w.busy = true
	w.beganAt = now
}

// end notes that the write under way has ended.
func (w *writing) end(now time.Time) {
	took := now.Sub(w.beganAt)
	w.busy = false
	w.took = max(took, w.usual(now)/2)
	w.endedAt = now
}

// usual returns how long writes take, as far as the last ones and the one under way tell.
func (w *writing) usual(now time.Time) time.Duration {
	var longest time.Duration
	if now.Sub(w.endedAt) < writeMemory {
		longest = w.took
	}
	return min(max(longest, w.age(now)), longestWrite)
}

// age returns for how long the write under way has been, 0 if there is none.
func (w *writing) age(now time.Time) time.Duration {
	if !w.busy {
		return 0
	}
	return now.Sub(w.beganAt)
}

// hold keeps a message until all that is in memory now is durable. Of several answers to one leader
// the latest says all, so that what is held is bounded.
func (w *writing) hold(m Message) {
	for i, before := range w.held {
		if m.Kind != MsgAppendReply || before.Kind != m.Kind || before.To != m.To || before.Term != m.Term {
			continue
		}
		if !m.Reject && !before.Reject {
			m.Index = max(m.Index, before.Index)
		}
		w.held = append(w.held[:i], w.held[i+1:]...)
		break
	}
	w.held = append(w.held, m)
}

// Ready returns what is to be done at a time; the caller does it, and calls Persisted once the
// writes are durable. Until then no further writes are handed out.
func (c *Core) Ready(now time.Time) Ready {
	var r Ready
	if !c.disk.busy {
		c.handOutWrite(now, &r)
	}
	r.Messages = c.messages
	c.messages = nil
	r.Committed = c.committedUnapplied()
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
		c.confirm()
	}
	return r
}

// handOutWrite puts all that is not durable into a Ready. Held messages go with it, or at once if
// there is nothing to write.
func (c *Core) handOutWrite(now time.Time, r *Ready) {
	r.Snapshot = c.newSnapshot
	r.Entries = c.log.slice(c.stable+1, c.log.lastIndex(), c.log.size())
	if !c.stateDurable() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	held := c.disk.held
	c.disk.held = nil
	if !r.Writes() {
		c.release(held)
		return
	}
	c.disk.covered = held
	c.disk.begin(now)
}

// committedUnapplied returns the entries that are to be applied next. A leader applies what a
// majority's disks hold though its own may lag, so that it is never unsure of itself because of
// its own disk; all others apply what their disks hold.
func (c *Core) committedUnapplied() []Entry {
	if c.newSnapshot != nil {
		return nil
	}
	until := c.commit
	if c.role != Leader {
		until = min(until, c.stable)
	}
	return c.log.slice(c.applied+1, until, c.log.size())
}

// Persisted tells the core that the writes of a Ready are durable.
func (c *Core) Persisted(now time.Time, r Ready) {
	if !r.Writes() {
		return
	}
	c.disk.end(now)
	voted := r.HardState.Vote != "" && (r.HardState.Term != c.savedState.Term || r.HardState.Vote != c.savedState.Vote)
	c.savedState = *r.HardState
	c.noteDurable(r)
	covered := c.disk.covered
	c.disk.covered = nil
	c.release(covered)
	c.confirm()
	if voted && c.role != Leader {
		c.awaitVotes(now)
	}
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// noteDurable moves on how far the log is durable.
func (c *Core) noteDurable(r Ready) {
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.Index)
		if c.newSnapshot != nil && c.newSnapshot.Index == r.Snapshot.Index {
			c.newSnapshot = nil
		}
	}
	if len(r.Entries) == 0 || c.newSnapshot != nil {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	if term, found := c.log.term(last.Index); found && term == last.Term {
		c.stable = max(c.stable, last.Index)
		c.countUnwritten()
	}
}

// awaitVotes begins to wait for the end of an election for which this node's vote has become
// durable. Other nodes may have to end a write before they write their votes, and their disks may
// be slower than this one: each election without a result doubles the time that is left to them.
func (c *Core) awaitVotes(now time.Time) {
	others := min(2*c.disk.usual(now)<<min(c.failed, maxDoublings), longestVoteWait)
	wait := c.options.Election + others
	c.failed++
	c.electionAt = now.Add(wait + time.Duration(c.rand.Int64N(int64(wait))))
	if c.role == Candidate && c.savedState.Term == c.term {
		c.votes[c.id] = true
		c.countVotes(now)
	}
}

// BeginCompact tells the core that the caller writes a snapshot of its own, and reports whether it
// may: no write is under way and no snapshot of the leader's waits for one. No write is handed out
// until Compact.
func (c *Core) BeginCompact(now time.Time) bool {
	if c.disk.busy || c.newSnapshot != nil {
		return false
	}
	c.disk.begin(now)
	return true
}

// Compact drops the log up to the snapshot, which the caller has saved after BeginCompact.
func (c *Core) Compact(now time.Time, snapshot Snapshot) {
	c.disk.end(now)
	if snapshot.Index > c.log.snapshot.Index && snapshot.Index <= c.applied {
		c.log.compact(snapshot)
		c.stable = max(c.stable, snapshot.Index)
		c.countUnwritten()
	}
}

// WriteAge returns for how long the write under way has been, 0 if there is none.
func (c *Core) WriteAge(now time.Time) time.Duration { return c.disk.age(now) }

// WriteBegan returns when the write under way was handed out, the zero time if there is none.
func (c *Core) WriteBegan() time.Time {
	if !c.disk.busy {
		return time.Time{}
	}
	return c.disk.beganAt
}

// stateDurable reports whether term and vote are durable.
func (c *Core) stateDurable() bool {
	return c.savedState.Term == c.term && c.savedState.Vote == c.vote
}

// durable returns up to where the log is durable, 0 while a snapshot replaces it.
func (c *Core) durable() uint64 {
	if c.newSnapshot != nil {
		return 0
	}
	return c.stable
}

// countUnwritten counts the bytes of the entries that are not durable.
func (c *Core) countUnwritten() {
	c.unwritten = 0
	for _, entry := range c.log.after(c.stable) {
		c.unwritten += len(entry.Data)
	}
}

// send lets a message go, or holds it until the term or the vote that it tells is durable.
func (c *Core) send(m Message) {
	m = c.signed(m)
	if c.mustWait(m) {
		c.disk.hold(m)
		return
	}
	c.messages = append(c.messages, m)
}

// sendDurable lets a message go once all that is in memory now is durable.
func (c *Core) sendDurable(m Message) { c.disk.hold(c.signed(m)) }

func (c *Core) signed(m Message) Message {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// mustWait reports whether a message tells a term or a vote that is not durable. Pre-votes change
// nothing, and the term of whoever leads became durable before it was elected.
func (c *Core) mustWait(m Message) bool {
	switch m.Kind {
	case MsgVote, MsgVoteReply:
		return !c.stateDurable()
	case MsgAppendReply:
		return c.savedState.Term != c.term
	}
	return false
}

// release lets messages go whose content is durable now. What belongs to an earlier term or to an
// election that is over is left out, as if the network had lost it.
func (c *Core) release(messages []Message) {
	for _, m := range messages {
		if m.Term != c.term || m.Kind == MsgVote && c.role != Candidate {
			continue
		}
		c.messages = append(c.messages, m)
	}
}
