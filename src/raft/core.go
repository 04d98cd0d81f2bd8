package raft

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Role is the Raft role of a control node in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = []string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// Errors returned by Propose and ProposeMembers.
var (
	ErrNotLeader            = errors.New("not the leader")
	ErrMembershipPending    = errors.New("a change of members is not committed yet")
	ErrMultipleVoterChanges = errors.New("at most one voter may change at a time")
	ErrNotCaughtUp          = errors.New("the learner has not caught up")
	ErrDiskBehind           = errors.New("the changes that wait for the disk have reached their limit")
)

// Options holds the timeouts and limits of a Core.
type Options struct {
	// Heartbeat is the interval at which a leader contacts each member.
	Heartbeat time.Duration
	// Election is the minimum time without a leader before an election; the
	// actual timeout is random in [Election, 2*Election).
	Election time.Duration
	// Lease is how long a leader may rely on its last contact with a quorum. It is shorter than
	// Election by a margin for clocks that run at different rates.
	Lease time.Duration
	// MaxEntries is the maximum number of entries in one message.
	MaxEntries int
	// MaxUnwrittenBytes is the maximum size of the entries waiting to be written to disk.
	MaxUnwrittenBytes int
	// SlowDiskTimeout is how long a leader's write may stay in flight while a majority has already written the
	// same entries. After that the leader transfers leadership.
	SlowDiskTimeout time.Duration
}

// DefaultOptions returns options suitable for availability zones a few milliseconds apart.
func DefaultOptions() Options {
	return Options{
		Heartbeat:         60 * time.Millisecond,
		Election:          500 * time.Millisecond,
		Lease:             400 * time.Millisecond,
		MaxEntries:        512,
		MaxUnwrittenBytes: 16 << 20,
		SlowDiskTimeout:   time.Second,
	}
}

// progress is the leader's view of the log of one member.
type progress struct {
	match uint64
	next  uint64
	// probing is set until an append is accepted. While it is set, appends are not pipelined.
	probing bool
	sentAt  time.Time
	ackedAt time.Time
}

// round is a numbered broadcast and the time it was sent.
type round struct {
	number uint64
	sentAt time.Time
}

// maxRounds is the number of recent rounds a leader keeps.
const maxRounds = 64

// Core is the Raft state machine of one control node. It is not safe for concurrent use.
type Core struct {
	id      ID
	options Options
	rand    *rand.Rand

	term   uint64
	vote   ID
	role   Role
	leader ID
	log    memoryLog

	commit  uint64
	applied uint64
	stable  uint64

	durableState HardState
	// synced is set once the state loaded at the start is durable.
	synced bool
	writes writeState
	// unwrittenBytes is the total data size of the log entries that are not durable.
	unwrittenBytes    int
	unwrittenSnapshot *Snapshot
	messages          []Message
	votes             map[ID]bool
	progress          map[ID]*progress
	rounds            []round
	nextRound         uint64
	electionAt        time.Time
	heartbeatAt       time.Time
	leaderSeenAt      time.Time
	// ledSince is when this node was last elected.
	ledSince time.Time
	// leaderCommit is the commit index in the leader's latest message, received at leaderSeenAt.
	// leaderSentAt is the time after which that message was sent, as far as this node knows.
	// confirmedAt is leaderSentAt of the latest message whose commit index had been applied here, or
	// the end of this node's own read lease as a leader if that is later.
	leaderCommit uint64
	leaderSentAt time.Time
	confirmedAt  time.Time
	// tickedAt is the time of the last tick. This node last stood still from pausedAt to resumedAt.
	tickedAt, pausedAt, resumedAt time.Time
	// noVoteUntil prevents a restarted control node from voting while the lease of a leader that it
	// acknowledged before the restart may still be valid.
	noVoteUntil      time.Time
	transferTo       ID
	transferDeadline time.Time
	commitLatency    commitLatency
	quorumPersisted  quorumPersisted
	// failedElections counts the elections this node has voted in since it last had a leader.
	failedElections int
}

// InitialState is the state loaded from a control node's data folder.
type InitialState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Unsynced is set if the state may not be durable: a process that was killed during a sync leaves
	// data that can be read and would still be lost with the power. The first write makes it durable.
	Unsynced bool
}

// New returns a Core for control node id that resumes from the state on its disk. random is the
// source of election timeouts.
func New(id ID, start InitialState, options Options, random *rand.Rand, now time.Time) *Core {
	c := &Core{
		id:           id,
		options:      options,
		rand:         random,
		term:         start.HardState.Term,
		vote:         start.HardState.Vote,
		durableState: start.HardState,
		synced:       !start.Unsynced,
		log:          memoryLog{snapshot: start.Snapshot, entries: start.Entries},
		commit:       start.Snapshot.Index,
		applied:      start.Snapshot.Index,
	}
	c.stable = c.log.lastIndex()
	c.commit = max(c.commit, min(start.HardState.Commit, c.stable))
	if start.HardState.Term > 0 {
		c.noVoteUntil = now.Add(options.Election)
	}
	c.resetElection(now)
	return c
}

