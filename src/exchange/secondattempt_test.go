package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// testOverdue is when the head of an overdueRoute is overdue, testSlowHead when a slow replica answers.
const (
	testOverdue  = time.Second
	testSlowHead = testOverdue + 500*time.Millisecond
)

// overdueRoute returns a route whose requests may be repeated.
func overdueRoute(kind catalog.Kind, attempts int) catalog.Route {
	r := route(kind, attempts)
	r.Resumable = kind == catalog.Streaming
	r.Target = testOverdue / 4
	return r
}

// overdueBench has replicas of which the one that gets a request first behaves in one way and the others in another.
type overdueBench struct {
	*bench
	replicas []*fakeReplica
	first    atomic.Pointer[string]
	arrived  atomic.Int64
}

func newOverdueBench(t *testing.T, r catalog.Route, n int, first, second behaviour) *overdueBench {
	o := &overdueBench{}
	for i := range n {
		o.replicas = append(o.replicas, newReplica(t, string(rune('x'+i)), func(a arrival) bool {
			o.arrived.Add(1)
			if o.first.CompareAndSwap(nil, &a.replica) {
				return first(a)
			}
			return second(a)
		}))
	}
	o.bench = newBench(t, r, o.replicas...)
	return o
}

// slowly answers after testSlowHead.
func slowly(answer behaviour) behaviour {
	return func(a arrival) bool {
		time.Sleep(testSlowHead)
		return answer(a)
	}
}

func streamOf(a arrival) bool {
	a.head()
	a.chunk("id: 1\ndata: " + a.replica + "\n\n")
	time.Sleep(50 * time.Millisecond)
	a.chunk("id: 2\ndata: " + a.replica + "\n\n")
	a.endStream()
	return true
}

// answerOf returns the behaviour that answers requests of a kind, and what a client gets from a replica.
func answerOf(kind catalog.Kind) (answer behaviour, want func(replica string) string) {
	if kind == catalog.Streaming {
		return streamOf, func(replica string) string {
			return "id: 1\ndata: " + replica + "\n\nid: 2\ndata: " + replica + "\n\n"
		}
	}
	return whole, func(replica string) string { return "answer to one by " + replica }
}

// TestAnAttemptGoesOnAsASecondOneEndsWithoutAnAnswer: an overdue request was given up at a sound replica, the next
// one turned it away, and its client got an error.
func TestAnAttemptGoesOnAsASecondOneEndsWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		second behaviour
	}{
		{"not run", notRunning},
		{"misdirected", func(a arrival) bool { a.answer(http.StatusMisdirectedRequest, "elsewhere"); return true }},
		{"a backoff", func(a arrival) bool { a.answer(503, "full", testNotRun+": 1", testBackoff+": 5000"); return true }},
		{"reset", func(arrival) bool { return false }},
		{"an error", func(a arrival) bool { a.answer(500, "failed"); return true }},
		{"an error that is not complete", func(a arrival) bool {
			_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 500 X\r\n%s: %s\r\nContent-Length: 9\r\n\r\npart", testID, a.name())
			time.Sleep(3 * time.Second)
			return false
		}},
		{"an error too long to keep", func(a arrival) bool {
			a.answer(500, strings.Repeat("x", maxBufferedBytes+2))
			return true
		}},
	} {
		for _, kind := range []catalog.Kind{catalog.Safe, catalog.Streaming} {
			t.Run(c.name+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				answer, want := answerOf(kind)
				o := newOverdueBench(t, overdueRoute(kind, 2), 2, slowly(answer), c.second)
				got := o.do("GET", "one", "")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, want(*o.first.Load()))
				is.Equal(o.arrived.Load(), int64(2))
			})
		}
	}
}

// quarantineContent makes the content of a request of the bench one that crashed replicas.
func (o *overdueBench) quarantineContent(method string) {
	content := quarantine.Content{Method: method, Host: "h.example", Target: "/p/x%2Fy?q=1&q=2"}
	for i := range quarantine.Threshold {
		o.handler.options.Tracker.AttributeFailure(time.Now(), replicaNamed(i), []quarantine.Request{{Content: content.Digest()}})
	}
}

