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

// crashTest is a crashDetector with a test clock. It records the reported crashes; found is the
// result of each dial.
type crashTest struct {
	crashDetector *crashDetector
	now           time.Time
	found         dialResult
	reported      []reportedCrash
}

type reportedCrash struct {
	replica  string
	inFlight []quarantine.Request
}

func newCrashTest() *crashTest {
	e := &crashTest{now: time.Unix(1_800_000_000, 0)}
	e.crashDetector = newCrashDetector(func() time.Time { return e.now }, func(_ time.Time, replica string, inFlight []quarantine.Request, _ string) {
		e.reported = append(e.reported, reportedCrash{replica: replica, inFlight: inFlight})
	})
	e.crashDetector.dialResult = func(context.Context, *Peer) dialResult { return e.found }
	return e
}

// connectionBroke breaks a connection and waits for the result of the dial.
func (e *crashTest) connectionBroke(peer *Peer, request quarantine.Request) {
	<-e.crashDetector.connectionBroke(e.now, peer, request)
}

func crashPeer(id string) *Peer {
	return newPeer(registry.Record{ID: id, Address: "192.0.2.1:1"}, nil)
}

var (
	firstContent  = quarantine.Request{Content: quarantine.Content{Target: "/first"}.Digest()}
	secondContent = quarantine.Request{Content: quarantine.Content{Target: "/second"}.Digest()}
)

// TestRefusedDialConfirmsCrash: the crash is reported with all requests in flight, also with one
// whose connection is found broken later. Each request is reported once.
func TestRefusedDialConfirmsCrash(t *testing.T) {
	is := is.New(t)
	e := newCrashTest()
	peer := crashPeer("a@7")
	e.crashDetector.addSuspect(e.now, peer, secondContent)
	e.found = dialRefused
	e.connectionBroke(peer, firstContent)
	is.Equal(len(e.reported), 1)
	is.Equal(e.reported[0].replica, "a@7")
	is.Equal(e.reported[0].inFlight, []quarantine.Request{secondContent, firstContent})
	third := quarantine.Request{Content: quarantine.Content{Target: "/third"}.Digest()}
	e.connectionBroke(peer, third) // its connection is found broken after the crash was confirmed
	is.Equal(len(e.reported), 2)
	is.Equal(e.reported[1].inFlight, []quarantine.Request{third})
}

// TestBrokenConnectionAloneIsNoCrash: a replica that resets connections, or that announced to
// leave, has not crashed.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	is := is.New(t)
	e := newCrashTest()
	e.found = dialAccepted
	peer := crashPeer("a")
	e.connectionBroke(peer, firstContent)
	e.now = e.now.Add(suspectTTL + time.Second)
	e.crashDetector.confirm(e.now, "a", "later") // the request no longer counts as in flight
	leaving := crashPeer("b")
	leaving.record.Draining = true
	e.found = dialRefused
	e.connectionBroke(leaving, firstContent)
	is.Equal(len(e.reported), 0)
}

// TestNextIncarnationConfirmsCrashOfUnreachableReplica: an unreachable replica may only be
// disconnected. Another incarnation at its address or with its name proves the crash.
func TestNextIncarnationConfirmsCrashOfUnreachableReplica(t *testing.T) {
	is := is.New(t)
	e := newCrashTest()
	e.found = dialTimedOut
	peer := crashPeer("a@7")
	e.connectionBroke(peer, firstContent)
	is.Equal(len(e.reported), 0)
	e.now = e.now.Add(unreachableSuspectTTL - time.Second)
	e.crashDetector.confirm(e.now, "a@7", "it started again")
	is.Equal(len(e.reported), 1)
	is.Equal(e.reported[0].inFlight, []quarantine.Request{firstContent})
	e.now = e.now.Add(unreachableSuspectTTL + time.Second)
	e.crashDetector.expire(e.now)
	is.Equal(len(e.crashDetector.candidates), 0)
}

