package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/ledger"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/testseed"
	"github.com/moorspool/moorspool/src/wire"
)

func init() { testseed.SetFixedSeed() }

// fakeEngine simulates the engine of a backend server. It accepts orders at once and counts those
// that would overcommit its memory.
type fakeEngine struct {
	report      engine.Report
	loadTime    time.Duration
	ready       map[engine.Weights]time.Time
	overcommits int
}

func newFakeEngine(name string, capacity config.Bytes) *fakeEngine {
	return &fakeEngine{
		report:   engine.Report{Host: name, Incarnation: "1", Capacity: []config.Bytes{capacity}, Slots: 8},
		loadTime: 3 * time.Second,
		ready:    map[engine.Weights]time.Time{},
	}
}

func (e *fakeEngine) used() config.Bytes {
	var sum config.Bytes
	for _, c := range e.report.Copies {
		sum += c.Bytes
	}
	return sum
}

func (e *fakeEngine) execute(order engine.Order, now time.Time) engine.OrderReply {
	if order.Epoch < e.report.Epoch || (order.Epoch == e.report.Epoch && order.Seq <= e.report.LastOrder) {
		return engine.OrderReply{Outcome: engine.OrderStale}
	}
	e.report.Epoch, e.report.LastOrder = order.Epoch, order.Seq
	switch order.Action {
	case engine.ActionLoad:
		if e.holds(order.Weights) {
			return engine.OrderReply{Outcome: engine.OrderAccepted}
		}
		if e.used()+order.Bytes > e.report.Capacity[0] {
			e.overcommits++
			return engine.OrderReply{Outcome: engine.OrderNoMemory}
		}
		e.report.Copies = append(e.report.Copies, engine.Copy{Weights: order.Weights, Bytes: order.Bytes, State: engine.CopyLoading})
		e.ready[order.Weights] = now.Add(e.loadTime)
	case engine.ActionUnload:
		e.unload(order.Weights)
	}
	return engine.OrderReply{Outcome: engine.OrderAccepted}
}

func (e *fakeEngine) holds(w engine.Weights) bool {
	for _, c := range e.report.Copies {
		if c.Weights == w {
			return true
		}
	}
	return false
}

func (e *fakeEngine) unload(w engine.Weights) {
	kept := e.report.Copies[:0:0]
	for _, c := range e.report.Copies {
		gone := c.Weights == w || (w.Adapter == "" && c.Weights.Model == w.Model && c.Weights.Version == w.Version)
		if !gone {
			kept = append(kept, c)
		}
	}
	e.report.Copies = kept
}

func (e *fakeEngine) tick(now time.Time) engine.Report {
	for i := range e.report.Copies {
		c := &e.report.Copies[i]
		if c.State == engine.CopyLoading && !now.Before(e.ready[c.Weights]) {
			c.State = engine.CopyReady
		}
	}
	e.report.Seq++
	report := e.report
	report.Copies = append([]engine.Copy(nil), e.report.Copies...)
	return report
}

// restart clears all that the engine holds, including the epoch that it has seen.
func (e *fakeEngine) restart() {
	e.report = engine.Report{Host: e.report.Host, Incarnation: e.report.Incarnation + "1", Capacity: e.report.Capacity, Slots: e.report.Slots}
}

// delivery is the arrival of an order at an engine.
type delivery struct {
	hostOrder HostOrder
	at        time.Time
	// answered is set if the planner gets the reply.
	answered bool
}

// simulation runs a zone with fake engines and a simulated clock.
type simulation struct {
	now      time.Time
	zone     *Zone
	engines  map[string]*fakeEngine
	inFlight []delivery
	// deliver returns the deliveries of an order: none if it is lost, several if it is duplicated.
	deliver func(HostOrder) []delivery
	// silent is set for hosts whose reports are lost.
	silent map[string]bool
	epoch  uint64
}

const hostCount = 3

