package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// judge decides which entries are condemned and appends the changes since the last time. The lock is held.
//
// When a replica crashes, everything under way there is a suspect. Of entries that share crashes, the one
// with the most crashes is taken as their cause, and these crashes no longer count against parts of
// prompts: one that stands beside a part that crashes replicas would be condemned with it otherwise.
// The result depends on the entries alone, not on the order in which they came.
func (t *Table) judge(now time.Time, changes []Change) []Change {
	var candidates []candidate
	for digest, known := range t.entries {
		known.verdict = cleared
		if len(known.failures) >= Threshold {
			candidates = append(candidates, candidate{digest: digest, entry: known})
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	explained := map[string]bool{}
	for _, c := range candidates {
		c.entry.verdict = c.entry.judge(explained)
		if c.entry.verdict != condemned {
			continue
		}
		for _, replica := range c.entry.failures {
			explained[replica] = true
		}
	}
	for digest, known := range t.entries {
		changes = known.appendChange(now, digest, changes)
	}
	return changes
}

// verdict is what the failures of an entry amount to.
type verdict uint8

const (
	// cleared means that requests with the content or part may be sent.
	cleared verdict = iota
	// doubtful means that each failure may have another cause, but no request with the part ever completed.
	doubtful
	// condemned means that the failures are put down to the entry.
	condemned
)

// judge returns the verdict on an entry, given the failures that have another cause.
func (e *entry) judge(explained map[string]bool) verdict {
	switch {
	case e.part == "" || e.unexplained(explained) >= e.threshold():
		return condemned
	case e.proven:
		return cleared
	}
	return doubtful
}

// candidate is an entry that may be condemned.
type candidate struct {
	digest Digest
	entry  *entry
}

// compareCandidates orders the most likely cause first: the one with the most crashes, and of these the
// one that the fewest other requests have in common.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(len(b.entry.failures), len(a.entry.failures)),
		compareBool(a.entry.proven, b.entry.proven),
		compareBool(a.entry.part != "", b.entry.part != ""),
		cmp.Compare(b.entry.position, a.entry.position),
		slices.Compare(a.digest[:], b.digest[:]),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unexplained returns the number of crashes that are not in the given set.
func (e *entry) unexplained(explained map[string]bool) int {
	count := 0
	for _, replica := range e.failures {
		if !explained[replica] {
			count++
		}
	}
	return count
}

// threshold returns the number of crashes after which the entry is condemned.
func (e *entry) threshold() int {
	if e.part != "" && e.proven {
		return ProvenThreshold
	}
	return Threshold
}
