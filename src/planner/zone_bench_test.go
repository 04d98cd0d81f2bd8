package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/wire"
)

// benchZone returns a zone with eight accelerators on each host, which hold every model if warm is
// set. Scale 1 is the specified size of 130 hosts and 1,300 models.
func benchZone(scale float64, warm bool) (*Zone, time.Time) {
	hostCount, modelCount := int(130*scale), int(1300*scale)
	objects := []config.Object{
		{Key: config.Key{Kind: config.KindPool, Name: "p"}, Pool: &config.Pool{Zones: []config.PoolZone{{Zone: "z", Replicas: hostCount}}, Accelerators: 8, Memory: 80 * config.GiB, ChecksOrders: true}},
		{Key: config.Key{Kind: config.KindPolicy, Name: "default"}, Policy: &config.Policy{Weigh: config.WeighAttainment, Store: config.Store{LoadsPerSecond: 1e6, FullSpeed: 1e6}}},
	}
	for i := 0; i < modelCount; i++ {
		name := fmt.Sprint("m", i)
		objects = append(objects,
			config.Object{Key: config.Key{Kind: config.KindModel, Name: name}, Model: &config.Model{Memory: 12 * config.GiB, KVFloor: 2 * config.GiB, Version: "v1"}},
			config.Object{Key: config.Key{Kind: config.KindAssignment, Name: name}, Assignment: &config.Assignment{Zones: []string{"z"}}})
	}
	now := time.Unix(1_800_000_000, 0)
	z := NewZone("z", 1, nil)
	z.SetConfig(config.NewSet(config.Revision{Term: 1, Index: 1}, objects))
	z.SetAuthority(1, now.Add(time.Hour))
	list := discovery.List{}
	for h := 0; h < hostCount; h++ {
		list.Hosts = append(list.Hosts, discovery.Host{Name: fmt.Sprintf("h%04d", h), Pool: "p", Zone: "z"})
	}
	z.Listed(list, now)
	for h := 0; h < hostCount; h++ {
		report := engine.Report{Host: fmt.Sprintf("h%04d", h), Incarnation: "1", Seq: 1, Epoch: 1, Slots: 64}
		for a := 0; a < 8; a++ {
			report.Capacity = append(report.Capacity, 80*config.GiB)
		}
		for i := h * 20; warm && i < (h+1)*20; i++ {
			w := engine.Weights{Model: fmt.Sprint("m", i%modelCount), Version: "v1"}
			report.Copies = append(report.Copies, engine.Copy{Weights: w, Accelerator: i % 8, Bytes: 14 * config.GiB, State: engine.CopyReady})
		}
		z.Reported(report.Host, report, now)
	}
	return z, now
}

// BenchmarkPlan measures a step of a zone without copies and one after a change of demand, at half,
// one and two times the specified size.
func BenchmarkPlan(b *testing.B) {
	for _, scale := range []float64{0.5, 1, 2} {
		b.Run(fmt.Sprintf("from-nothing/scale=%v", scale), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				z, now := benchZone(scale, false)
				b.StartTimer()
				z.Step(now, ^uint64(0))
			}
		})
		b.Run(fmt.Sprintf("changed-demand/scale=%v", scale), func(b *testing.B) {
			z, now := benchZone(scale, true)
			z.Step(now, ^uint64(0))
			for range b.N {
				z.RecordDemand(wire.DemandReport{Models: []wire.ModelDemand{{Model: "m7", Requests: 1, Busy: 900}}})
				now = now.Add(sampleInterval)
				z.Step(now, ^uint64(0))
			}
		})
	}
}
