package placer

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

var noon = time.Unix(1_800_000_000, 0)

// world is a placer before fake replicas on a clock of its own.
type world struct {
	now      time.Time
	engine   *catalog.Engine
	replicas []*fakeReplica
	placer   *Placer
	pending  []func()
	lead     Leading
	fault    func(order Order) fault
	holdings *wire.Holdings
	orders   []Order
	entries  map[string]registry.Entry
	// word is what every answer says of its replica; reports counts the questions.
	word    Word
	reports int
	// service names the service of replicas that are not of "s".
	service map[string]string
}

// fault is what a test does to an order.
type fault uint8

const (
	noFault fault = iota
	answerLost
	orderLost
	carriedOutLate
)

func newWorld(e *catalog.Engine, replicas ...*fakeReplica) *world {
	w := &world{now: noon, engine: e, replicas: replicas, lead: Leading{Self: true, Token: 5, Since: noon.Add(-time.Minute)}, entries: map[string]registry.Entry{}}
	w.placer = w.newPlacer()
	return w
}

// newPlacer returns the placer of another control node, which knows only what
// the replicas said.
func (w *world) newPlacer() *Placer {
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: w.engine}}})
	return New(Options{
		Holder:  "h",
		Calls:   Calls{Order: w.order, Report: w.report},
		Leading: func() Leading { return w.lead },
		Table:   func() *catalog.Table { return table },
		Publish: func(h *wire.Holdings) { w.holdings = h },
		Lease:   3 * time.Second,
		Now:     func() time.Time { return w.now },
		Go:      func(f func()) { w.pending = append(w.pending, f) },
	})
}

// succeed lets another control node lead from now on.
func (w *world) succeed() {
	w.lead.Token++
	w.placer = w.newPlacer()
	w.tell()
}

func (w *world) find(id string) *fakeReplica {
	for _, f := range w.replicas {
		if f.id == id {
			return f
		}
	}
	return nil
}

func (w *world) order(_ context.Context, o Order) (Result, Word) {
	w.orders = append(w.orders, o)
	f := w.find(o.Replica)
	if f == nil {
		return Lost, w.word
	}
	todo := noFault
	if w.fault != nil {
		todo = w.fault(o)
	}
	switch todo {
	case orderLost:
		return Lost, w.word
	case answerLost:
		f.take(w.now, o)
		return Lost, w.word
	case carriedOutLate:
		f.late = append(f.late, lateOrder{at: w.now.Add(4 * time.Second), order: o})
		return Lost, w.word
	}
	return f.take(w.now, o), w.word
}

func (w *world) report(_ context.Context, id, _ string) (Report, error) {
	w.reports++
	f := w.find(id)
	if f == nil {
		return Report{Word: w.word}, context.DeadlineExceeded
	}
	if len(f.past) == 0 {
		return Report{Sequence: f.sequence, Busy: !f.doneAt.IsZero(), Models: f.held(), Word: w.word}, nil
	}
	stood := f.stood(w.now.Add(-fakeReportLag))
	return Report{Sequence: stood.sequence, Busy: stood.busy, Models: stood.models, Word: w.word}, nil
}

// beat lets a replica register what it holds.
func (w *world) beat(f *fakeReplica) {
	f.beat++
	service := "s"
	if other, found := w.service[f.id]; found {
		service = other
	}
	models := f.held()
	if f.beatLag > 0 && len(f.past) > 0 {
		models = f.stood(w.now.Add(-f.beatLag)).models
	}
	w.entries[f.id] = registry.Entry{Record: registry.Record{ID: f.id, Service: service, Address: f.id, Zone: f.zone, Sequence: f.beat, Slots: 8, Models: models}}
	w.tell()
}

func (w *world) tell() {
	var changes registry.Changes
	present := map[string]bool{}
	for _, f := range w.replicas {
		if e, found := w.entries[f.id]; found {
			changes.Entries = append(changes.Entries, e)
			present[f.id] = true
		}
	}
	for id := range w.placer.units {
		if !present[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	w.placer.SetReplicas(changes)
}

// run lets time pass in small steps; every replica beats each second.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for i, f := range w.replicas {
			f.turn(w.now)
			f.note(w.now)
			if (w.now.UnixMilli()/50+int64(i))%20 == 0 {
				w.beat(f)
			}
		}
		w.step()
	}
}

func (w *world) step() {
	w.placer.step(context.Background(), w.lead)
	for len(w.pending) > 0 {
		f := w.pending[0]
		w.pending = w.pending[1:]
		f()
	}
}

func (w *world) ask(model, adapter string, requests, tokens int, missing int) {
	w.placer.TakeUsage(wire.Usage{Models: []wire.Asked{{Service: "s", Model: model, Adapter: adapter, Requests: requests, Tokens: tokens, Missing: missing}}})
}

func testEngine() *catalog.Engine {
	e := &catalog.Engine{WeightsMB: 220, AdapterSlots: 3, LoadsPerSecond: 2}
	for i := range 5 {
		e.Models = append(e.Models, catalog.Model{Name: "m" + strconv.Itoa(i), WeightsMB: 70, AdapterMB: 1, Adapters: 4})
	}
	return e
}
