package raft

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Role is what a control node does in the present term.
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

// The errors of Propose and ProposeMembers.
var (
	ErrNotLeader      = errors.New("not the leader")
	ErrMembersPending = errors.New("a change of members is not committed yet")
	ErrMembersStep    = errors.New("at most one voter may change at a time")
	ErrNotCaughtUp    = errors.New("the learner has not caught up")
	ErrDiskBehind     = errors.New("the changes that wait for the disk have reached their limit")
)

// Options are the core's times and limits.
type Options struct {
	// Heartbeat is how often a leader sends to each member.
	Heartbeat time.Duration
	// Election is the least time without a leader before an election; the
	// actual one is drawn from [Election, 2*Election).
	Election time.Duration
	// Lease is how long a leader trusts its last contact with a quorum; it is
	// below Election by a margin for clocks that run at different rates.
	Lease time.Duration
	// MaxEntries bounds the entries of one message.
	MaxEntries int
	// MaxUnwritten bounds the entries, in bytes, that wait for the disk.
	MaxUnwritten int
	// HandOver is for how long a leader's write may be under way that others have ended long before;
	// then it hands over.
	HandOver time.Duration
}

// DefaultOptions returns times that fit availability zones a few milliseconds apart.
func DefaultOptions() Options {
	return Options{
		Heartbeat:    60 * time.Millisecond,
		Election:     500 * time.Millisecond,
		Lease:        400 * time.Millisecond,
		MaxEntries:   512,
		MaxUnwritten: 16 << 20,
		HandOver:     time.Second,
	}
}

// progress is what a leader knows of one member.
type progress struct {
	match uint64
	next  uint64
	// rejected is set until an append is accepted: sends go one at a time.
	probing bool
	sentAt  time.Time
	ackedAt time.Time
}

// round remembers when a numbered send went out.
type round struct {
	number uint64
	sentAt time.Time
}

// maxRounds bounds the sends whose times a leader remembers.
const maxRounds = 64

// Core is the consensus of one control node; it is not safe for concurrent use.
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

	savedState HardState
	disk       writing
	// unwritten is the size in bytes of the entries that are not durable.
	unwritten    int
	newSnapshot  *Snapshot
	messages     []Message
	votes        map[ID]bool
	progress     map[ID]*progress
	rounds       []round
	nextRound    uint64
	electionAt   time.Time
	heartbeatAt  time.Time
	leaderSeenAt time.Time
	// ledSince is when this node was last elected.
	ledSince time.Time
	// leaderCommit is what the leader last said to be committed, at leaderSeenAt, and
	// confirmedAt when this node last had applied all that its leader said.
	leaderCommit uint64
	confirmedAt  time.Time
	// quietUntil keeps a control node that restarted from voting while a lease that
	// it confirmed before may still run.
	quietUntil   time.Time
	transferTo   ID
	transferEnds time.Time
	timing       timing
	settling     settling
	// failed counts the elections that this node voted in since it last knew a leader.
	failed int
}

// Start is what a control node's data folder held.
type Start struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// New returns the core of control node id, going on from what its disk held; rand
// draws the election times.
func New(id ID, start Start, options Options, random *rand.Rand, now time.Time) *Core {
	c := &Core{
		id:         id,
		options:    options,
		rand:       random,
		term:       start.HardState.Term,
		vote:       start.HardState.Vote,
		savedState: start.HardState,
		log:        memoryLog{snapshot: start.Snapshot, entries: start.Entries},
		commit:     start.Snapshot.Index,
		applied:    start.Snapshot.Index,
	}
	c.stable = c.log.lastIndex()
	c.commit = max(c.commit, min(start.HardState.Commit, c.stable))
	if start.HardState.Term > 0 {
		c.quietUntil = now.Add(options.Election)
	}
	c.resetElection(now)
	return c
}

// ID returns the control node's own id.
func (c *Core) ID() ID { return c.id }

// Term returns the present term.
func (c *Core) Term() uint64 { return c.term }

// Role returns what the control node does in the present term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the present term, "" if none is known.
func (c *Core) Leader() ID { return c.leader }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the first index that the log still holds.
func (c *Core) FirstIndex() uint64 { return c.log.firstIndex() }

// Members returns the membership in force.
func (c *Core) Members() Members {
	members, _ := c.log.members()
	return members
}

