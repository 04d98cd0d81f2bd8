package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// slowBody is the body of a request that its client sends in parts.
type slowBody struct {
	answers chan clientResponse
	body    *io.PipeWriter
	// begun is closed once the first part was written, or the request has ended.
	begun chan struct{}
}

// begin sends the head of a request and a part of its body. Without a length the body comes in chunks.
func (b *bench) begin(length int64, name string, headers ...string) *slowBody {
	b.t.Helper()
	read, write := io.Pipe()
	request, err := http.NewRequest("POST", b.server.URL+"/p/x", read)
	if err != nil {
		b.t.Fatal(err)
	}
	request.Host, request.ContentLength = "h.example", length
	request.Header.Set(testID, name)
	for _, header := range headers {
		key, value, _ := strings.Cut(header, ": ")
		request.Header.Set(key, value)
	}
	s := &slowBody{answers: make(chan clientResponse, 1), body: write, begun: make(chan struct{})}
	go func() {
		response, err := b.server.Client().Do(request)
		if err != nil {
			s.answers <- clientResponse{err: err}
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		s.answers <- clientResponse{status: response.StatusCode, header: response.Header, body: string(text), closes: response.Close, err: err}
	}()
	// A client whose request is refused writes no more of its body.
	go func() {
		_, _ = io.WriteString(write, "be")
		close(s.begun)
	}()
	return s
}

// awaitRunning waits until a request is in progress.
func (b *bench) awaitRunning() {
	for b.handler.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// end sends the rest of the body.
func (s *slowBody) end() {
	<-s.begun
	_, _ = io.WriteString(s.body, "gin")
	_ = s.body.Close()
}

// slowBodyLength is the length of what begin and end send.
const slowBodyLength = 5

// bodyLengths are the lengths that clients declare; with -1 the body comes in chunks.
var bodyLengths = map[string]int64{"length": slowBodyLength, "chunks": -1}

// markDelay is when the mark of a stop comes in these tests, stopTime when the stop ends.
const (
	markDelay = 150 * time.Millisecond
	stopTime  = time.Second
)

// stopSoon begins a stop and returns its mark.
func (b *bench) stopSoon() time.Time {
	now := time.Now()
	b.handler.Stop()
	b.handler.RefuseBeyond(now.Add(markDelay), now.Add(stopTime))
	return now.Add(markDelay)
}

// TestRequestsReadAfterTheMarkOfAStopAreNotSent: their heads came before it, and they were cut off at the end of
// the stop.
func TestRequestsReadAfterTheMarkOfAStopAreNotSent(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Streaming} {
		for name, length := range bodyLengths {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				x := newReplica(t, "x", whole)
				b := newBench(t, route(kind, 2), x)
				s := b.begin(length, "one")
				b.awaitRunning()
				time.Sleep(time.Until(b.stopSoon()) + 50*time.Millisecond)
				s.end()
				got := <-s.answers
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(x.count(), 0)
			})
		}
	}
}

// TestABodyThatStillComesAtTheMarkOfAStopIsRefusedAtOnce: its client wrote all of it for nothing.
func TestABodyThatStillComesAtTheMarkOfAStopIsRefusedAtOnce(t *testing.T) {
	for name, length := range bodyLengths {
		for when, arrive := range map[string]time.Duration{"before": 0, "after": markDelay + 50*time.Millisecond} {
			t.Run(name+", head "+when+" the mark", func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				x := newReplica(t, "x", whole)
				b := newBench(t, route(catalog.Unsafe, 1), x)
				b.stopSoon()
				time.Sleep(arrive)
				s := b.begin(length, "one")
				select {
				case got := <-s.answers:
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusServiceUnavailable)
					is.True(got.closes)
				case <-time.After(stopTime / 2):
					t.Error("the client has no answer")
				}
				s.end()
				b.awaitHandlers()
				is.Equal(x.count(), 0)
			})
		}
	}
}

// TestASlowBodyThatCanBeServedBeforeAStopEndsIsServed: its deadline is before the end of the stop, however its
// time is counted.
func TestASlowBodyThatCanBeServedBeforeAStopEndsIsServed(t *testing.T) {
	for name, length := range bodyLengths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newReplica(t, "x", whole)
			b := newBench(t, route(catalog.Unsafe, 1), x)
			s := b.begin(length, "one", testDeadline+": 500")
			b.awaitRunning()
			time.Sleep(time.Until(b.stopSoon()) + 50*time.Millisecond)
			s.end()
			is.Equal((<-s.answers).status, http.StatusOK)
			is.Equal(x.last().body, "begin")
		})
	}
}

// TestADeadlineCountedFromTheLastByteIsNotCutOffByAStop: counted from the head it was before the end of the stop.
func TestADeadlineCountedFromTheLastByteIsNotCutOffByAStop(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x)
	s := b.begin(slowBodyLength, "one", testDeadline+": 950")
	b.awaitRunning()
	time.Sleep(time.Until(b.stopSoon()) + 50*time.Millisecond)
	s.end()
	is.Equal((<-s.answers).status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 0)
}

