package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1_800_000_000, 0)

func restartedCore(commit uint64, entries int) *Core {
	start := InitialState{
		HardState: HardState{Term: 3, Vote: "a", Commit: commit},
		Snapshot:  Snapshot{Members: Members{Voters: []ID{"a", "b", "c"}}},
	}
	for i := 1; i <= entries; i++ {
		start.Entries = append(start.Entries, Entry{Term: 3, Index: uint64(i), Data: []byte{byte(i)}})
	}
	return New("a", start, DefaultOptions(), rand.New(rand.NewPCG(1, 1)), startTime)
}

func TestRestartAppliesKnownCommits(t *testing.T) {
	is := is.New(t)
	c := restartedCore(2, 3)
	is.Equal(len(c.Ready(startTime).Committed), 2) // the third may still be replaced by another leader
	is.True(!c.HasReadLease(startTime))            // other nodes may have later entries
}

func TestRestartAppliesOnlyEntriesOnDisk(t *testing.T) {
	is := is.New(t)
	is.Equal(len(restartedCore(9, 3).Ready(startTime).Committed), 3)
	is.Equal(len(restartedCore(0, 3).Ready(startTime).Committed), 0)
}

// TestPreCandidateRetriesSoon: after a power loss of all nodes the others may not be ready to vote when
// a pre-candidate asks first. Without a quick retry the cluster stays without a leader for longer.
func TestPreCandidateRetriesSoon(t *testing.T) {
	is := is.New(t)
	c := restartedCore(3, 3)
	requests := 0
	for now := startTime; now.Before(startTime.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		c.Tick(now)
		ready := c.Ready(now)
		c.Persisted(now, ready)
		requests += len(ready.Messages) / 2
	}
	is.True(requests >= 5)
	is.Equal(c.Term(), uint64(3)) // pre-votes do not increase the term
}

func TestCommitIndexAloneIsNotWritten(t *testing.T) {
	is := is.New(t)
	c := restartedCore(0, 3)
	c.Persisted(startTime, c.Ready(startTime))
	c.Step(startTime, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Commit: 3})
	ready := c.Ready(startTime)
	is.True(ready.HardState == nil) // a new commit index alone causes no write
	is.Equal(len(ready.Committed), 3)
	c.Persisted(startTime, ready)
	c.Step(startTime, Message{Kind: MsgAppend, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 3, Commit: 3, Entries: []Entry{{Term: 3, Index: 4}}})
	ready = c.Ready(startTime)
	is.True(ready.HardState != nil)
	is.Equal(ready.HardState.Commit, uint64(3))
}

// TestCachedMembershipMatchesLog guards against a stale cached membership after entries
// are appended, replaced or compacted.
func TestCachedMembershipMatchesLog(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	log := memoryLog{snapshot: Snapshot{Members: Members{Voters: []ID{"a#0"}}}}
	for range 5000 {
		switch from := log.snapshot.Index + 1 + random.Uint64N(uint64(len(log.entries))+1); random.IntN(8) {
		case 0:
			at := log.snapshot.Index + random.Uint64N(uint64(len(log.entries))+1)
			term, _ := log.term(at)
			log.compact(Snapshot{Index: at, Term: term, Members: log.membersAt(at)})
		default:
			entry := Entry{Term: random.Uint64N(3), Index: from}
			if random.IntN(3) == 0 {
				entry.Kind = EntryMembers
				entry.Members = &Members{Voters: []ID{ID(fmt.Sprint("m", random.IntN(1000)))}}
			}
			log.append([]Entry{entry})
		}
		found := log.findMembership()
		members, index := log.members()
		is.Equal(members, found.members)
		is.Equal(index, found.index)
	}
}

// TestFollowerConfirmsOnlyAppliedCommits: Confirmed must not advance when the leader has
// committed entries that this node does not have, nor before the leader has committed an entry of its term:
// a follower that lagged as the leader before was lost took the commit index of its successor, who did not
// know yet what had been acknowledged, for the newest.
func TestFollowerConfirmsOnlyAppliedCommits(t *testing.T) {
	is := is.New(t)
	c := restartedCore(0, 0)
	is.True(c.ConfirmedAt().IsZero())
	receiveAppend := func(now time.Time, m Message) {
		m.Kind, m.From, m.To, m.Term = MsgAppend, "b", "a", 4
		c.Step(now, m)
		for ready := c.Ready(now); !ready.Empty(); ready = c.Ready(now) {
			c.Persisted(now, ready)
		}
	}
	receiveAppend(startTime, Message{})
	is.True(c.ConfirmedAt().IsZero())
	receiveAppend(startTime, Message{Commit: 1, Entries: []Entry{{Term: 3, Index: 1}, {Term: 4, Index: 2}}})
	is.True(c.ConfirmedAt().IsZero())
	receiveAppend(startTime, Message{Commit: 2, Index: 2, LogTerm: 4})
	is.Equal(c.ConfirmedAt(), startTime)
	later := startTime.Add(time.Second)
	receiveAppend(later, Message{Commit: 3, Index: 3, LogTerm: 4}) // entry 3 is missing
	is.Equal(c.ConfirmedAt(), startTime)
	receiveAppend(later, Message{Commit: 3, Index: 2, LogTerm: 4, Entries: []Entry{{Term: 4, Index: 3}}})
	is.Equal(c.ConfirmedAt(), later)
}

// TestAMessageThatWaitedWhileAFollowerStoodStillConfirmsAsOfBefore: the first heartbeat that waited confirmed the state of the
// follower as of now, though a change that was acknowledged meanwhile waited behind it.
func TestAMessageThatWaitedWhileAFollowerStoodStillConfirmsAsOfBefore(t *testing.T) {
	for _, ticksFirst := range []bool{false, true} {
		is := is.New(t)
		c := restartedCore(0, 0)
		now := startTime
		tick := func() {
			c.Tick(now)
			for ready := c.Ready(now); !ready.Empty(); ready = c.Ready(now) {
				c.Persisted(now, ready)
			}
		}
		beat := func(commit uint64, entries ...Entry) {
			m := Message{Kind: MsgAppend, From: "b", To: "a", Term: 4, Commit: commit, Entries: entries}
			if len(entries) == 0 {
				m.Index, m.LogTerm = 1, 4
			}
			c.Step(now, m)
			tick()
		}
		tick()
		beat(1, Entry{Term: 4, Index: 1})
		beat(1)
		is.Equal(c.ConfirmedAt(), startTime)
		now = now.Add(4 * time.Second)
		if ticksFirst {
			c.Tick(now)
		}
		beat(1)
		is.Equal(c.ConfirmedAt(), startTime)
		for range 10 {
			now = now.Add(10 * time.Millisecond)
			beat(1)
			is.Equal(c.ConfirmedAt(), startTime)
		}
		for range 50 {
			now = now.Add(10 * time.Millisecond)
			beat(1)
		}
		is.Equal(c.ConfirmedAt(), now) // what waited has been read
	}
}
