package registry

import (
	"sort"
	"time"
)

// Entry is a replica in the merged view of several nodes.
type Entry struct {
	Record Record
	// Silent is set when no connected node has had a recent heartbeat of the replica.
	Silent bool
	// Replaced is set when a later incarnation has taken over the replica's address.
	Replaced bool
	// FirstSeen is when this process learned of the replica.
	FirstSeen time.Time
}

// Changes are the replicas that changed since the previous call of Directory.Changes.
type Changes struct {
	// Entries are new and changed replicas, in the order in which the directory learned of them.
	Entries []Entry
	// Removed are the IDs of replicas that were removed.
	Removed []string
}

// Empty reports whether nothing has changed.
func (c *Changes) Empty() bool { return len(c.Entries) == 0 && len(c.Removed) == 0 }

// Usable reports whether the replica may get new requests.
func (e *Entry) Usable() bool {
	return !e.Record.Leaving() && !e.Silent && !e.Replaced
}

// entry is the directory's state of one replica.
type entry struct {
	record   Record
	silentBy map[string]bool // silent, by source
	replaced bool
	// contested is set once another incarnation was reported at the same address.
	contested bool
	// unconfirmed is set until a source reports the replica as neither silent nor recalled.
	unconfirmed bool
	firstSeen   time.Time
	order       uint64
	reportedAt  time.Time
	// stamp is that of the last change that affects routing.
	stamp uint64
	// markedSilent is the value of silent() at that change.
	markedSilent bool
}

// Directory merges the reports of several nodes. Each change that affects routing gets an
// increasing stamp, by which gateways are sent what changed. A Directory is not safe for concurrent
// use.
type Directory struct {
	forget  time.Duration
	entries map[string]*entry
	order   uint64
	stamp   uint64
	// sourceDecides is set once a source has reported who owns an address: that source has a merged
	// view itself, and its decisions are adopted.
	sourceDecides bool
	// changed and removed are the IDs of the replicas that Changes has not returned yet.
	changed map[string]bool
	removed []string
}

// NewDirectory returns an empty directory. A replica that is silent or leaving is removed once no
// node has reported it for the duration forget.
func NewDirectory(forget time.Duration) *Directory {
	return &Directory{forget: forget, entries: map[string]*entry{}, changed: map[string]bool{}}
}

// Stamp returns the stamp of the newest change that affects routing.
func (d *Directory) Stamp() uint64 { return d.stamp }

// Apply merges standings reported by a source.
func (d *Directory) Apply(now time.Time, source string, standings []ReplicaStatus) {
	for i := range standings {
		d.apply(now, source, standings[i])
	}
}

func (d *Directory) apply(now time.Time, source string, s ReplicaStatus) {
	known := d.entries[s.Record.ID]
	if known == nil {
		known = d.add(now, s)
	} else {
		d.merge(known, s)
	}
	d.sourceDecides = d.sourceDecides || s.Owner || s.Replaced
	if s.Owner {
		d.setOwner(known)
	}
	known.silentBy[source] = s.Silent
	known.reportedAt = now
	if known.unconfirmed && !s.unconfirmed() {
		known.unconfirmed = false
		d.mark(known)
	}
	d.updateSilence(known)
}

// add adds a replica that was not known.
func (d *Directory) add(now time.Time, s ReplicaStatus) *entry {
	d.order++
	added := &entry{record: s.Record, silentBy: map[string]bool{}, replaced: s.Replaced, unconfirmed: s.unconfirmed(), firstSeen: now, order: d.order}
	d.entries[s.Record.ID] = added
	if !s.Owner {
		d.replaceEarlier(added)
	}
	d.mark(added)
	return added
}

