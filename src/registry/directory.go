package registry

import (
	"sort"
	"time"
)

// Entry is a replica as the nodes together see it.
type Entry struct {
	Record Record
	// Silent is set when no node in reach heard the replica lately.
	Silent bool
	// Replaced is set when a later incarnation took the replica's address.
	Replaced bool
	// FirstSeen is when this process learned of the replica.
	FirstSeen time.Time
}

// Usable reports whether the replica may get new requests.
func (e *Entry) Usable() bool {
	return !e.Record.Leaving() && !e.Silent && !e.Replaced
}

type entry struct {
	record   Record
	views    map[string]bool // silent, by source
	replaced bool
	// doubtful is set until a source is sure that the replica is there.
	doubtful  bool
	firstSeen time.Time
	order     uint64
	unseenAt  time.Time
}

// Directory merges what several nodes tell. It is not safe for concurrent use.
type Directory struct {
	forget  time.Duration
	entries map[string]*entry
	order   uint64
	version uint64
}

// NewDirectory returns an empty directory; forget is how long a replica that no
// node mentions or that is gone is remembered.
func NewDirectory(forget time.Duration) *Directory {
	return &Directory{forget: forget, entries: map[string]*entry{}}
}

// Version returns a number that grows with every change.
func (d *Directory) Version() uint64 { return d.version }

// Take merges standings that a source told.
func (d *Directory) Take(now time.Time, source string, standings []Standing) {
	for i := range standings {
		d.take(now, source, standings[i])
	}
	if len(standings) > 0 {
		d.version++
	}
}

func (d *Directory) take(now time.Time, source string, s Standing) {
	known := d.entries[s.Record.ID]
	if known == nil {
		d.order++
		known = &entry{record: s.Record, views: map[string]bool{}, doubtful: s.doubtful(), firstSeen: now, order: d.order}
		d.entries[s.Record.ID] = known
		d.replaceOlder(known)
	} else if s.Record.Sequence > known.record.Sequence {
		known.record.supersede(s.Record)
	} else {
		known.record.Draining = known.record.Draining || s.Record.Draining
		known.record.Gone = known.record.Gone || s.Record.Gone
	}
	known.views[source] = s.Silent
	known.doubtful = known.doubtful && s.doubtful()
	known.unseenAt = now
}

// replaceOlder marks earlier incarnations at the same address: an address belongs
// to the one that appeared last. One that no source is sure of does not take the
// address from one that was heard of: it is the older one, told of later.
func (d *Directory) replaceOlder(latest *entry) {
	for _, other := range d.entries {
		if other == latest || other.record.Address != latest.record.Address {
			continue
		}
		if latest.doubtful && !other.doubtful {
			latest.replaced = true
			continue
		}
		other.replaced = true
	}
}

// Lose forgets what a source told of silence. The replicas it alone vouched for
// stay as they are until another source or Sweep says otherwise.
func (d *Directory) Lose(now time.Time, source string) {
	for _, known := range d.entries {
		silent, told := known.views[source]
		if !told {
			continue
		}
		delete(known.views, source)
		if len(known.views) == 0 && !silent {
			// Nobody else speaks of it: keep the last word, as from the lost source.
			known.views[lostSource] = false
			known.unseenAt = now
		}
	}
	d.version++
}

// lostSource stands for sources that are gone.
const lostSource = ""

// Sweep forgets replicas that are gone or unheard of. While nodes are in reach
// it trusts the word of lost ones for a while only; with none it keeps to it.
func (d *Directory) Sweep(now time.Time, trust time.Duration, inReach bool) {
	for id, known := range d.entries {
		age := now.Sub(known.unseenAt)
		if silent, found := known.views[lostSource]; found && !silent && inReach && age > trust {
			known.views[lostSource] = true
			d.version++
		}
		if age > d.forget && (known.record.Leaving() || known.silent()) {
			delete(d.entries, id)
			d.version++
		}
	}
}

func (e *entry) silent() bool {
	for _, silent := range e.views {
		if !silent {
			return false
		}
	}
	return true
}

// Entries returns all replicas, by ID.
func (d *Directory) Entries() []Entry {
	all := make([]Entry, 0, len(d.entries))
	for _, known := range d.entries {
		all = append(all, Entry{Record: known.record, Silent: known.silent(), Replaced: known.replaced, FirstSeen: known.firstSeen})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Record.ID < all[j].Record.ID })
	return all
}
