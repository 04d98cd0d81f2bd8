package fleet

import (
	"sync"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// tableCache holds the decoded form of the newest configuration; it is safe for concurrent use.
type tableCache struct {
	decode func(raw []byte) (catalog.Document, error)
	// unusable is called once for each version that can't be decoded.
	unusable func(version uint64, err error)

	mu      sync.Mutex
	version uint64
	table   *catalog.Table
	// unusableVersion is the last version that could not be decoded.
	unusableVersion uint64
}

// get returns the table of a version, or the one before if that can't be decoded, nil if there is none;
// document is called only for a new version.
func (t *tableCache) get(version uint64, document func() wire.Document) *catalog.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == 0 || version == t.version || version == t.unusableVersion {
		return t.table
	}
	held := document()
	decoded, err := decode(held, t.decode)
	if err != nil {
		if held.Version != t.unusableVersion {
			t.unusableVersion = held.Version
			t.unusable(held.Version, err)
		}
		return t.table
	}
	t.version = held.Version
	t.table = catalog.NewTable(decoded)
	return t.table
}

// decode unpacks and parses a configuration.
func decode(held wire.Document, read func(raw []byte) (catalog.Document, error)) (catalog.Document, error) {
	raw, err := wire.Unpack(held.Packed)
	if err != nil {
		return catalog.Document{}, err
	}
	return read(raw)
}
