package raft

import "slices"

// memoryLog holds the latest snapshot and the entries after it.
type memoryLog struct {
	snapshot Snapshot
	entries  []Entry
	// membership caches the membership in effect; nil means unknown. It is needed several times per
	// message, and finding it may take a scan of thousands of entries.
	membership *membership
}

// membership is a set of members and the log index of the entry that set it.
type membership struct {
	members Members
	index   uint64
}

func (l *memoryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *memoryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, or false if it is not in the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns a copy of the entries in [from, to], at most limit of them.
func (l *memoryLog) slice(from, to uint64, limit int) []Entry {
	if to > l.lastIndex() {
		to = l.lastIndex()
	}
	if from > to {
		return nil
	}
	if to-from+1 > uint64(limit) {
		to = from + uint64(limit) - 1
	}
	first := l.firstIndex()
	return append([]Entry(nil), l.entries[from-first:to-first+1]...)
}

// sizeLimit returns the limit to pass to slice to get all entries.
func (l *memoryLog) sizeLimit() int { return max(len(l.entries), 1) }

// after returns the entries after an index. The caller must not modify them.
func (l *memoryLog) after(index uint64) []Entry {
	if index >= l.lastIndex() {
		return nil
	}
	return l.entries[index+1-l.firstIndex():]
}

// append stores entries at their indexes, truncating the log at the first entry whose term differs. It
// returns the first index that changed, or 0 if none did.
func (l *memoryLog) append(entries []Entry) uint64 {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index {
			continue
		}
		if term, found := l.term(entry.Index); found && term == entry.Term {
			continue
		}
		keep := entry.Index - l.firstIndex()
		l.invalidateMembership(int(keep), entries[i:])
		l.entries = append(l.entries[:keep], entries[i:]...)
		return entry.Index
	}
	return 0
}

// invalidateMembership clears the cached membership if a membership entry is removed or added.
func (l *memoryLog) invalidateMembership(keep int, entries []Entry) {
	isMembersEntry := func(entry Entry) bool { return entry.Kind == EntryMembers }
	if slices.ContainsFunc(l.entries[keep:], isMembersEntry) || slices.ContainsFunc(entries, isMembersEntry) {
		l.membership = nil
	}
}

// members returns the membership in effect and the index that set it. This is the last one in the log,
// whether or not it is committed.
func (l *memoryLog) members() (Members, uint64) {
	if l.membership == nil {
		l.membership = l.findMembership()
	}
	return l.membership.members, l.membership.index
}

func (l *memoryLog) findMembership() *membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return &membership{members: *l.entries[i].Members, index: l.entries[i].Index}
		}
	}
	return &membership{members: l.snapshot.Members, index: l.snapshot.Index}
}

// membersAt returns the membership in effect at an index.
func (l *memoryLog) membersAt(index uint64) Members {
	members := l.snapshot.Members
	for _, entry := range l.entries {
		if entry.Index > index {
			break
		}
		if entry.Kind == EntryMembers {
			members = *entry.Members
		}
	}
	return members
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *memoryLog) compact(snapshot Snapshot) {
	if snapshot.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[snapshot.Index-l.snapshot.Index:]...)
	}
	l.snapshot = snapshot
	l.membership = nil
}
