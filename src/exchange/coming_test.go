package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// TestARequestWaitsForACopyThatIsBeingLoaded, beyond the part of its target for which it waits
// anyway, as long as it can be answered before its client leaves.
func TestARequestWaitsForACopyThatIsBeingLoaded(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 1)
	r.Target = 400 * time.Millisecond
	x := newReplica(t, "x", whole)
	b := newBench(t, r, x)
	b.fleet.begunAt.Store(1)
	coming := func(version uint64, in time.Duration) {
		b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: version, Coming: []wire.Coming{{Service: "s", Model: "n", InMS: in.Milliseconds()}}})
	}
	began := time.Now()
	is.Equal(b.do("POST", "none", "x", testModel+": n").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < r.Target)
	coming(1, time.Minute)
	began = time.Now()
	is.Equal(b.do("POST", "too-late", "x", testModel+": n").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < r.Target) // it is not held in vain
	coming(2, 600*time.Millisecond)
	time.AfterFunc(600*time.Millisecond, func() {
		b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 3, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
	})
	is.Equal(b.do("POST", "waits", "x", testModel+": n").status, http.StatusOK)
	is.Equal(x.count(), 1)
}

// TestAGatewayThatStopsHoldsNoRequestForACopy: one that was held is refused as not run while there is
// time for its answer.
func TestAGatewayThatStopsHoldsNoRequestForACopy(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Unsafe, 1)
	x := newReplica(t, "x", whole)
	b := newBench(t, r, x)
	b.fleet.begunAt.Store(1)
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 1, Coming: []wire.Coming{{Service: "s", Model: "n", InMS: 2000}}})
	answered := make(chan got, 1)
	go func() { answered <- b.do("POST", "held", "x", testModel+": n") }()
	select {
	case early := <-answered:
		t.Fatalf("answered %d before the gateway stopped", early.status)
	case <-time.After(r.Target / 2):
	}
	b.handler.Stop()
	stopped := time.Now()
	is.Equal((<-answered).status, http.StatusServiceUnavailable)
	is.True(time.Since(stopped) < time.Second)
	is.Equal(x.count(), 0)
}
