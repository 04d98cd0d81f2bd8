package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// coming lets a fleet know that the first copy of a model serves after a time.
func (b *bench) coming(version uint64, model string, in time.Duration) {
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: version, Coming: []wire.Coming{{Service: "s", Model: model, InMS: in.Milliseconds()}}})
}

// TestARequestWaitsForACopyThatIsBeingLoaded, beyond the part of its target for which it waits
// anyway: that is 0.9 s, the copy comes after 1.2 s.
func TestARequestWaitsForACopyThatIsBeingLoaded(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 1)
	r.Target, r.Timeout = 4*time.Second, 30*time.Second
	x := newReplica(t, "x", whole)
	b := newBench(t, r, x)
	b.fleet.firstReplicaAt.Store(1)
	is.Equal(b.do("POST", "none", "x", testModel+": n").status, http.StatusServiceUnavailable)
	b.coming(1, "n", 1200*time.Millisecond)
	time.AfterFunc(1200*time.Millisecond, func() {
		b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 2, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
	})
	is.Equal(b.do("POST", "waits", "x", testModel+": n").status, http.StatusOK)
	is.Equal(x.count(), 1)
}

// TestACopyThatComesBetweenTheTwoLooksIsUsed
//
// A request that waited for the copy of its model was refused as the copy came: it had looked for a
// copy in vain, and then asked whether one was coming, which it was no more. Evidence: the refusal's
// time is that of the word that the copy serves.
func TestACopyThatComesBetweenTheTwoLooksIsUsed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Safe, 1), newReplica(t, "x", whole))
	b.fleet.firstReplicaAt.Store(1)
	now := time.Now()
	r := route(catalog.Safe, 1)
	request := &call{handler: b.handler, route: &r, service: "s", facts: Facts{Model: "n"}, startedAt: now.Add(-time.Second), deadline: now.Add(10 * time.Second)}
	b.coming(1, "n", time.Millisecond)
	looked := b.fleet.Pick(now, request.requirements(), nil)
	is.Equal(looked.Verdict, ModelMissing)
	is.True(request.keepsWaiting(now, request.requirements(), looked))
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 2, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
	is.True(request.keepsWaiting(now, request.requirements(), looked))
	b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 3})
	is.True(!request.keepsWaiting(now, request.requirements(), looked))
}

// TestWhatIsWorthWaitingFor: a copy that serves before the client's deadline and before it leaves; a
// gateway that stops holds nothing. What is not waited for is told when the copy serves.
func TestWhatIsWorthWaitingFor(t *testing.T) {
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
			b.coming(1, "n", c.in)
			if c.stopping {
				b.handler.Stop()
			}
			route := r
			if c.target > 0 {
				route.Target = c.target
			}
			request := &call{handler: b.handler, route: &route, service: "s", facts: Facts{Model: "n"}, startedAt: now, deadline: now.Add(c.deadline)}
			is.Equal(request.waitsForCopy(now), c.waits)
			if !c.waits && !c.stopping && c.in > 0 {
				is.True(request.retryIn >= c.in)
			}
		})
	}
}
