package control

// maxVersions limits the number of versions whose entries are remembered.
const maxVersions = 64

// changeIndex remembers the log entries of the newest configurations and zone orders. With it, a
// resent change is acknowledged as soon as the original entry is settled, whichever copy caused that.
// This matters when a disk sync takes longer than a call: no single call then lasts until its own
// entry is settled.
type changeIndex struct {
	// versions holds the most recent versions in force, oldest first.
	versions []versionEntry
	// zones holds the index of the last order for each zone. Zones without an entry were last
	// changed at or before restoredIndex.
	zones         map[string]uint64
	restoredIndex uint64
}

// versionEntry is a configuration version and the index of the entry that set it.
type versionEntry struct {
	version uint64
	index   uint64
}

// newChangeIndex returns the index for a state that includes all entries up to an index.
func newChangeIndex(state *State, index uint64) changeIndex {
	c := changeIndex{zones: map[string]uint64{}, restoredIndex: index}
	c.versions = []versionEntry{{version: state.document.Version, index: index}}
	return c
}

// record adds an applied entry; version is the one in force after it.
func (c *changeIndex) record(version uint64, applied result) {
	if version > c.versions[len(c.versions)-1].version {
		c.versions = append(c.versions, versionEntry{version: version, index: applied.index})
	}
	if n := len(c.versions) - maxVersions; n > 0 {
		c.versions = c.versions[n:]
	}
	if applied.zoneOrder != nil {
		c.zones[applied.zoneOrder.Zone] = applied.index
	}
}

// versionSettled reports whether the given version or a later one is settled, where settled is the
// index up to which all entries are settled.
func (c *changeIndex) versionSettled(version, settled uint64) bool {
	for _, known := range c.versions {
		if known.version >= version {
			return known.index <= settled
		}
	}
	return false
}

// zoneSettled reports whether the last order for a zone is settled, where settled is the index up
// to which all entries are settled.
func (c *changeIndex) zoneSettled(zone string, settled uint64) bool {
	index, found := c.zones[zone]
	if !found {
		index = c.restoredIndex
	}
	return index <= settled
}
