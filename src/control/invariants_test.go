package control

import (
	"time"

	"github.com/moorspool/moorspool/src/raft"
)

// invariants records what control nodes have told each other. It fails the test as soon as a disk
// does not hold what its node has told, two nodes trust their leases at once, or a node goes back
// to an older configuration.
type invariants struct {
	// votes maps each voter and term to the candidate voted for.
	votes map[vote]raft.ID
	// commits is the commit index up to which each term's leader has been checked.
	commits map[uint64]uint64
	// versions is the newest configuration version that each process has applied.
	versions map[*Replica]uint64
}

type vote struct {
	voter raft.ID
	term  uint64
}

func newInvariants() invariants {
	return invariants{votes: map[vote]raft.ID{}, commits: map[uint64]uint64{}, versions: map[*Replica]uint64{}}
}

// sent checks a message that a node sends. Votes, terms and accepted entries must be on the node's
// disk before they are sent.
func (p *invariants) sent(s *sim, n *simNode, m raft.Message) {
	held := n.disk.start
	switch {
	case m.Kind == raft.MsgVote:
		p.checkVote(s, n, m.Term, n.id)
	case m.Kind == raft.MsgVoteReply && !m.Reject:
		p.checkVote(s, n, m.Term, m.To)
	case m.Kind == raft.MsgAppendReply && !m.Reject && m.Index > held.LastIndex():
		s.t.Fatalf("%s accepts entry %d, its disk holds %d", n.id, m.Index, held.LastIndex())
	}
	sent := m.Term
	if m.Kind == raft.MsgPreVote || m.Kind == raft.MsgPreVoteReply {
		sent = 0
	}
	if sent > held.HardState.Term {
		s.t.Fatalf("%s sends term %d in a %s, its disk holds %d", n.id, sent, m.Kind, held.HardState.Term)
	}
}

func (p *invariants) checkVote(s *sim, n *simNode, term uint64, candidate raft.ID) {
	if state := n.disk.start.HardState; state.Term < term || state.Term == term && state.Vote != candidate {
		s.t.Fatalf("%s votes for %s in term %d, its disk holds %q in term %d", n.id, candidate, term, state.Vote, state.Term)
	}
	key := vote{voter: n.id, term: term}
	if known, again := p.votes[key]; again && known != candidate {
		s.t.Fatalf("%s votes for %s and %s in term %d", n.id, known, candidate, term)
	}
	p.votes[key] = candidate
}

// checkNode checks a node after an iteration.
func (p *invariants) checkNode(s *sim, n *simNode) {
	r := n.replica
	if version := r.state.document.Version; version < p.versions[r] {
		s.t.Fatalf("%s goes back from version %d to %d", n.id, p.versions[r], version)
	}
	p.versions[r] = r.state.document.Version
	if r.core.Role() != raft.Leader {
		return
	}
	p.checkCommit(s, r.core)
	p.checkLeases(s)
}

// checkCommit checks that the disks of a majority hold everything a leader has committed.
func (p *invariants) checkCommit(s *sim, core *raft.Core) {
	index := core.Commit()
	if index <= p.commits[core.Term()] || core.TermAt(index) != core.Term() {
		return
	}
	p.commits[core.Term()] = index
	members, held := core.Members(), 0
	for _, n := range s.nodes {
		if members.IsVoter(n.id) && holds(n.disk.start, index, core.Term()) {
			held++
		}
	}
	if held < members.Quorum() {
		s.t.Fatalf("entry %d of term %d is committed, %d disks of %d voters hold it", index, core.Term(), held, len(members.Voters))
	}
}

// holds reports whether a disk holds an entry.
func holds(start raft.InitialState, index, term uint64) bool {
	if index <= start.Snapshot.Index {
		return true
	}
	at := index - start.Snapshot.Index - 1
	return at < uint64(len(start.Entries)) && start.Entries[at].Term == term
}

// checkLeases checks that at most one running process trusts its lease, each by its own clock.
func (p *invariants) checkLeases(s *sim) {
	leases := 0
	for _, n := range s.nodes {
		if n.replica != nil && !s.now.Before(n.frozenUntil) && n.replica.core.LeaseValid(s.clock(n)) {
			leases++
		}
	}
	if leases > 1 {
		s.t.Fatalf("two nodes trust their leases at once%s", s.describe())
	}
}

// randomDuration returns a function that returns a random duration below most on each call.
func (s *sim) randomDuration(most time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration(s.random.Int64N(int64(most))) }
}
