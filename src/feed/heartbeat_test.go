package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// TestContradictoryHeartbeatIsRejected checks that a new replica names a configured service, and
// that a known one keeps its service and address, also before the first configuration after a
// restart.
func TestContradictoryHeartbeatIsRejected(t *testing.T) {
	is := is.New(t)
	services := map[string]bool{}
	var rejected []string
	cluster := Cluster{
		Serves:           func(service string) bool { return services[service] },
		HeartbeatRefused: func(name, reason string) { rejected = append(rejected, name+": "+reason) },
		Majority:         func() (int, bool) { return 0, true },
		Peers:            func() []string { return nil },
		Save:             func([]registry.Record) error { return nil },

		Quarantine: func() *wire.Quarantine { return nil },
		Drains:     func() *wire.ZoneDrains { return nil },
	}
	p := NewPublisher("n", "z", registry.Times{Silence: 5 * time.Second, Forget: time.Minute}, cluster, time.Now)
	ctx := context.Background()
	recalled := registry.Record{ID: "i-1", Service: "s", Address: "a:1", Sequence: 5}
	p.Recall([]registry.Record{recalled})
	recalled.Sequence++
	is.True(p.ApplyHeartbeat(ctx, recalled))
	newcomer := registry.Record{ID: "i-2", Service: "s", Address: "a:2", Sequence: 1}
	is.True(!p.ApplyHeartbeat(ctx, newcomer)) // it is not known yet whether the service exists
	services["s"] = true
	is.True(p.ApplyHeartbeat(ctx, newcomer))
	for _, change := range []func(r *registry.Record){
		func(r *registry.Record) { r.Service = "t" },
		func(r *registry.Record) { r.Address = "a:3" },
		func(r *registry.Record) { r.ID, r.Service = "i-3", "t" },
	} {
		foreign := newcomer
		foreign.Sequence = 99
		change(&foreign)
		is.True(!p.ApplyHeartbeat(ctx, foreign))
	}
	known, _ := p.table.Record("i-2")
	is.Equal(known.Sequence, uint64(1)) // a rejected heartbeat changes nothing
	_, found := p.table.Record("i-3")
	is.True(!found)
	newcomer.Draining, newcomer.Sequence = true, 2
	is.True(p.ApplyHeartbeat(ctx, newcomer))
	is.Equal(rejected, []string{
		"i-2: service s is not in the configuration", "i-2: it has another service than before",
		"i-2: it has another address than before", "i-3: service t is not in the configuration",
	})
}