// TestAnAttemptGoesOnAsASecondOneIsNotAllowed: an overdue request was given up at a sound replica, and must not be
// sent again.
func TestAnAttemptGoesOnAsASecondOneIsNotAllowed(t *testing.T) {
	setVerdict := func(_ *overdueBench, f *fakeAdmission, verdict wire.Admission) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.verdict = admission.Verdict{Admission: verdict, RetryAfter: time.Second}
	}
	for _, c := range []struct {
		name      string
		meanwhile func(o *overdueBench, f *fakeAdmission)
	}{
		{"the account's limit is spent", func(o *overdueBench, f *fakeAdmission) { setVerdict(o, f, wire.QuotaExhausted) }},
		{"nobody tells what the account has left", func(o *overdueBench, f *fakeAdmission) { setVerdict(o, f, wire.AdmissionUnknown) }},
		{"the key is revoked", func(o *overdueBench, _ *fakeAdmission) {
			o.handler.SetTable(keyedTable(2, overdueRoute(catalog.Safe, 2), "other"))
		}},
		{"the content is quarantined", func(o *overdueBench, _ *fakeAdmission) { o.quarantineContent("GET") }},
		{"the retry budget is spent", func(o *overdueBench, _ *fakeAdmission) {
			for o.handler.budgets.get("s").Take(time.Now(), 1) {
			}
		}},
		{"the other one backs off", func(o *overdueBench, _ *fakeAdmission) {
			for _, r := range o.replicas {
				o.fleet.Peer(r.id).backoffState.backOff(time.Now(), time.Minute, 0)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := granting()
			var o *overdueBench
			first := slowly(whole)
			o = newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, func(a arrival) bool {
				c.meanwhile(o, f)
				return first(a)
			}, whole)
			o.handler.options.Admission = f.admission()
			key := []string{}
			if c.name != "the content is quarantined" {
				o.handler.SetTable(keyedTable(1, overdueRoute(catalog.Safe, 2), "k"))
				key = append(key, testKey+": k")
			}
			got := o.do("GET", "one", "", key...)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "answer to one by "+*o.first.Load())
			is.Equal(o.arrived.Load(), int64(1))
			o.awaitHandlers()
			is.Equal(o.repeats() > 0, c.name == "the retry budget is spent")
		})
	}
}

// TestTheAnswerIsOfOneAttempt: both attempts answer at about the same time.
func TestTheAnswerIsOfOneAttempt(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Streaming} {
		for _, late := range []time.Duration{0, 1, 2, 3, 5, 8, 20} {
			t.Run(fmt.Sprint(kind, " ", late), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				answer, want := answerOf(kind)
				o := newOverdueBench(t, overdueRoute(kind, 2), 2, func(a arrival) bool {
					time.Sleep(testOverdue + late*time.Millisecond)
					return answer(a)
				}, answer)
				got := o.do("GET", "one", "")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(got.body == want("x") || got.body == want("y"))
				o.awaitHandlers()
				for _, r := range o.replicas {
					is.Equal(o.fleet.Peer(r.id).underWay(), 0)
				}
			})
		}
	}
}

// TestTheFirstAttemptIsAbortedAsTheSecondOneAnswers: nobody waits for its answer any more.
func TestTheFirstAttemptIsAbortedAsTheSecondOneAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, func(arrival) bool { return true }, whole)
	begun := time.Now()
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(got.body != "answer to one by "+*o.first.Load())
	is.True(time.Since(begun) < testSlowHead)
	for _, r := range o.replicas {
		if r.id == *o.first.Load() {
			select {
			case <-r.gone:
			case <-time.After(10 * abortGrace):
				t.Fatal("the connection of the first attempt stays open")
			}
		}
	}
}

