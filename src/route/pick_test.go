package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

var noon = time.Unix(1_800_000_000, 0)

// newTestTable returns a table whose hosts all serve model m, with the given zones in turn.
func newTestTable(n int, zones ...string) (*Table, []*Host) {
	hosts := map[string]*Host{}
	var routes []wire.HostRoute
	var list []*Host
	breakers := map[string]*Breaker{"b": {}}
	for i := 0; i < n; i++ {
		r := wire.HostRoute{Host: fmt.Sprintf("h%04d", i), Zone: zones[i%len(zones)], State: wire.HostLive, Slots: 8, Models: []wire.ModelRoute{{Model: "m", Adapters: []string{"a"}}}}
		h := NewHost(r, breakers[r.Zone])
		hosts[r.Host] = h
		list = append(list, h)
		routes = append(routes, r)
	}
	return NewTable("a", routes, hosts), list
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestLeavingHostsGetNoRequests(t *testing.T) {
	table, hosts := newTestTable(3, "a")
	hosts[0].SetLeaving()
	hosts[1].SetState(wire.HostLeaving)
	r := random()
	for range 100 {
		h, verdict := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, r)
		if verdict != Chosen || h != hosts[2] {
			t.Fatal("a leaving host was chosen")
		}
	}
	hosts[2].SetLeaving()
	_, verdict := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, r)
	is.New(t).Equal(verdict, Unreachable)
}

func TestEjectionNeverMakesAModelUnreachable(t *testing.T) {
	table, hosts := newTestTable(2, "a")
	for _, h := range hosts {
		for range ejectAfter {
			h.RecordFailure(noon)
		}
	}
	_, verdict := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, random())
	is.New(t).Equal(verdict, Chosen)
}

func TestUnreachableZoneIsAvoided(t *testing.T) {
	table, hosts := newTestTable(4, "b")
	is := is.New(t)
	for _, h := range hosts {
		h.RecordFailure(noon) // one failure each opens the zone's breaker and ejects no host
	}
	_, verdict := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, random())
	is.Equal(verdict, Unreachable)
	_, verdict = table.Pick(noon.Add(minOpenTime+1), Request{Requirements: Requirements{Model: "m"}}, nil, random())
	is.Equal(verdict, Chosen)
}

func TestFullHostsMakeRequestsWait(t *testing.T) {
	table, hosts := newTestTable(2, "a")
	for _, h := range hosts {
		h.limit.Store(1)
		h.Begin()
	}
	_, verdict := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, random())
	is.New(t).Equal(verdict, Full)
}

// 340 gateways that choose by the same outdated report must not all send to the same replica.
func TestManyGatewaysDoNotPileUp(t *testing.T) {
	const gateways, replicas = 340, 20
	chosen := map[string]int{}
	for e := range gateways {
		table, hosts := newTestTable(replicas, "a")
		for i, h := range hosts {
			h.RecordLoad(i, 0, noon) // h0000 looks idle to all gateways
		}
		h, _ := table.Pick(noon, Request{Requirements: Requirements{Model: "m"}}, nil, rand.New(rand.NewPCG(uint64(e), 1)))
		chosen[h.Name()]++
	}
	worst := 0
	for _, n := range chosen {
		worst = max(worst, n)
	}
	if worst > gateways/3 {
		t.Errorf("%d of %d gateways chose the same replica", worst, gateways)
	}
}

// BenchmarkRoute measures one choice by the number of candidates.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 100, 780} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, _ := newTestTable(n, "a", "b", "c")
			prefixes := &Prefixes{}
			r := random()
			tried := &Tried{}
			b.ReportAllocs()
			for range b.N {
				table.Pick(noon, Request{Requirements: Requirements{Model: "m"}, Tried: tried, Prefix: 7}, prefixes, r)
			}
		})
	}
}
