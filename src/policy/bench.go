package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/wire"
)

// tick is the step of virtual time. Reports and plans are made every stepInterval.
const (
	tick         = 50 * time.Millisecond
	stepInterval = 250 * time.Millisecond
	version      = "v1"
)

// Policy is a combination of a placement and a routing policy.
type Policy struct {
	name   string
	placer func(b *bench) placer
	pick   func(z *zoneSim, model string, random *rand.Rand) *fakeEngine
}

// Name returns the policy's name.
func (p Policy) Name() string { return p.name }

// placer makes the placement decisions of all zones.
type placer interface {
	step(now time.Time)
}

// bench is the simulation of one experiment under one policy.
type bench struct {
	e             Experiment
	policy        Policy
	random        *rand.Rand
	now           time.Time
	start         time.Time
	set           *config.Set
	zones         []*zoneSim
	store         *fakeStore
	names         []string
	done          completionHeap
	idealInFlight completionHeap
	result        Result
	window        windowCount
}

// zoneSim is a simulated availability zone with its router.
type zoneSim struct {
	name    string
	engines []*fakeEngine
	// byName and order hold the engines of all zones, since routers can reach all of them.
	byName     map[string]*fakeEngine
	order      []string
	hosts      map[string]*route.Host
	table      *route.Table
	nextHolder int
	// loadsSeenAt is when the router last received the engines' loads.
	loadsSeenAt time.Time
	busy        map[string]time.Duration
	unserved    map[string]int
}

// completion is the end of a request.
type completion struct {
	at       time.Time
	engine   *fakeEngine
	host     *route.Host
	duration time.Duration
	// attained is set if the request met its target.
	attained bool
}

type completionHeap []completion

