package policy

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/planner"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/wire"
)

// Policies are moorspool's policy and the baselines.
var Policies = []Policy{
	{name: "moorspool", placer: newPlannerPlacer, pick: pickByRouter},
	{name: "static, least reported load", placer: newStaticPlacer, pick: pickLeastReported},
	{name: "static, round robin", placer: newStaticPlacer, pick: pickRoundRobin},
	{name: "replan from nothing", placer: newReplanPlacer, pick: pickByRouter},
}

// plannerPlacer places models with the production planners.
type plannerPlacer struct {
	b     *bench
	zones []*planner.Zone
}

// endlessLease keeps the planners' authority valid for the whole simulation.
const endlessLease = 1000 * time.Hour

func newPlannerPlacer(b *bench) placer {
	o := &plannerPlacer{b: b}
	for _, zone := range b.zones {
		z := planner.NewZone(zone.name, 1/float64(len(b.zones)), nil)
		z.SetConfig(b.set)
		z.SetAuthority(1, b.now.Add(endlessLease))
		list := discovery.List{}
		for _, e := range zone.engines {
			list.Hosts = append(list.Hosts, discovery.Host{Name: e.report.Host, Pool: "engines", Zone: zone.name})
		}
		z.Listed(list, b.now)
		o.zones = append(o.zones, z)
	}
	return o
}

func (o *plannerPlacer) step(now time.Time) {
	for i, zone := range o.b.zones {
		for _, e := range zone.engines {
			if !e.down {
				o.zones[i].Reported(e.report.Host, e.advance(now), now)
			}
		}
	}
	o.demand()
	for i, zone := range o.b.zones {
		for _, send := range o.zones[i].Step(now, ^uint64(0)) {
			e := zone.byName[send.Host]
			if e.down || o.b.random.Float64() < o.b.e.LostOrders {
				o.zones[i].OrderUnanswered(send)
				continue
			}
			o.zones[i].OrderAnswered(send, e.execute(send.Order, o.b.store, now))
		}
	}
	o.b.updateTables(func(z int) []wire.HostRoute { return o.zones[z].Routes(0).Hosts })
	o.b.refreshLoads(now)
}

// demand reports the demand that was counted in each zone to the planners, as
// gateway.Routes does.
func (o *plannerPlacer) demand() {
	reports := make([]wire.DemandReport, len(o.zones))
	for i, zone := range o.b.zones {
		names := make([]string, 0, len(zone.busy)+len(zone.unserved))
		for model := range zone.busy {
			names = append(names, model)
		}
		for model := range zone.unserved {
			if zone.busy[model] == 0 {
				names = append(names, model)
			}
		}
		sort.Strings(names)
		for _, model := range names {
			at := o.b.servingZone(model, i)
			reports[at].Models = append(reports[at].Models, wire.ModelDemand{Model: model, Busy: zone.busy[model].Milliseconds(), Unserved: zone.unserved[model]})
		}
		zone.busy, zone.unserved = map[string]time.Duration{}, map[string]int{}
	}
	for i, report := range reports {
		o.zones[i].RecordDemand(report)
	}
}

// servingZone returns the zone whose copies serve the requests for a model that
// arrive in zone from.
func (b *bench) servingZone(model string, from int) int {
	zones := b.set.AssignedZones(model)
	if len(zones) == 0 || slices.Contains(zones, b.zones[from].name) {
		return from
	}
	for i, zone := range b.zones {
		if zone.name == zones[0] {
			return i
		}
	}
	return from
}

// updateTables rebuilds the routing table of every zone from the routes of all zones.
func (b *bench) updateTables(routes func(z int) []wire.HostRoute) {
	var all []wire.HostRoute
	for z := range b.zones {
		all = append(all, routes(z)...)
	}
	for _, zone := range b.zones {
		for _, r := range all {
			if host := zone.hosts[r.Host]; host != nil {
				host.SetState(r.State)
			}
		}
		zone.table = route.NewTable(zone.name, all, zone.hosts)
	}
}

// refreshLoads passes the engines' loads to the routers once per ReportLag.
func (b *bench) refreshLoads(now time.Time) {
	for _, zone := range b.zones {
		if now.Sub(zone.loadsSeenAt) < b.e.ReportLag.Std() {
			continue
		}
		zone.loadsSeenAt = now
		for _, other := range b.zones {
			for _, e := range other.engines {
				zone.hosts[e.report.Host].RecordLoad(e.running, 0, now)
			}
		}
	}
}

func pickByRouter(z *zoneSim, model string, random *rand.Rand) *fakeEngine {
	for tried, n := (&route.Tried{}), 0; n < 3; n++ {
		host, verdict := z.table.Pick(z.loadsSeenAt, route.Request{Requirements: route.Requirements{Model: model}, Tried: tried}, nil, random)
		if verdict != route.Chosen {
			return nil
		}
		tried.Add(host)
		if e := z.byName[host.Name()]; e != nil && e.ready(model) {
			host.Begin()
			return e
		}
		host.RecordFailure(z.loadsSeenAt)
	}
	return nil
}

