package quarantine

import (
	"cmp"
	"slices"
)

// evictionBatch is how many entries are selected for eviction at a time, so that not each new entry searches
// the whole table.
const evictionBatch = maxEntries / 8

// evictable is an entry that was selected for eviction in its present version.
type evictable struct {
	digest  Digest
	version uint64
}

// evict removes the entry with the fewest failures. It reports false if all are quarantined. The
// lock is held.
func (t *Table) evict() bool {
	for range 2 {
		for len(t.evictable) > 0 {
			last := len(t.evictable) - 1
			next := t.evictable[last]
			t.evictable = t.evictable[:last]
			if known := t.entries[next.digest]; known != nil && known.version == next.version {
				delete(t.entries, next.digest)
				return true
			}
		}
		t.selectEvictable()
	}
	return false
}

// selectEvictable selects the entries to evict next: those with the fewest failures, and of these the
// ones that changed first.
func (t *Table) selectEvictable() {
	var candidates []candidate
	for digest, known := range t.entries {
		if len(known.failures) < Threshold {
			candidates = append(candidates, candidate{digest: digest, entry: known})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(a.entry.failures), len(b.entry.failures)), a.entry.changedAt.Compare(b.entry.changedAt))
	})
	candidates = candidates[:min(len(candidates), evictionBatch)]
	for _, c := range slices.Backward(candidates) {
		t.evictable = append(t.evictable, evictable{digest: c.digest, version: c.entry.version})
	}
}
