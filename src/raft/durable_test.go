package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// candidate plays a core of three into a candidacy and returns it with the write of its own vote.
func candidate(t *testing.T) (*Core, Ready, time.Time) {
	t.Helper()
	c := restarted(3, 3)
	now := noon.Add(2 * time.Second)
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

// TestVotesAreAskedForOnceTheOwnOneIsDurable, and nothing is counted before.
func TestVotesAreAskedForOnceTheOwnOneIsDurable(t *testing.T) {
	is := is.New(t)
	c, write, now := candidate(t)
	is.Equal(*write.HardState, HardState{Term: 4, Vote: "a", Commit: 3})
	is.True(c.Ready(now).Empty())
	c.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: 4})
	is.Equal(c.Role(), Candidate)
	c.Persisted(now, write)
	is.Equal(c.Role(), Leader) // with the answer that came early
}

// TestAHostSuspendedDuringAWriteIsACandidateAgainSoon: the write seems to have taken an hour, which
// says nothing of the disk.
func TestAHostSuspendedDuringAWriteIsACandidateAgainSoon(t *testing.T) {
	is := is.New(t)
	c, write, now := candidate(t)
	now = now.Add(time.Hour)
	c.Persisted(now, write)
	asked := c.NextTick().Sub(now)
	is.True(asked <= 2*(c.options.Election+longestVoteWait))
	is.True(asked <= 30*time.Second)
}

// TestHeartbeatsAreAnsweredWhileAWriteIsUnderWay by what is durable; entries once they are.
func TestHeartbeatsAreAnsweredWhileAWriteIsUnderWay(t *testing.T) {
	is := is.New(t)
	c := restarted(3, 3)
	now := noon
	hear := func(m Message) []Message {
		m.Kind, m.From, m.To, m.Term = MsgAppend, "b", "a", 3
		c.Step(now, m)
		return c.Ready(now).Messages
	}
	c.Step(now, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 4}}, Round: 1})
	write := c.Ready(now)
	is.True(write.Writes())
	is.Equal(len(write.Messages), 0)
	answers := hear(Message{Index: 4, LogTerm: 3, Round: 2})
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Index, uint64(3))
	is.Equal(answers[0].Round, uint64(2))
	// What comes during the write is answered after the next one.
	is.Equal(len(hear(Message{Index: 4, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 5}}, Round: 3})), 0)
	c.Persisted(now, write)
	next := c.Ready(now)
	is.True(next.Writes())
	is.Equal(next.Messages[0].Index, uint64(4))
	c.Persisted(now, next)
	is.Equal(c.Ready(now).Messages[0].Index, uint64(5))
}

// TestWhatWaitsForTheDiskIsBounded at the leader, which refuses more, and at a follower.
func TestWhatWaitsForTheDiskIsBounded(t *testing.T) {
	is := is.New(t)
	c, write, now := candidate(t)
	c.options.MaxUnwritten = 100
	c.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: 4})
	c.Persisted(now, write)
	for range 2 {
		_, _, err := c.Propose(now, make([]byte, 60))
		is.NoErr(err)
	}
	_, _, err := c.Propose(now, make([]byte, 60))
	is.Equal(err, ErrDiskBehind)

	f := restarted(3, 3)
	f.options.MaxUnwritten = 100
	for index := uint64(4); index < 10; index++ {
		f.Step(now, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: index - 1, LogTerm: 3, Entries: []Entry{{Term: 3, Index: index, Data: make([]byte, 60)}}})
	}
	is.Equal(f.LastIndex(), uint64(5))
}

// TestAnEntryIsSettledOnceALaterOneCarriesItsCommit, whichever that is.
func TestAnEntryIsSettledOnceALaterOneCarriesItsCommit(t *testing.T) {
	is := is.New(t)
	var s settling
	s.appended(4, 3)
	s.appended(5, 3)
	s.committed(4)
	is.Equal(s.settled, uint64(3))
	s.appended(6, 4)
	s.appended(7, 4)
	s.committed(5)
	is.Equal(s.settled, uint64(3))
	s.committed(7)
	is.Equal(s.settled, uint64(4))
	is.Equal(len(s.marks), 0)
}

// TestEntriesReplacedDuringTheirWriteAreWrittenAgain: the disk then holds others in their places.
func TestEntriesReplacedDuringTheirWriteAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	c := restarted(3, 3)
	c.Step(noon, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Entries: []Entry{{Term: 3, Index: 4}, {Term: 3, Index: 5}}})
	first := c.Ready(noon)
	replaced := []Entry{{Term: 4, Index: 4}, {Term: 4, Index: 5}}
	c.Step(noon, Message{Kind: MsgAppend, From: "c", To: "a", Term: 4, Index: 3, LogTerm: 3, Entries: replaced})
	c.Persisted(noon, first)
	second := c.Ready(noon)
	is.Equal(len(second.Messages), 0) // the acceptance of the first ones is of an earlier term
	is.Equal(second.Entries, replaced)
	is.Equal(second.HardState.Term, uint64(4))
	c.Persisted(noon, second)
	is.Equal(c.Ready(noon).Messages[0].Index, uint64(5))
}
