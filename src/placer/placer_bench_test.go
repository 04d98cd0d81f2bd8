package placer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// placerSizes are the numbers of replicas of the grown and the large installation, of the first
// installation's expected size in two years, and of 300 hosts with ten replicas each.
var placerSizes = []int{100, 240, 780, 3000}

// benchPlacer returns a leading placer for replicas with three models and eight adapters each, and
// a catalog with somewhat fewer models.
func benchPlacer(size int) (*Placer, func(i int, sequence uint64) registry.Entry) {
	engine := &catalog.Engine{Slots: 64, WeightsMB: 220000, AdapterSlots: 8, LoadsPerSecond: float64(size) / 7}
	models := size * 17 / 10
	for i := range models {
		engine.Models = append(engine.Models, catalog.Model{Name: fmt.Sprint("m", i), WeightsMB: 70000, Load: 8 * time.Second, Adapters: 2, AdapterMB: 60})
	}
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: engine}}})
	now := startTime
	p := New(Options{
		Holder: "h",
		Calls: Calls{
			Order: func(context.Context, Order) (Result, Availability) { return Accepted, Availability{} },
			Report: func(_ context.Context, id, _ string) (Report, error) {
				return Report{Sequence: 1}, nil
			},
		},
		Leading: func() Leading { return Leading{Self: true, Token: 5, Since: startTime.Add(-time.Minute)} },
		Table:   func() *catalog.Table { return table },
		Publish: func(*wire.Holdings) {},
		Now:     func() time.Time { return now },
		Go:      func(func()) {},
	})
	entry := func(i int, sequence uint64) registry.Entry {
		record := registry.Record{ID: fmt.Sprintf("i-%04d", i), Service: "s", Address: fmt.Sprint(i), Zone: fmt.Sprint(i % 5), Slots: 64, Sequence: sequence}
		for k := range 3 {
			record.Models = append(record.Models, registry.Held{Name: fmt.Sprint("m", (i*3+k)%models), Adapters: []string{"a1", "a2"}})
		}
		return registry.Entry{Record: record}
	}
	for i := range size {
		p.SetReplicas(registry.Changes{Entries: []registry.Entry{entry(i, 1)}})
	}
	for m := range models {
		p.RecordUsage(wire.Usage{Models: []wire.Asked{{Service: "s", Model: fmt.Sprint("m", m), Requests: 1 + m%20, Tokens: 2000 * (1 + m%20)}}})
	}
	return p, entry
}

// BenchmarkOneReplicaBeats measures the handling of one heartbeat at a control node.
func BenchmarkOneReplicaBeats(b *testing.B) {
	for _, size := range placerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, entry := benchPlacer(size)
			for i := 0; b.Loop(); i++ {
				p.SetReplicas(registry.Changes{Entries: []registry.Entry{entry(i%size, uint64(i+2))}})
			}
		})
	}
}

// BenchmarkStepAtSizes measures one step of the leader.
func BenchmarkStepAtSizes(b *testing.B) {
	for _, size := range placerSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, _ := benchPlacer(size)
			lead := p.options.Leading()
			for b.Loop() {
				p.step(context.Background(), lead)
			}
		})
	}
}
