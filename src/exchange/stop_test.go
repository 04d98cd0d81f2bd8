package exchange

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// endlessWait is longer than the test of a stopping gateway lasts.
const endlessWait = time.Minute

// fill makes the replica x one of a service with small batches, all of whose slots are taken.
func (b *bench) fill() {
	b.setSlots(4)
	b.fleet.loadReporters.add("s")
	b.setRunning("x", 4)
}

// waits lists what a request may wait for in a gateway before it is sent, but for questions to control nodes that
// last a second at the most. Each function makes requests for a model wait. A new wait has to be added here.
var waits = []struct {
	name    string
	model   string
	prepare func(b *bench)
}{
	{"a place of a control node", "m", func(b *bench) {
		b.fill()
		b.handler.options.Places.Request = func(ctx context.Context, _ wire.QueueRequest) (wire.QueueReply, error) {
			<-ctx.Done()
			return wire.QueueReply{}, ctx.Err()
		}
		b.handler.options.Places.Release = func(wire.QueuePlace) {}
	}},
	{"a place of this gateway alone", "m", func(b *bench) { b.fill() }},
	{"a slot", "", func(b *bench) {
		b.handler.SetGateways(100)
		b.handler.options.Slots.Request = func(ctx context.Context, _ wire.PlaceRequest) (wire.PlaceReply, error) {
			<-ctx.Done()
			return wire.PlaceReply{}, ctx.Err()
		}
	}},
	{"a permit", "m", func(b *bench) {
		b.fleet.Peer("x").markCold(b.fleet.bootNow(), endlessWait)
		b.handler.options.Permits.Request = func(context.Context, wire.PermitRequest) (wire.PermitReply, error) {
			return wire.PermitReply{Known: true, Granted: true, WaitUS: endlessWait.Microseconds()}, nil
		}
	}},
	{"the end of a backoff", "m", func(b *bench) { b.fleet.applyReply(b.fleet.Peer("x"), &Reply{Backoff: 5 * time.Second}) }},
	{"a model that is being loaded", "n", func(b *bench) { b.expectCopy(1, "n", endlessWait/2) }},
	{"a model that may be loaded", "n", func(*bench) {}},
	{"replicas that are not known yet", "m", func(b *bench) {
		b.fleet.SetReplicas(registry.Changes{Removed: []string{"x"}})
		b.fleet.firstReplicaAt.Store(0)
	}},
}

// TestWaitsEndAsAGatewayStops: requests that waited for a place in a gateway that was stopped got no answer, as
// its connections were closed after its time to stop.
func TestWaitsEndAsAGatewayStops(t *testing.T) {
	for _, wait := range waits {
		t.Run(wait.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newReplica(t, "x", whole)
			r := route(catalog.Unsafe, 1)
			r.Target, r.Timeout = endlessWait, endlessWait
			b := newBench(t, r, x)
			b.fleet.firstReplicaAt.Store(1)
			wait.prepare(b)
			ctx, cancel := context.WithTimeout(context.Background(), endlessWait/2)
			defer cancel()
			answers := make(chan clientResponse, 1)
			go func() { answers <- b.doIn(ctx, "POST", "one", "x", testModel+": "+wait.model) }()
			for b.handler.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.handler.Stop()
			b.handler.EndWaits()
			got := <-answers
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(x.count(), 0)
		})
	}
}

// TestRequestThatGetsItsPlaceInTimeIsServedWhileAGatewayStops: a stopping gateway goes on serving, also after the
// waits have ended, what need not wait.
func TestRequestThatGetsItsPlaceInTimeIsServedWhileAGatewayStops(t *testing.T) {
	is := is.New(t)
	place := make(chan struct{})
	f := &fakePlaces{reply: func(context.Context, wire.QueueRequest) (wire.QueueReply, error) {
		<-place
		return wire.QueueReply{Known: true, Replica: "x", Owner: "o"}, nil
	}}
	b := newPlaceBench(t, f, catalog.Unsafe, newReplica(t, "x", whole))
	b.setRunning("x", 4)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.ask("one") }()
	for len(f.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.handler.Stop()
	close(place)
	is.Equal((<-answers).status, http.StatusOK)
	b.handler.EndWaits()
	b.setRunning("x", 0)
	is.Equal(b.ask("two").status, http.StatusOK)
}

// TestRequestsThatMayOutlastTheStopAreRefusedUnsent: they were cut off at the end of the time to stop.
func TestRequestsThatMayOutlastTheStopAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x)
	b.handler.Stop()
	now := time.Now()
	b.handler.RefuseBeyond(now, now.Add(2*time.Second))
	got := b.do("POST", "late", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(x.count(), 0)
	is.Equal(b.do("POST", "in time", "x", testDeadline+": 1000").status, http.StatusOK)
	b.handler.RefuseBeyond(now.Add(time.Minute), now.Add(time.Minute))
	is.Equal(b.do("POST", "before", "x").status, http.StatusOK)
}

// TestRequestsThatAreCutOffAreAnswered: the gateway closed their connections and logged that their clients had
// left.
func TestRequestsThatAreCutOffAreAnswered(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Streaming} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			x := newReplica(t, "x", func(arrival) bool {
				time.Sleep(time.Second)
				return false
			})
			b := newBench(t, route(kind, 3), x)
			b.handler.options.Ring = event.NewRing("g", 16, nil, time.Now)
			answers := make(chan clientResponse, 1)
			go func() { answers <- b.do("POST", "one", "x") }()
			for x.count() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.handler.Stop()
			b.handler.CutOff()
			got := <-answers
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			for b.handler.Running() > 0 {
				time.Sleep(time.Millisecond)
			}
			logged, _ := b.handler.options.Ring.Since(0, "one")
			last := logged[len(logged)-1]
			is.Equal(last.Kind, event.RequestRefused)
			is.True(strings.Contains(last.Reason, "the gateway has ended"))
		})
	}
}

// TestAStreamThatIsCutOffDoesNotLookComplete: its client can take it up elsewhere.
func TestAStreamThatIsCutOffDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{})
	x := newReplica(t, "x", func(a arrival) bool {
		a.head()
		a.event(1)
		close(sent)
		time.Sleep(time.Second)
		return false
	})
	b := newBench(t, route(catalog.Streaming, 3), x)
	b.handler.options.Ring = event.NewRing("g", 16, nil, time.Now)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	<-sent
	time.Sleep(50 * time.Millisecond)
	b.handler.CutOff()
	is.True((<-answers).err != nil)
	is.Equal(x.count(), 1)
	for b.handler.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	logged, _ := b.handler.options.Ring.Since(0, "one")
	last := logged[len(logged)-1]
	is.Equal(last.Kind, event.RequestRefused)
	is.True(strings.Contains(last.Reason, "the gateway has ended"))
}
