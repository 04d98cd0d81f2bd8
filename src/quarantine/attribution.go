package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evaluate decides which entries are quarantined and returns what changed since the last time. The lock is
// held.
//
// When a replica crashes, everything under way there is a suspect. Of entries that share crashes, the one
// with the most crashes is taken as their cause, and these crashes no longer count against parts of
// prompts: one that stands beside a part that crashes replicas would be quarantined with it otherwise.
// The result depends on the entries alone, not on the order in which they came.
func (t *Table) evaluate(now time.Time) []Change {
	var candidates []candidate
	for digest, known := range t.entries {
		known.status = cleared
		if len(known.failures) >= Threshold {
			candidates = append(candidates, candidate{digest: digest, entry: known})
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	// attributed holds the replicas whose failures have a cause already.
	attributed := map[string]bool{}
	for _, c := range candidates {
		c.entry.status = c.entry.evaluate(attributed)
		if c.entry.status != quarantined {
			continue
		}
		for _, replica := range c.entry.failures {
			attributed[replica] = true
		}
	}
	var changes []Change
	for digest, known := range t.entries {
		changes = known.appendChange(now, digest, changes)
	}
	return changes
}

// status is what the failures of an entry amount to.
type status uint8

const (
	// cleared means that requests with the content or part may be sent.
	cleared status = iota
	// ambiguous means that each failure may have another cause, but no request with the part ever completed.
	ambiguous
	// quarantined means that the failures are attributed to the entry.
	quarantined
)

// evaluate returns the status of an entry, given the failures that are attributed to others.
func (e *entry) evaluate(attributed map[string]bool) status {
	switch {
	case e.part == "" || e.unattributed(attributed) >= e.threshold():
		return quarantined
	case e.served:
		return cleared
	}
	return ambiguous
}

// candidate is an entry that may be quarantined.
type candidate struct {
	digest Digest
	entry  *entry
}

// compareCandidates orders the most likely cause first: the one with the most crashes, and of these the
// one that the fewest other requests have in common.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(len(b.entry.failures), len(a.entry.failures)),
		compareBool(a.entry.served, b.entry.served),
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

// unattributed returns the number of crashes that are not in the given set.
func (e *entry) unattributed(attributed map[string]bool) int {
	count := 0
	for _, replica := range e.failures {
		if !attributed[replica] {
			count++
		}
	}
	return count
}

// threshold returns the number of crashes after which the entry is quarantined.
func (e *entry) threshold() int {
	if e.part != "" && e.served {
		return ServedThreshold
	}
	return Threshold
}