func testConfig(version string, adapters int) *config.Set {
	objects := []config.Object{
		{Key: config.Key{Kind: config.KindPool, Name: "p"}, Pool: &config.Pool{Zones: []config.PoolZone{{Zone: "z", Replicas: hostCount}}, Accelerators: 1, Memory: 72, ChecksOrders: true}},
		{Key: config.Key{Kind: config.KindPolicy, Name: "default"}, Policy: &config.Policy{Weigh: config.WeighAttainment, Store: config.Store{LoadsPerSecond: 5, FullSpeed: 5}}},
	}
	for i := 0; i < 6; i++ {
		name := fmt.Sprint("m", i)
		objects = append(objects,
			config.Object{Key: config.Key{Kind: config.KindModel, Name: name}, Model: &config.Model{Memory: 18, KVFloor: 2, Version: version}},
			config.Object{Key: config.Key{Kind: config.KindAssignment, Name: name}, Assignment: &config.Assignment{Zones: []string{"z"}}})
		for a := 0; a < adapters; a++ {
			objects = append(objects, config.Object{Key: config.Key{Kind: config.KindAdapter, Name: fmt.Sprint(name, "-a", a)}, Adapter: &config.Adapter{Model: name, Memory: 2}})
		}
	}
	return config.NewSet(config.Revision{Term: 1, Index: 1}, objects)
}

func newSimulation(set *config.Set) *simulation {
	sim := &simulation{now: time.Unix(1_800_000_000, 0), engines: map[string]*fakeEngine{}, silent: map[string]bool{}}
	for i := 0; i < hostCount; i++ {
		name := fmt.Sprint("h", i)
		sim.engines[name] = newFakeEngine(name, 72)
	}
	sim.replacePlanner(set)
	return sim
}

// replacePlanner starts a planner without any state in a new epoch.
func (sim *simulation) replacePlanner(set *config.Set) {
	sim.epoch++
	sim.zone = NewZone("z", 1, nil)
	sim.zone.SetConfig(set)
	sim.zone.SetAuthority(sim.epoch, sim.now.Add(time.Hour))
	list := discovery.List{}
	for i := 0; i < hostCount; i++ {
		list.Hosts = append(list.Hosts, discovery.Host{Name: fmt.Sprint("h", i), Pool: "p", Zone: "z"})
	}
	sim.zone.Listed(list, sim.now)
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(250 * time.Millisecond)
	for i := 0; i < hostCount; i++ {
		name := fmt.Sprint("h", i)
		report := sim.engines[name].tick(sim.now)
		if !sim.silent[name] {
			sim.zone.Reported(name, report, sim.now)
		}
	}
	for _, hostOrder := range sim.zone.Step(sim.now, ^uint64(0)) {
		deliveries := []delivery{{hostOrder: hostOrder, at: sim.now, answered: true}}
		if sim.deliver != nil {
			deliveries = sim.deliver(hostOrder)
		}
		if len(deliveries) == 0 {
			sim.zone.OrderUnanswered(hostOrder)
		}
		sim.inFlight = append(sim.inFlight, deliveries...)
	}
	sim.deliverDue()
}

// deliverDue executes the deliveries that are due.
func (sim *simulation) deliverDue() {
	var later []delivery
	for _, d := range sim.inFlight {
		if d.at.After(sim.now) {
			later = append(later, d)
			continue
		}
		reply := sim.engines[d.hostOrder.Host].execute(d.hostOrder.Order, sim.now)
		if d.answered && d.hostOrder.Order.Epoch == sim.epoch {
			sim.zone.OrderAnswered(d.hostOrder, reply)
		} else if d.hostOrder.Order.Epoch == sim.epoch {
			sim.zone.OrderUnanswered(d.hostOrder)
		}
	}
	sim.inFlight = later
}

// overcommits counts the orders that would have overcommitted an engine's memory.
func (sim *simulation) overcommits() int {
	sum := 0
	for _, e := range sim.engines {
		sum += e.overcommits
	}
	return sum
}

// ready counts the models with a ready copy of a version, including all their adapters.
func (sim *simulation) ready(version string, adapters int) int {
	models := map[string]bool{}
	for _, e := range sim.engines {
		found := map[string]int{}
		for _, c := range e.report.Copies {
			if c.State == engine.CopyReady && c.Weights.Version == version {
				found[c.Weights.Model]++
			}
		}
		for model, count := range found {
			if count == 1+adapters {
				models[model] = true
			}
		}
	}
	return len(models)
}

