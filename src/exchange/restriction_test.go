package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// backingOff responds with a backoff that is longer than any test.
func backingOff(a arrival) bool {
	a.answer(503, "not now", testNotRun+": 1", testBackoff+": 60000")
	return true
}

// restriction is a way in which a replica stops accepting requests.
type restriction struct {
	// respond responds to one request.
	respond behaviour
	// order is called with that response. It is nil if the response alone restricts the replica.
	order func(b *bench, f *fakeReplica)
}

var restrictions = map[string]restriction{
	"is in backoff":            {respond: backingOff},
	"leaves":                   {respond: func(a arrival) bool { a.answer(200, "last", testLeaving+": 1"); return true }},
	"is in a drained zone":     {respond: whole, order: drainZone},
	"is cold, by its record":   {respond: whole, order: registerCold},
	"is listed as draining":    {respond: whole, order: registerDraining},
	"is listed as gone":        {respond: whole, order: registerGone},
	"names a limit":            {respond: func(a arrival) bool { a.answer(200, "slow", testLimit+": 5"); return true }},
	"is cold, by its response": {respond: func(a arrival) bool { a.answer(200, "slow", testCold+": 60000"); return true }},
}

// registerCold makes a replica report to the control nodes that it is cold. No permits are issued.
func registerCold(b *bench, f *fakeReplica) {
	f.coldMS = 60000
	b.register(f)
}

// registerDraining makes a replica report to the control nodes that it drains.
func registerDraining(b *bench, f *fakeReplica) {
	f.draining = true
	b.register(f)
}

// registerGone makes a replica report to the control nodes that it has ended.
func registerGone(b *bench, f *fakeReplica) {
	f.ended = true
	b.register(f)
}

// drainZone drains the zone of one replica.
func drainZone(b *bench, f *fakeReplica) {
	f.zone = "drained"
	b.register(f)
	b.fleet.SetDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{f.zone}})
}

// close makes a replica accept no requests after its response to one request.
func (b *bench) close(f *fakeReplica, how restriction) {
	b.t.Helper()
	f.setAct(how.respond)
	b.do("POST", "closing", "x", testOnly+": "+f.id)
	if f.count() != 1 {
		b.t.Fatalf("%s got %d requests", f.id, f.count())
	}
	if how.order != nil {
		how.order(b, f)
	}
	f.setAct(whole)
}

// TestEveryWayToAReplicaAsksWhetherItTakesRequests: no request reaches a replica that is in
// backoff, leaving, cold, limited or in a drained zone, on any code path. Streams went on at a replica
// that was listed as draining.
func TestEveryWayToAReplicaAsksWhetherItTakesRequests(t *testing.T) {
	for name, how := range restrictions {
		for _, way := range []struct {
			name string
			play func(t *testing.T, how restriction) (closed *fakeReplica)
		}{
			{"a first attempt", firstAttempts},
			{"a retry within a call", retried},
			{"a stream that continues at its backup", continuedAtBackup},
			{"an assigned slot", assignedToSlot},
			{"a request that waited for its account", waitedForAccount},
			{"a request whose connection was being opened", waitedForConnection},
			{"a late response to another request", lateResponse},
			{"a replica that is listed again", relisted},
			{"a changed configuration", reconfigured},
		} {
			t.Run(way.name+", "+name, func(t *testing.T) {
				if closed := way.play(t, how); closed.count() != 1 {
					t.Errorf("%d requests reached it after the restriction", closed.count()-1)
				}
			})
		}
	}
}

func firstAttempts(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	for i := range 5 {
		b.do("POST", fmt.Sprint("first-", i), "x")
		b.do("POST", fmt.Sprint("model-", i), "x", testModel+": m")
	}
	return closed
}

func retried(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	fails := newReplica(t, "y", func(a arrival) bool { a.answer(500, "broken"); return true })
	b := newBench(t, route(catalog.Safe, 3), closed, fails)
	b.close(closed, how)
	for i := range 5 {
		b.do("POST", fmt.Sprint("try-", i), "x")
	}
	return closed
}

// continuedAtBackup: the replica with the copy of the run is restricted while the stream runs.
func continuedAtBackup(t *testing.T, how restriction) *fakeReplica {
	s := newCrashSite(t, func(_ arrival, r *fakeReplica) bool {
		_ = r.listener.Close()
		return false
	})
	var closed *fakeReplica
	s.stop = func(_ arrival, r *fakeReplica) bool {
		closed = s.replicas[0]
		if r == closed {
			closed = s.replicas[1]
		}
		s.bench.close(closed, how)
		_ = r.listener.Close()
		return false
	}
	_ = s.ask()
	return closed
}

