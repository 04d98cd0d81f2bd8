package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// backingOff is what a replica answers that wants nothing for longer than a test lasts.
func backingOff(a arrival) bool {
	a.answer(503, "not now", testNotRun+": 1", testBackoff+": 60000")
	return true
}

// closing is how it comes that a replica takes no further requests.
type closing struct {
	// say answers one request.
	say behaviour
	// order is called with that answer; nil for a replica that closes by its own word.
	order func(b *bench, f *fakeReplica)
}

// closings are all of them.
var closings = map[string]closing{
	"wants nothing for a time": {say: backingOff},
	"leaves":                   {say: func(a arrival) bool { a.answer(200, "last", testLeaving+": 1"); return true }},
	"is in a drained zone":     {say: whole, order: drainZone},
	"is cold, by its call":     {say: whole, order: registerCold},
	"names a limit":            {say: func(a arrival) bool { a.answer(200, "slow", testLimit+": 5"); return true }},
	"is cold, by its answer":   {say: func(a arrival) bool { a.answer(200, "slow", testCold+": 60000"); return true }},
}

// registerCold lets a replica tell the control nodes that it is cold; nobody issues permits.
func registerCold(b *bench, f *fakeReplica) {
	f.coldMS = 60000
	b.register(f)
}

// drainZone drains the zone of one replica.
func drainZone(b *bench, f *fakeReplica) {
	f.zone = "drained"
	b.register(f)
	b.fleet.SetDrains(&wire.ZoneDrains{Revision: 1, Zones: []string{f.zone}})
}

// close lets a replica take nothing from the answer to a request of its own on.
func (b *bench) close(f *fakeReplica, how closing) {
	b.t.Helper()
	f.setAct(how.say)
	b.do("POST", "closing", "x", testOnly+": "+f.id)
	if f.count() != 1 {
		b.t.Fatalf("%s got %d requests", f.id, f.count())
	}
	if how.order != nil {
		how.order(b, f)
	}
	f.setAct(whole)
}

// TestEveryWayToAReplicaAsksWhetherItTakesRequests: no request reaches a replica that wants
// nothing, or that leaves, on any way.
func TestEveryWayToAReplicaAsksWhetherItTakesRequests(t *testing.T) {
	for name, how := range closings {
		for _, way := range []struct {
			name string
			play func(t *testing.T, how closing) (closed *fakeReplica)
		}{
			{"a first try", firstTries},
			{"a further try within a call", furtherTry},
			{"a stream that goes on at the copy of its run", goesOnAtCopy},
			{"a place that was assigned", assignedPlace},
			{"a request that waited for its account", waitedForAccount},
			{"a request whose connection was being opened", waitedForConnection},
			{"the word came with a late answer to another request", lateWord},
			{"the list of replicas was told anew", toldAnew},
			{"the configuration has changed", reconfigured},
		} {
			t.Run(way.name+", "+name, func(t *testing.T) {
				if closed := way.play(t, how); closed.count() != 1 {
					t.Errorf("%d requests reached it after its word", closed.count()-1)
				}
			})
		}
	}
}

func firstTries(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	for i := range 5 {
		b.do("POST", fmt.Sprint("first-", i), "x")
		b.do("POST", fmt.Sprint("model-", i), "x", testModel+": m")
	}
	return closed
}

func furtherTry(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	fails := newReplica(t, "y", func(a arrival) bool { a.answer(500, "broken"); return true })
	b := newBench(t, route(catalog.Safe, 3), closed, fails)
	b.close(closed, how)
	for i := range 5 {
		b.do("POST", fmt.Sprint("try-", i), "x")
	}
	return closed
}

// goesOnAtCopy: the replica that keeps the copy closes while the stream runs.
func goesOnAtCopy(t *testing.T, how closing) *fakeReplica {
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

func assignedPlace(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	open := newReplica(t, "y", whole)
	b := newPlacedBench(t, &fakePlaces{err: errors.New("nobody assigns yet")}, closed, open)
	b.close(closed, how)
	b.handler.slotAssigner.unavailableUntil.Store(0)
	unused := make(chan wire.PlaceRelease, 64)
	b.handler.options.Places = Places{
		Ask: func(context.Context, wire.PlaceRequest) (wire.PlaceReply, error) {
			return wire.PlaceReply{Known: true, Replica: "x", Ticket: 3}, nil
		},
		Release: func(release wire.PlaceRelease) { unused <- release },
	}
	for i := range 5 {
		if got := b.do("GET", fmt.Sprint("placed-", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d though another replica is free", got.status)
		}
		if release := <-unused; release.Outcome == string(dispatch.Answered) || release.Outcome == string(dispatch.Failed) {
			t.Errorf("a place that was not used was given back as %s", release.Outcome)
		}
	}
	return closed
}

// waitedForAccount: the replica closes while the chosen request waits for its admission.
func waitedForAccount(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	f := granting()
	b := newKeyedBench(t, f, route(catalog.Safe, 2), closed)
	f.onAdmit = func() {
		f.onAdmit = nil
		b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{route(catalog.Safe, 2)}, Services: testServices()}))
		b.close(closed, how)
		b.handler.SetTable(keyedTable(1, route(catalog.Safe, 2), "k"))
	}
	f.verdict = admission.Verdict{Admission: wire.Granted, Until: time.Now().Add(time.Minute)}
	b.do("GET", "waited", "", testKey+": k")
	return closed
}