func TestZoneMakesEveryModelReady(t *testing.T) {
	sim := newSimulation(testConfig("v1", 1))
	for i := 0; i < 120; i++ {
		sim.step()
	}
	is := is.New(t)
	is.Equal(sim.ready("v1", 1), 6)
	is.Equal(sim.overcommits(), 0)
	is.Equal(sim.zone.Status().InDoubt, 0)
}

func TestRolloutKeepsEveryModelServed(t *testing.T) {
	sim := newSimulation(testConfig("v1", 0))
	for i := 0; i < 120; i++ {
		sim.step()
	}
	sim.zone.SetConfig(testConfig("v2", 0))
	for i := 0; i < 400; i++ {
		sim.step()
		for m := 0; m < 6; m++ {
			if !sim.served(fmt.Sprint("m", m)) {
				t.Fatalf("m%d has no ready copy in the routes at step %d", m, i)
			}
		}
	}
	is := is.New(t)
	is.Equal(sim.ready("v2", 0), 6)
	is.Equal(sim.ready("v1", 0), 0)
}

// served reports whether the routes contain a copy of a model that its engine holds.
func (sim *simulation) served(model string) bool {
	for _, host := range sim.zone.Routes(0).Hosts {
		if host.State != wire.HostLive {
			continue
		}
		for _, route := range host.Models {
			if route.Model == model && sim.engines[host.Host].holds(engine.Weights{Model: model, Version: route.Version}) {
				return true
			}
		}
	}
	return false
}

func TestDrainedHostIsEmptiedWhileModelsStayServed(t *testing.T) {
	sim := newSimulation(testConfig("v1", 0))
	for i := 0; i < 120; i++ {
		sim.step()
	}
	sim.zone.Drain("h0", false)
	for i := 0; i < 200; i++ {
		sim.step()
		for m := 0; m < 6; m++ {
			if !sim.served(fmt.Sprint("m", m)) {
				t.Fatalf("m%d is not served at step %d", m, i)
			}
		}
	}
	is.New(t).Equal(len(sim.engines["h0"].report.Copies), 0)
}

func TestZoneLosesAuthorityOnNewerEpoch(t *testing.T) {
	sim := newSimulation(testConfig("v1", 0))
	sim.step()
	sim.engines["h1"].report.Epoch = sim.epoch + 1
	sim.step()
	sim.step()
	is.New(t).Equal(sim.zone.Epoch(), uint64(0))
}

func TestNewEpochSendsAllRoutesAgain(t *testing.T) {
	sim := newSimulation(testConfig("v1", 0))
	sim.zone.SetAuthority(0, sim.now)
	sim.step()
	before := sim.zone.routes.since(position{}, false)
	sim.zone.SetAuthority(7, sim.now.Add(time.Hour))
	// Updates of epoch 0 were ignored, so all routes have to be sent again.
	after := sim.zone.routes.since(position{epoch: before.Epoch, seq: before.Seq}, false)
	is := is.New(t)
	is.True(after.Full)
	is.Equal(len(after.Hosts), hostCount)
	again := sim.zone.routes.since(position{epoch: after.Epoch, seq: after.Seq}, false)
	is.Equal(len(again.Hosts), 0)
}

func TestAppliedRoutesCountOnlyInTheirEpoch(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := &Publisher{appliedBy: map[string]appliedSeq{"e1": {epoch: 2, seq: 5, at: now}, "e2": {epoch: 1, seq: 99, at: now}}}
	is := is.New(t)
	is.Equal(p.appliedSeq(2, now), uint64(0)) // e2 still uses the routes of epoch 1
	p.appliedBy["e2"] = appliedSeq{epoch: 2, seq: 4, at: now}
	is.Equal(p.appliedSeq(2, now), uint64(4))
	is.Equal(p.appliedSeq(2, now.Add(2*subscriberTimeout)), ^uint64(0)) // no subscriber is reachable
}

