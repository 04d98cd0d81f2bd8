package exchange

import (
	"fmt"
	"strings"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// SetDrains takes in the zones whose replicas get nothing new by operators' orders. What runs there
// goes on. Each way to a replica asks for it where it asks for the replica's own words, last right
// before the first byte of a request.
func (f *Fleet) SetDrains(drains *wire.ZoneDrains) {
	// Before the zone is open again: nothing may be sent there in between.
	f.refill(f.drains.Load(), drains)
	if len(drains.Zones) == 0 {
		f.drains.Store(nil)
	} else {
		f.drains.Store(drains)
	}
	f.ring.Add(event.Event{Kind: event.ZonesDrained, Reason: fmt.Sprintf("order %d; drained: %s", drains.Revision, strings.Join(drains.Zones, " "))})
}

// DrainedZones returns how many zones get nothing new.
func (f *Fleet) DrainedZones() int {
	drains := f.drains.Load()
	if drains == nil {
		return 0
	}
	return len(drains.Zones)
}

// drained reports whether a replica's zone gets nothing new.
func (f *Fleet) drained(peer *Peer) bool {
	drains := f.drains.Load()
	return drains != nil && drains.Drained(peer.zone())
}
