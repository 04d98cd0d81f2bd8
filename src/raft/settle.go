package raft

// settling follows up to where a majority's disks know that the log is committed: a disk learns it
// with a later entry, which carries what was committed as it was appended.
type settling struct {
	// marks are entries that are not committed, oldest first, with what each one carries.
	marks   []mark
	settled uint64
}

// mark is an entry with what was committed as it was appended.
type mark struct {
	index  uint64
	commit uint64
}

// appended notes an entry of the leader. A later one that carries no more is left out.
func (s *settling) appended(index, commit uint64) {
	if n := len(s.marks); n > 0 && s.marks[n-1].commit >= commit {
		return
	}
	s.marks = append(s.marks, mark{index: index, commit: commit})
}

// committed takes in that a majority's disks hold all up to an index.
func (s *settling) committed(index uint64) {
	for len(s.marks) > 0 && s.marks[0].index <= index {
		s.settled = s.marks[0].commit
		s.marks = s.marks[1:]
	}
}

// SettledBy returns an entry under way that carries that all up to an index is committed, 0 for none.
func (c *Core) SettledBy(index uint64) uint64 {
	if c.role != Leader {
		return 0
	}
	for _, m := range c.settling.marks {
		if m.commit >= index {
			return m.index
		}
	}
	return 0
}

// Settled returns the last index of which this leader knows that a majority's disks hold it and know
// that it is committed, 0 if this node does not lead.
func (c *Core) Settled() uint64 {
	if c.role != Leader {
		return 0
	}
	return c.settling.settled
}
