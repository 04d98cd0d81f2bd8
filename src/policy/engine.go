package policy

import (
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
)

// fakeEngine simulates the parts of a backend server that placement and routing use.
type fakeEngine struct {
	report   engine.Report
	readyAt  map[engine.Weights]time.Time
	running  int
	down     bool
	loads    int
	unloads  int
	breaches int
}

func newFakeEngine(name string, memory config.Bytes, slots int) *fakeEngine {
	return &fakeEngine{
		report:  engine.Report{Host: name, Incarnation: "1", Capacity: []config.Bytes{memory}, Slots: slots},
		readyAt: map[engine.Weights]time.Time{},
	}
}

func (e *fakeEngine) usedMemory() config.Bytes {
	var sum config.Bytes
	for _, c := range e.report.Copies {
		sum += c.Bytes
	}
	return sum
}

func (e *fakeEngine) findCopy(w engine.Weights) int {
	for i, c := range e.report.Copies {
		if c.Weights == w {
			return i
		}
	}
	return -1
}

// execute executes an order. The store determines when a load is complete.
func (e *fakeEngine) execute(order engine.Order, store *fakeStore, now time.Time) engine.OrderReply {
	if order.Epoch == e.report.Epoch && order.Seq <= e.report.LastOrder {
		return engine.OrderReply{Outcome: engine.OrderStale}
	}
	e.report.Epoch, e.report.LastOrder = order.Epoch, order.Seq
	switch order.Action {
	case engine.ActionLoad:
		return e.load(order.Weights, order.Bytes, store, now)
	case engine.ActionUnload:
		e.unload(order.Weights)
	}
	return engine.OrderReply{Outcome: engine.OrderAccepted}
}

func (e *fakeEngine) load(w engine.Weights, bytes config.Bytes, store *fakeStore, now time.Time) engine.OrderReply {
	if e.findCopy(w) >= 0 {
		return engine.OrderReply{Outcome: engine.OrderAccepted}
	}
	if e.usedMemory()+bytes > e.report.Capacity[0] {
		e.breaches++
		return engine.OrderReply{Outcome: engine.OrderNoMemory}
	}
	e.loads++
	e.report.Copies = append(e.report.Copies, engine.Copy{Weights: w, Bytes: bytes, State: engine.CopyLoading})
	e.readyAt[w] = store.load(now)
	return engine.OrderReply{Outcome: engine.OrderAccepted}
}

// unload removes a model with its adapters, or one adapter.
func (e *fakeEngine) unload(w engine.Weights) {
	kept := e.report.Copies[:0:0]
	for _, c := range e.report.Copies {
		sameModel := w.Adapter == "" && c.Weights.Model == w.Model && c.Weights.Version == w.Version
		if c.Weights == w || sameModel {
			if c.Weights.Adapter == w.Adapter {
				e.unloads++
			}
			continue
		}
		kept = append(kept, c)
	}
	e.report.Copies = kept
}

func (e *fakeEngine) advance(now time.Time) engine.Report {
	for i := range e.report.Copies {
		c := &e.report.Copies[i]
		if c.State == engine.CopyLoading && !now.Before(e.readyAt[c.Weights]) {
			c.State = engine.CopyReady
		}
	}
	e.report.Seq++
	e.report.Running = min(e.running, e.report.Slots)
	e.report.Waiting = max(e.running-e.report.Slots, 0)
	report := e.report
	report.Copies = append([]engine.Copy(nil), e.report.Copies...)
	return report
}

func (e *fakeEngine) ready(model string) bool {
	at := e.findCopy(engine.Weights{Model: model, Version: version})
	return !e.down && at >= 0 && e.report.Copies[at].State == engine.CopyReady
}

// fakeStore simulates the weight store. It starts loads at a limited rate; if more
// than fullSpeed loads are active, a new load takes proportionally longer.
type fakeStore struct {
	interval  time.Duration
	fullSpeed int
	loadTime  time.Duration
	next      time.Time
	ends      []time.Time
}

func (s *fakeStore) load(now time.Time) time.Time {
	start := now
	if s.next.After(start) {
		start = s.next
	}
	s.next = start.Add(s.interval)
	active := 1
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end.After(start) {
			active++
			kept = append(kept, end)
		}
	}
	took := s.loadTime
	if active > s.fullSpeed {
		took = took * time.Duration(active) / time.Duration(s.fullSpeed)
	}
	end := start.Add(took)
	s.ends = append(kept, end)
	return end
}