// TestAtMostTwoAttemptsRunAtOnce: each silent replica would cost a further run.
func TestAtMostTwoAttemptsRunAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var silent atomic.Int64
	act := func(a arrival) bool {
		silent.Add(1)
		time.Sleep(2500 * time.Millisecond)
		return whole(a)
	}
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 4), 4, act, act)
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(silent.Load(), int64(2))
}

// TestAThirdAttemptFollowsOneThatWasTurnedAway: a second attempt that did not run was the last one.
func TestAThirdAttemptFollowsOneThatWasTurnedAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var turnedAway atomic.Bool
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 3, func(arrival) bool { return true }, func(a arrival) bool {
		if turnedAway.CompareAndSwap(false, true) {
			return notRunning(a)
		}
		return whole(a)
	})
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(o.arrived.Load(), int64(3))
}

// TestTheSecondAttemptGoesOnAsTheFirstOneEnds: the first replica turns the request away, or breaks off, once the
// second one has it.
func TestTheSecondAttemptGoesOnAsTheFirstOneEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		first behaviour
	}{
		{"not run", notRunning},
		{"reset", func(arrival) bool { return false }},
		{"an error", func(a arrival) bool { a.answer(500, "failed"); return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, slowly(c.first), func(a arrival) bool {
				time.Sleep(testOverdue)
				return whole(a)
			})
			got := o.do("GET", "one", "")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(o.arrived.Load(), int64(2))
		})
	}
}

// TestASecondAttemptAtALaterStart: the second replica is the first one under a new start.
func TestASecondAttemptAtALaterStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		second behaviour
	}{
		{"it answers", whole},
		{"it turns the request away", notRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			earlier := registry.Record{ID: "x@1", Name: "x", StartedMS: 1, Service: "s", Zone: "z", SoftwareVersion: "v1", Slots: 4}
			later := earlier
			later.ID, later.StartedMS = "x@2", 2
			var o *overdueBench
			first := slowly(whole)
			o = newOverdueBench(t, overdueRoute(catalog.Safe, 2), 1, func(a arrival) bool {
				o.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: later}, {Record: earlier, Replaced: true}}})
				return first(a)
			}, c.second)
			address := o.replicas[0].listener.Addr().String()
			earlier.Address, later.Address = address, address
			o.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: earlier}}, Removed: []string{"x"}})
			got := o.do("GET", "one", "")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "answer to one by x")
			is.Equal(o.arrived.Load(), int64(2))
		})
	}
}

// TestBothAttemptsAreAbortedAsTheirClientLeaves: replicas went on for nobody.
func TestBothAttemptsAreAbortedAsTheirClientLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	silent := func(arrival) bool { return true }
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, silent, silent)
	ctx, leave := context.WithTimeout(context.Background(), testSlowHead)
	defer leave()
	is.True(o.doIn(ctx, "GET", "one", "").err != nil)
	for _, r := range o.replicas {
		select {
		case <-r.gone:
		case <-time.After(10 * abortGrace):
			t.Fatal("a connection stays open")
		}
	}
	is.Equal(o.arrived.Load(), int64(2))
	o.awaitHandlers()
}

// TestARequestWithTwoAttemptsIsCutOffOnce: a stopping gateway ends both, and the client is answered.
func TestARequestWithTwoAttemptsIsCutOffOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	silent := func(arrival) bool { return true }
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, silent, silent)
	time.AfterFunc(testSlowHead, func() {
		o.handler.Stop()
		o.handler.CutOff()
	})
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(o.arrived.Load(), int64(2))
	o.awaitHandlers()
}

// TestAnOverdueRequestIsRepeatedWhileItsGatewayStops: it may have run, so it could not be refused either.
func TestAnOverdueRequestIsRepeatedWhileItsGatewayStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var o *overdueBench
	o = newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, func(arrival) bool {
		o.handler.Stop()
		o.handler.RefuseBeyond(time.Now(), time.Now().Add(testSlowHead))
		return true
	}, whole)
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
}

