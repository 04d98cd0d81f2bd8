package place

import (
	"slices"
	"sort"

	"github.com/moorspool/moorspool/src/config"
)

// wantedZones is how many availability zones a model lives in where memory allows.
const wantedZones = 2

// fillLimit is the share of a zone's memory that assignments may fill, so that
// moves and version changes find room.
const fillLimit = 0.75

type zoneRoom struct {
	name     string
	capacity config.Bytes
	used     config.Bytes
	largest  config.Bytes
}

func (z *zoneRoom) fits(footprint config.Bytes, limit float64) bool {
	return footprint <= z.largest && float64(z.used+footprint) <= float64(z.capacity)*limit
}

// Assign returns the assignments that have to change so that every model lives
// in at least one availability zone, in two where memory allows, and the names
// of models whose assignments are no longer needed. A zone that a model
// lives in stays unless the selectors forbid it.
func Assign(set *config.Set) (put []config.Object, remove []config.Key) {
	rooms := zoneRooms(set)
	wanted := map[string][]string{}
	for _, model := range set.ModelNames() {
		kept := keptZones(set, rooms, model)
		wanted[model] = kept
		for _, zone := range kept {
			rooms[zone].used += set.Footprint(model)
		}
	}
	order := byRankAndSize(set)
	for copies := 1; copies <= wantedZones; copies++ {
		for _, model := range order {
			if len(wanted[model]) >= copies {
				continue
			}
			limit := fillLimit
			if copies == 1 {
				limit = 1
			}
			if zone := emptiest(set, rooms, model, wanted[model], limit); zone != nil {
				zone.used += set.Footprint(model)
				wanted[model] = append(wanted[model], zone.name)
			}
		}
	}
	return changedAssignments(set, wanted), goneAssignments(set)
}

func zoneRooms(set *config.Set) map[string]*zoneRoom {
	rooms := map[string]*zoneRoom{}
	for _, object := range set.OfKind(config.KindPool) {
		usable := object.Pool.Usable()
		if usable == 0 {
			continue
		}
		for _, zone := range object.Pool.Zones {
			room := rooms[zone.Zone]
			if room == nil {
				room = &zoneRoom{name: zone.Zone}
				rooms[zone.Zone] = room
			}
			room.capacity += usable * config.Bytes(object.Pool.Accelerators*zone.Replicas)
			room.largest = max(room.largest, usable)
		}
	}
	return rooms
}

func keptZones(set *config.Set, rooms map[string]*zoneRoom, model string) []string {
	var kept []string
	for _, zone := range set.AssignedZones(model) {
		if rooms[zone] != nil && mayLive(set, model, zone) {
			kept = append(kept, zone)
		}
	}
	return kept
}

func mayLive(set *config.Set, model, zone string) bool {
	allowed, limited := set.AllowedZones(model)
	if !limited {
		return true
	}
	for _, name := range allowed {
		if name == zone {
			return true
		}
	}
	return false
}

func byRankAndSize(set *config.Set) []string {
	order := append([]string(nil), set.ModelNames()...)
	ranks := map[string]int{}
	sizes := map[string]config.Bytes{}
	for _, model := range order {
		ranks[model] = set.Rank(model)
		sizes[model] = set.Footprint(model)
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if ranks[a] != ranks[b] {
			return ranks[a] > ranks[b]
		}
		return sizes[a] > sizes[b]
	})
	return order
}

func emptiest(set *config.Set, rooms map[string]*zoneRoom, model string, taken []string, limit float64) *zoneRoom {
	footprint := set.Footprint(model)
	var best *zoneRoom
	for _, room := range rooms {
		if slices.Contains(taken, room.name) || !room.fits(footprint, limit) || !mayLive(set, model, room.name) {
			continue
		}
		if best == nil || emptier(room, best) {
			best = room
		}
	}
	return best
}

func emptier(a, b *zoneRoom) bool {
	fillA := float64(a.used) / float64(a.capacity)
	fillB := float64(b.used) / float64(b.capacity)
	if fillA != fillB {
		return fillA < fillB
	}
	return a.name < b.name
}

func changedAssignments(set *config.Set, wanted map[string][]string) []config.Object {
	var changed []config.Object
	for _, model := range set.ModelNames() {
		if slices.Equal(wanted[model], set.AssignedZones(model)) {
			continue
		}
		changed = append(changed, config.Object{
			Key:        config.Key{Kind: config.KindAssignment, Name: model},
			Assignment: &config.Assignment{Zones: wanted[model]},
		})
	}
	return changed
}

func goneAssignments(set *config.Set) []config.Key {
	var gone []config.Key
	for _, object := range set.OfKind(config.KindAssignment) {
		if set.Model(object.Key.Name) == nil {
			gone = append(gone, object.Key)
		}
	}
	return gone
}
