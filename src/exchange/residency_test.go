package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// newRemoteReplica returns a replica in a zone of another region.
func newRemoteReplica(t *testing.T, id string, act behaviour) *fakeReplica {
	f := newReplica(t, id, act)
	f.zone = "far"
	return f
}

// setRegions sets the regions of the test zones and the regions in which a route's requests may be
// served.
func (b *bench) setRegions(r catalog.Route, regions ...string) {
	b.fleet.SetRegions(map[string]string{"z": "here", "far": "there"})
	r.Regions = regions
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{r}, Services: testServices()}))
}

// TestARequestIsServedInItsRegionsOnly: this applies to first attempts, retries, copies of runs and
// assigned slots.
func TestARequestIsServedInItsRegionsOnly(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 3)
	far := newRemoteReplica(t, "x", whole)
	near := newReplica(t, "y", func(a arrival) bool { a.answer(500, "broken"); return true })
	b := newBench(t, r, far, near)
	b.setRegions(r, "here")
	for i := range 5 {
		is.Equal(b.do("POST", fmt.Sprint("try-", i), "x").status, 500)
		is.Equal(b.do("POST", fmt.Sprint("model-", i), "x", testModel+": m").status, 500)
	}
	is.Equal(far.count(), 0)
	want := Requirements{Service: "s", Model: "m", Residency: catalog.ResidencyOf(&catalog.Route{Regions: []string{"here"}}, nil)}
	is.True(b.fleet.backup(time.Now(), want, []*Peer{b.fleet.Peer("y")}) == nil)
	var tried []string
	b.handler.options.Slots = Slots{
		Request: func(_ context.Context, request wire.PlaceRequest) (wire.PlaceReply, error) {
			tried = request.Tried
			return wire.PlaceReply{Known: true, Replica: "x", Ticket: 3}, nil
		},
		Release: func(wire.PlaceRelease) {},
	}
	b.handler.SetGateways(100)
	b.do("GET", "placed", "")
	is.Equal(tried, []string{"x"})
	is.Equal(far.count(), 0)
	b.handler.options.Slots = Slots{}
	b.setRegions(r, "there")
	is.Equal(b.do("POST", "abroad", "x").status, http.StatusOK)
	is.Equal(far.count(), 1)
}

// TestARequestWithoutAReplicaInItsRegionsIsRefusedAtOnce: this includes zones whose region is
// unknown.
func TestARequestWithoutAReplicaInItsRegionsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 3)
	far := newRemoteReplica(t, "x", whole)
	b := newBench(t, r, far)
	b.fleet.firstReplicaAt.Store(1)
	b.setRegions(r, "here")
	is.Equal(b.do("POST", "one", "x").status, http.StatusServiceUnavailable)
	here := catalog.ResidencyOf(&catalog.Route{Regions: []string{"here"}}, nil)
	is.Equal(b.fleet.Pick(time.Now(), Requirements{Service: "s", Model: "m", Residency: here}, nil).Verdict, NoReplica) // no wait for a model
	b.setRegions(r, "there")
	b.fleet.SetRegions(nil)
	is.Equal(b.do("POST", "two", "x").status, http.StatusServiceUnavailable)
	is.Equal(far.count(), 0)
}

func TestRegionsOfRouteAndAccountBothApply(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Safe, 1)
	r.Regions = []string{"here", "there"}
	far := newRemoteReplica(t, "x", whole)
	b := newKeyedBench(t, granting(), r, far)
	b.fleet.SetRegions(map[string]string{"z": "here", "far": "there"})
	set := func(regions ...string) {
		b.handler.SetTable(catalog.NewTable(catalog.Document{
			Version: 2, Routes: []catalog.Route{r}, Services: testServices(), KeysRequired: true,
			Accounts: []catalog.Account{{Name: "a", Keys: []catalog.Key{"k"}, Regions: regions}},
		}))
	}
	set("here")
	is.Equal(b.do("POST", "one", "x", testKey+": k").status, http.StatusServiceUnavailable)
	set("there")
	is.Equal(b.do("POST", "two", "x", testKey+": k").status, http.StatusOK)
	set()
	is.Equal(b.do("POST", "three", "x", testKey+": k").status, http.StatusOK)
	is.Equal(far.count(), 2)
}
