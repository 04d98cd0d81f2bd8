package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// expectCopy tells the fleet that the first copy of a model is loaded after the given time.
func (b *bench) expectCopy(version uint64, model string, in time.Duration) {
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: version, Coming: []wire.Coming{{Service: "s", Model: model, InMS: in.Milliseconds()}}})
}

// TestARequestWaitsForACopyThatIsBeingLoaded: the request waits longer than its usual share of the
// target, which is 0.9 s. The copy is loaded after 1.2 s.
func TestARequestWaitsForACopyThatIsBeingLoaded(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 1)
	r.Target, r.Timeout = 4*time.Second, 30*time.Second
	x := newReplica(t, "x", whole)
	b := newBench(t, r, x)
	b.fleet.firstReplicaAt.Store(1)
	is.Equal(b.do("POST", "none", "x", testModel+": n").status, http.StatusServiceUnavailable)
	b.expectCopy(1, "n", 1200*time.Millisecond)
	time.AfterFunc(1200*time.Millisecond, func() {
		b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 2, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
	})
	is.Equal(b.do("POST", "waits", "x", testModel+": n").status, http.StatusOK)
	is.Equal(x.count(), 1)
}

// TestCopyLoadedBetweenChoiceAndCheckIsUsed: a request that waited for its model was refused in the
// moment in which the model was loaded. The choice had not found a copy yet, and the following
// check no longer found one being loaded.
func TestCopyLoadedBetweenChoiceAndCheckIsUsed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Safe, 1), newReplica(t, "x", whole))
	b.fleet.firstReplicaAt.Store(1)
	now := time.Now()
	r := route(catalog.Safe, 1)
	request := &call{handler: b.handler, route: &r, service: "s", requestInfo: RequestInfo{Model: "n"}, startedAt: now.Add(-time.Second), deadline: now.Add(10 * time.Second)}
	b.expectCopy(1, "n", time.Millisecond)
	looked := b.fleet.Pick(now, request.requirements(), nil)
	is.Equal(looked.Verdict, ModelMissing)
	is.True(request.keepsWaiting(now, request.requirements(), looked))
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 2, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
	is.True(request.keepsWaiting(now, request.requirements(), looked))
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 3})
	is.True(!request.keepsWaiting(now, request.requirements(), looked))
}

// TestWaitsOnlyForCopiesInTime: a request waits for a copy only if it is loaded before the client's
// deadline and before the client gives up, and never at a stopping gateway. Otherwise the client is
// told when the copy is loaded.
func TestWaitsOnlyForCopiesInTime(t *testing.T) {
	r := route(catalog.Unsafe, 1)
	r.Target = 400 * time.Millisecond
	for name, c := range map[string]struct {
		in       time.Duration
		deadline time.Duration
		target   time.Duration
		stopping bool
		waits    bool
	}{
		"soon":                             {in: time.Second, deadline: 10 * time.Second, waits: true},
		"about to serve":                   {in: 0, deadline: 10 * time.Second, waits: true},
		"after the client has left":        {in: 3 * time.Second, deadline: 10 * time.Second},
		"a client that stays for longer":   {in: 3 * time.Second, deadline: 10 * time.Second, target: 2 * time.Second, waits: true},
		"after the deadline":               {in: time.Second, deadline: 1200 * time.Millisecond},
		"a gateway that stops":             {in: time.Second, deadline: 10 * time.Second, stopping: true},
		"a copy that should be there long": {in: -3 * time.Second, deadline: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, r, newReplica(t, "x", whole))
			now := time.Unix(1_800_000_000, 0)
			b.fleet.now = func() time.Time { return now }
			b.expectCopy(1, "n", c.in)
			if c.stopping {
				b.handler.Stop()
			}
			route := r
			if c.target > 0 {
				route.Target = c.target
			}
			request := &call{handler: b.handler, route: &route, service: "s", requestInfo: RequestInfo{Model: "n"}, startedAt: now, deadline: now.Add(c.deadline)}
			is.Equal(request.waitsForCopy(now), c.waits)
			if !c.waits && !c.stopping && c.in > 0 {
				is.True(request.retryIn >= c.in)
			}
		})
	}
}
