package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/registry"
)

// newStartingBench returns a bench whose gateway has no configuration and no replicas yet.
func newStartingBench(t *testing.T, now func() time.Time) *bench {
	b := &bench{t: t, demand: NewDemand(), fleet: NewFleet("z", Dial, nil, now, now)}
	b.handler = NewHandler(Options{
		Codec: testCodec(), Fleet: b.fleet, Budget: BudgetLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second},
		Tracker: newTestTracker(),
		Demand:  b.demand, Metrics: NewMetrics(metric.New("test")), Now: now,
	})
	b.server = serveClients(b.handler)
	t.Cleanup(b.server.Close)
	return b
}

func (b *bench) configure(r catalog.Route) {
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{r}, Services: testServices()}))
}

func TestARequestThatComesBeforeTheConfigurationIsServed(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	b := newStartingBench(t, time.Now)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	for b.handler.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.register(a)
	b.configure(route(catalog.Unsafe, 1))
	is.Equal((<-answers).status, http.StatusOK)
}

func TestWithoutAConfigurationARequestIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newStartingBench(t, time.Now)
	got := b.do("POST", "one", "x")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

// TestRequestWaitsWhileReplicasAreDiscovered: the replica of the requested service is listed only
// after the request has arrived.
func TestRequestWaitsWhileReplicasAreDiscovered(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	b := newStartingBench(t, time.Now)
	r := route(catalog.Unsafe, 1)
	r.Target = time.Minute // the replica is listed in time even on a slow machine
	b.configure(r)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	for b.handler.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.register(a)
	is.Equal((<-answers).status, http.StatusOK)
}

// TestNoDiscoveryWaitOnceReplicasAreKnown: requests wait for replicas only while the gateway is
// discovering them.
func TestNoDiscoveryWaitOnceReplicasAreKnown(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	f := NewFleet("z", Dial, nil, func() time.Time { return began }, time.Now)
	is.True(f.Discovering(began))
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "a", Service: "s"}}}})
	is.True(f.Discovering(began.Add(discoveryTime - 1)))
	is.True(!f.Discovering(began.Add(discoveryTime)))
	c := &call{handler: &Handler{options: Options{Fleet: f}}, route: &catalog.Route{Target: time.Second}}
	is.Equal(c.maxReplicaWait(began.Add(discoveryTime), NoReplica), time.Duration(0))
	is.True(c.maxReplicaWait(began, NoReplica) > 0)
}

// TestUnconfirmedConfigurationRefusesNothingForGood: a gateway that serves from a configuration that may be
// old answered 404 and 401 for routes and keys of a newer, acknowledged one. The client can come back.
func TestUnconfirmedConfigurationRefusesNothingForGood(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	b := newKeyedBench(t, granting(), route(catalog.Safe, 2), a)
	confirmed := false
	b.handler.options.ConfigConfirmed = func() bool { return confirmed }
	unknownRoute := func() (int, string) {
		request, _ := http.NewRequest("GET", b.server.URL+"/elsewhere", nil)
		request.Host = "h.example"
		response, err := b.server.Client().Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	status, retry := unknownRoute()
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retry != "")
	is.Equal(b.do("GET", "one", "", testKey+": other").status, http.StatusServiceUnavailable)
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusOK) // what it allows is served

	confirmed = true
	status, _ = unknownRoute()
	is.Equal(status, http.StatusNotFound)
	is.Equal(b.do("GET", "one", "", testKey+": other").status, http.StatusUnauthorized)
}
