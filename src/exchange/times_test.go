package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// doSlowly sends a request whose body of two bytes takes the given time, on a connection of its own. meanwhile
// is called right before the last byte.
func (b *bench) doSlowly(over time.Duration, meanwhile func(), name string, headers ...string) clientResponse {
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	if err != nil {
		return clientResponse{err: err}
	}
	defer conn.Close()
	head := "POST /p/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n" + testID + ": " + name + "\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\na"); err != nil {
		return clientResponse{err: err}
	}
	time.Sleep(over)
	meanwhile()
	if _, err := io.WriteString(conn, "b"); err != nil {
		return clientResponse{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(read), err: err}
}

// TestARequestFollowsTheConfigurationThatIsActiveAsItsBodyEnds: a request whose body took seconds was handled by the
// configuration that was active as its head arrived, however old that was by then.
func TestARequestFollowsTheConfigurationThatIsActiveAsItsBodyEnds(t *testing.T) {
	const bodyTime = time.Second
	changes := []struct {
		name   string
		change func(*catalog.Document)
		status int
		// by is the replica that the request is to run at, "" for none.
		by string
	}{
		{"none", func(*catalog.Document) {}, http.StatusOK, "old"},
		{"another service", func(d *catalog.Document) { d.Routes[0].Splits[0].Service = "other" }, http.StatusOK, "new"},
		{"the route is dropped", func(d *catalog.Document) { d.Routes[0].Prefix = "/q/" }, http.StatusNotFound, ""},
		{"keys are required", func(d *catalog.Document) { d.KeysRequired = true }, http.StatusUnauthorized, ""},
		{"a shorter body", func(d *catalog.Document) { d.Limits.BodyBytes = 1 }, http.StatusRequestEntityTooLarge, ""},
		{"less time", func(d *catalog.Document) { d.Routes[0].Timeout = bodyTime + 500*time.Millisecond }, http.StatusOK, "old"},
	}
	for _, test := range changes {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			replicas := map[string]*fakeReplica{"old": newReplica(t, "old", whole), "new": newReplica(t, "new", whole)}
			r := route(catalog.Unsafe, 1)
			b := newBench(t, r, replicas["old"])
			b.handler.options.Admission = granting().admission()
			b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "new", Service: "other", Address: replicas["new"].listener.Addr().String(), Zone: "z", Slots: 4}}}})
			newer := catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Unsafe, 1)}, Services: append(testServices(), catalog.Service{Name: "other"})}
			test.change(&newer)
			got := b.doSlowly(bodyTime, func() { b.handler.SetTable(catalog.NewTable(newer)) }, "one")
			is.NoErr(got.err)
			is.Equal(got.status, test.status)
			for id, replica := range replicas {
				if id != test.by {
					is.Equal(replica.count(), 0)
					continue
				}
				is.Equal(replica.count(), 1)
				left, err := strconv.Atoi(replica.last().request.Header.Get(testDeadline))
				is.NoErr(err)
				is.True(time.Duration(left)*time.Millisecond <= newer.Routes[0].Timeout-bodyTime)
			}
		})
	}
}

// TestARequestWithALongBodyCountsForItsOwnRepeat: it was counted in the window of the retry budget in which its head
// arrived, which was over as its body ended, so that it was not sent again.
func TestARequestWithALongBodyCountsForItsOwnRepeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var arrived atomic.Int64
	rejectFirst := func(a arrival) bool {
		if arrived.Add(1) == 1 {
			return notRunning(a)
		}
		return whole(a)
	}
	b := newBench(t, route(catalog.Safe, 3), newReplica(t, "x", rejectFirst), newReplica(t, "y", rejectFirst))
	b.handler.budgets = newBudgets(BudgetLimits{Ratio: 1 / ratioSpendShare, Window: time.Second})
	got := b.doSlowly(1500*time.Millisecond, func() {}, "one")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(arrived.Load(), int64(2))
}

// TestAForwardedRequestWithALongBodyIsNotCounted: what was withdrawn from the retry budget was the count of another
// request or none, as the request's head had arrived earlier than it was counted.
func TestAForwardedRequestWithALongBodyIsNotCounted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newForwardNet(t, route(catalog.Unsafe, 1), 1, newReplica(t, "a", whole), newReplica(t, "b", whole))
	budget := n.handler.budgets.get("s")
	got := n.doSlowly(time.Second, func() { budget.Request(time.Now()) }, "one")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(n.taken(), 1)
	is.Equal(total(budget.requests[:]), 1.0) // the other request
}