// TestReplacedReplicaIsReportedToCrashHandler: a replacement listed by the control nodes reaches
// the crash handler.
func TestReplacedReplicaIsReportedToCrashHandler(t *testing.T) {
	is := is.New(t)
	fleet := NewFleet("z", nil, nil, time.Now, time.Now)
	var ended []string
	fleet.setCrashHandler(func(_ time.Time, life, _ string) { ended = append(ended, life) })
	record := registry.Record{ID: "a@7", Name: "a", StartedMS: 7, Service: "s", Address: "192.0.2.1:1", Zone: "z"}
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	record.Sequence = 5
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	is.Equal(len(ended), 0) // an update of the same incarnation
	fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record, Replaced: true}}})
	is.Equal(ended, []string{"a@7"})
}

// TestCrashIsDetectedAtEveryStageOfAResponse: the crash happens before the head, within the body,
// before the first event and within the stream.
func TestCrashIsDetectedAtEveryStageOfAResponse(t *testing.T) {
	for _, way := range []struct {
		name string
		kind catalog.Kind
		act  func(a arrival)
		// begun is whether the client has the beginning of the response.
		begun bool
	}{
		{"before the head", catalog.Unsafe, func(arrival) {}, false},
		{"within the body", catalog.Unsafe, func(a arrival) { a.head(); a.chunk("part") }, false},
		{"before the first event", catalog.Streaming, func(a arrival) { a.head() }, false},
		{"within the stream", catalog.Streaming, func(a arrival) { a.head(); a.event(1) }, true},
		{"within an event of a stream without chunks", catalog.Streaming, func(a arrival) { unframed(200, "id: 1\nda", false)(a) }, false},
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
			told := make(chan []quarantine.Request, 4)
			b.handler.crashDetector.onCrash = func(_ time.Time, _ string, inFlight []quarantine.Request, _ string) { told <- inFlight }
			b.do("POST", "one", "body")
			is.Equal(<-told, []quarantine.Request{{Content: quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte("body")}.Digest(), Begun: way.begun}})
		})
	}
}

// TestNextIncarnationConfirmsCrashAfterTimeout: a replica that lost power closes no connection, so
// the request times out. The next incarnation at the address confirms the crash.
func TestNextIncarnationConfirmsCrashAfterTimeout(t *testing.T) {
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
	told := make(chan []quarantine.Request, 4)
	b.handler.crashDetector.onCrash = func(_ time.Time, _ string, inFlight []quarantine.Request, _ string) { told <- inFlight }
	is.Equal(b.do("POST", "one", "body", testDeadline+": 60").status, 504)
	<-looked
	record := registry.Record{ID: "a", Service: "s", Address: f.listener.Addr().String(), Zone: "z"}
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record, Replaced: true}}})
	is.Equal(len(<-told), 1)
}

func TestACrashBehindAnOrderlyCloseIsAttributed(t *testing.T) {
	is := is.New(t)
	var f *fakeReplica
	f = newReplica(t, "a", func(a arrival) bool {
		_ = f.listener.Close()
		return unframed(200, twoEvents, false)(a)
	})
	b := newBench(t, route(catalog.Streaming, 1), f)
	later := make(chan func(), 1)
	b.handler.crashDetector.after = func(_ time.Duration, check func()) { later <- check }
	is.Equal(b.do("POST", "one", crashBody).status, 200)
	check := <-later
	content := quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte(crashBody)}.Digest()
	b.handler.crashDetector.confirm(time.Now(), "a", "it started again")
	check() // the run does not count as successful
	is.Equal(b.handler.options.Tracker.AttributeFailure(time.Now(), "other", []quarantine.Request{{Content: content}}), []quarantine.Key{{Digest: content}})
	is.Equal(b.handler.options.Tracker.Empty(), false)
}

func TestAnAnswerThatEndsWithItsConnectionCountsAsSuccessOnceItsReplicaLivesOn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "a", unframed(200, twoEvents, false)))
	later := make(chan func(), 1)
	b.handler.crashDetector.after = func(_ time.Duration, check func()) { later <- check }
	is.Equal(b.do("POST", "one", crashBody).status, 200)
	check := <-later
	content := quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte(crashBody)}.Digest()
	check()
	is.Equal(len(b.handler.options.Tracker.AttributeFailure(time.Now(), "other", []quarantine.Request{{Content: content}})), 0)
}