// merge updates a known replica with a source's report.
func (d *Directory) merge(known *entry, s ReplicaStatus) {
	before, replaced := known.record, known.replaced
	if s.Record.Sequence > known.record.Sequence {
		known.record.update(s.Record)
	} else {
		known.record.Draining = known.record.Draining || s.Record.Draining
		known.record.Gone = known.record.Gone || s.Record.Gone
	}
	known.replaced = known.replaced || s.Replaced
	switch {
	case replaced != known.replaced || !sameRouting(&before, &known.record):
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

// updateSilence marks a replica that has become silent or is heard again.
func (d *Directory) updateSilence(e *entry) {
	silent := e.silent()
	if silent == e.markedSilent {
		return
	}
	e.markedSilent = silent
	d.mark(e)
	if d.sourceDecides {
		return
	}
	if silent {
		d.reassign(e)
		return
	}
	d.reclaim(e)
}

// reassign gives the address and name of a replica that has become silent to another start that
// still sends heartbeats, if there is one. Otherwise the running start would get no requests any
// more if a late heartbeat of an ended start was processed last, or if a host's clock was set back.
func (d *Directory) reassign(silent *entry) {
	var latest *entry
	for _, e := range d.entries {
		switch {
		case e == silent || e.markedSilent || !e.record.conflictsWith(&silent.record):
		case !e.replaced:
			return
		case e.record.Leaving():
		case latest == nil || latest.record.startedBefore(&e.record) || !e.record.startedBefore(&latest.record) && e.order > latest.order:
			latest = e
		}
	}
	if latest != nil {
		d.setOwner(latest)
	}
}

// reclaim makes a replica that is heard again the owner of its address if an earlier start owns it.
func (d *Directory) reclaim(heard *entry) {
	if !heard.replaced || heard.record.Leaving() {
		return
	}
	earlier := false
	for _, e := range d.entries {
		if e == heard || e.replaced || !e.record.conflictsWith(&heard.record) {
			continue
		}
		if !e.record.startedBefore(&heard.record) {
			return
		}
		earlier = true
	}
	if earlier {
		d.setOwner(heard)
	}
}

// setOwner makes a replica the owner of its address and name.
func (d *Directory) setOwner(owner *entry) {
	owner.contested = true
	if owner.replaced {
		owner.replaced = false
		d.mark(owner)
	}
	for _, other := range d.entries {
		if other != owner && !other.replaced && other.record.conflictsWith(&owner.record) {
			other.replaced = true
			d.mark(other)
		}
	}
}

// replaceEarlier resolves conflicts of a newly learned replica over its address or name. The later
// start wins, by the reported start times, else the one that appeared last. An unconfirmed replica
// does not replace a confirmed one: it is an earlier start that was reported later. A replica that
// is already replaced takes part in no conflict.
func (d *Directory) replaceEarlier(latest *entry) {
	if latest.replaced {
		return
	}
	for _, other := range d.entries {
		if other == latest || other.replaced || !other.record.conflictsWith(&latest.record) {
			continue
		}
		latest.contested = true
		later := other.record.startedBefore(&latest.record)
		if latest.record.startedBefore(&other.record) || !later && latest.unconfirmed && !other.unconfirmed {
			latest.replaced = true
			other.contested = true
			d.mark(other)
			return
		}
		other.replaced = true
		d.mark(other)
	}
}

// RemoveSource drops a source's reports of silence. Replicas that only this source reported as
// running keep their state until another source or Sweep changes it.
func (d *Directory) RemoveSource(now time.Time, source string) {
	for _, known := range d.entries {
		silent, reported := known.silentBy[source]
		if !reported {
			continue
		}
		delete(known.silentBy, source)
		if !silent && known.silent() {
			// No other source has heard the replica lately, which may send its next heartbeat to one: keep its
			// last state under lostSource.
			known.silentBy[lostSource] = false
			known.reportedAt = now
		}
		d.updateSilence(known)
	}
}

// lostSource stands for all sources that were removed.
const lostSource = ""

// Sweep removes old replicas that are leaving or silent. Reports of lost sources are trusted for
// the duration trust while other nodes are connected, and indefinitely while none is.
func (d *Directory) Sweep(now time.Time, trust time.Duration, inReach bool) {
	for id, known := range d.entries {
		age := now.Sub(known.reportedAt)
		if silent, found := known.silentBy[lostSource]; found && !silent && inReach && age > trust {
			known.silentBy[lostSource] = true
			d.updateSilence(known)
		}
		if age > d.forget && (known.record.Leaving() || known.silent()) {
			delete(d.entries, id)
			delete(d.changed, id)
			d.removed = append(d.removed, id)
		}
	}
}

func (e *entry) silent() bool {
	for _, silent := range e.silentBy {
		if !silent {
			return false
		}
	}
	return true
}

func (e *entry) export() Entry {
	return Entry{Record: e.record, Silent: e.silent(), Replaced: e.replaced, FirstSeen: e.firstSeen}
}

// Changes returns what has changed since the previous call.
func (d *Directory) Changes() Changes {
	changes := Changes{Removed: d.removed}
	changed := make([]*entry, 0, len(d.changed))
	for id := range d.changed {
		changed = append(changed, d.entries[id])
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].order < changed[j].order })
	for _, e := range changed {
		changes.Entries = append(changes.Entries, e.export())
	}
	clear(d.changed)
	d.removed = nil
	return changes
}

// Since returns the routing records of the replicas that changed after a stamp, in the order in
// which the directory learned of them: of two at one address the later one owns it.
func (d *Directory) Since(stamp uint64) []ReplicaStatus {
	var changed []*entry
	for _, known := range d.entries {
		if known.stamp > stamp {
			changed = append(changed, known)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].order < changed[j].order })
	standings := make([]ReplicaStatus, 0, len(changed))
	for _, e := range changed {
		silent := e.silent()
		standings = append(standings, ReplicaStatus{Record: e.record.routingRecord(), Silent: silent, Recalled: e.unconfirmed && !silent, Replaced: e.replaced, Owner: e.contested && !e.replaced})
	}
	return standings
}

// Starts returns the records of all known starts of a replica.
func (d *Directory) Starts(name string) []Record {
	var starts []Record
	for _, known := range d.entries {
		if known.record.ReplicaName() == name {
			starts = append(starts, known.record)
		}
	}
	return starts
}

// Entries returns all replicas, sorted by ID.
func (d *Directory) Entries() []Entry {
	all := make([]Entry, 0, len(d.entries))
	for _, known := range d.entries {
		all = append(all, known.export())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Record.ID < all[j].Record.ID })
	return all
}