// TestNothingThatMayOutlastAStopIsSentAfterItsMark: a request was asked once, before it waited or was turned away.
func TestNothingThatMayOutlastAStopIsSentAfterItsMark(t *testing.T) {
	past := func() { time.Sleep(markDelay + 50*time.Millisecond) }
	t.Run("a place given after it", func(t *testing.T) {
		is := is.New(t)
		asked := make(chan struct{})
		f := &fakePlaces{reply: func(context.Context, wire.QueueRequest) (wire.QueueReply, error) {
			close(asked)
			past()
			return wire.QueueReply{Known: true, Replica: "x", Owner: "o"}, nil
		}}
		x := newReplica(t, "x", whole)
		b := newPlaceBench(t, f, catalog.Unsafe, x)
		b.setRunning("x", 4)
		answers := make(chan clientResponse, 1)
		go func() { answers <- b.ask("one") }()
		<-asked
		b.stopSoon()
		is.Equal((<-answers).status, http.StatusServiceUnavailable)
		is.Equal(x.count(), 0)
	})
	t.Run("a further attempt", func(t *testing.T) {
		is := is.New(t)
		reached := make(chan struct{}, 4)
		slowlyRefuse := func(a arrival) bool {
			reached <- struct{}{}
			past()
			return notRunning(a)
		}
		x, y := newReplica(t, "x", slowlyRefuse), newReplica(t, "y", slowlyRefuse)
		b := newBench(t, route(catalog.Unsafe, 3), x, y)
		answers := make(chan clientResponse, 1)
		go func() { answers <- b.do("POST", "one", "x") }()
		<-reached
		b.stopSoon()
		is.Equal((<-answers).status, http.StatusServiceUnavailable)
		is.Equal(x.count()+y.count(), 1)
	})
	t.Run("another gateway", func(t *testing.T) {
		is := is.New(t)
		x := newReplica(t, "x", whole)
		n := newForwardNet(t, route(catalog.Unsafe, 1), 1, x)
		asked := make(chan struct{})
		n.handler.gatewayList = newOtherGateways("g0", "z", func(_ context.Context, address string) (net.Conn, error) {
			close(asked)
			past()
			return Dial(context.Background(), address)
		})
		n.list()
		n.loseLinks()
		answers := make(chan clientResponse, 1)
		go func() { answers <- n.do("POST", "one", "x") }()
		<-asked
		n.stopSoon()
		is.Equal((<-answers).status, http.StatusServiceUnavailable)
		is.Equal(x.count(), 0)
	})
	t.Run("a connection made after it", func(t *testing.T) {
		is := is.New(t)
		x := newReplica(t, "x", whole)
		b := newBench(t, route(catalog.Unsafe, 1), x)
		asked := make(chan struct{})
		b.fleet.Peer("x").pool.dial = func(_ context.Context, address string) (net.Conn, error) {
			close(asked)
			past()
			return Dial(context.Background(), address)
		}
		answers := make(chan clientResponse, 1)
		go func() { answers <- b.do("POST", "one", "x") }()
		<-asked
		b.stopSoon()
		is.Equal((<-answers).status, http.StatusServiceUnavailable)
		is.Equal(x.count(), 0)
	})
}

// TestARequestThatMayHaveRunIsRepeatedWhileAGatewayStops: it would be answered 502, or its stream broken off.
func TestARequestThatMayHaveRunIsRepeatedWhileAGatewayStops(t *testing.T) {
	is := is.New(t)
	reached := make(chan struct{}, 4)
	breakOff := func(arrival) bool {
		reached <- struct{}{}
		time.Sleep(markDelay + 50*time.Millisecond)
		return false
	}
	x, y := newReplica(t, "x", breakOff), newReplica(t, "y", breakOff)
	b := newBench(t, route(catalog.Safe, 2), x, y)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	<-reached
	x.setAct(whole)
	y.setAct(whole)
	b.stopSoon()
	is.Equal((<-answers).status, http.StatusOK)
}

// TestABodyWhoseHeadCameBeforeTheSignalIsRefusedAtTheMark: nothing has set that its connection closes before.
func TestABodyWhoseHeadCameBeforeTheSignalIsRefusedAtTheMark(t *testing.T) {
	for name, length := range bodyLengths {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "x", whole))
			s := b.begin(length, "one")
			b.awaitRunning()
			b.stopSoon()
			select {
			case got := <-s.answers:
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.closes)
			case <-time.After(stopTime / 2):
				t.Error("the client has no answer")
			}
			s.end()
		})
	}
}

// TestALongerBodyIsNotRefusedForGoodByAnOlderConfiguration: the newer one allows it, and its client must be able to come back.
func TestALongerBodyIsNotRefusedForGoodByAnOlderConfiguration(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x)
	old := catalog.Document{Version: 1, Routes: []catalog.Route{route(catalog.Unsafe, 1)}, Services: testServices()}
	old.Limits.BodyBytes = 1
	b.handler.SetTable(catalog.NewTable(old))
	newer := catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Unsafe, 1)}, Services: testServices()}
	got := b.doSlowly(time.Second, func() { b.handler.SetTable(catalog.NewTable(newer)); time.Sleep(300 * time.Millisecond) }, "one")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(x.count(), 0)
}
