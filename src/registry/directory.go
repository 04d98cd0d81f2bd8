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

// Changes are the replicas that are not as they were told of before.
type Changes struct {
	// Entries are the replicas that are new or have changed, in the order in which
	// they were learned of.
	Entries []Entry
	// Removed are the IDs of replicas that are forgotten.
	Removed []string
}

// Empty reports whether there is nothing to tell.
func (c *Changes) Empty() bool { return len(c.Entries) == 0 && len(c.Removed) == 0 }

// Usable reports whether the replica may get new requests.
func (e *Entry) Usable() bool {
	return !e.Record.Leaving() && !e.Silent && !e.Replaced
}

type entry struct {
	record   Record
	views    map[string]bool // silent, by source
	replaced bool
	// contested is set once another incarnation was told of at the same address.
	contested bool
	// doubtful is set until a source is sure that the replica is there.
	doubtful  bool
	firstSeen time.Time
	order     uint64
	unseenAt  time.Time
	// stamp is that of the last change that matters to requests.
	stamp uint64
	// silence is what silent said at that change.
	silence bool
}

// Directory merges what several nodes tell. Every change that matters to requests gets
// a stamp that grows, so that gateways can be told of it. It is not safe for concurrent
// use.
type Directory struct {
	forget  time.Duration
	entries map[string]*entry
	order   uint64
	stamp   uint64
	// follows is set once a source told who owns an address: it has merged the words of
	// several nodes and decides.
	follows bool
	// changed and removed are the IDs of the replicas that Changes has not returned.
	changed map[string]bool
	removed []string
}

// NewDirectory returns an empty directory; forget is how long a replica that no
// node mentions or that is gone is remembered.
func NewDirectory(forget time.Duration) *Directory {
	return &Directory{forget: forget, entries: map[string]*entry{}, changed: map[string]bool{}}
}

// Stamp returns the stamp of the newest change that matters to requests.
func (d *Directory) Stamp() uint64 { return d.stamp }

// Take merges standings that a source told.
func (d *Directory) Take(now time.Time, source string, standings []Standing) {
	for i := range standings {
		d.take(now, source, standings[i])
	}
}

func (d *Directory) take(now time.Time, source string, s Standing) {
	known := d.entries[s.Record.ID]
	if known == nil {
		known = d.add(now, s)
	} else {
		d.merge(known, s)
	}
	d.follows = d.follows || s.Owner || s.Replaced
	if s.Owner {
		d.give(known)
	}
	known.views[source] = s.Silent
	known.unseenAt = now
	if known.doubtful && !s.doubtful() {
		known.doubtful = false
		d.mark(known)
	}
	d.markSilence(known)
}

// add takes in a replica that was not known.
func (d *Directory) add(now time.Time, s Standing) *entry {
	d.order++
	added := &entry{record: s.Record, views: map[string]bool{}, replaced: s.Replaced, doubtful: s.doubtful(), firstSeen: now, order: d.order}
	d.entries[s.Record.ID] = added
	if !s.Owner {
		d.replaceEarlier(added)
	}
	d.mark(added)
	return added
}

// merge takes in a source's word on a replica that is known.
func (d *Directory) merge(known *entry, s Standing) {
	before, replaced := known.record, known.replaced
	if s.Record.Sequence > known.record.Sequence {
		known.record.supersede(s.Record)
	} else {
		known.record.Draining = known.record.Draining || s.Record.Draining
		known.record.Gone = known.record.Gone || s.Record.Gone
	}
	known.replaced = known.replaced || s.Replaced
	switch {
	case replaced != known.replaced || !sameForRequests(&before, &known.record):
		d.mark(known)
	case before.Sequence != known.record.Sequence:
		d.changed[known.record.ID] = true
	}
}

func (d *Directory) mark(e *entry) {
	d.stamp++
	e.stamp = d.stamp
	d.changed[e.record.ID] = true
}

// markSilence marks a replica that has fallen silent or is heard again.
func (d *Directory) markSilence(e *entry) {
	silent := e.silent()
	if silent == e.silence {
		return
	}
	e.silence = silent
	d.mark(e)
	if d.follows {
		return
	}
	if silent {
		d.restore(e)
		return
	}
	d.reclaim(e)
}

