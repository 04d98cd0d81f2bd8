package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/registry"
)

// crashTest is endings on a clock of the test's, with what dials find, and what they tell.
type crashTest struct {
	crashDetector *crashDetector
	now           time.Time
	found         dialResult
	told          []toldEnd
}

type toldEnd struct {
	life  string
	under []quarantine.Digest
}

func newEndingsTest() *crashTest {
	e := &crashTest{now: time.Unix(1_800_000_000, 0)}
	e.crashDetector = newCrashDetector(func() time.Time { return e.now }, func(_ time.Time, life string, under []quarantine.Digest, _ string) {
		e.told = append(e.told, toldEnd{life: life, under: under})
	})
	e.crashDetector.dialResult = func(context.Context, *Peer) dialResult { return e.found }
	return e
}

// connectionBroke breaks a connection and waits for the dial.
func (e *crashTest) connectionBroke(peer *Peer, digest quarantine.Digest) {
	<-e.crashDetector.connectionBroke(e.now, peer, digest)
}

func endingPeer(id string) *Peer {
	return newPeer(registry.Record{ID: id, Address: "192.0.2.1:1"}, nil)
}

var (
	firstContent  = quarantine.Content{Target: "/first"}.Digest()
	secondContent = quarantine.Content{Target: "/second"}.Digest()
)

// TestARefusedDialProvesTheEnd: all that was under way is named, what broke later too, and
// each end is told once for a request.
func TestARefusedDialProvesTheEnd(t *testing.T) {
	is := is.New(t)
	e := newEndingsTest()
	peer := endingPeer("a@7")
	e.crashDetector.clientLeft(e.now, peer, secondContent)
	e.found = dialRefused
	e.connectionBroke(peer, firstContent)
	is.Equal(len(e.told), 1)
	is.Equal(e.told[0].life, "a@7")
	is.Equal(e.told[0].under, []quarantine.Digest{secondContent, firstContent})
	third := quarantine.Content{Target: "/third"}.Digest()
	e.connectionBroke(peer, third) // its connection was the last to be seen broken
	is.Equal(len(e.told), 2)
	is.Equal(e.told[1].under, []quarantine.Digest{third})
}

// TestABrokenConnectionAloneProvesNothing: a replica that resets connections, or that said
// that it leaves, has not ended under its requests.
func TestABrokenConnectionAloneProvesNothing(t *testing.T) {
	is := is.New(t)
	e := newEndingsTest()
	e.found = dialAccepted
	peer := endingPeer("a")
	e.connectionBroke(peer, firstContent)
	e.now = e.now.Add(suspectTTL + time.Second)
	e.crashDetector.confirm(e.now, "a", "later") // too late to say anything of that request
	leaving := endingPeer("b")
	leaving.record.Draining = true
	e.found = dialRefused
	e.connectionBroke(leaving, firstContent)
	is.Equal(len(e.told), 0)
}

// TestAnUnreachableReplicaIsProvedByItsNextStart: silence may be a cut; another start at the
// address, or under the ID, is proof.
func TestAnUnreachableReplicaIsProvedByItsNextStart(t *testing.T) {
	is := is.New(t)
	e := newEndingsTest()
	e.found = dialTimedOut
	peer := endingPeer("a@7")
	e.connectionBroke(peer, firstContent)
	is.Equal(len(e.told), 0)
	e.now = e.now.Add(unreachableSuspectTTL - time.Second)
	e.crashDetector.confirm(e.now, "a@7", "it started again")
	is.Equal(len(e.told), 1)
	is.Equal(e.told[0].under, []quarantine.Digest{firstContent})
	e.now = e.now.Add(unreachableSuspectTTL + time.Second)
	e.crashDetector.expire(e.now)
	is.Equal(len(e.crashDetector.candidates), 0)
}

// TestTheControlNodesWordOnANextStartIsAWitness: what the fleet learns reaches the endings.
func TestTheControlNodesWordOnANextStartIsAWitness(t *testing.T) {
	is := is.New(t)
	fleet := NewFleet("z", nil, nil, time.Now, time.Now)
	var ended []string
	fleet.setCrashHandler(func(_ time.Time, life, _ string) { ended = append(ended, life) })
	record := registry.Record{ID: "a@7", Name: "a", Born: 7, Service: "s", Address: "192.0.2.1:1", Zone: "z"}
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	record.Sequence = 5
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	is.Equal(len(ended), 0) // a later word of the same start
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record, Replaced: true}}})
	is.Equal(ended, []string{"a@7"})
}

// TestAnEndIsSeenOnEachWayOfAnswering: with the head, the body or a stream still to come.
func TestAnEndIsSeenOnEachWayOfAnswering(t *testing.T) {
	for _, way := range []struct {
		name string
		kind catalog.Kind
		act  func(a arrival)
	}{
		{"before the head", catalog.Unsafe, func(arrival) {}},
		{"within the body", catalog.Unsafe, func(a arrival) { a.head(); a.chunk("part") }},
		{"before the first event", catalog.Streaming, func(a arrival) { a.head() }},
		{"within the stream", catalog.Streaming, func(a arrival) { a.head(); a.event(1) }},
	} {
		t.Run(way.name, func(t *testing.T) {
			is := is.New(t)
			var f *fakeReplica
			f = newReplica(t, "a", func(a arrival) bool {
				_ = f.listener.Close()
				way.act(a)
				return false
			})
			b := newBench(t, route(way.kind, 1), f)
			told := make(chan []quarantine.Digest, 4)
			b.handler.crashDetector.onCrash = func(_ time.Time, _ string, under []quarantine.Digest, _ string) { told <- under }
			b.do("POST", "one", "body")
			is.Equal(<-told, []quarantine.Digest{quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte("body")}.Digest()})
		})
	}
}

// TestAnEndWithoutAWordIsProvedByTheNextStart: a replica that lost its power closes nothing; the
// request's time runs out, and the start that follows at the address tells what became of it.
func TestAnEndWithoutAWordIsProvedByTheNextStart(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	f := newReplica(t, "a", func(arrival) bool { <-hold; return false })
	defer close(hold)
	b := newBench(t, route(catalog.Unsafe, 1), f)
	looked := make(chan struct{}, 4)
	b.handler.crashDetector.dialResult = func(context.Context, *Peer) dialResult {
		looked <- struct{}{}
		return dialTimedOut
	}
	told := make(chan []quarantine.Digest, 4)
	b.handler.crashDetector.onCrash = func(_ time.Time, _ string, under []quarantine.Digest, _ string) { told <- under }
	is.Equal(b.do("POST", "one", "body", testDeadline+": 60").status, 504)
	<-looked
	record := registry.Record{ID: "a", Service: "s", Address: f.listener.Addr().String(), Zone: "z"}
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record, Replaced: true}}})
	is.Equal(len(<-told), 1)
}
