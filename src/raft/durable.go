package raft

import "time"

// durationMaxAge is how long the duration of a completed write is used to estimate that of the next.
const durationMaxAge = 10 * time.Second

const (
	// maxVoteWaitDoublings and maxVoteWait limit how long a node waits for the votes of others.
	maxVoteWaitDoublings = 4
	maxVoteWait          = 30 * time.Second
	// maxExpectedDuration limits the estimated duration of a write. A longer measurement may only mean
	// that the host was suspended during the write.
	maxExpectedDuration = 5 * time.Second
)

// writeState tracks the writes handed to the caller, of which at most one is in flight, and the messages
// that wait for them.
type writeState struct {
	// inFlight is set while a write is in flight; startedAt is when it was handed out.
	inFlight  bool
	startedAt time.Time
	// duration is how long the write that completed at endedAt took, or half the previous estimate if that
	// is longer.
	duration time.Duration
	endedAt  time.Time
	// heldForCurrent are messages to send when the write in flight completes, and heldForNext those to send
	// when the write after it completes.
	heldForNext    []Message
	heldForCurrent []Message
}

// begin records the start of a write.
func (w *writeState) begin(now time.Time) {
	w.inFlight = true
	w.startedAt = now
}

// end records the completion of the write in flight.
func (w *writeState) end(now time.Time) {
	duration := now.Sub(w.startedAt)
	w.inFlight = false
	w.duration = max(duration, w.expectedDuration(now)/2)
	w.endedAt = now
}

// expectedDuration estimates how long a write takes, from recent writes and the one in flight.
func (w *writeState) expectedDuration(now time.Time) time.Duration {
	var longest time.Duration
	if now.Sub(w.endedAt) < durationMaxAge {
		longest = w.duration
	}
	return min(max(longest, w.age(now)), maxExpectedDuration)
}

// age returns how long the write in flight has been running, or 0 if there is none.
func (w *writeState) age(now time.Time) time.Duration {
	if !w.inFlight {
		return 0
	}
	return now.Sub(w.startedAt)
}

// hold queues a message until everything now in memory is durable. An append reply replaces an earlier
// one to the same leader, which bounds the queue.
func (w *writeState) hold(m Message) {
	for i, queued := range w.heldForNext {
		if m.Kind != MsgAppendReply || queued.Kind != m.Kind || queued.To != m.To || queued.Term != m.Term {
			continue
		}
		if !m.Reject && !queued.Reject {
			m.Index = max(m.Index, queued.Index)
		}
		w.heldForNext = append(w.heldForNext[:i], w.heldForNext[i+1:]...)
		break
	}
	w.heldForNext = append(w.heldForNext, m)
}

// RecoverCommitted returns the next entries that the disk knew to be committed at the start, which can be
// applied without a write; there are none if the result is empty.
func (c *Core) RecoverCommitted() []Entry {
	entries := c.committedUnapplied()
	if n := len(entries); n > 0 {
		c.applied = entries[n-1].Index
	}
	return entries
}

// Ready returns the work to be done. The caller does it and calls Persisted once the writes are
// durable. No further writes are returned before that.
func (c *Core) Ready(now time.Time) Ready {
	var r Ready
	if !c.writes.inFlight {
		c.startWrite(now, &r)
	}
	r.Messages = c.messages
	c.messages = nil
	r.Committed = c.committedUnapplied()
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
		c.confirmApplied()
	}
	return r
}

// startWrite adds everything that is not durable to r. Held messages are sent when that write
// completes, or at once if there is nothing to write.
func (c *Core) startWrite(now time.Time, r *Ready) {
	r.Snapshot = c.unwrittenSnapshot
	r.Entries = c.log.slice(c.stable+1, c.log.lastIndex(), c.log.sizeLimit())
	if !c.hardStateDurable() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	heldForNext := c.writes.heldForNext
	c.writes.heldForNext = nil
	if !r.Writes() {
		c.sendHeld(heldForNext)
		return
	}
	c.writes.heldForCurrent = heldForNext
	c.writes.begin(now)
}

// committedUnapplied returns the committed entries to apply next. A leader applies entries that are
// durable on a majority even if its own disk is behind, so that a slow disk of its own does not make it
// unable to serve reads. Other nodes apply only entries that are durable locally.
func (c *Core) committedUnapplied() []Entry {
	if c.unwrittenSnapshot != nil {
		return nil
	}
	until := c.commit
	if c.role != Leader {
		until = min(until, c.stable)
	}
	return c.log.slice(c.applied+1, until, c.log.sizeLimit())
}