// TestALongBodyLeavesTimeToWait: the waits of a request counted from its head, so that one whose body had taken longer
// was refused for the shortest wait, and its client had to send the whole body again.
func TestALongBodyLeavesTimeToWait(t *testing.T) {
	const (
		target   = 500 * time.Millisecond
		bodyTime = 2200 * time.Millisecond
		// shortWait is shorter than each of the waits.
		shortWait = 40 * time.Millisecond
	)
	for _, wait := range []struct {
		name    string
		model   string
		prepare func(b *bench)
	}{
		{"the end of a backoff", "m", func(b *bench) { b.fleet.applyReply(b.fleet.Peer("x"), &Reply{Backoff: shortWait}) }},
		{"a slot", "", func(b *bench) {
			b.handler.SetGateways(100)
			b.handler.options.Slots.Request = func(_ context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
				if request.TimeLeft() < shortWait {
					return wire.PlaceReply{Known: true, RetryMS: 1}, nil
				}
				return wire.PlaceReply{Known: true, Replica: "x", Ticket: 1}, nil
			}
			b.handler.options.Slots.Release = func(wire.PlaceRelease) {}
		}},
		{"a place", "m", func(b *bench) {
			b.fill()
			b.handler.options.Places.Request = func(_ context.Context, request wire.QueueRequest) (wire.QueueReply, error) {
				if request.TargetMS < shortWait.Milliseconds() {
					return wire.QueueReply{Known: true, RetryMS: 1}, nil
				}
				return wire.QueueReply{Known: true, Replica: "x", Owner: "o"}, nil
			}
			b.handler.options.Places.Release = func(wire.QueuePlace) {}
		}},
		{"a permit", "m", func(b *bench) {
			b.fleet.Peer("x").markCold(b.fleet.bootNow(), endlessWait)
			b.handler.options.Permits.Request = func(_ context.Context, request wire.PermitRequest) (wire.PermitReply, error) {
				return wire.PermitReply{Known: true, Granted: request.WithinMS >= shortWait.Milliseconds(), WaitUS: shortWait.Microseconds()}, nil
			}
		}},
		{"prompts to be read", "m", func(b *bench) { b.fleet.Peer("x").startRequest(shortWait) }},
		{"a model that is being loaded", "n", func(b *bench) {
			b.expectCopy(1, "n", shortWait)
			time.AfterFunc(shortWait, func() {
				b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 2, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
			})
		}},
		{"a model that may be loaded", "n", func(b *bench) {
			time.AfterFunc(shortWait, func() {
				b.fleet.SetHoldings(&wire.Holdings{Term: 1, Version: 1, Copies: []wire.Holding{{Replica: "x", Model: "n"}}})
			})
		}},
	} {
		t.Run(wait.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newReplica(t, "x", whole)
			r := route(catalog.Unsafe, 1)
			r.Target, r.Timeout = target, 10*time.Second
			b := newBench(t, r, x)
			b.fleet.firstReplicaAt.Store(1)
			got := b.doSlowly(bodyTime, func() { wait.prepare(b) }, "one", testModel+": "+wait.model)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(x.count(), 1)
		})
	}
}

// TestAWaitAfterALongBodyEndsBeforeTheDeadline: a refusal that arrives later than its client waits tells it nothing.
func TestAWaitAfterALongBodyEndsBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	head := time.Unix(1_800_000_000, 0)
	c := &call{startedAt: head, deadline: head.Add(3 * time.Second)}
	is.Equal(c.waitEnd(time.Second, time.Second/2), head.Add(time.Second)) // the body has not been read
	c.receivedAt = head.Add(100 * time.Millisecond)
	is.Equal(c.waitEnd(time.Second, time.Second/2), head.Add(time.Second))
	c.receivedAt = head.Add(2 * time.Second)
	is.Equal(c.waitEnd(time.Second, time.Second/2), head.Add(2500*time.Millisecond))
	c.receivedAt = head.Add(2900 * time.Millisecond)
	is.Equal(c.waitEnd(time.Second, time.Second/2), c.deadline.Add(-placeReplyMargin))
}

// pieces sends an event every 10 ms until the time that the replica was given is over, then it stops.
func pieces(a arrival) bool {
	ms, _ := strconv.Atoi(a.request.Header.Get(testDeadline))
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	a.head()
	for id := 1; time.Now().Before(until); id++ {
		a.event(id)
		time.Sleep(min(10*time.Millisecond, time.Until(until)))
	}
	return false
}

// silentUntilClosed answers nothing.
func silentUntilClosed(a arrival) bool {
	_, _ = io.Copy(io.Discard, a.conn)
	return false
}

// assertNotBlamed checks that the gateway does not hold the end of a request against its replicas.
func (b *bench) assertNotBlamed(is *is.I) {
	b.t.Helper()
	b.awaitHandlers()
	for _, peer := range b.fleet.peers {
		peer.mu.Lock()
		is.Equal(peer.failureShare, 0.0)
		is.True(peer.ejected.IsZero())
		peer.mu.Unlock()
	}
}

