package planner

import (
	"sort"

	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/member"
	"github.com/moorspool/moorspool/src/wire"
)

// routeTable holds the routes published to gateways. Each change increments the sequence.
type routeTable struct {
	zone  string
	epoch uint64
	seq   uint64
	hosts map[string]routeEntry
}

// routeEntry is the route to a host with its load.
type routeEntry struct {
	route wire.HostRoute
	load  wire.HostLoad
	// seq is the sequence of the last change of the route.
	seq uint64
	// changes and members are the change counts of the ledger and the zone from which the route was
	// computed.
	changes uint64
	members uint64
}

func newRouteTable(zone string) *routeTable {
	return &routeTable{zone: zone, hosts: map[string]routeEntry{}}
}

func (t *routeTable) setEpoch(epoch uint64) { t.epoch = epoch }

// nextSeq returns the sequence of the next change.
func (t *routeTable) nextSeq() uint64 { return t.seq + 1 }

// maxHostLoads bounds the number of hosts in a load update.
const maxHostLoads = 16

// position is the epoch and sequence up to which a subscriber got the routes.
type position struct {
	epoch uint64
	seq   uint64
}

// since returns the routes changed after a position and, with loads, the loads of the hosts with
// the most waiting requests. For a position of another epoch it returns all routes: subscribers
// ignore updates of an older epoch and may not have applied what was sent before this planner got
// its authority.
func (t *routeTable) since(at position, withLoads bool) wire.RoutesUpdate {
	seq := at.seq
	if at.epoch != t.epoch {
		seq = 0
	}
	update := wire.RoutesUpdate{Zone: t.zone, Epoch: t.epoch, Seq: t.seq, Full: seq == 0}
	names := make([]string, 0, len(t.hosts))
	for name := range t.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		entry := t.hosts[name]
		if entry.seq > seq {
			update.Hosts = append(update.Hosts, entry.route)
		}
		if withLoads && entry.load.Waiting > 0 {
			update.Loads = append(update.Loads, entry.load)
		}
	}
	sort.SliceStable(update.Loads, func(i, j int) bool { return update.Loads[i].Waiting > update.Loads[j].Waiting })
	update.Loads = update.Loads[:min(len(update.Loads), maxHostLoads)]
	return update
}

// Routes returns the routes changed after a sequence; all routes for sequence 0.
func (z *Zone) Routes(since uint64) wire.RoutesUpdate {
	return z.routes.since(position{epoch: z.routes.epoch, seq: since}, false)
}

// updateRoutes updates the routes from members, reports and drains.
func (z *Zone) updateRoutes() {
	changed := false
	next := z.routes.nextSeq()
	for name, entry := range z.members {
		known, found := z.routes.hosts[name]
		updated := routeEntry{route: known.route, seq: known.seq, members: z.stateChanges, load: wire.HostLoad{Host: name}}
		if hostLedger := z.ledger.Host(name); hostLedger != nil {
			updated.changes = hostLedger.Changes()
			updated.load.Running = hostLedger.Report().Running
			updated.load.Waiting = hostLedger.Report().Waiting
		}
		if !found || known.changes != updated.changes || known.members != updated.members {
			updated.route = z.hostRoute(name, entry)
			if !found || !sameRoute(known.route, updated.route) {
				z.logReady(known.route, updated.route)
				updated.seq = next
				changed = true
			}
		}
		z.routes.hosts[name] = updated
	}
	for name, known := range z.routes.hosts {
		if z.members[name] == nil && known.route.State != wire.HostGone {
			known.route.State = wire.HostGone
			known.route.Models = nil
			known.seq = next
			z.routes.hosts[name] = known
			changed = true
		}
	}
	if changed {
		z.routes.seq = next
	}
}

// logReady adds an event for each model that has become ready on a host.
func (z *Zone) logReady(before, after wire.HostRoute) {
	had := map[string]bool{}
	for _, model := range before.Models {
		had[model.Model] = true
	}
	for _, model := range after.Models {
		if !had[model.Model] {
			z.ring.Add(event.Event{Kind: event.ModelReady, Model: model.Model, Host: after.Host, Zone: z.name})
		}
	}
}

// sameRoute reports whether two routes are equal.
func sameRoute(a, b wire.HostRoute) bool {
	if a.State != b.State || a.Slots != b.Slots || a.Address != b.Address || len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if a.Models[i].Model != b.Models[i].Model || a.Models[i].Version != b.Models[i].Version {
			return false
		}
		if len(a.Models[i].Adapters) != len(b.Models[i].Adapters) {
			return false
		}
		for j := range a.Models[i].Adapters {
			if a.Models[i].Adapters[j] != b.Models[i].Adapters[j] {
				return false
			}
		}
	}
	return true
}

// routeStates maps the state of a member to the host state in routes.
var routeStates = map[member.State]wire.HostState{
	member.Joining: wire.HostSuspect,
	member.Live:    wire.HostLive,
	member.Suspect: wire.HostSuspect,
	member.Leaving: wire.HostLeaving,
	member.Gone:    wire.HostGone,
}

// hostRoute returns the route to a host with its ready models.
func (z *Zone) hostRoute(name string, entry *hostEntry) wire.HostRoute {
	route := wire.HostRoute{
		Host:    name,
		Pool:    entry.listed.Pool,
		Address: entry.listed.Address,
		Zone:    z.name,
		State:   routeStates[entry.member.State()],
	}
	hostLedger := z.ledger.Host(name)
	if hostLedger == nil {
		return route
	}
	route.Slots = hostLedger.Report().Slots * max(hostLedger.Accelerators(), 1)
	for i := 0; i < hostLedger.Accelerators(); i++ {
		for _, held := range z.copiesAt(name, i) {
			if held.ready && z.drains[held.key] == nil {
				route.Models = append(route.Models, modelRoute(held))
			}
		}
	}
	sort.SliceStable(route.Models, func(i, j int) bool { return route.Models[i].Model < route.Models[j].Model })
	return route
}

// modelRoute returns the route to a copy with its ready adapters.
func modelRoute(held heldCopy) wire.ModelRoute {
	route := wire.ModelRoute{Model: held.key.model, Version: held.key.version}
	for _, name := range held.adapterNames() {
		if held.adapters[name] == engine.CopyReady {
			route.Adapters = append(route.Adapters, name)
		}
	}
	return route
}

// Status returns the zone's part of the planner status.
func (z *Zone) Status() *wire.PlannerStatus {
	status := &wire.PlannerStatus{
		Epoch:    z.epoch,
		Hosts:    len(z.members),
		Unplaced: len(z.unplaced),
		InDoubt:  z.ledger.InDoubt(),
		Loads:    z.loads,
		Unloads:  z.unloads,
	}
	for _, entry := range z.routes.hosts {
		status.Copies += len(entry.route.Models)
	}
	return status
}