// restore gives the place of a replica that has fallen silent to another start that goes on
// calling, if there is one: a late call of an ended start may be heard last, or a host's time of
// day may have been set back, and no request would be sent to that place any more.
func (d *Directory) restore(silent *entry) {
	var latest *entry
	for _, e := range d.entries {
		switch {
		case e == silent || e.silence || !e.record.excludes(&silent.record):
		case !e.replaced:
			return
		case e.record.Leaving():
		case latest == nil || latest.record.precedes(&e.record) || !e.record.precedes(&latest.record) && e.order > latest.order:
			latest = e
		}
	}
	if latest != nil {
		d.give(latest)
	}
}

// reclaim gives a replica that is heard again its place back if an earlier start has it.
func (d *Directory) reclaim(heard *entry) {
	if !heard.replaced || heard.record.Leaving() {
		return
	}
	earlier := false
	for _, e := range d.entries {
		if e == heard || e.replaced || !e.record.excludes(&heard.record) {
			continue
		}
		if !e.record.precedes(&heard.record) {
			return
		}
		earlier = true
	}
	if earlier {
		d.give(heard)
	}
}

// give makes a replica the one that has its address and its name.
func (d *Directory) give(owner *entry) {
	owner.contested = true
	if owner.replaced {
		owner.replaced = false
		d.mark(owner)
	}
	for _, other := range d.entries {
		if other != owner && !other.replaced && other.record.excludes(&owner.record) {
			other.replaced = true
			d.mark(other)
		}
	}
}

// replaceEarlier marks earlier starts at the address or under the name of one that was just
// learned of: by what they say of their starts, else the one that appeared last is the later
// one. One that no source is sure of does not take the place of one that was heard of: it is the
// earlier one, told of later. One that was replaced before has no place to lose or to keep.
func (d *Directory) replaceEarlier(latest *entry) {
	if latest.replaced {
		return
	}
	for _, other := range d.entries {
		if other == latest || other.replaced || !other.record.excludes(&latest.record) {
			continue
		}
		latest.contested = true
		later := other.record.precedes(&latest.record)
		if latest.record.precedes(&other.record) || !later && latest.doubtful && !other.doubtful {
			latest.replaced = true
			other.contested = true
			d.mark(other)
			return
		}
		other.replaced = true
		d.mark(other)
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
		d.markSilence(known)
	}
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
			d.markSilence(known)
		}
		if age > d.forget && (known.record.Leaving() || known.silent()) {
			delete(d.entries, id)
			delete(d.changed, id)
			d.removed = append(d.removed, id)
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

func (e *entry) told() Entry {
	return Entry{Record: e.record, Silent: e.silent(), Replaced: e.replaced, FirstSeen: e.firstSeen}
}

// Changes returns what has changed since the last call.
func (d *Directory) Changes() Changes {
	changes := Changes{Removed: d.removed}
	changed := make([]*entry, 0, len(d.changed))
	for id := range d.changed {
		changed = append(changed, d.entries[id])
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].order < changed[j].order })
	for _, e := range changed {
		changes.Entries = append(changes.Entries, e.told())
	}
	clear(d.changed)
	d.removed = nil
	return changes
}

// Since returns what requests need to know of the replicas that changed after a stamp.
// The order is that in which the replicas were learned of: of two at one address the
// later one has it.
func (d *Directory) Since(stamp uint64) []Standing {
	var changed []*entry
	for _, known := range d.entries {
		if known.stamp > stamp {
			changed = append(changed, known)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].order < changed[j].order })
	standings := make([]Standing, 0, len(changed))
	for _, e := range changed {
		silent := e.silent()
		standings = append(standings, Standing{Record: e.record.forRequests(), Silent: silent, Recalled: e.doubtful && !silent, Replaced: e.replaced, Owner: e.contested && !e.replaced})
	}
	return standings
}

// Entries returns all replicas, by ID.
func (d *Directory) Entries() []Entry {
	all := make([]Entry, 0, len(d.entries))
	for _, known := range d.entries {
		all = append(all, known.told())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Record.ID < all[j].Record.ID })
	return all
}
