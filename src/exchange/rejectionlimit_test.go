package exchange

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

const testSlots = 4

// rejectionLimitedReplica runs testSlots requests at once and rejects all others.
type rejectionLimitedReplica struct {
	*fakeReplica
	running, rejected atomic.Int64
}

func newRejectionLimitedReplica(t *testing.T, id string) *rejectionLimitedReplica {
	r := &rejectionLimitedReplica{}
	r.fakeReplica = newReplica(t, id, func(a arrival) bool {
		defer r.running.Add(-1)
		if r.running.Add(1) > testSlots {
			r.rejected.Add(1)
			a.answer(503, "full", testNotRun+": 1", testRejections+": 0")
			return true
		}
		time.Sleep(5 * time.Millisecond)
		a.answer(200, "whole", testRejections+": 0")
		return true
	})
	return r
}

// flood sends requests at all gateways at once and returns how many were served.
func flood(gateways []*bench, each int) int {
	var served atomic.Int64
	var work sync.WaitGroup
	for g, gateway := range gateways {
		for i := range each {
			work.Go(func() {
				if gateway.do("POST", fmt.Sprintf("g%d-%d", g, i), "").status == 200 {
					served.Add(1)
				}
			})
		}
	}
	work.Wait()
	return int(served.Load())
}

func TestReplicasThatLimitRejectionsRejectNothingOfManyGatewaysTogether(t *testing.T) {
	for _, count := range []int{1, 2, 3, 4, 6} {
		t.Run(fmt.Sprint(count, " gateways"), func(t *testing.T) {
			is := is.New(t)
			replicas := []*rejectionLimitedReplica{newRejectionLimitedReplica(t, "a"), newRejectionLimitedReplica(t, "b"), newRejectionLimitedReplica(t, "c")}
			var gateways []*bench
			var listed []wire.GatewayPeer
			for g := range count {
				listed = append(listed, wire.GatewayPeer{Node: fmt.Sprint("g", g), Zone: "z", Address: "192.0.2.1:1"})
			}
			for g := range count {
				b := newBench(t, route(catalog.Unsafe, 1), replicas[0].fakeReplica, replicas[1].fakeReplica, replicas[2].fakeReplica)
				b.handler.options.Node = fmt.Sprint("g", g)
				b.handler.SetGateways(count)
				b.handler.SetOtherGateways(listed)
				gateways = append(gateways, b)
				is.Equal(b.do("POST", "first", "").status, 200) // tells it
			}
			served := flood(gateways, 40)
			is.True(served > 0)
			for _, r := range replicas {
				is.Equal(r.rejected.Load(), int64(0))
			}
		})
	}
}

func TestSharesOfAllGatewaysNeverExceedTheSlots(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= 12; count++ {
		var names []string
		for g := range count {
			names = append(names, fmt.Sprint("gateway-", g))
		}
		for r := range 20 {
			sum := 0
			for _, name := range names {
				f := NewFleet("z", nil, nil, time.Now, time.Now)
				f.gateways.setNumber(count)
				f.gateways.setNames(name, names)
				peer := crashPeer(fmt.Sprint("i-", r))
				peer.record.Slots = testSlots
				sum += f.gatewayShare(peer)
			}
			is.True(sum > 0 && sum <= testSlots)
		}
	}
}

func TestAReplicaThatNoLongerLimitsRejectionsIsUsedInFull(t *testing.T) {
	is := is.New(t)
	f := NewFleet("z", nil, nil, time.Now, time.Now)
	f.gateways.setNumber(4)
	now := time.Now()
	f.now = func() time.Time { return now }
	told, silent := crashPeer("a"), crashPeer("b")
	for _, peer := range []*Peer{told, silent} {
		peer.service, peer.record.Slots = "s", testSlots
		peer.startRequest(0)
	}
	is.True(!f.shareTaken(told, 1))
	f.noteRejectionLimit(told, RejectionLimit{Told: true})
	is.True(f.shareTaken(told, 1))
	is.True(f.shareTaken(silent, 1)) // it is of the same service
	f.noteRejectionLimit(told, RejectionLimit{})
	is.True(!f.shareTaken(told, 1))
	now = now.Add(rejectionLimitTTL + time.Second)
	is.True(!f.shareTaken(silent, 1))
}
