package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// newLoneSite has a replica that alone holds a model. The run there goes on until it is stopped, or ends by itself.
func newLoneSite(t *testing.T, r catalog.Route, otherZones ...string) (s *copySite, stop chan struct{}) {
	s = newCopySiteIn(t, r, append([]string{"z"}, otherZones...)...)
	stop = make(chan struct{})
	s.source = func(a arrival) int {
		writeEvents(a, 1, 2)
		select {
		case <-stop:
			return 2
		case <-time.After(500 * time.Millisecond):
			return writeEvents(a, 3, copyEvents)
		}
	}
	s.stopped = func(a arrival) bool {
		close(stop)
		a.answer(http.StatusServiceUnavailable, "h2")
		return true
	}
	s.listLone(false)
	return s, stop
}

// listLone lists the first replica with a model that the other one does not hold.
func (s *copySite) listLone(draining bool) {
	s.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{
		{Record: registry.Record{ID: "x", Service: "s", Address: s.replicas[0].listener.Addr().String(), Zone: "z", Slots: 4, SoftwareVersion: "v1", Draining: draining, Models: []registry.Held{{Name: "m"}, {Name: "alone"}}}},
	}})
}

func (s *copySite) askLone() clientResponse {
	got := s.do("POST", "one", "x", testModel+": alone")
	s.awaitHandlers()
	return got
}

func (s *copySite) count(step string) int {
	n := 0
	for _, taken := range s.taken() {
		if taken == step {
			n++
		}
	}
	return n
}

// The memory of a run holds its prompt.
func TestTheMemoryOfARunIsNotOfferedOutOfItsRegions(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Streaming, 1)
	r.Regions = []string{"here"}
	s, _ := newLoneSite(t, r, "far")
	s.fleet.SetRegions(map[string]string{"z": "here", "far": "there"})
	got := s.askLone()
	is.Equal(events(got.body), allEvents())
	is.Equal(s.count("stop"), 0)
}

// A run that was stopped can't go on once the retry budget is spent.
func TestARunIsNotStoppedWithoutARetryToGoOn(t *testing.T) {
	is := is.New(t)
	s, _ := newLoneSite(t, route(catalog.Streaming, 1), "z")
	for s.handler.budgets.get("s").Take(time.Now(), 1) {
	}
	got := s.askLone()
	is.Equal(events(got.body), allEvents())
	is.Equal(s.count("stop"), 0)
}

func TestARunThatIsNotStoppedTakesNoRetry(t *testing.T) {
	is := is.New(t)
	s, _ := newLoneSite(t, route(catalog.Streaming, 1), "z")
	s.stopped = func(a arrival) bool { a.answer(http.StatusServiceUnavailable, ""); return true }
	s.askLone()
	is.Equal(s.count("stop"), 1)
	is.Equal(total(s.handler.budgets.get("s").repeats[:]), 0.0)
}

// A replica that leaves takes no requests, so that a run that was stopped there could not go on.
func TestARunIsNotStoppedAtAReplicaThatTakesNoRequests(t *testing.T) {
	is := is.New(t)
	s, _ := newLoneSite(t, route(catalog.Streaming, 1), "z")
	s.replicas[0].setAct(func(a arrival) bool { s.listLone(true); return s.serve(a) })
	got := s.askLone()
	is.Equal(events(got.body), allEvents())
	is.Equal(s.count("stop"), 0)
}

