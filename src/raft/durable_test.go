package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newCandidate returns one of three nodes as a candidate, together with the write of its own vote.
func newCandidate(t *testing.T) (*Core, Ready, time.Time) {
	t.Helper()
	c := restartedCore(3, 3)
	now := startTime.Add(2 * time.Second)
	c.Tick(now)
	c.Step(now, Message{Kind: MsgPreVoteReply, From: "b", To: "a", Term: 4})
	for ready := c.Ready(now); !ready.Empty(); ready = c.Ready(now) {
		if ready.Writes() {
			return c, ready, now
		}
	}
	t.Fatal("no vote is written")
	return nil, Ready{}, now
}

// TestOwnVoteIsDurableBeforeVoteRequests: a candidate must not send vote requests or count votes
// before its own vote is durable.
func TestOwnVoteIsDurableBeforeVoteRequests(t *testing.T) {
	is := is.New(t)
	c, write, now := newCandidate(t)
	is.Equal(*write.HardState, HardState{Term: 4, Vote: "a", Commit: 3})
	is.True(c.Ready(now).Empty())
	c.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: 4})
	is.Equal(c.Role(), Candidate)
	c.Persisted(now, write)
	is.Equal(c.Role(), Leader) // counts the vote that arrived early
}

// TestSuspensionDuringWriteDoesNotDelayElection: a write across a suspension seems to have taken an
// hour. This must not delay the next election, since the disk need not be slow.
func TestSuspensionDuringWriteDoesNotDelayElection(t *testing.T) {
	is := is.New(t)
	c, write, now := newCandidate(t)
	now = now.Add(time.Hour)
	c.Persisted(now, write)
	retryDelay := c.NextTick().Sub(now)
	is.True(retryDelay <= 2*(c.options.Election+maxVoteWait))
	is.True(retryDelay <= 30*time.Second)
}

// TestHeartbeatsAreAnsweredDuringWrite: heartbeats are answered at once with the durable index, and new
// entries once they are durable.
func TestHeartbeatsAreAnsweredDuringWrite(t *testing.T) {
	is := is.New(t)
	c := restartedCore(3, 3)
	now := startTime
	receiveAppend := func(m Message) []Message {
		m.Kind, m.From, m.To, m.Term = MsgAppend, "b", "a", 3
		c.Step(now, m)
		return c.Ready(now).Messages
	}
	c.Step(now, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 4}}, Round: 1})
	write := c.Ready(now)
	is.True(write.Writes())
	is.Equal(len(write.Messages), 0)
	replies := receiveAppend(Message{Index: 4, LogTerm: 3, Round: 2})
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Index, uint64(3))
	is.Equal(replies[0].Round, uint64(2))
	// Entries received during the write are acknowledged after the next write.
	is.Equal(len(receiveAppend(Message{Index: 4, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 5}}, Round: 3})), 0)
	c.Persisted(now, write)
	next := c.Ready(now)
	is.True(next.Writes())
	is.Equal(next.Messages[0].Index, uint64(4))
	c.Persisted(now, next)
	is.Equal(c.Ready(now).Messages[0].Index, uint64(5))
}

// TestUnwrittenBytesAreLimited: a leader rejects proposals and a follower ignores entries
// above MaxUnwrittenBytes.
func TestUnwrittenBytesAreLimited(t *testing.T) {
	is := is.New(t)
	c, write, now := newCandidate(t)
	c.options.MaxUnwrittenBytes = 100
	c.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: 4})
	c.Persisted(now, write)
	for range 2 {
		_, _, err := c.Propose(now, make([]byte, 60))
		is.NoErr(err)
	}
	_, _, err := c.Propose(now, make([]byte, 60))
	is.Equal(err, ErrDiskBehind)

	follower := restartedCore(3, 3)
	follower.options.MaxUnwrittenBytes = 100
	for index := uint64(4); index < 10; index++ {
		follower.Step(now, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: index - 1, LogTerm: 3, Entries: []Entry{{Term: 3, Index: index, Data: make([]byte, 60)}}})
	}
	is.Equal(follower.LastIndex(), uint64(5))
}

// TestCommitIsPersistedWithLaterEntry: the commit of an entry is durable on a quorum once any later entry
// sent with that commit index is committed.
func TestCommitIsPersistedWithLaterEntry(t *testing.T) {
	is := is.New(t)
	var s quorumPersisted
	s.appended(4, 3)
	s.appended(5, 3)
	s.committed(4)
	is.Equal(s.commitIndex, uint64(3))
	s.appended(6, 4)
	s.appended(7, 4)
	s.committed(5)
	is.Equal(s.commitIndex, uint64(3))
	s.committed(7)
	is.Equal(s.commitIndex, uint64(4))
	is.Equal(len(s.pending), 0)
}

// TestEntriesReplacedDuringWriteAreRewritten: the end of a write must not mark entries as durable
// that replaced the written ones during the write.
func TestEntriesReplacedDuringWriteAreRewritten(t *testing.T) {
	is := is.New(t)
	c := restartedCore(3, 3)
	c.Step(startTime, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 4}, {Term: 3, Index: 5}}})
	first := c.Ready(startTime)
	replaced := []Entry{{Term: 4, Index: 4}, {Term: 4, Index: 5}}
	c.Step(startTime, Message{Kind: MsgAppend, From: "c", To: "a", Term: 4, Index: 3, LogTerm: 3, Entries: replaced})
	c.Persisted(startTime, first)
	second := c.Ready(startTime)
	is.Equal(len(second.Messages), 0) // the reply for the first entries is of an earlier term
	is.Equal(second.Entries, replaced)
	is.Equal(second.HardState.Term, uint64(4))
	c.Persisted(startTime, second)
	is.Equal(c.Ready(startTime).Messages[0].Index, uint64(5))
}