// TestAStreamUnderWayLastsUntilItsDeadline: its replica was told to stop 20 ms earlier, and 40 ms if it was
// forwarded, and was then avoided as one that breaks streams off.
func TestAStreamUnderWayLastsUntilItsDeadline(t *testing.T) {
	const timeout = 600 * time.Millisecond
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprint("forwarded ", forwarded), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := route(catalog.Streaming, 1)
			r.Timeout = timeout
			replicas := []*fakeReplica{newReplica(t, "a", pieces), newReplica(t, "b", pieces)}
			b := newBench(t, r, replicas...)
			sender := b
			if forwarded {
				n := newForwardNet(t, r, 1, replicas...)
				n.loseLinks()
				b, sender = n.bench, n.others[0].bench
			}
			began := time.Now()
			got := b.do("POST", "one", "x")
			lasted := time.Since(began)
			is.True(got.err != nil) // broken off
			is.Equal(got.status, http.StatusOK)
			is.True(lasted >= timeout)
			is.True(lasted < timeout+200*time.Millisecond)
			sender.assertNotBlamed(is)
		})
	}
}

// TestAStreamThatHasNotBegunIsRefusedBeforeItsDeadline: the refusal was sent as the deadline had passed.
func TestAStreamThatHasNotBegunIsRefusedBeforeItsDeadline(t *testing.T) {
	const timeout = 600 * time.Millisecond
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprint("forwarded ", forwarded), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := route(catalog.Streaming, 1)
			r.Timeout = timeout
			replicas := []*fakeReplica{newReplica(t, "a", silentUntilClosed), newReplica(t, "b", silentUntilClosed)}
			b := newBench(t, r, replicas...)
			sender := b
			if forwarded {
				n := newForwardNet(t, r, 1, replicas...)
				n.loseLinks()
				b, sender = n.bench, n.others[0].bench
			}
			began := time.Now()
			got := b.do("POST", "one", "x")
			lasted := time.Since(began)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusGatewayTimeout)
			is.True(lasted < timeout)
			sender.assertNotBlamed(is)
			if forwarded {
				to := b.handler.gatewayList.pick(time.Now(), "s", nil, func(string) bool { return true })
				is.True(to != nil) // the gateway is not avoided
				to.mu.Lock()
				is.Equal(to.failureShare, 0.0)
				to.mu.Unlock()
			}
		})
	}
}

// TestABodyThatStillComesAtTheDeadlineIsRefused: its client was answered once it had sent all of it, seconds later, or
// with 400 after the longest time for a body, as if the request were wrong.
func TestABodyThatStillComesAtTheDeadlineIsRefused(t *testing.T) {
	for name, length := range bodyLengths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newReplica(t, "x", whole)
			b := newBench(t, route(catalog.Unsafe, 1), x)
			began := time.Now()
			s := b.begin(length, "one", testDeadline+": 600")
			select {
			case got := <-s.answers:
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusRequestTimeout)
				is.True(got.closes)
				is.True(time.Since(began) < 600*time.Millisecond)
			case <-time.After(time.Second):
				t.Error("the client has no answer")
			}
			s.end()
			b.awaitHandlers()
			is.Equal(x.count(), 0)
		})
	}
}

// TestABodyThatIsNotReadInTimeIsNoWrongRequest: 400 tells clients not to send the request again.
func TestABodyThatIsNotReadInTimeIsNoWrongRequest(t *testing.T) {
	is := is.New(t)
	for err, status := range map[error]int{
		fmt.Errorf("read: %w", os.ErrDeadlineExceeded): http.StatusRequestTimeout,
		io.ErrUnexpectedEOF:                            http.StatusBadRequest,
	} {
		b := newBench(t, route(catalog.Unsafe, 1))
		response := httptest.NewRecorder()
		c := &call{handler: b.handler, writer: response, request: httptest.NewRequest("POST", "/p/x", nil)}
		c.refuseBody(err)
		is.Equal(response.Code, status)
	}
}

// headOnly sends a head and no event until its time is over.
func headOnly(a arrival) bool {
	ms, _ := strconv.Atoi(a.request.Header.Get(testDeadline))
	a.head()
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return false
}

// headSilent sends a head and nothing more.
func headSilent(a arrival) bool {
	a.head()
	_, _ = io.Copy(io.Discard, a.conn)
	return false
}

// TestAStreamWithoutAnEventIsRefusedBeforeItsDeadline: its client had no answer then, though the head had come.
func TestAStreamWithoutAnEventIsRefusedBeforeItsDeadline(t *testing.T) {
	const timeout = 600 * time.Millisecond
	for name, act := range map[string]behaviour{"stops itself": headOnly, "silent": headSilent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := route(catalog.Streaming, 1)
			r.Timeout = timeout
			b := newBench(t, r, newReplica(t, "a", act))
			began := time.Now()
			got := b.do("POST", "one", "x")
			lasted := time.Since(began)
			is.NoErr(got.err)
			is.True(lasted < timeout)
		})
	}
}