func assignedToSlot(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	open := newReplica(t, "y", whole)
	b := newSlotBench(t, &fakeSlots{err: errors.New("nobody assigns yet")}, closed, open)
	b.close(closed, how)
	b.handler.slotAssigner.unavailableUntil.Store(0)
	unused := make(chan wire.PlaceRelease, 64)
	b.handler.options.Slots = Slots{
		Request: func(context.Context, wire.PlaceRequest) (wire.PlaceReply, error) {
			return wire.PlaceReply{Known: true, Replica: "x", Ticket: 3}, nil
		},
		Release: func(release wire.PlaceRelease) { unused <- release },
	}
	for i := range 5 {
		if got := b.do("GET", fmt.Sprint("placed-", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d though another replica is free", got.status)
		}
		if release := <-unused; release.Outcome == string(dispatch.Answered) || release.Outcome == string(dispatch.Failed) {
			t.Errorf("an unused slot was released as %s", release.Outcome)
		}
	}
	return closed
}

// waitedForAccount: the replica is restricted while the chosen request waits for its admission.
func waitedForAccount(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	f := granting()
	b := newKeyedBench(t, f, route(catalog.Safe, 2), closed)
	f.onAdmit = func() {
		f.onAdmit = nil
		b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{route(catalog.Safe, 2)}, Services: testServices()}))
		b.close(closed, how)
		b.handler.SetTable(keyedTable(1, route(catalog.Safe, 2), "k"))
	}
	f.verdict = admission.Verdict{Admission: wire.AdmissionGranted, Until: time.Now().Add(time.Minute)}
	b.do("GET", "waited", "", testKey+": k")
	return closed
}

// waitedForConnection: the replica is restricted while the connection for another request is being
// established.
func waitedForConnection(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	peer := b.fleet.Peer("x")
	dial := peer.pool.dial
	var dialed atomic.Bool
	peer.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if !dialed.Swap(true) {
			b.close(closed, how)
		}
		return dial(ctx, address)
	}
	b.do("GET", "waited", "")
	return closed
}

// lateResponse: the restriction arrives in a late response to an earlier request, before the
// response to the current one.
func lateResponse(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), closed)
	closed.setAct(func(a arrival) bool {
		late := a
		late.request = a.request.Clone(context.Background())
		late.request.Header.Set(testID, "earlier")
		how.respond(late)
		if how.order != nil {
			how.order(b, closed)
		}
		return whole(a)
	})
	b.do("POST", "one", "x")
	for i := range 3 {
		b.do("POST", fmt.Sprint("next-", i), "x")
	}
	return closed
}

// relisted: the replica is removed, as by a restarted control node, and listed again later at
// another position.
func relisted(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	b.fleet.SetReplicas(registry.Changes{Removed: []string{"x"}})
	b.fleet.Expire(time.Now())
	b.register(closed)
	b.do("GET", "again", "")
	return closed
}

func reconfigured(t *testing.T, how restriction) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Safe, 4)}, Services: testServices()}))
	b.register(closed)
	b.do("GET", "again", "")
	return closed
}

// TestRefusalNamesEarliestBackoffEnd: nothing has run, and Retry-After names the earliest end of a
// backoff.
func TestRefusalNamesEarliestBackoffEnd(t *testing.T) {
	is := is.New(t)
	x, y := newReplica(t, "x", whole), newReplica(t, "y", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x, y)
	b.close(x, restriction{respond: backingOff})
	b.close(y, restriction{respond: func(a arrival) bool {
		a.answer(503, "not now", testNotRun+": 1", testBackoff+": 30000")
		return true
	}})
	got := b.do("POST", "one", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait > 25 && wait < 40)
}

// restart makes the gateway list a later incarnation of a replica with the same name and address.
func (b *bench) restart(f *fakeReplica) {
	earlier := registry.Record{ID: f.id, Service: "s", Address: f.listener.Addr().String(), Zone: "z", Slots: 4}
	later := earlier
	later.ID, later.Name, later.StartedMS = f.id+"@2", f.id, 2
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: later}, {Record: earlier, Replaced: true}}})
}

