package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wire"
)

// stopClock stops the clock that counts while the host is suspended.
func (b *bench) stopClock() {
	now := b.fleet.bootNow()
	b.fleet.bootNow = func() time.Time { return now }
}

// coldBench is a bench with one cold replica. Permit requests are answered by the given function.
func coldBench(t *testing.T, ask func(wire.PermitRequest) (wire.PermitReply, error), others ...*fakeReplica) (*bench, *fakeReplica) {
	t.Helper()
	cold := newReplica(t, "x", whole)
	cold.coldMS = 60000
	r := route(catalog.Safe, 2)
	r.Target = 2 * time.Second
	b := newBench(t, r, append(others, cold)...)
	b.stopClock()
	b.handler.options.Permits.Request = func(_ context.Context, request wire.PermitRequest) (wire.PermitReply, error) { return ask(request) }
	return b, cold
}

func TestAColdReplicaGetsRequestsWithPermits(t *testing.T) {
	is := is.New(t)
	asked := 0
	b, cold := coldBench(t, func(request wire.PermitRequest) (wire.PermitReply, error) {
		asked++
		is.Equal(request.Replica, "x")
		is.Equal(request.WithinMS, ratelimit.Horizon.Milliseconds())
		return wire.PermitReply{Known: true, Granted: true}, nil
	})
	for i := range 3 {
		is.Equal(b.do("POST", fmt.Sprint("r", i), "x").status, http.StatusOK)
	}
	is.Equal(cold.count(), 3)
	is.Equal(asked, 3)
}

// TestRequestWithoutPermitIsServedByWarmReplica: if there is no warm replica, the request is
// refused and Retry-After names the time at which a permit is available.
func TestRequestWithoutPermitIsServedByWarmReplica(t *testing.T) {
	is := is.New(t)
	refuse := func(wire.PermitRequest) (wire.PermitReply, error) {
		return wire.PermitReply{Known: true, WaitUS: 30_000_000}, nil
	}
	warm := newReplica(t, "y", whole)
	b, cold := coldBench(t, refuse, warm)
	for i := range 20 {
		is.Equal(b.do("POST", fmt.Sprint("r", i), "x").status, http.StatusOK)
	}
	is.Equal(cold.count(), 0)
	b, cold = coldBench(t, refuse)
	got := b.do("POST", "alone", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait >= 30)
	choice := b.fleet.Pick(time.Now(), Requirements{Service: "s", MaxPermitWait: ratelimit.Horizon}, nil)
	is.Equal(choice.Verdict, NotAccepting) // it does not wait for a permit that comes too late
	is.True(choice.AcceptsIn > ratelimit.Horizon)
	is.Equal(cold.count(), 0)
}

// TestAPermitThatComesTooLateIsNotUsed: the reply was delayed, or the host suspended, for longer
// than the permit is valid.
func TestAPermitThatComesTooLateIsNotUsed(t *testing.T) {
	is := is.New(t)
	var slept atomic.Int64
	b, cold := coldBench(t, func(wire.PermitRequest) (wire.PermitReply, error) {
		slept.Add(int64(ratelimit.PermitTTL))
		return wire.PermitReply{Known: true, Granted: true}, nil
	})
	clock := b.fleet.bootNow
	b.fleet.bootNow = func() time.Time { return clock().Add(time.Duration(slept.Load())) }
	is.Equal(b.do("POST", "late", "x").status, http.StatusServiceUnavailable)
	is.Equal(cold.count(), 0)
}

// TestAPermitIsUsedOnce: a permit is valid for one send to one replica.
func TestAPermitIsUsedOnce(t *testing.T) {
	is := is.New(t)
	b, cold := coldBench(t, func(wire.PermitRequest) (wire.PermitReply, error) { return wire.PermitReply{}, nil })
	peer := b.fleet.Peer("x")
	c := &call{handler: b.handler, sendPermit: sendPermit{peer: peer, until: b.fleet.bootNow().Add(time.Minute)}}
	is.True(c.usePermit(peer))
	is.True(!c.usePermit(peer))
	c.sendPermit = sendPermit{peer: newPeer(peer.record, nil), until: b.fleet.bootNow().Add(time.Minute)}
	is.True(!c.usePermit(peer))
	is.Equal(cold.count(), 0)
}

// TestAZoneWhoseDrainEndsFillsWithPermits: the replicas may have become cold during the drain,
// which they only report with their next heartbeat.
func TestAZoneWhoseDrainEndsFillsWithPermits(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	x.zone = "drained"
	b := newBench(t, route(catalog.Safe, 2), x)
	b.stopClock()
	b.fleet.SetDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{"drained"}})
	is.True(!b.fleet.acceptsWithoutPermit(b.fleet.Peer("x")))
	b.fleet.SetDrains(&wire.ZoneDrains{Revision: 2})
	is.True(b.fleet.isCold(b.fleet.Peer("x")))
	is.Equal(b.do("POST", "early", "x").status, http.StatusServiceUnavailable)
	clock := b.fleet.bootNow
	b.fleet.bootNow = func() time.Time { return clock().Add(coldAfterDrain) }
	is.Equal(b.do("POST", "later", "x").status, http.StatusOK)
	is.Equal(x.count(), 1)
}

func TestServiceWithoutColdRateNeedsNoPermits(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	x.coldMS = 60000
	b := newBench(t, route(catalog.Safe, 2), x)
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{route(catalog.Safe, 2)}, Services: []catalog.Service{{Name: "s"}}}))
	is.Equal(b.do("POST", "one", "x").status, http.StatusOK)
}
