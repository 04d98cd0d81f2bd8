package control

import (
	"maps"
	"slices"

	"github.com/moorspool/moorspool/src/wire"
)

// zoneCommand drains an availability zone, or ends its drain, provided that the zone's revision is
// still Base. If the zone already is in the requested state, the command is accepted and changes
// nothing.
type zoneCommand struct {
	Zone  string `cbor:"1,keyasint"`
	Drain bool   `cbor:"2,keyasint"`
	Base  uint64 `cbor:"3,keyasint"`
}

// withoutBase returns the order without its base revision, the same for all orders of this kind.
func (c *zoneCommand) withoutBase() zoneCommand { return zoneCommand{Zone: c.Zone, Drain: c.Drain} }

// zoneState is the drain state of one zone.
type zoneState struct {
	Drained bool `cbor:"1,keyasint"`
	// Revision is the revision of the last order that changed the zone. Changes is the number of
	// such orders.
	Revision uint64 `cbor:"2,keyasint"`
	Changes  uint64 `cbor:"3,keyasint"`
}

// zoneStates holds every zone that has ever been drained. The map is copied on write.
type zoneStates map[string]zoneState

// revision returns the highest revision of any zone.
func (z zoneStates) revision() uint64 {
	newest := uint64(0)
	for _, state := range z {
		newest = max(newest, state.Revision)
	}
	return newest
}

// drains returns the drained zones in sorted order.
func (z zoneStates) drains() *wire.ZoneDrains {
	summary := &wire.ZoneDrains{Revision: z.revision()}
	for _, zone := range slices.Sorted(maps.Keys(z)) {
		if z[zone].Drained {
			summary.Zones = append(summary.Zones, zone)
		}
	}
	return summary
}

// changeOrders returns the orders that have changed a zone, without their bases. The first change
// of any zone is a drain.
func (z zoneStates) changeOrders() []zoneCommand {
	var orders []zoneCommand
	for zone, state := range z {
		orders = append(orders, zoneCommand{Zone: zone, Drain: true})
		if state.Changes > 1 {
			orders = append(orders, zoneCommand{Zone: zone})
		}
	}
	return orders
}

func (s *State) applyZone(cmd *zoneCommand) result {
	state := s.zones[cmd.Zone]
	accepted := result{outcome: wire.Accepted, zoneOrder: cmd}
	if state.Drained == cmd.Drain {
		return accepted
	}
	if state.Revision != cmd.Base {
		return result{outcome: wire.Refused, raced: true, reason: "another order about the zone came between"}
	}
	next := maps.Clone(s.zones)
	next[cmd.Zone] = zoneState{Drained: cmd.Drain, Revision: s.zones.revision() + 1, Changes: state.Changes + 1}
	s.zones = next
	s.drains = next.drains()
	return accepted
}