// crash makes a replica break its connections during a request.
func (b *bench) crash(f *fakeReplica) {
	f.setAct(func(arrival) bool { return false })
	b.do("POST", "ends", "x", testOnly+": "+f.id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = nil
	f.act = whole
}

// TestBackoffBeforeIncarnationIsListedIsInherited: a restarted replica asked for a backoff of 1.4 s
// in its first half second, before a control node had listed the new incarnation. The gateway
// recorded the backoff for the old incarnation and sent 104 requests to the new one during the
// backoff.
func TestBackoffBeforeIncarnationIsListedIsInherited(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	is.Equal(b.do("POST", "before", "x").status, http.StatusOK)
	b.crash(x)
	b.close(x, restriction{respond: backingOff})
	b.restart(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 1)
}

// TestBackoffOnOpenConnectionIsInherited: this gateway had no connection with the earlier
// incarnation and did not notice its end. The connection on which the backoff arrived is still
// open, so the backoff is that of the later incarnation.
func TestBackoffOnOpenConnectionIsInherited(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	b.close(x, restriction{respond: backingOff})
	b.restart(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 1)
}

// TestBackoffBeforeCrashIsNotInherited: the connections of the incarnation that asked for the
// backoff are broken.
func TestBackoffBeforeCrashIsNotInherited(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	b.crash(x)
	b.close(x, restriction{respond: backingOff})
	idle := x.last().conn
	_ = idle.Close()
	is.Equal(b.do("POST", "refused", "x").status, http.StatusServiceUnavailable)
	b.restart(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusOK)
}

// A limit of the earlier incarnation was taken for one of the later incarnation, which had only asked for a
// backoff before it was listed. That the later one was cold was not inherited.
func TestEachWordIsInheritedByItsOwnEvidence(t *testing.T) {
	for _, c := range []struct {
		name                   string
		before, after          string // what the replica says before and after a connection breaks
		backoff, limited, cold bool   // what the later incarnation inherits
	}{
		{"a limit before, a backoff after", "limit", "backoff", true, false, false},
		{"a backoff before, a limit after", "backoff", "limit", false, true, false},
		{"cold before, a backoff after", "cold", "backoff", true, false, false},
		{"all before", "limit, backoff, cold", "", false, false, false},
		{"all after", "", "limit, backoff, cold", true, true, true},
		{"cold after", "limit, backoff", "cold", false, false, true},
		{"cold before for longer than after", "cold", "briefly", false, false, false},
		{"cold by the earlier one's record only", "record", "", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newReplica(t, "x", whole)
			b := newBench(t, route(catalog.Safe, 1), x)
			peer := b.fleet.Peer("x")
			say := func(words string) {
				if strings.Contains(words, "limit") {
					b.handler.noteLimit(peer, RateLimit{Valid: true, PerSecond: 5}, sentRequest{})
				}
				if strings.Contains(words, "backoff") {
					b.fleet.applyReply(peer, &Reply{Backoff: time.Minute})
				}
				if strings.Contains(words, "cold") {
					b.fleet.applyReply(peer, &Reply{Cold: time.Minute})
				}
				if strings.Contains(words, "briefly") {
					b.fleet.applyReply(peer, &Reply{Cold: time.Nanosecond})
				}
				if strings.Contains(words, "record") {
					registerCold(b, x)
				}
			}
			say(c.before)
			peer.pool.connectionBroke()
			say(c.after)
			b.restart(x)
			later := b.fleet.Peer("x@2")
			_, accepted := later.backoffState.accepts(time.Now())
			is.Equal(!accepted, c.backoff)
			is.Equal(later.sharedLimit.active.Load(), c.limited)
			is.Equal(later.coldUntil.Load() > time.Now().UnixNano(), c.cold)
		})
	}
}

// TestBackoffAfterClientLeftIsKept: a client left while its request was being sent. The replica
// rejected the request with a backoff of 2 s, but the gateway had already closed the connection and
// sent 66 more requests during the backoff.
func TestBackoffAfterClientLeftIsKept(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	x := newReplica(t, "x", func(a arrival) bool {
		close(arrived)
		time.Sleep(10 * time.Millisecond)
		return backingOff(a)
	})
	b := newBench(t, route(catalog.Safe, 1), x)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-arrived
		leave()
	}()
	is.True(b.doIn(ctx, "POST", "leaves", "x").err != nil)
	for b.handler.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	x.setAct(whole)
	is.Equal(b.do("POST", "after", "x").status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 1)
}
