package placer

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

var startTime = time.Unix(1_800_000_000, 0)

// simulation runs a placer with fake replicas and a simulated clock.
type simulation struct {
	now          time.Time
	engine       *catalog.Engine
	fakes        []*fakeReplica
	placer       *Placer
	pendingCalls []func()
	lead         Leading
	fault        func(order Order) fault
	holdings     *wire.Holdings
	orders       []Order
	entries      map[string]registry.Entry
	// availability is part of every answer of a replica; reports counts the report requests.
	availability Availability
	reports      int
	// service is the service of each replica that does not belong to "s".
	service map[string]string
}

// fault is a failure that a test injects into an order.
type fault uint8

const (
	noFault fault = iota
	answerLost
	orderLost
	executedLate
)

func newSimulation(e *catalog.Engine, fakes ...*fakeReplica) *simulation {
	sim := &simulation{now: startTime, engine: e, fakes: fakes, lead: Leading{Self: true, Token: 5, Since: startTime.Add(-time.Minute)}, entries: map[string]registry.Entry{}}
	sim.placer = sim.newPlacer()
	return sim
}

// newPlacer returns the placer of another control node, which knows only what the replicas
// registered.
func (sim *simulation) newPlacer() *Placer {
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: sim.engine}}})
	return New(Options{
		Holder:  "h",
		Calls:   Calls{Order: sim.order, Report: sim.report},
		Leading: func() Leading { return sim.lead },
		Table:   func() *catalog.Table { return table },
		Publish: func(h *wire.Holdings) { sim.holdings = h },
		Lease:   3 * time.Second,
		Now:     func() time.Time { return sim.now },
		Go:      func(f func()) { sim.pendingCalls = append(sim.pendingCalls, f) },
	})
}

// changeLeader makes another control node the leader.
func (sim *simulation) changeLeader() {
	sim.lead.Token++
	sim.placer = sim.newPlacer()
	sim.registerAll()
}

func (sim *simulation) find(id string) *fakeReplica {
	for _, f := range sim.fakes {
		if f.id == id {
			return f
		}
	}
	return nil
}

func (sim *simulation) order(_ context.Context, o Order) (Result, Availability) {
	sim.orders = append(sim.orders, o)
	f := sim.find(o.Replica)
	if f == nil {
		return NoAnswer, sim.availability
	}
	injected := noFault
	if sim.fault != nil {
		injected = sim.fault(o)
	}
	switch injected {
	case orderLost:
		return NoAnswer, sim.availability
	case answerLost:
		f.execute(sim.now, o)
		return NoAnswer, sim.availability
	case executedLate:
		f.delayed = append(f.delayed, delayedOrder{at: sim.now.Add(4 * time.Second), order: o})
		return NoAnswer, sim.availability
	}
	return f.execute(sim.now, o), sim.availability
}

func (sim *simulation) report(_ context.Context, id, _ string) (Report, error) {
	sim.reports++
	f := sim.find(id)
	if f == nil {
		return Report{Availability: sim.availability}, context.DeadlineExceeded
	}
	if len(f.history) == 0 {
		return Report{Sequence: f.orderCount, Busy: !f.doneAt.IsZero(), Models: f.held(), Availability: sim.availability}, nil
	}
	stateAt := f.stateAt(sim.now.Add(-fakeReportLag))
	return Report{Sequence: stateAt.orderCount, Busy: stateAt.busy, Models: stateAt.models, Availability: sim.availability}, nil
}

// heartbeat registers the current state of a replica.
func (sim *simulation) heartbeat(f *fakeReplica) {
	f.heartbeat++
	service := "s"
	if other, found := sim.service[f.id]; found {
		service = other
	}
	models := f.held()
	if f.heartbeatLag > 0 && len(f.history) > 0 {
		models = f.stateAt(sim.now.Add(-f.heartbeatLag)).models
	}
	sim.entries[f.id] = registry.Entry{Record: registry.Record{ID: f.id, Service: service, Address: f.id, Zone: f.zone, Sequence: f.heartbeat, Slots: 8, Models: models}}
	sim.registerAll()
}

// registerAll sends the placer all registrations and removals.
func (sim *simulation) registerAll() {
	var changes registry.Changes
	present := map[string]bool{}
	for _, f := range sim.fakes {
		if e, found := sim.entries[f.id]; found {
			changes.Entries = append(changes.Entries, e)
			present[f.id] = true
		}
	}
	for id := range sim.placer.replicas {
		if !present[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	sim.placer.SetReplicas(changes)
}

// run advances the clock in small steps; every replica sends a heartbeat each second.
func (sim *simulation) run(span time.Duration) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.now = sim.now.Add(50 * time.Millisecond)
		for i, f := range sim.fakes {
			f.advance(sim.now)
			f.record(sim.now)
			if (sim.now.UnixMilli()/50+int64(i))%20 == 0 {
				sim.heartbeat(f)
			}
		}
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.placer.step(context.Background(), sim.lead)
	for len(sim.pendingCalls) > 0 {
		f := sim.pendingCalls[0]
		sim.pendingCalls = sim.pendingCalls[1:]
		f()
	}
}

func (sim *simulation) request(model, adapter string, requests, tokens int, missing int) {
	sim.placer.RecordUsage(wire.Usage{Models: []wire.Asked{{Service: "s", Model: model, Adapter: adapter, Requests: requests, Tokens: tokens, Missing: missing}}})
}

func testEngine() *catalog.Engine {
	e := &catalog.Engine{WeightsMB: 220, AdapterSlots: 3, LoadsPerSecond: 2}
	for i := range 5 {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Adapters: 4})
	}
	return e
}