// Nothing may be added to a stream whose writer is not known, nor to one whose replica may be gone.
func TestARunThatCouldNotGoOnIsNotStopped(t *testing.T) {
	for name, prevent := range map[string]func(s *copySite){
		"a later start may have written it": func(s *copySite) {
			peer := s.fleet.Peer("x")
			peer.mu.Lock()
			defer peer.mu.Unlock()
			peer.doubtedFrom = time.Unix(1, 0)
		},
		"its replica is not listed": func(s *copySite) {
			s.fleet.SetReplicas(registry.Changes{Removed: []string{"x"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newLoneSite(t, route(catalog.Streaming, 1), "z")
			s.replicas[0].setAct(func(a arrival) bool { prevent(s); return s.serve(a) })
			got := s.askLone()
			is.Equal(events(got.body), allEvents())
			is.Equal(s.count("stop"), 0)
		})
	}
}

// The reply to the order to stop waits for the moves before it, while the stream has ended.
func TestARunWhoseOrderToStopIsAnsweredLateGoesOn(t *testing.T) {
	is := is.New(t)
	s, stop := newLoneSite(t, route(catalog.Streaming, 1), "z")
	s.stopped = func(a arrival) bool {
		close(stop)
		time.Sleep(2*stopRunTimeout + 700*time.Millisecond)
		a.answer(http.StatusOK, "h2")
		return true
	}
	got := s.askLone()
	is.NoErr(got.err)
	is.Equal(events(got.body), allEvents())
	is.Equal(s.count("stop"), 1)
}

// Nobody could free a copy whose name was not read.
func TestACopyThatIsMadeAfterItsClientHasLeftIsFreed(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, route(catalog.Streaming, 1))
	hold := make(chan struct{})
	s.source = func(a arrival) int {
		writeEvents(a, 1, 1)
		<-hold
		return 1
	}
	s.copied = func(a arrival) bool {
		time.Sleep(100 * time.Millisecond)
		a.answer(http.StatusOK, "h1")
		return true
	}
	ctx, leave := context.WithTimeout(context.Background(), time.Second)
	defer leave()
	go func() {
		s.await("copy")
		leave()
	}()
	s.doIn(ctx, "POST", "one", "x", testModel+": m")
	close(hold)
	s.awaitHandlers()
	is.True(s.await("drop h1"))
}

// A run is not offered to its own replica.
func TestAnOrderToStopOffersTheRunToAReplicaOfItsService(t *testing.T) {
	is := is.New(t)
	s, stop := newLoneSite(t, route(catalog.Streaming, 1), "z")
	var offered string
	s.stopped = func(a arrival) bool {
		offered = a.body
		close(stop)
		a.answer(http.StatusServiceUnavailable, "h2")
		return true
	}
	got := s.askLone()
	is.NoErr(got.err)
	is.True(strings.Contains(offered, s.replicas[1].listener.Addr().String()))
}

// An order whose reply is lost may have been taken.
func TestAnOrderToStopWithoutAReplyIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s, stop := newLoneSite(t, route(catalog.Streaming, 1), "z", "z")
	s.stopped = func(arrival) bool { close(stop); return false }
	is.True(s.askLone().err != nil) // the stream looks complete
	is.Equal(s.count("stop"), 1)
}

// One replica without room broke off all streams without framing.
func TestACopyThatOneReplicaRefusesIsOfferedToAnother(t *testing.T) {
	is := is.New(t)
	s := newCopySiteIn(t, route(catalog.Streaming, 1), "z", "z", "z")
	refused := false
	s.copied = func(a arrival) bool {
		if !refused {
			refused = true
			a.answer(http.StatusServiceUnavailable, "")
			return true
		}
		a.answer(http.StatusOK, "h1")
		return true
	}
	got := s.ask("HTTP/1.1")
	is.NoErr(got.err)
	is.Equal(events(got.body), allEvents())
	is.Equal(s.count("copy"), 2)
}

func TestARestIsNotAskedForBeyondTheRetryBudgetOrAtAReplicaThatLeaves(t *testing.T) {
	for name, change := range map[string]func(s *copySite, source string){
		"budget": func(s *copySite, _ string) {
			for s.handler.budgets.get("s").Take(time.Now(), 1) {
			}
		},
		"leaves": func(s *copySite, source string) {
			for _, f := range s.replicas {
				f.draining = f.id != source
			}
			s.register(s.replicas...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCopySite(t, route(catalog.Streaming, 1))
			s.stopped = func(a arrival) bool {
				change(s, a.replica)
				a.answer(http.StatusNotFound, "")
				return true
			}
			got := s.ask("HTTP/1.1")
			is.True(got.err != nil) // the stream looks complete
			is.True(s.await("drop h1"))
			is.Equal(s.taken(), []string{"run", "copy", "stop", "drop h1"})
		})
	}
}

// Each replica of the service got a copy of a stream that none of them frames, and took a retry of the budget.
func TestAStreamWithoutFramingDoesNotGoThroughAllReplicas(t *testing.T) {
	is := is.New(t)
	s := newCopySiteIn(t, route(catalog.Streaming, 1), "z", "z", "z", "z", "z", "z", "z", "z")
	s.source = func(a arrival) int { return writeEvents(a, 1, 1) }
	s.rest = func(a arrival) bool {
		after, _ := strconv.Atoi(a.request.Header.Get(testAfter))
		return unframed(http.StatusOK, fmt.Sprintf("id: %d\ndata: 1\n\n", after+1), false)(a)
	}
	is.True(s.ask("HTTP/1.1").err != nil) // the stream looks complete
	arrivals := 0
	for _, f := range s.replicas {
		arrivals += f.count()
	}
	is.Equal(arrivals, maxSends)
	is.Equal(s.count("copy"), maxSends-1)
}