// TestAnAttemptGoesOnAsItsReplicaDrains: a replica that leaves goes on with what it has.
func TestAnAttemptGoesOnAsItsReplicaDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var o *overdueBench
	first := slowly(whole)
	o = newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, func(a arrival) bool {
		for _, r := range o.replicas {
			if r.id == a.replica {
				r.draining = true
				o.register(r)
			}
		}
		return first(a)
	}, notRunning)
	got := o.do("GET", "one", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "answer to one by "+*o.first.Load())
}

// TestAForwardedAttemptGoesOnAsTheNextGatewayTurnsItAway: an overdue request was given up at a gateway whose replica
// was at work on it, and the next gateway did not take it.
func TestAForwardedAttemptGoesOnAsTheNextGatewayTurnsItAway(t *testing.T) {
	for _, c := range []struct {
		name   string
		second behaviour
	}{
		{"nothing sent", nil},
		{"not run", notRunning},
		{"reset", func(arrival) bool { return false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var n *forwardNet
			var arrived atomic.Int64
			x := newReplica(t, "x", func(a arrival) bool {
				if arrived.Add(1) > 1 {
					return c.second(a)
				}
				for _, g := range n.others {
					if g.taken.Load() == 0 && c.second == nil {
						g.handler.Stop()
					}
				}
				return slowly(whole)(a)
			})
			r := overdueRoute(catalog.Safe, 2)
			n = newForwardNet(t, r, 2, x)
			r.Attempts = 1
			for _, g := range n.others {
				g.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{r}, Services: testServices()}))
			}
			got := n.do("GET", "one", "")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "answer to one by x")
			is.Equal(n.others[0].taken.Load()+n.others[1].taken.Load(), int64(2))
		})
	}
}

// ledger gives slots and places, and counts how often each was given back.
type ledger struct {
	mu       sync.Mutex
	released map[string]int
}

// give records what is given.
func (l *ledger) give(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released[key] += 0
}

// giveBack records what is given back of what was given.
func (l *ledger) giveBack(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, given := l.released[key]; given {
		l.released[key]++
	}
}

// slots gives a slot at a replica that was not tried.
func (l *ledger) slots(replicas []*fakeReplica) Slots {
	var last atomic.Uint64
	return Slots{
		Request: func(_ context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
			for _, r := range replicas {
				if !slices.Contains(request.Tried, r.id) {
					ticket := last.Add(1)
					l.give(fmt.Sprint("slot ", ticket))
					return wire.PlaceReply{Known: true, Replica: r.id, Ticket: ticket}, nil
				}
			}
			return wire.PlaceReply{Known: true, RetryMS: 1}, nil
		},
		Release: func(release wire.PlaceRelease) { l.giveBack(fmt.Sprint("slot ", release.Ticket)) },
	}
}

// places gives a place at the best replica after a while.
func (l *ledger) places(after time.Duration) Places {
	return Places{
		Request: func(ctx context.Context, request wire.QueueRequest) (wire.QueueReply, error) {
			if !sleep(ctx, after) {
				return wire.QueueReply{}, ctx.Err()
			}
			l.give(fmt.Sprint("place ", request.ID))
			return wire.QueueReply{Known: true, Replica: request.Candidates[0].Replica}, nil
		},
		Release: func(place wire.QueuePlace) { l.giveBack(fmt.Sprint("place ", place.ID)) },
	}
}

// check reports whether each was given back once, and how many were given.
func (l *ledger) check() (given int, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	once = true
	for _, times := range l.released {
		once = once && times == 1
	}
	return len(l.released), once
}

// repeats returns how many repeats are taken from the retry budget.
func (o *overdueBench) repeats() float64 {
	budget := o.handler.budgets.get("s")
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return total(budget.repeats[:])
}

