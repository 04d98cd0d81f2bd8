package raft

import (
	"testing"

	"github.com/matryer/is"
)

// TestNothingIsConfirmedBeforeTheFirstWrite: a process that is killed while its sync hangs leaves entries
// and a vote that its successor reads and that a loss of power still takes away. If the successor confirmed
// them at once, a leader would count a copy that does not last.
func TestNothingIsConfirmedBeforeTheFirstWrite(t *testing.T) {
	is := is.New(t)
	start := restartedCore(2, 3)
	state := InitialState{HardState: HardState{Term: 3, Vote: "a", Commit: 2}, Snapshot: start.log.snapshot, Entries: start.log.entries, Unsynced: true}
	c := New("a", state, start.options, start.rand, startTime)
	is.Equal(len(c.RecoverCommitted()), 2) // what is committed stays so, whatever this disk holds
	write := c.Ready(startTime)
	is.True(write.Writes())
	is.Equal(*write.HardState, state.HardState)

	c.Step(startTime, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Commit: 3})
	c.Step(startTime, Message{Kind: MsgVote, From: "b", To: "a", Term: 4, Index: 3, LogTerm: 3, Force: true})
	is.Equal(len(c.Ready(startTime).Messages), 0)
	is.True(!c.HasReadLease(startTime))

	c.Persisted(startTime, write)
	c.Persisted(startTime, c.Ready(startTime)) // the vote in term 4
	sent := c.Ready(startTime).Messages
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Kind, MsgVoteReply)
}

// TestNoElectionBeforeTheFirstWrite: the vote that a candidate gives itself has to become durable, and so
// does the log that it asks others to accept.
func TestNoElectionBeforeTheFirstWrite(t *testing.T) {
	is := is.New(t)
	start := restartedCore(3, 3)
	state := InitialState{HardState: HardState{Term: 3, Vote: "a", Commit: 3}, Snapshot: start.log.snapshot, Entries: start.log.entries, Unsynced: true}
	c := New("a", state, start.options, start.rand, startTime)
	write := c.Ready(startTime)
	later := startTime.Add(4 * c.options.Election)
	c.Tick(later)
	is.Equal(c.Role(), Follower)
	c.Persisted(later, write)
	c.Tick(later)
	is.Equal(c.Role(), PreCandidate)
}