// staticPlacer keeps the initial placement.
type staticPlacer struct{ b *bench }

func newStaticPlacer(b *bench) placer { return &staticPlacer{b: b} }

func (s *staticPlacer) step(now time.Time) {
	for _, zone := range s.b.zones {
		for _, e := range zone.engines {
			e.advance(now)
		}
	}
	s.b.refreshLoads(now)
}

// holders returns the engines that have a ready copy of a model.
func (z *zoneSim) holders(model string) []*fakeEngine {
	var found []*fakeEngine
	for _, name := range z.order {
		if e := z.byName[name]; e.ready(model) {
			found = append(found, e)
		}
	}
	return found
}

func pickLeastReported(z *zoneSim, model string, _ *rand.Rand) *fakeEngine {
	var best *fakeEngine
	for _, e := range z.holders(model) {
		if best == nil || z.hosts[e.report.Host].ReportedLoad() < z.hosts[best.report.Host].ReportedLoad() {
			best = e
		}
	}
	return best
}

func pickRoundRobin(z *zoneSim, model string, _ *rand.Rand) *fakeEngine {
	holders := z.holders(model)
	if len(holders) == 0 {
		return nil
	}
	z.nextHolder++
	return holders[z.nextHolder%len(holders)]
}

// replanPlacer computes the whole placement from scratch every replanInterval.
type replanPlacer struct {
	b    *bench
	next time.Time
}

const replanInterval = 10 * time.Second

func newReplanPlacer(b *bench) placer { return &replanPlacer{b: b} }

func (r *replanPlacer) step(now time.Time) {
	for _, zone := range r.b.zones {
		for _, e := range zone.engines {
			e.advance(now)
		}
	}
	if !now.Before(r.next) {
		r.next = now.Add(replanInterval)
		for z := range r.b.zones {
			r.apply(z, now)
		}
	}
	r.b.updateTables(func(z int) []wire.HostRoute { return r.routes(z) })
	r.b.refreshLoads(now)
}

func (r *replanPlacer) routes(z int) []wire.HostRoute {
	var routes []wire.HostRoute
	for _, e := range r.b.zones[z].engines {
		host := wire.HostRoute{Host: e.report.Host, Zone: r.b.zones[z].name, State: wire.HostLive, Slots: r.b.e.Slots}
		for _, c := range e.report.Copies {
			if c.Weights.Adapter == "" && c.State == engine.CopyReady && !e.down {
				host.Models = append(host.Models, wire.ModelRoute{Model: c.Weights.Model, Version: version})
			}
		}
		routes = append(routes, host)
	}
	return routes
}

// apply computes a zone's placement from scratch and loads and unloads copies to
// reach it. The last ready copy of a model stays until another one is ready.
func (r *replanPlacer) apply(z int, now time.Time) {
	zone := r.b.zones[z]
	in := place.Input{SpareCopies: true, Weigh: r.b.e.Weigh, MaxLoads: 1 << 20}
	for _, e := range zone.engines {
		in.Accelerators = append(in.Accelerators, place.Accelerator{Host: e.report.Host, Free: r.b.e.Memory, Available: !e.down, Slots: r.b.e.Slots})
	}
	total := 0.0
	at := now.Sub(r.b.start)
	for m := range r.b.names {
		total += r.b.weight(m, at)
	}
	for m, name := range r.b.names {
		if slices.Contains(r.b.set.AssignedZones(name), zone.name) {
			running := r.b.e.Demand.Rate * r.b.e.Service.Std().Seconds() * r.b.weight(m, at) / total / 2
			in.Models = append(in.Models, place.Model{Name: name, Footprint: r.b.set.Footprint(name), Demand: running})
		}
	}
	wanted := make([]map[string]bool, len(zone.engines))
	for i := range wanted {
		wanted[i] = map[string]bool{}
	}
	for _, step := range place.Plan(in).Steps {
		wanted[step.Accelerator][step.Model] = true
	}
	for i, e := range zone.engines {
		r.moveTo(zone, e, wanted[i], now)
	}
}

func (r *replanPlacer) moveTo(zone *zoneSim, e *fakeEngine, wanted map[string]bool, now time.Time) {
	for _, c := range append([]engine.Copy(nil), e.report.Copies...) {
		if c.Weights.Adapter == "" && !wanted[c.Weights.Model] && len(zone.holders(c.Weights.Model)) > 1 {
			e.unload(c.Weights)
		}
	}
	names := make([]string, 0, len(wanted))
	for name := range wanted {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m := r.b.set.Model(name)
		w := engine.Weights{Model: name, Version: version}
		if e.findCopy(w) >= 0 || e.usedMemory()+r.b.set.Footprint(name) > r.b.e.Memory || e.down {
			continue
		}
		e.load(w, m.Memory+m.KVFloor, r.b.store, now)
		for _, adapter := range r.b.set.AdapterNames(name) {
			e.load(engine.Weights{Model: name, Adapter: adapter, Version: version}, r.b.set.Adapter(adapter).Memory, r.b.store, now)
		}
	}
}
