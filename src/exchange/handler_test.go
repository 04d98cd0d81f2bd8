package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	b := newBench(t, route(catalog.Unsafe, 1), a)
	got := b.do("POST", "one", "the body", "Own-Header: v", "Connection: Secret", "Secret: s")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "answer to one by a")
	is.Equal(got.header.Get(testStamp), "a.one")
	arrived := a.last()
	is.Equal(arrived.request.RequestURI, "/p/x%2Fy?q=1&q=2")
	is.Equal(arrived.request.Host, "h.example")
	is.Equal(arrived.body, "the body")
	is.Equal(arrived.request.Header.Get("Own-Header"), "v")
	is.Equal(arrived.request.Header.Get("Secret"), "") // named by Connection
	is.Equal(arrived.request.Header.Get(testReplica), "a")
}

func TestTheReplicaIsToldLessTimeThanTheClientHas(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	b := newBench(t, route(catalog.Unsafe, 1), a)
	b.do("GET", "one", "", testDeadline+": 900")
	left, err := strconv.Atoi(a.last().request.Header.Get(testDeadline))
	is.NoErr(err)
	is.True(left > 0 && left < 900)
	b.do("GET", "two", "", testDeadline+": 60000")
	left, err = strconv.Atoi(a.last().request.Header.Get(testDeadline))
	is.NoErr(err)
	is.True(left < 3000) // the route's timeout
}

func TestConnectionsAreKeptAndSurplusAnswersPassedOver(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", func(a arrival) bool {
		if a.number == 2 {
			// A second response to the first request arrives instead of the response to the second
			// one.
			late := a
			late.request = a.request.Clone(context.Background())
			late.request.Header.Set(testID, "one")
			late.answer(200, "surplus")
		}
		return whole(a)
	})
	b := newBench(t, route(catalog.Unsafe, 1), a)
	is.Equal(b.do("POST", "one", "x").body, "answer to one by a")
	is.Equal(b.do("POST", "two", "x").body, "answer to two by a")
	is.Equal(a.last().number, 2) // one connection carried both
}

func TestBytesAfterAnAnswerSpoilTheConnection(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{}, 4)
	a := newReplica(t, "a", func(a arrival) bool {
		whole(a)
		_, _ = io.WriteString(a.conn, "more bytes that are no answer")
		sent <- struct{}{}
		return true
	})
	b := newBench(t, route(catalog.Unsafe, 1), a)
	is.Equal(b.do("POST", "one", "x").status, 200)
	<-sent
	is.Equal(b.do("POST", "two", "x").status, 200)
	is.Equal(a.last().number, 1) // a new connection
}

func TestUnsafeRequestsRunAtMostOnceAndGetNoFalse503(t *testing.T) {
	failures := map[string]behaviour{
		"reset":   func(arrival) bool { return false },
		"garbage": func(a arrival) bool { _, _ = io.WriteString(a.conn, "\x00\x01 what\r\n\r\n"); return false },
		"foreign": func(a arrival) bool {
			_, _ = io.WriteString(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return false
		},
		"cut short": func(a arrival) bool { a.answer(200, "x", "Content-Length: 100"); return false },
		"half of the body": func(a arrival) bool {
			_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", testID, a.name())
			return false
		},
	}
	for name, act := range failures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, c := newReplica(t, "a", act), newReplica(t, "c", act)
			b := newBench(t, route(catalog.Unsafe, 3), a, c)
			got := b.do("POST", "one", "x")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.header.Get(testStamp), "")
			is.Equal(a.count()+c.count(), 1)
		})
	}
}

func TestSafeRequestsAreTriedElsewhere(t *testing.T) {
	failures := map[string]behaviour{
		"reset": func(arrival) bool { return false },
		"cut short": func(a arrival) bool {
			_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", testID, a.name())
			return false
		},
		"failure": func(a arrival) bool { a.answer(500, "broken"); return true },
		"not run": notRunning,
	}
	for name, act := range failures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The replica that is tried first fails, the other one responds.
			first := make(chan struct{}, 1)
			once := func(a arrival) bool {
				select {
				case first <- struct{}{}:
					return act(a)
				default:
					return whole(a)
				}
			}
			a, c := newReplica(t, "a", once), newReplica(t, "c", once)
			b := newBench(t, route(catalog.Safe, 2), a, c)
			got := b.do("GET", "one", "")
			is.Equal(got.status, 200)
			is.Equal(a.count()+c.count(), 2)
			is.True(strings.HasPrefix(got.body, "answer to one by"))
		})
	}
}

func TestRejectedRequestIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	a, c := newReplica(t, "a", notRunning), newReplica(t, "c", notRunning)
	b := newBench(t, route(catalog.Unsafe, 1), a, c)
	got := b.do("POST", "one", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(got.header.Get(testStamp), "")
	is.Equal(a.count()+c.count(), 2) // one attempt at each
}

func TestAReplicasOwnFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", func(a arrival) bool { a.answer(500, "broken"); return true })
	b := newBench(t, route(catalog.Unsafe, 1), a)
	got := b.do("POST", "one", "x")
	is.Equal(got.status, 500)
	is.Equal(got.body, "broken")
	is.Equal(got.header.Get(testStamp), "a.one")
}

func TestNoReachableReplicaIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Unsafe, 1))
	got := b.do("POST", "one", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

func TestAnUnknownRouteAndAnUnknownConfigurationDiffer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Unsafe, 1))
	request, _ := http.NewRequest("GET", b.server.URL+"/elsewhere", nil)
	request.Host = "h.example"
	response, err := b.server.Client().Do(request)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusNotFound)
	b.handler.table.Store(nil)
	response, err = b.server.Client().Do(request)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}