// Match returns the last index that a leader knows a member to hold.
func (c *Core) Match(id ID) uint64 {
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// Contact returns when a member last proved to a leader that it follows; the
// zero time if it has not, or if this node does not lead.
func (c *Core) Contact(id ID) time.Time {
	if p := c.progress[id]; p != nil {
		return p.ackedAt
	}
	return time.Time{}
}

// LedSince returns when this node was elected in the term in which it leads, and
// the zero time if it does not lead.
func (c *Core) LedSince() time.Time {
	if c.role != Leader {
		return time.Time{}
	}
	return c.ledSince
}

// Propose appends data to the leader's log and returns the place it will have
// if it is committed.
func (c *Core) Propose(now time.Time, data []byte) (term, index uint64, err error) {
	if c.role != Leader || c.transferTo != "" {
		return 0, 0, ErrNotLeader
	}
	if c.unwritten > c.options.MaxUnwritten {
		return 0, 0, ErrDiskBehind
	}
	return c.appendOwn(now, Entry{Kind: EntryCommand, Data: data})
}

// ProposeMembers appends a change of members; one voter may change at a time,
// and a learner may vote only once it holds all that is committed.
func (c *Core) ProposeMembers(now time.Time, members Members) (term, index uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	current, at := c.log.members()
	if at > c.commit || !c.committedInTerm() {
		return 0, 0, ErrMembersPending
	}
	if current.votersChanged(members) > 1 || len(members.Voters) == 0 {
		return 0, 0, ErrMembersStep
	}
	for _, id := range members.Voters {
		if !current.IsVoter(id) && c.Match(id) < c.commit {
			return 0, 0, ErrNotCaughtUp
		}
	}
	return c.appendOwn(now, Entry{Kind: EntryMembers, Members: &members})
}

// committedInTerm reports whether an entry of the leader's own term is
// committed; before that the membership in the log may still be overruled.
func (c *Core) committedInTerm() bool {
	term, found := c.log.term(c.commit)
	return found && term == c.term
}

func (c *Core) appendOwn(now time.Time, entry Entry) (term, index uint64, err error) {
	entry.Term = c.term
	entry.Index = c.log.lastIndex() + 1
	c.log.append([]Entry{entry})
	c.unwritten += len(entry.Data)
	c.timing.appended(now, entry.Index)
	c.settling.appended(entry.Index, c.commit)
	c.trackMembers(now)
	c.broadcast(now)
	return entry.Term, entry.Index, nil
}

// Transfer hands leadership to the voter that holds the most, for a planned stop.
func (c *Core) Transfer(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	var best ID
	for _, id := range c.Members().Voters {
		if id == c.id || c.progress[id] == nil || now.Sub(c.progress[id].ackedAt) > c.options.Election {
			continue
		}
		if best == "" || c.Match(id) > c.Match(best) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	c.transferTo = best
	c.transferEnds = now.Add(c.options.Election)
	c.continueTransfer()
	return true
}

func (c *Core) continueTransfer() {
	if c.transferTo == "" || c.Match(c.transferTo) < c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: MsgTimeoutNow, To: c.transferTo})
}

// MembersAt returns the membership at an applied index, for a snapshot there.
func (c *Core) MembersAt(index uint64) Members { return c.log.membersAt(index) }

// TermAt returns the term of an index that the log holds.
func (c *Core) TermAt(index uint64) uint64 {
	term, _ := c.log.term(index)
	return term
}

func (c *Core) resetElection(now time.Time) {
	spread := time.Duration(c.rand.Int64N(int64(c.options.Election)))
	c.electionAt = now.Add(c.options.Election + spread)
}

// preVoteRounds is after how many heartbeats' times a pre-candidate asks again, at least
// and in spread. Others may refuse because they have just started, and asking changes
// nothing with them: a whole election time more was 0.5 s more without a leader after all
// had lost power.
const preVoteRounds = 2

// askAgainSoon sets when a pre-candidate that does not win asks again.
func (c *Core) askAgainSoon(now time.Time) {
	least := preVoteRounds * c.options.Heartbeat
	c.electionAt = now.Add(least + time.Duration(c.rand.Int64N(int64(least))))
}

// EntriesAfter returns the entries after an index that are already durable.
func (c *Core) EntriesAfter(index uint64) []Entry {
	return c.log.slice(index+1, c.stable, c.log.size())
}

// LastIndex returns the last index that the disk held.
func (s Start) LastIndex() uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index
	}
	return s.Snapshot.Index
}

// Members returns the membership that the disk held.
func (s Start) Members() Members {
	log := memoryLog{snapshot: s.Snapshot, entries: s.Entries}
	members, _ := log.members()
	return members
}