// Persisted reports that the writes of r are durable.
func (c *Core) Persisted(now time.Time, r Ready) {
	if !r.Writes() {
		return
	}
	c.writes.end(now)
	voted := r.HardState.Vote != "" && (r.HardState.Term != c.durableState.Term || r.HardState.Vote != c.durableState.Vote)
	c.durableState = *r.HardState
	c.synced = true
	c.advanceStable(r)
	heldForCurrent := c.writes.heldForCurrent
	c.writes.heldForCurrent = nil
	c.sendHeld(heldForCurrent)
	c.confirmApplied()
	if voted && c.role != Leader {
		c.ownVotePersisted(now)
	}
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// advanceStable updates the index up to which the log is durable.
func (c *Core) advanceStable(r Ready) {
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.Index)
		if c.unwrittenSnapshot != nil && c.unwrittenSnapshot.Index == r.Snapshot.Index {
			c.unwrittenSnapshot = nil
		}
	}
	if len(r.Entries) == 0 || c.unwrittenSnapshot != nil {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	if term, found := c.log.term(last.Index); found && term == last.Term {
		c.stable = max(c.stable, last.Index)
		c.recountUnwritten()
	}
}

// ownVotePersisted is called when this node's vote is durable, and sets the election timeout for the
// result. Other nodes may have to complete a write before they write their votes, and their disks may
// be slower than this one, so the wait doubles with each election without a result.
func (c *Core) ownVotePersisted(now time.Time) {
	peerWriteWait := min(2*c.writes.expectedDuration(now)<<min(c.failedElections, maxVoteWaitDoublings), maxVoteWait)
	wait := c.options.Election + peerWriteWait
	c.failedElections++
	c.electionAt = now.Add(wait + time.Duration(c.rand.Int64N(int64(wait))))
	if c.role == Candidate && c.durableState.Term == c.term {
		c.votes[c.id] = true
		c.countVotes(now)
	}
}

// BeginCompact announces that the caller is about to write a snapshot of its own. It reports whether
// that is allowed: no write may be in flight and no received snapshot may be waiting to be written. No
// write is handed out until Compact is called.
func (c *Core) BeginCompact(now time.Time) bool {
	if c.writes.inFlight || c.unwrittenSnapshot != nil {
		return false
	}
	c.writes.begin(now)
	return true
}

// Compact removes the log entries up to a snapshot that the caller has saved after BeginCompact.
func (c *Core) Compact(now time.Time, snapshot Snapshot) {
	c.writes.end(now)
	if snapshot.Index > c.log.snapshot.Index && snapshot.Index <= c.applied {
		c.log.compact(snapshot)
		c.stable = max(c.stable, snapshot.Index)
		c.recountUnwritten()
	}
}

// WriteAge returns how long the write in flight has been running, or 0 if there is none.
func (c *Core) WriteAge(now time.Time) time.Duration { return c.writes.age(now) }

// WriteStartedAt returns when the write in flight was handed out, or the zero time if there is
// none.
func (c *Core) WriteStartedAt() time.Time {
	if !c.writes.inFlight {
		return time.Time{}
	}
	return c.writes.startedAt
}

// hardStateDurable reports whether the current term and vote are durable.
func (c *Core) hardStateDurable() bool {
	return c.synced && c.durableState.Term == c.term && c.durableState.Vote == c.vote
}

// durableIndex returns the last durable index, or 0 while a received snapshot is replacing the log or
// before the state loaded at the start is durable.
func (c *Core) durableIndex() uint64 {
	if c.unwrittenSnapshot != nil || !c.synced {
		return 0
	}
	return c.stable
}

// recountUnwritten recomputes unwrittenBytes.
func (c *Core) recountUnwritten() {
	c.unwrittenBytes = 0
	for _, entry := range c.log.after(c.stable) {
		c.unwrittenBytes += len(entry.Data)
	}
}

// send sends a message at once, or holds it until the term or vote it reports is durable.
func (c *Core) send(m Message) {
	m = c.withSender(m)
	if c.needsDurableState(m) {
		c.writes.hold(m)
		return
	}
	c.messages = append(c.messages, m)
}

// sendOncePersisted sends a message once everything now in memory is durable.
func (c *Core) sendOncePersisted(m Message) { c.writes.hold(c.withSender(m)) }

func (c *Core) withSender(m Message) Message {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// needsDurableState reports whether a message reports a term or vote that is not durable yet. Pre-votes
// change no state, and a leader's term became durable before it was elected.
func (c *Core) needsDurableState(m Message) bool {
	switch m.Kind {
	case MsgVote, MsgVoteReply:
		return !c.hardStateDurable()
	case MsgAppendReply:
		return !c.synced || c.durableState.Term != c.term
	}
	return false
}

// sendHeld sends messages whose content is now durable. Those of an earlier term or of a finished
// election are dropped; Raft tolerates lost messages.
func (c *Core) sendHeld(messages []Message) {
	for _, m := range messages {
		if m.Term != c.term || m.Kind == MsgVote && c.role != Candidate {
			continue
		}
		c.messages = append(c.messages, m)
	}
}