func TestAnUnreachableReplicaCostsNothing(t *testing.T) {
	is := is.New(t)
	dead, alive := newReplica(t, "dead", whole), newReplica(t, "alive", whole)
	_ = dead.listener.Close()
	b := newBench(t, route(catalog.Unsafe, 1), dead, alive)
	for i := range 8 {
		is.Equal(b.do("POST", fmt.Sprint("n", i), "x").status, 200)
	}
	is.Equal(alive.count(), 8)
}

func TestAnAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", func(a arrival) bool {
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nall of it", testID, a.name())
		return false
	})
	b := newBench(t, route(catalog.Unsafe, 1), a)
	got := b.do("POST", "one", "x")
	is.NoErr(got.err)
	is.Equal(got.body, "all of it")
}

func TestAnEarlyAnswerDoesNotSpoilTheNextRequest(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", func(a arrival) bool { a.answer(413, "too long"); return true })
	a.early = true
	b := newBench(t, route(catalog.Unsafe, 1), a)
	long := strings.Repeat("long ", 400_000)
	is.Equal(b.do("POST", "one", long).status, 413)
	is.Equal(b.do("POST", "two", "short").status, 413)
	is.Equal(a.last().request.ContentLength, int64(len("short")))
}

func streaming(events int) behaviour {
	return func(a arrival) bool {
		a.head()
		for id := 1; id <= events; id++ {
			a.event(id)
		}
		a.endStream()
		return true
	}
}

// breaking breaks the stream off in the middle of the event after the given one.
func breaking(after int) behaviour {
	return func(a arrival) bool {
		a.head()
		for id := 1; id <= after; id++ {
			a.event(id)
		}
		a.chunk(fmt.Sprintf("id: %d\nda", after+1))
		return false
	}
}

func events(body string) []string {
	var ids []string
	for _, line := range strings.Split(body, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestStreamsPassWhole(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "a", streaming(3)))
	got := b.do("POST", "one", "x")
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2", "3"})
	is.Equal(got.header.Get(testStamp), "a.one")
}

func TestEventsComeBeforeTheStreamEnds(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "a", func(a arrival) bool {
		a.head()
		a.event(1)
		<-next
		a.event(2)
		a.endStream()
		return true
	}))
	request, _ := http.NewRequest("POST", b.server.URL+"/p/", strings.NewReader("x"))
	request.Host = "h.example"
	request.Header.Set(testID, "one")
	response, err := b.server.Client().Do(request)
	is.NoErr(err)
	first := make([]byte, 6)
	_, err = io.ReadFull(response.Body, first)
	is.NoErr(err)
	is.Equal(string(first), "id: 1\n")
	close(next)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
}

func TestABrokenStreamNeverLooksComplete(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", breaking(2))
	b := newBench(t, route(catalog.Streaming, 3), a, newReplica(t, "c", breaking(2)))
	got := b.do("POST", "one", "x")
	is.True(got.err != nil)
	is.Equal(events(got.body), []string{"1", "2"}) // and no partial event
}

func TestAResumableStreamGoesOnElsewhereInTheSameAnswer(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Streaming, 2)
	r.Resumable = true
	once := make(chan struct{}, 1)
	act := func(a arrival) bool {
		select {
		case once <- struct{}{}:
			return breaking(2)(a)
		default:
		}
		a.head()
		after, _ := strconv.Atoi(a.request.Header.Get(testAfter))
		for id := after + 1; id <= 4; id++ {
			a.event(id)
		}
		a.endStream()
		return true
	}
	a, c := newReplica(t, "a", act), newReplica(t, "c", act)
	b := newBench(t, r, a, c)
	got := b.do("POST", "one", "x")
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2", "3", "4"})
	is.Equal(a.count(), 1)
	is.Equal(c.count(), 1)
}

func TestAReplicaStopsWhenItsClientLeaves(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Streaming} {
		t.Run(string(kind), func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			a := newReplica(t, "a", func(a arrival) bool {
				if kind == catalog.Streaming {
					a.head()
					a.event(1)
				}
				arrived <- struct{}{}
				return true // it keeps working without a response
			})
			b := newBench(t, route(kind, 1), a)
			ctx, cancel := context.WithCancel(context.Background())
			go b.doIn(ctx, "POST", "one", "x")
			<-arrived
			cancel()
			<-a.gone // the connection was closed long before the deadline
		})
	}
}

func TestRequestThatMayHaveRunTimesOutWith504(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "a", func(arrival) bool { return true }))
	got := b.do("POST", "one", "x", testDeadline+": 150")
	is.Equal(got.status, http.StatusGatewayTimeout)
}

func TestALeavingReplicaGetsNothingMore(t *testing.T) {
	is := is.New(t)
	a, c := newReplica(t, "a", whole), newReplica(t, "c", whole)
	b := newBench(t, route(catalog.Unsafe, 1), a, c)
	is.Equal(b.do("POST", "one", "x").status, 200)
	record := registry.Record{ID: "a", Service: "s", Address: a.listener.Addr().String(), Zone: "z", Draining: true}
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}, {Record: registry.Record{ID: "c", Service: "s", Address: c.listener.Addr().String(), Zone: "z"}}}})
	before := a.count()
	for i := range 20 {
		is.Equal(b.do("POST", fmt.Sprint("n", i), "x").status, 200)
	}
	is.Equal(a.count(), before)
}

func TestAMissingModelIsAskedForAndRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "a", whole))
	is.Equal(b.do("POST", "one", "x", testModel+": m").status, 200)
	got := b.do("POST", "two", "x", testModel+": rare", testDeadline+": 100")
	is.Equal(got.status, http.StatusServiceUnavailable)
	missing := 0
	for _, asked := range b.demand.Drain() {
		if asked.Model == "rare" {
			missing = asked.Missing
		}
	}
	is.Equal(missing, 1)
}
