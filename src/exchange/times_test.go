package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
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