// ID returns the ID of this control node.
func (c *Core) ID() ID { return c.id }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the node's role in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, or "" if it is unknown.
func (c *Core) Leader() ID { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the first index that is still in the log.
func (c *Core) FirstIndex() uint64 { return c.log.firstIndex() }

// Members returns the membership in effect.
func (c *Core) Members() Members {
	members, _ := c.log.members()
	return members
}

// Match returns the last index that a leader knows to be durable on a member.
func (c *Core) Match(id ID) uint64 {
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// LastContact returns when the latest broadcast that a member has acknowledged to this leader was
// sent, or the zero time if there is none or this node is not the leader.
func (c *Core) LastContact(id ID) time.Time {
	if p := c.progress[id]; p != nil {
		return p.ackedAt
	}
	return time.Time{}
}

// LeaderSince returns when this node was elected leader of the current term, or
// the zero time if it is not the leader.
func (c *Core) LeaderSince() time.Time {
	if c.role != Leader {
		return time.Time{}
	}
	return c.ledSince
}

// Propose appends data to the leader's log and returns the term and index it will have
// if it is committed.
func (c *Core) Propose(now time.Time, data []byte) (term, index uint64, err error) {
	if c.role != Leader || c.transferTo != "" {
		return 0, 0, ErrNotLeader
	}
	if c.unwrittenBytes > c.options.MaxUnwrittenBytes {
		return 0, 0, ErrDiskBehind
	}
	return c.appendOwn(now, Entry{Kind: EntryCommand, Data: data})
}

// ProposeMembers appends a membership change. One voter may change at a time,
// and a learner may become a voter only once it has all committed entries.
func (c *Core) ProposeMembers(now time.Time, members Members) (term, index uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	current, at := c.log.members()
	if at > c.commit || !c.committedInTerm() {
		return 0, 0, ErrMembershipPending
	}
	if current.votersChanged(members) > 1 || len(members.Voters) == 0 {
		return 0, 0, ErrMultipleVoterChanges
	}
	for _, id := range members.Voters {
		if !current.IsVoter(id) && c.Match(id) < c.commit {
			return 0, 0, ErrNotCaughtUp
		}
	}
	return c.appendOwn(now, Entry{Kind: EntryMembers, Members: &members})
}

// committedInTerm reports whether an entry of the current term is committed. Until then
// another leader may still overwrite the membership in the log.
func (c *Core) committedInTerm() bool {
	term, found := c.log.term(c.commit)
	return found && term == c.term
}

func (c *Core) appendOwn(now time.Time, entry Entry) (term, index uint64, err error) {
	entry.Term = c.term
	entry.Index = c.log.lastIndex() + 1
	c.log.append([]Entry{entry})
	c.unwrittenBytes += len(entry.Data)
	c.commitLatency.appended(now, entry.Index)
	c.quorumPersisted.appended(entry.Index, c.commit)
	c.trackMembers(now)
	c.broadcast(now)
	return entry.Term, entry.Index, nil
}

// Transfer starts to transfer leadership to the reachable voter with the most complete log. It
// reports whether there is such a voter.
func (c *Core) Transfer(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	var target ID
	for _, id := range c.Members().Voters {
		if id == c.id || c.progress[id] == nil || now.Sub(c.progress[id].ackedAt) > c.options.Election {
			continue
		}
		if target == "" || c.Match(id) > c.Match(target) {
			target = id
		}
	}
	if target == "" {
		return false
	}
	c.transferTo = target
	c.transferDeadline = now.Add(c.options.Election)
	c.sendTimeoutNowIfCaughtUp()
	return true
}

func (c *Core) sendTimeoutNowIfCaughtUp() {
	if c.transferTo == "" || c.Match(c.transferTo) < c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: MsgTimeoutNow, To: c.transferTo})
}

// MembersAt returns the membership in effect at an applied index, for a snapshot at that index.
func (c *Core) MembersAt(index uint64) Members { return c.log.membersAt(index) }

// TermAt returns the term of an entry in the log.
func (c *Core) TermAt(index uint64) uint64 {
	term, _ := c.log.term(index)
	return term
}

func (c *Core) resetElection(now time.Time) {
	jitter := time.Duration(c.rand.Int64N(int64(c.options.Election)))
	c.electionAt = now.Add(c.options.Election + jitter)
}

// preVoteRetryHeartbeats is the minimum delay before a pre-candidate retries, in heartbeat intervals,
// and also the range of the random delay added to it. Peers refuse if they have just started
// themselves, and a pre-vote does not change their state. Waiting a whole election timeout instead
// adds 0.5 s without a leader after all nodes lost power.
const preVoteRetryHeartbeats = 2

// schedulePreVoteRetry sets when to start the next pre-vote if the current one fails.
func (c *Core) schedulePreVoteRetry(now time.Time) {
	minDelay := preVoteRetryHeartbeats * c.options.Heartbeat
	c.electionAt = now.Add(minDelay + time.Duration(c.rand.Int64N(int64(minDelay))))
}

// EntriesAfter returns the durable entries after an index.
func (c *Core) EntriesAfter(index uint64) []Entry {
	return c.log.slice(index+1, c.stable, c.log.sizeLimit())
}

// LastIndex returns the last index in the loaded state.
func (s InitialState) LastIndex() uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index
	}
	return s.Snapshot.Index
}

// Members returns the membership in the loaded state.
func (s InitialState) Members() Members {
	log := memoryLog{snapshot: s.Snapshot, entries: s.Entries}
	members, _ := log.members()
	return members
}