// Len implements heap.Interface.
func (h completionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run simulates an experiment under a policy.
func Run(e Experiment, policy Policy) Result {
	b := &bench{
		e:      e,
		policy: policy,
		random: rand.New(rand.NewPCG(e.Seed, 7)),
		start:  time.Unix(1_800_000_000, 0),
		store: &fakeStore{
			interval:  time.Duration(float64(time.Second) / e.Store.LoadsPerSecond),
			fullSpeed: e.Store.FullSpeed,
			loadTime:  e.LoadTime.Std(),
		},
	}
	b.now = b.start
	b.result = Result{Policy: policy.name, Experiment: e.Name, Accelerators: e.Zones * e.Hosts}
	b.set = b.configuration()
	b.buildZones()
	b.loadInitialCopies()
	loop := policy.placer(b)
	for step := 0; b.now.Sub(b.start) < e.Duration.Std(); step++ {
		b.now = b.now.Add(tick)
		b.applyHostLosses()
		b.completeDue()
		if step%int(stepInterval/tick) == 0 {
			loop.step(b.now)
			b.countUnreachable()
		}
		b.generateRequests()
	}
	b.close()
	return b.result
}

func (b *bench) configuration() *config.Set {
	pool := config.Pool{Accelerators: 1, Memory: b.e.Memory, ChecksOrders: true}
	for z := 0; z < b.e.Zones; z++ {
		pool.Zones = append(pool.Zones, config.PoolZone{Zone: zoneName(z), Replicas: b.e.Hosts})
	}
	objects := []config.Object{
		{Key: config.Key{Kind: config.KindPool, Name: "engines"}, Pool: &pool},
		{Key: config.Key{Kind: config.KindPolicy, Name: "default"}, Policy: &config.Policy{Weigh: b.e.Weigh, Store: b.e.Store}},
	}
	for i := 0; i < b.e.Models; i++ {
		name := fmt.Sprintf("m%04d", i)
		b.names = append(b.names, name)
		size := b.e.Sizes[i%len(b.e.Sizes)]
		objects = append(objects, config.Object{Key: config.Key{Kind: config.KindModel, Name: name}, Model: &config.Model{Memory: size, KVFloor: config.GiB, Version: version}})
	}
	for i := 0; i < b.e.Adapters; i++ {
		model := b.names[(i*7)%len(b.names)]
		objects = append(objects, config.Object{Key: config.Key{Kind: config.KindAdapter, Name: fmt.Sprintf("%s-a%d", model, i)}, Adapter: &config.Adapter{Model: model, Memory: 192 * config.MiB}})
	}
	set := config.NewSet(config.Revision{Term: 1, Index: 1}, objects)
	assign, _ := place.Assign(set)
	return set.WithChanges(assign, nil)
}

func zoneName(z int) string { return fmt.Sprint("zone-", z) }

func (b *bench) buildZones() {
	for z := 0; z < b.e.Zones; z++ {
		zone := &zoneSim{name: zoneName(z), byName: map[string]*fakeEngine{}, hosts: map[string]*route.Host{}, busy: map[string]time.Duration{}, unserved: map[string]int{}}
		for h := 0; h < b.e.Hosts; h++ {
			e := newFakeEngine(fmt.Sprintf("z%d-h%03d", z, h), b.e.Memory, b.e.Slots)
			zone.engines = append(zone.engines, e)
		}
		b.zones = append(b.zones, zone)
	}
	for _, zone := range b.zones {
		for _, other := range b.zones {
			for _, e := range other.engines {
				hostRoute := wire.HostRoute{Host: e.report.Host, Zone: other.name, State: wire.HostLive, Slots: b.e.Slots}
				zone.hosts[e.report.Host] = route.NewHost(hostRoute, nil)
				zone.byName[e.report.Host] = e
				zone.order = append(zone.order, e.report.Host)
			}
		}
		zone.table = route.NewTable(zone.name, nil, nil)
	}
}

// loadInitialCopies gives every model one ready copy in each of its zones, spread
// evenly over the engines. The initial placement is the same for all policies.
func (b *bench) loadInitialCopies() {
	for _, zone := range b.zones {
		at := 0
		for _, model := range b.names {
			if !slices.Contains(b.set.AssignedZones(model), zone.name) {
				continue
			}
			for tried := 0; tried < len(zone.engines); tried++ {
				e := zone.engines[at%len(zone.engines)]
				at++
				if e.usedMemory()+b.set.Footprint(model) <= b.e.Memory {
					b.addReadyCopy(e, model)
					break
				}
			}
		}
	}
}

// addReadyCopy adds a ready copy of a model and its adapters to an engine.
func (b *bench) addReadyCopy(e *fakeEngine, model string) {
	m := b.set.Model(model)
	e.report.Copies = append(e.report.Copies, engine.Copy{Weights: engine.Weights{Model: model, Version: version}, Bytes: m.Memory + m.KVFloor, State: engine.CopyReady})
	for _, name := range b.set.AdapterNames(model) {
		e.report.Copies = append(e.report.Copies, engine.Copy{Weights: engine.Weights{Model: model, Adapter: name, Version: version}, Bytes: b.set.Adapter(name).Memory, State: engine.CopyReady})
	}
}

func (b *bench) applyHostLosses() {
	at := b.now.Sub(b.start)
	for _, loss := range b.e.HostLosses {
		e := b.zones[loss.Zone].engines[loss.Host]
		wasDown := e.down
		e.down = at >= loss.At.Std() && at < loss.At.Std()+loss.For.Std()
		if e.down && !wasDown {
			// A lost host returns without copies.
			e.report = engine.Report{Host: e.report.Host, Incarnation: e.report.Incarnation + "1", Capacity: e.report.Capacity, Slots: e.report.Slots}
		}
	}
}

func (b *bench) completeDue() {
	for len(b.done) > 0 && !b.done[0].at.After(b.now) {
		f := heap.Pop(&b.done).(completion)
		f.engine.running--
		if f.host != nil {
			f.host.End(f.duration, f.attained)
		}
	}
}

// weight returns the relative demand for a model at a time.
func (b *bench) weight(model int, at time.Duration) float64 {
	shift := 0
	if b.e.Demand.Shift > 0 {
		shift = int(at / b.e.Demand.Shift.Std())
	}
	rank := (model*31 + shift*11) % b.e.Models
	w := 1 / math.Pow(float64(rank+1), b.e.Demand.Skew)
	if b.inBurst(model, at) {
		w *= b.e.Demand.BurstFactor
	}
	return w
}

func (b *bench) inBurst(model int, at time.Duration) bool {
	d := b.e.Demand
	if d.BurstEvery <= 0 || at%d.BurstEvery.Std() >= d.BurstLength.Std() {
		return false
	}
	first := int(at/d.BurstEvery.Std()) * 13
	return (model-first%b.e.Models+b.e.Models)%b.e.Models < d.BurstModels
}

// generateRequests draws the number of requests in a tick for each model and sends them.
func (b *bench) generateRequests() {
	at := b.now.Sub(b.start)
	totalWeight := 0.0
	for m := range b.names {
		shift := 0
		if b.e.Demand.Shift > 0 {
			shift = int(at / b.e.Demand.Shift.Std())
		}
		rank := (m*31 + shift*11) % b.e.Models
		totalWeight += 1 / math.Pow(float64(rank+1), b.e.Demand.Skew)
	}
	arrived := 0
	for m, name := range b.names {
		mean := b.e.Demand.Rate * tick.Seconds() * b.weight(m, at) / totalWeight
		for n := b.poisson(mean); n > 0; n-- {
			arrived++
			b.sendRequest(name)
		}
	}
	b.countBound(arrived)
}

func (b *bench) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := b.random.Float64(); p > limit; p *= b.random.Float64() {
		n++
	}
	return n
}

