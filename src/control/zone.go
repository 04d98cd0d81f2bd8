package control

import (
	"maps"
	"slices"

	"github.com/moorspool/moorspool/src/wire"
)

// zoneCommand drains an availability zone, or ends that, if the zone was not ordered about since
// Base. An order that finds the zone so already is accepted and changes nothing.
type zoneCommand struct {
	Zone  string `cbor:"1,keyasint"`
	Drain bool   `cbor:"2,keyasint"`
	Base  uint64 `cbor:"3,keyasint"`
}

// kind returns what all orders like this one have in common.
func (c *zoneCommand) kind() zoneCommand { return zoneCommand{Zone: c.Zone, Drain: c.Drain} }

// zoneState is what was ordered about one zone.
type zoneState struct {
	Drained bool `cbor:"1,keyasint"`
	// Revision is that of the last order that changed the zone, Changes is how many did.
	Revision uint64 `cbor:"2,keyasint"`
	Changes  uint64 `cbor:"3,keyasint"`
}

// zoneStates are the zones that were ever ordered about. The map is replaced and never changed.
type zoneStates map[string]zoneState

// revision returns that of the newest order that changed a zone.
func (z zoneStates) revision() uint64 {
	newest := uint64(0)
	for _, state := range z {
		newest = max(newest, state.Revision)
	}
	return newest
}

// drains returns what others are told of the zones.
func (z zoneStates) drains() *wire.ZoneDrains {
	told := &wire.ZoneDrains{Revision: z.revision()}
	for _, zone := range slices.Sorted(maps.Keys(z)) {
		if z[zone].Drained {
			told.Zones = append(told.Zones, zone)
		}
	}
	return told
}

// given returns the kinds of order that have changed a zone: the first one drained it.
func (z zoneStates) given() []zoneCommand {
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
	done := result{outcome: wire.Accepted, ordered: cmd}
	if state.Drained == cmd.Drain {
		return done
	}
	if state.Revision != cmd.Base {
		return result{outcome: wire.Refused, raced: true, reason: "another order about the zone came between"}
	}
	next := maps.Clone(s.zones)
	next[cmd.Zone] = zoneState{Drained: cmd.Drain, Revision: s.zones.revision() + 1, Changes: state.Changes + 1}
	s.zones = next
	s.drains = next.drains()
	return done
}
