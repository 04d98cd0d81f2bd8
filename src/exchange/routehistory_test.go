package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
)

// TestAStreamOfADroppedRouteIsNotTakenUpByTheRouteBehindIt: that one had led to its service for long, but not the
// stream's path.
func TestAStreamOfADroppedRouteIsNotTakenUpByTheRouteBehindIt(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", streaming(4))
	b, _ := newOriginBench(t, resumable(1), a)
	general, specific := resumable(1), resumable(1)
	general.Prefix = "/p/"
	specific.Name, specific.Prefix, specific.Splits = "q", "/p/x", []catalog.Split{{Service: "t", Weight: 1}}
	services := append(testServices(), catalog.Service{Name: "t"})
	other := versionedReplica(t, "other", "v2", breaking(2))
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "other", Service: "t", Address: other.listener.Addr().String(), Zone: "z", Slots: 4, SoftwareVersion: "v2"}}}})
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{specific, general}, Services: services}))
	b.soleFor(2*resume.SettleTime, "v1")
	b.agreeOn("v1")
	for name, target := range b.fleet.routes {
		target.since = target.since.Add(-2 * routeSettleTime)
		b.fleet.routes[name] = target
	}
	first := b.do("POST", "begun", "")
	is.Equal(other.count(), 1) // the stream began at service t
	is.True(first.err != nil)
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 3, Routes: []catalog.Route{general}, Services: services}))
	got := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(a.count(), 0)
}

// TestAStreamIsNotTakenUpAfterAConfigurationThatWasSkipped: nobody knows where that one led the stream's route.
func TestAStreamIsNotTakenUpAfterAConfigurationThatWasSkipped(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", streaming(4))
	b, _ := newOriginBench(t, resumable(1), a)
	b.soleFor(2*resume.SettleTime, "v1")
	b.agreeOn("v1")
	target := b.fleet.routes["r"]
	target.since = target.since.Add(-2 * routeSettleTime)
	b.fleet.routes["r"] = target
	// Version 2 led route r to service t; this gateway was not told of it before version 3 came.
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 3, Routes: []catalog.Route{resumable(1)}, Services: testServices()}))
	got := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(a.count(), 0)
}

// TestTargetsAreDatedBackOnlyIfTheirPathsLedThere covers what becomes of a route's age as other routes come and go.
func TestTargetsAreDatedBackOnlyIfTheirPathsLedThere(t *testing.T) {
	long, now := time.Now().Add(-time.Hour), time.Now()
	at := func(prefix, service string, since time.Time) routeTarget {
		return routeTarget{routePath: routePath{host: "h", prefix: prefix}, service: service, since: since}
	}
	for _, c := range []struct {
		name   string
		before []routeTarget
		after  []string
		want   time.Time
	}{
		{"unchanged, beside one with a longer prefix", []routeTarget{at("/p/", "s", long), at("/p/x", "t", long)}, []string{"/p/x"}, long},
		{"one with a longer prefix was dropped, to another service", []routeTarget{at("/p/", "s", long), at("/p/x", "t", long)}, nil, now},
		{"the same, to the same service", []routeTarget{at("/p/", "s", long), at("/p/x", "s", long)}, nil, long},
		{"the same, since lately", []routeTarget{at("/p/", "s", long), at("/p/x", "s", now.Add(-time.Second))}, nil, now.Add(-time.Second)},
		{"one beside it was dropped", []routeTarget{at("/p/", "s", long), at("/q/", "t", long)}, nil, long},
		{"a new prefix", []routeTarget{at("/", "s", long)}, nil, now},
		{"another service", []routeTarget{at("/p/", "t", long)}, nil, now},
		{"nothing is known", nil, nil, now},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, targets := map[string]routeTarget{}, map[string]routeTarget{"r": at("/p/", "s", now)}
			for _, target := range c.before {
				before["old "+target.prefix] = target
			}
			for _, prefix := range c.after {
				targets["other "+prefix] = at(prefix, "t", now)
			}
			inheritSince(targets, before)
			is.Equal(targets["r"].since, c.want)
		})
	}
}
