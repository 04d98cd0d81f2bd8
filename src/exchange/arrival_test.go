package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

var (
	lackedModel   = indexKey{"s", copyKey{model: "m"}}
	lackedAdapter = indexKey{"s", copyKey{model: "m", adapter: "a1"}}
)

func always(indexKey) bool { return true }

func never(indexKey) bool { return false }

// TestArrivalsAreLearnedFromCopiesThatCome, for models and adapters apart.
func TestArrivalsAreLearnedFromCopiesThatCome(t *testing.T) {
	is := is.New(t)
	a := newArrivals()
	now := time.Unix(1_800_000_000, 0)
	by, expected := a.lacked(now, lackedModel, 6*time.Second)
	is.True(expected)
	is.Equal(by, now.Add(6*time.Second)) // what a load takes, before anything came
	for range 40 {
		a.lacked(now, lackedModel, 6*time.Second)
		a.lacked(now, lackedAdapter, 6*time.Second)
		now = now.Add(40 * time.Millisecond)
		a.settle(now, func(key indexKey) bool { return key == lackedAdapter })
		now = now.Add(960 * time.Millisecond)
		a.settle(now, always)
	}
	by, _ = a.lacked(now, lackedAdapter, 6*time.Second)
	is.True(by.Sub(now) > 40*time.Millisecond && by.Sub(now) < 60*time.Millisecond)
	by, _ = a.lacked(now, lackedModel, 6*time.Second)
	is.True(by.Sub(now) > time.Second && by.Sub(now) < 2*time.Second)
}

// TestAnArrivalIsExpectedFromTheFirstRequestOn: later ones wait less, and none once it is
// overdue.
func TestAnArrivalIsExpectedFromTheFirstRequestOn(t *testing.T) {
	is := is.New(t)
	a := newArrivals()
	began := time.Unix(1_800_000_000, 0)
	first, _ := a.lacked(began, lackedAdapter, 0)
	later, expected := a.lacked(began.Add(100*time.Millisecond), lackedAdapter, 0)
	is.True(expected)
	is.Equal(later, first)
	_, expected = a.lacked(first, lackedAdapter, 0)
	is.True(!expected)
	a.settle(began.Add(arrivalForget+1), never)
	_, expected = a.lacked(began.Add(arrivalForget+2), lackedAdapter, 0)
	is.True(expected) // asked for anew
}

// TestARequestWaitsOnlyForACopyThatComesInTime, and is refused at once with when to come
// back where none is expected so soon.
func TestARequestWaitsOnlyForACopyThatComesInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := NewFleet("z", Dial, nil, func() time.Time { return now })
	held := registry.Record{ID: "a", Service: "s", Models: []registry.Held{{Name: "m"}}}
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: held}}})
	now = now.Add(gatherTime)
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "m", Load: 6 * time.Second}, {Name: "n", Load: 6 * time.Second}}}
	h := NewHandler(Options{Fleet: f, Now: func() time.Time { return now }})
	h.SetTable(catalog.NewTable(catalog.Document{Services: []catalog.Service{{Name: "s", Engine: engine}}}))
	asks := func(model, adapter string) *call {
		facts := Facts{Model: model, Adapter: adapter}
		return &call{handler: h, service: "s", facts: facts, route: &catalog.Route{Target: time.Second}, began: now, deadline: now.Add(time.Minute)}
	}
	is.True(asks("m", "a1").worthWaiting(now, Missing)) // an adapter comes within its first guess
	model := asks("n", "")
	is.True(!model.worthWaiting(now, Missing))
	is.Equal(model.retryAfter(), 6*time.Second)
	is.True(!asks("n", "a1").worthWaiting(now, Missing)) // its model has to come first
	patient := asks("n", "")
	patient.route.Target = 7 * time.Second
	is.True(patient.worthWaiting(now, Missing))
}
