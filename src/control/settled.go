package control

// maxVersions bounds the versions whose entries are remembered.
const maxVersions = 64

// changes remembers which entries brought the newest configurations and zone orders, so that a copy
// of a change is acknowledged as soon as its entry is settled, whichever copy settled it: where a
// sync outlasts a call, no call lasts until its own entry is settled.
type changes struct {
	// versions are the newest versions that were in force, oldest first.
	versions []versionEntry
	// zones are the entries of the last orders about zones; those of other zones are not later than
	// restored.
	zones    map[string]uint64
	restored uint64
}

// versionEntry is a configuration's version with the entry that brought it.
type versionEntry struct {
	version uint64
	index   uint64
}

// newChanges returns the changes known from a state that holds all up to an index.
func newChanges(state *State, index uint64) changes {
	c := changes{zones: map[string]uint64{}, restored: index}
	c.versions = []versionEntry{{version: state.document.Version, index: index}}
	return c
}

// note takes in an applied entry, after which a version is in force.
func (c *changes) note(version uint64, applied result) {
	if version > c.versions[len(c.versions)-1].version {
		c.versions = append(c.versions, versionEntry{version: version, index: applied.index})
	}
	if n := len(c.versions) - maxVersions; n > 0 {
		c.versions = c.versions[n:]
	}
	if applied.ordered != nil {
		c.zones[applied.ordered.Zone] = applied.index
	}
}

// versionSettled reports whether a version or a later one is settled, with all up to an index.
func (c *changes) versionSettled(version, settled uint64) bool {
	for _, known := range c.versions {
		if known.version >= version {
			return known.index <= settled
		}
	}
	return false
}

// zoneSettled reports whether the last order about a zone is settled, with all up to an index.
func (c *changes) zoneSettled(zone string, settled uint64) bool {
	index, found := c.zones[zone]
	if !found {
		index = c.restored
	}
	return index <= settled
}
