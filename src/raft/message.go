package raft

import "slices"

// ID identifies a control node together with its data folder. A control node whose disk was replaced
// by an empty one gets another ID, so it cannot vote twice in a term under the old one.
type ID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand carries data for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers carries a membership change, which Core itself handles.
	EntryMembers
)

// Entry is a log entry.
type Entry struct {
	Term    uint64    `json:"t"`
	Index   uint64    `json:"i"`
	Kind    EntryKind `json:"k,omitempty"`
	Data    []byte    `json:"d,omitempty"`
	Members *Members  `json:"m,omitempty"`
}

// Members is the membership of the Raft group: voters count for quorums, learners only receive the log.
type Members struct {
	Voters   []ID `json:"voters"`
	Learners []ID `json:"learners,omitempty"`
}

func without(ids []ID, id ID) []ID {
	var rest []ID
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// IsVoter reports whether id may vote.
func (m Members) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id ID) bool { return slices.Contains(m.Learners, id) }

// All returns voters and learners.
func (m Members) All() []ID {
	return append(append([]ID(nil), m.Voters...), m.Learners...)
}

// WithLearner returns a copy with id as a learner.
func (m Members) WithLearner(id ID) Members {
	return Members{Voters: m.Voters, Learners: append(without(m.Learners, id), id)}
}

// WithVoter returns a copy with id as a voter instead of a learner.
func (m Members) WithVoter(id ID) Members {
	return Members{Voters: append(without(m.Voters, id), id), Learners: without(m.Learners, id)}
}

// Without returns a copy without id.
func (m Members) Without(id ID) Members {
	return Members{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

// Quorum returns the number of voters in a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// votersChanged returns the number of voters that are in only one of the two memberships.
func (m Members) votersChanged(other Members) int {
	changed := 0
	for _, id := range m.Voters {
		if !other.IsVoter(id) {
			changed++
		}
	}
	for _, id := range other.Voters {
		if !m.IsVoter(id) {
			changed++
		}
	}
	return changed
}

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgTimeoutNow
)

var messageNames = []string{"", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append", "append-reply", "snapshot", "timeout-now"}

// String returns the kind's name.
func (k MessageKind) String() string { return messageNames[k] }

// Message is a message between control nodes.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ID          `json:"from"`
	To   ID          `json:"to"`
	Term uint64      `json:"term"`
	// LogTerm and Index identify the entry before Entries, or the sender's last entry in vote requests.
	LogTerm uint64  `json:"logTerm,omitempty"`
	Index   uint64  `json:"index,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Round is the number of the leader's broadcast. A reply repeats it, which shows the leader when the
	// message that was acknowledged was sent.
	Round    uint64    `json:"round,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Force asks for a vote even if the old leader's lease may be valid, since that leader
	// itself transfers leadership to the candidate.
	Force bool `json:"force,omitempty"`
}

// Snapshot is the state machine's state at a log index.
type Snapshot struct {
	Term    uint64  `json:"term"`
	Index   uint64  `json:"index"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// HardState is the state that must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote"`
	// Commit is the commit index known at the time of writing. It is written only together with
	// something else, and lets a restarted node apply entries up to it without waiting for a leader.
	Commit uint64 `json:"commit,omitempty"`
}

// Ready is the work for the caller. Writes may run in parallel to everything else, but must be done in
// the order of their Readys.
type Ready struct {
	// HardState is written if it is not nil; it is set whenever anything else has to be written.
	HardState *HardState
	// Snapshot, if not nil, is written and replaces the whole log. The state machine loads
	// it once it is durable.
	Snapshot *Snapshot
	// Entries are written and replace all entries from the index of the first one on.
	Entries []Entry
	// Messages are sent immediately, regardless of any write in flight.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
}

// Writes reports whether there is anything to write.
func (r Ready) Writes() bool { return r.HardState != nil }

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.Writes() && len(r.Messages) == 0 && len(r.Committed) == 0
}