// sendRequest sends one request through the gateway of a random zone.
func (b *bench) sendRequest(model string) {
	zone := b.zones[b.random.IntN(len(b.zones))]
	b.result.Requests++
	b.window.requests++
	e := b.policy.pick(zone, model, b.random)
	if e == nil || !e.ready(model) {
		b.result.Refused++
		zone.unserved[model]++
		return
	}
	loadFactor := math.Max(1, float64(e.running+1)/float64(b.e.Slots))
	duration := time.Duration(float64(b.e.Service) * loadFactor)
	e.running++
	zone.busy[model] += duration
	heap.Push(&b.done, completion{at: b.now.Add(duration), engine: e, host: zone.hosts[e.report.Host], duration: duration, attained: loadFactor <= b.e.MaxLoadFactor})
	b.result.recordLoadFactor(loadFactor)
	if loadFactor <= b.e.MaxLoadFactor {
		b.result.Attained++
		b.window.attained++
	}
}

// countBound counts the requests that could meet their target in the best case.
// All accelerators form one pool that serves any model at once, and requests that
// would miss their target are not started.
func (b *bench) countBound(arrived int) {
	for len(b.idealInFlight) > 0 && !b.idealInFlight[0].at.After(b.now) {
		heap.Pop(&b.idealInFlight)
	}
	slots := 0
	for _, zone := range b.zones {
		for _, e := range zone.engines {
			if !e.down {
				slots += b.e.Slots
			}
		}
	}
	for range arrived {
		loadFactor := math.Max(1, float64(len(b.idealInFlight)+1)/float64(slots))
		if loadFactor > b.e.MaxLoadFactor {
			return
		}
		b.result.Bound++
		heap.Push(&b.idealInFlight, completion{at: b.now.Add(time.Duration(float64(b.e.Service) * loadFactor))})
	}
}

// countUnreachable adds the time during which models had no ready copy in any zone.
func (b *bench) countUnreachable() {
	for _, model := range b.names {
		found := false
		for _, zone := range b.zones {
			for _, e := range zone.engines {
				found = found || e.ready(model)
			}
		}
		if !found {
			b.result.Unreachable += stepInterval
		}
	}
	b.window.add(b)
}

// close adds the engines' counters to the result.
func (b *bench) close() {
	for _, zone := range b.zones {
		for _, e := range zone.engines {
			b.result.Loads += e.loads
			b.result.Unloads += e.unloads
			b.result.Breaches += e.breaches
		}
	}
}