// TestTheGrantsOfTwoAttemptsThatDidNotRunAreReturned: the second one took the place of the first.
func TestTheGrantsOfTwoAttemptsThatDidNotRunAreReturned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := granting()
	o := newOverdueBench(t, overdueRoute(catalog.Safe, 2), 2, slowly(notRunning), slowly(notRunning))
	o.handler.options.Admission = f.admission()
	o.handler.SetTable(keyedTable(1, overdueRoute(catalog.Safe, 2), "k"))
	is.Equal(o.do("GET", "one", "", testKey+": k").status, http.StatusServiceUnavailable)
	o.awaitHandlers()
	is.Equal(o.arrived.Load(), int64(2))
	asked, returned := f.counts()
	is.Equal(asked, 2)
	is.Equal(returned, 2)
}

// randomEnd returns a behaviour that ends a request after a random time in one of the ways that a replica can, and
// counts those that were run.
func randomEnd(draw *rand.Rand, ran *atomic.Int64) behaviour {
	after := time.Duration(draw.IntN(700)) * time.Millisecond
	way := draw.IntN(6)
	return func(a arrival) bool {
		time.Sleep(after)
		switch way {
		case 0:
			return notRunning(a)
		case 1:
			ran.Add(1)
			return false
		case 2:
			ran.Add(1)
			a.answer(500, "failed")
			return true
		}
		ran.Add(1)
		return whole(a)
	}
}

// TestWhatAttemptsHoldIsGivenBackOnce: in any order of what happens to two attempts, each slot, place, grant, repeat and
// count of requests is given back exactly once, and a client gets the answer of one attempt.
func TestWhatAttemptsHoldIsGivenBackOnce(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	for trial := range uint64(48) {
		t.Run(fmt.Sprint(seed, " ", trial), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			draw := rand.New(rand.NewPCG(seed, trial))
			r := overdueRoute(catalog.Safe, 2+draw.IntN(2))
			r.Timeout, r.Target = 900*time.Millisecond, 100*time.Millisecond // overdue after 0.3 s
			var ran atomic.Int64
			o := newOverdueBench(t, r, 2+draw.IntN(2), randomEnd(draw, &ran), randomEnd(draw, &ran))
			f := granting()
			o.handler.options.Admission = f.admission()
			o.handler.SetTable(keyedTable(1, r, "k"))
			held := &ledger{released: map[string]int{}}
			model := "Unused: m"
			switch trial % 3 {
			case 0:
				o.handler.options.Slots = held.slots(o.replicas)
				o.handler.SetGateways(len(o.replicas)*4 + 1)
			case 1:
				o.handler.options.Places = held.places(time.Duration(draw.IntN(150)) * time.Millisecond)
				o.setSlots(4)
				o.fleet.loadReporters.add("s")
				for _, replica := range o.replicas {
					o.setRunning(replica.id, 4)
				}
				model = testModel + ": m"
			}
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			after := time.Duration(200+draw.IntN(600)) * time.Millisecond
			way := draw.IntN(4)
			switch way {
			case 0:
				time.AfterFunc(after, leave)
			case 1:
				time.AfterFunc(after, o.handler.CutOff)
			}
			got := o.doIn(ctx, "GET", "one", "", testKey+": k", model)
			o.awaitHandlers()
			leave()
			time.Sleep(r.Timeout) // for the replicas and the releases
			is.True(got.err == nil || way == 0)
			if got.status == http.StatusOK {
				is.True(strings.HasPrefix(got.body, "answer to one by ") && len(got.body) == len("answer to one by x"))
			}
			given, once := held.check()
			is.True(once)
			is.Equal(given > 0, trial%3 != 2)
			asked, returned := f.counts()
			arrived := int(o.arrived.Load())
			is.True(int(ran.Load()) <= asked-returned && asked-returned <= arrived)
			is.True(o.arrived.Load() <= 4)
			repeats := o.repeats()
			is.True(repeats <= float64(arrived)) // a last one may be taken for a retry that finds no replica
			for _, replica := range o.replicas {
				report, running := o.fleet.Peer(replica.id).report()
				is.True(!running)
				is.Equal(report.UnreadMS, 0)
			}
		})
	}
}