func TestUncheckedEnginesGetOrdersOnlyWithinLease(t *testing.T) {
	set := testConfig("v1", 0)
	pool, _ := set.Get(config.Key{Kind: config.KindPool, Name: "p"})
	unchecked := *pool.Pool
	unchecked.ChecksOrders = false
	set = set.WithChanges([]config.Object{{Key: pool.Key, Pool: &unchecked}}, nil)
	sim := newSimulation(set)
	is := is.New(t)
	sent := 0
	sim.deliver = func(HostOrder) []delivery { sent++; return nil }
	for at := sim.now; sim.now.Sub(at) < ledger.UncheckedDelay-time.Second; {
		sim.step()
	}
	is.Equal(sent, 0) // orders of an earlier planner may still arrive
	sim.zone.SetAuthority(sim.epoch, sim.now.Add(leaseMargin+2*time.Second))
	for range 8 {
		sim.step()
	}
	before := sent
	is.True(before > 0)
	for i := 0; i < 40; i++ {
		sim.step()
	}
	is.Equal(sent, before) // nothing is sent within the margin before the end of the lease, or after it
	hostOrder := HostOrder{Host: "h0", Order: engine.Order{Epoch: sim.epoch}}
	is.True(!sim.zone.MaySend(hostOrder, sim.now)) // checked again right before the order is written
}

// TestLedgerNeverOvercommits checks that no engine is ordered to hold more than its memory, and
// that every model is ready some time after the last fault, while orders and answers are lost,
// delayed and duplicated, engines restart and stop reporting, planners are replaced and the
// configuration changes.
func TestLedgerNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testConfig("v1", 1)
		version := "v1"
		sim := newSimulation(set)
		sim.deliver = func(hostOrder HostOrder) []delivery {
			delay := time.Duration(rapid.IntRange(0, 8).Draw(t, "late")) * 500 * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				return nil
			case 1:
				return []delivery{{hostOrder: hostOrder, at: sim.now.Add(delay)}}
			case 2:
				return []delivery{{hostOrder: hostOrder, at: sim.now, answered: true}, {hostOrder: hostOrder, at: sim.now.Add(delay), answered: true}}
			}
			return []delivery{{hostOrder: hostOrder, at: sim.now, answered: true}}
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			name := fmt.Sprint("h", rapid.IntRange(0, hostCount-1).Draw(t, "host"))
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0:
				sim.engines[name].restart()
			case 1:
				sim.silent[name] = !sim.silent[name]
			case 2:
				sim.replacePlanner(set)
			case 3:
				sim.zone.RecordDemand(wire.DemandReport{Models: []wire.ModelDemand{{Model: "m1", Requests: 9, Busy: 20000}}})
			case 4:
				version = map[string]string{"v1": "v2", "v2": "v1"}[version]
				set = testConfig(version, 1)
				sim.zone.SetConfig(set)
			}
			sim.step()
		}
		sim.deliver = nil
		sim.silent = map[string]bool{}
		for range 600 {
			sim.step()
		}
		if sim.overcommits() > 0 {
			t.Fatalf("%d overcommitments%s", sim.overcommits(), sim.describe())
		}
		if ready := sim.ready(version, 1); ready != 6 {
			t.Fatalf("only %d of 6 models are ready in the end%s", ready, sim.describe())
		}
	})
}

// describe returns the state of the engines and the zone for failure messages.
func (sim *simulation) describe() string {
	text := ""
	for i := 0; i < hostCount; i++ {
		name := fmt.Sprint("h", i)
		e := sim.engines[name]
		text += fmt.Sprintf("\n%s epoch %d order %d used %d state %s:", name, e.report.Epoch, e.report.LastOrder, e.used(), sim.zone.members[name].state)
		for _, c := range e.report.Copies {
			text += fmt.Sprintf(" %s%s/%s:%s", c.Weights.Model, c.Weights.Adapter, c.Weights.Version, c.State)
		}
		for _, order := range sim.zone.ledger.Host(name).PendingOrders() {
			text += fmt.Sprintf(" [%s]", describe(order))
		}
	}
	for key := range sim.zone.drains {
		text += fmt.Sprintf("\ndraining %v", key)
	}
	in := sim.zone.Input(sim.now)
	return text + fmt.Sprintf("\nzone epoch %d, unplaced %v, loads %d, accelerators %+v, copies %+v, steps %+v", sim.zone.Epoch(), sim.zone.unplaced, in.MaxLoads, in.Accelerators, in.Copies, place.Plan(in).Steps)
}
