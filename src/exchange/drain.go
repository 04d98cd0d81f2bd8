package exchange

import (
	"fmt"
	"strings"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// SetDrains sets the zones that operators have drained. Their replicas get no new requests; running
// requests continue. The drain is checked wherever a replica's own state is, last right before the
// first byte of a request.
func (f *Fleet) SetDrains(drains *wire.ZoneDrains) {
	// Mark the replicas as cold before the zone is open again, so that no request is sent in
	// between.
	f.markReopenedCold(f.drains.Load(), drains)
	if len(drains.Zones) == 0 {
		f.drains.Store(nil)
	} else {
		f.drains.Store(drains)
	}
	f.ring.Add(event.Event{Kind: event.ZonesDrained, Reason: fmt.Sprintf("order %d; drained: %s", drains.Revision, strings.Join(drains.Zones, " "))})
}

// DrainedZones returns the number of drained zones.
func (f *Fleet) DrainedZones() int {
	drains := f.drains.Load()
	if drains == nil {
		return 0
	}
	return len(drains.Zones)
}

// drained reports whether a replica's zone is drained.
func (f *Fleet) drained(peer *Peer) bool {
	drains := f.drains.Load()
	return drains != nil && drains.Drained(peer.zone())
}