// waitedForConnection: the replica closes while the connection for another request comes up.
func waitedForConnection(t *testing.T, how closing) *fakeReplica {
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

// lateWord: the word comes in the place of the next answer, as the answer to an earlier request.
func lateWord(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), closed)
	closed.setAct(func(a arrival) bool {
		late := a
		late.request = a.request.Clone(context.Background())
		late.request.Header.Set(testID, "earlier")
		how.say(late)
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

// toldAnew: the replica is forgotten, as by a control node that was restarted, and heard of again
// at another place of the list with a later call.
func toldAnew(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	b.fleet.SetReplicas(registry.Changes{Removed: []string{"x"}})
	b.fleet.Tidy(time.Now())
	b.register(closed)
	b.do("GET", "again", "")
	return closed
}

func reconfigured(t *testing.T, how closing) *fakeReplica {
	closed := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 2), closed)
	b.close(closed, how)
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Safe, 4)}, Services: testServices()}))
	b.register(closed)
	b.do("GET", "again", "")
	return closed
}

// TestARefusalForWantOfReplicasThatTakeRequestsTellsWhen: nothing has run, and the client is told
// the earliest end.
func TestARefusalForWantOfReplicasThatTakeRequestsTellsWhen(t *testing.T) {
	is := is.New(t)
	x, y := newReplica(t, "x", whole), newReplica(t, "y", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x, y)
	b.close(x, closing{say: backingOff})
	b.close(y, closing{say: func(a arrival) bool {
		a.answer(503, "not now", testNotRun+": 1", testBackoff+": 30000")
		return true
	}})
	got := b.do("POST", "one", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait > 25 && wait < 40)
}

// startAgain tells the gateway of a later start of a replica under its name at its address.
func (b *bench) startAgain(f *fakeReplica) {
	earlier := registry.Record{ID: f.id, Service: "s", Address: f.listener.Addr().String(), Zone: "z", Slots: 4}
	later := earlier
	later.ID, later.Name, later.Born = f.id+"@2", f.id, 2
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: later}, {Record: earlier, Replaced: true}}})
}

// end lets a replica end under a request: its connections break.
func (b *bench) end(f *fakeReplica) {
	f.setAct(func(arrival) bool { return false })
	b.do("POST", "ends", "x", testOnly+": "+f.id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = nil
	f.act = whole
}

// TestAWordSaidBeforeItsStartIsToldBinds
//
// A replica ended and started again at its address; in its first half second, before a control node
// had told of the start, it asked for 1.4 s without requests. The gateway kept that for the start
// that had ended, was told of the new one, and sent it 104 requests within the time. Evidence: the
// line of the word names the start whose connections had broken 1.4 s before.
func TestAWordSaidBeforeItsStartIsToldBinds(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	is.Equal(b.do("POST", "before", "x").status, http.StatusOK)
	b.end(x)
	b.close(x, closing{say: backingOff})
	b.startAgain(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 1)
}

// TestAWordOnAConnectionThatStandsIsTheLaterStarts: this gateway saw no end of the earlier start, with
// which it had no connection; the one on which the word came would have broken with its end.
func TestAWordOnAConnectionThatStandsIsTheLaterStarts(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	b.close(x, closing{say: backingOff})
	b.startAgain(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 1)
}

// TestAWordSaidBeforeTheEndBindsNoLaterStart: the connections of the start that said it broke.
func TestAWordSaidBeforeTheEndBindsNoLaterStart(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Safe, 1), x)
	b.end(x)
	b.close(x, closing{say: backingOff})
	idle := x.last().conn
	_ = idle.Close()
	is.Equal(b.do("POST", "refused", "x").status, http.StatusServiceUnavailable)
	b.startAgain(x)
	is.Equal(b.do("POST", "after", "x").status, http.StatusOK)
}

// TestAWordToAClientThatHasLeftBinds
//
// A client left while its request was on the way. The replica turned it away and asked for 2 s
// without requests, in an answer that came when the gateway had closed the connection; what
// followed within the time was turned away without a word, 66 requests. Evidence: the gateway has
// a line of the client's leaving after 0 ms, and none of the word.
func TestAWordToAClientThatHasLeftBinds(t *testing.T) {
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
