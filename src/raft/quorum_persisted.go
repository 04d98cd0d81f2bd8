package raft

// quorumPersisted tracks the highest commit index that a majority has on disk. Nodes write a commit index
// only together with entries appended later, each of which is sent with the leader's commit index at that
// time.
type quorumPersisted struct {
	// pending lists uncommitted entries, oldest first, each with the commit index it was sent with.
	pending     []pendingCommit
	commitIndex uint64
}

// pendingCommit is a log entry and the commit index at the time it was appended.
type pendingCommit struct {
	index  uint64
	commit uint64
}

// appended records a new entry of the leader. An entry with the same commit index as the one before it
// is skipped.
func (s *quorumPersisted) appended(index, commit uint64) {
	if n := len(s.pending); n > 0 && s.pending[n-1].commit >= commit {
		return
	}
	s.pending = append(s.pending, pendingCommit{index: index, commit: commit})
}

// committed records that a majority has made all entries up to an index durable.
func (s *quorumPersisted) committed(index uint64) {
	for len(s.pending) > 0 && s.pending[0].index <= index {
		s.commitIndex = s.pending[0].commit
		s.pending = s.pending[1:]
	}
}

// SettledBy returns the first uncommitted entry that was sent with a commit index of at least index,
// or 0 if there is none. Once that entry is committed, Settled returns at least index.
func (c *Core) SettledBy(index uint64) uint64 {
	if c.role != Leader {
		return 0
	}
	for _, m := range c.quorumPersisted.pending {
		if m.commit >= index {
			return m.index
		}
	}
	return 0
}

// Settled returns the highest index that a majority of nodes knows from its own disks to be committed. It
// returns 0 if this node is not the leader.
func (c *Core) Settled() uint64 {
	if c.role != Leader {
		return 0
	}
	return c.quorumPersisted.commitIndex
}
