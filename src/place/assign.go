package place

import (
	"slices"
	"sort"

	"github.com/moorspool/moorspool/src/config"
)

// zonesPerModel is the number of availability zones to which a model is assigned if memory allows.
const zonesPerModel = 2

// maxFill is the fraction of a zone's memory that assignments may fill, which leaves room for moves
// and version changes.
const maxFill = 0.75

// zoneRoom is the accelerator memory of a zone: the total, the part assigned, and the largest
// accelerator.
type zoneRoom struct {
	name     string
	capacity config.Bytes
	used     config.Bytes
	largest  config.Bytes
}

func (z *zoneRoom) fits(footprint config.Bytes, limit float64) bool {
	return footprint <= z.largest && float64(z.used+footprint) <= float64(z.capacity)*limit
}

// Assign returns the assignments that have to change so that every model is assigned to at least
// one availability zone, to two if memory allows, and the assignments of models that no longer
// exist. A model keeps its zones unless its selectors no longer allow them.
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
	for copies := 1; copies <= zonesPerModel; copies++ {
		for _, model := range order {
			if len(wanted[model]) >= copies {
				continue
			}
			limit := maxFill
			if copies == 1 {
				limit = 1
			}
			if zone := leastFilled(set, rooms, model, wanted[model], limit); zone != nil {
				zone.used += set.Footprint(model)
				wanted[model] = append(wanted[model], zone.name)
			}
		}
	}
	return changedAssignments(set, wanted), obsoleteAssignments(set)
}

// zoneRooms returns the memory of all zones.
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

// keptZones returns the zones of a model's assignment that still exist and are allowed.
func keptZones(set *config.Set, rooms map[string]*zoneRoom, model string) []string {
	var kept []string
	for _, zone := range set.AssignedZones(model) {
		if rooms[zone] != nil && mayAssign(set, model, zone) {
			kept = append(kept, zone)
		}
	}
	return kept
}

// mayAssign reports whether a model's selectors allow a zone.
func mayAssign(set *config.Set, model, zone string) bool {
	allowed, restricted := set.AllowedZones(model)
	if !restricted {
		return true
	}
	for _, name := range allowed {
		if name == zone {
			return true
		}
	}
	return false
}

// byRankAndSize returns the models by decreasing rank, then by decreasing footprint.
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

// leastFilled returns the least filled zone to which a model can be assigned, nil if there is none.
func leastFilled(set *config.Set, rooms map[string]*zoneRoom, model string, taken []string, limit float64) *zoneRoom {
	footprint := set.Footprint(model)
	var best *zoneRoom
	for _, room := range rooms {
		if slices.Contains(taken, room.name) || !room.fits(footprint, limit) || !mayAssign(set, model, room.name) {
			continue
		}
		if best == nil || lessFilled(room, best) {
			best = room
		}
	}
	return best
}

// lessFilled reports whether the filled fraction of a is less than that of b.
func lessFilled(a, b *zoneRoom) bool {
	fillA := float64(a.used) / float64(a.capacity)
	fillB := float64(b.used) / float64(b.capacity)
	if fillA != fillB {
		return fillA < fillB
	}
	return a.name < b.name
}

// changedAssignments returns the wanted assignments that differ from the present ones.
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

// obsoleteAssignments returns the assignments of models that no longer exist.
func obsoleteAssignments(set *config.Set) []config.Key {
	var obsolete []config.Key
	for _, object := range set.OfKind(config.KindAssignment) {
		if set.Model(object.Key.Name) == nil {
			obsolete = append(obsolete, object.Key)
		}
	}
	return obsolete
}
