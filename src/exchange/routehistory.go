package exchange

import (
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/resume"
)

// routeSettleTime is how long the paths of a route must have led to one service only, for that one to have begun
// all its streams that still last. A gateway that is cut off leads requests by an earlier configuration meanwhile.
const routeSettleTime = 2 * resume.Retention

// routePath is what requests of a route have in common.
type routePath struct{ host, prefix string }

// within reports whether all requests of a path are requests of another one, too.
func (p routePath) within(other routePath) bool {
	return p.host == other.host && strings.HasPrefix(p.prefix, other.prefix)
}

// routeTarget is the only service of a route, "" if it leads to several, and since when its paths have led to that one
// only.
type routeTarget struct {
	routePath
	service string
	since   time.Time
}

// newRouteTarget returns the target of a route that is in force from now on.
func newRouteTarget(now time.Time, route *catalog.Route) routeTarget {
	target := routeTarget{routePath: routePath{host: route.Host, prefix: route.Prefix}, since: now}
	if len(route.Splits) == 1 {
		target.service = route.Splits[0].Service
	}
	return target
}

// setRoutes records where the routes of a configuration lead.
func (f *Fleet) setRoutes(t *catalog.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.routes
	if version := t.Version(); version != f.routesVersion && version != f.routesVersion+1 {
		// A version between the two may have led anywhere.
		before = nil
	}
	f.routesVersion = t.Version()
	now := f.now()
	f.routes = make(map[string]routeTarget, len(t.Document().Routes))
	for i := range t.Document().Routes {
		route := &t.Document().Routes[i]
		f.routes[route.Name] = newRouteTarget(now, route)
	}
	inheritSince(f.routes, before)
}

// inheritSince dates the targets of a configuration back if those of the one before led their paths to the same
// service. A path belongs to the longest prefix, so it led by the same route as now or by one that was dropped. A
// route with a new prefix is not dated back.
func inheritSince(targets, before map[string]routeTarget) {
	listed := make(map[routePath]bool, len(targets))
	for _, target := range targets {
		listed[target.routePath] = true
	}
	known := make(map[routePath]routeTarget, len(before))
	var dropped []routeTarget
	for _, target := range before {
		known[target.routePath] = target
		if !listed[target.routePath] {
			dropped = append(dropped, target)
		}
	}
	for name, target := range targets {
		earlier, found := known[target.routePath]
		if !found || earlier.service != target.service {
			continue
		}
		target.since = earlier.since
		for _, other := range dropped {
			if !other.within(target.routePath) {
				continue
			}
			if other.service != target.service {
				target.since = targets[name].since
				break
			}
			target.since = later(target.since, other.since)
		}
		targets[name] = target
	}
}

// leadsOnlyTo reports whether the paths of a route have led to a service only for routeSettleTime.
func (f *Fleet) leadsOnlyTo(now time.Time, route *catalog.Route, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	target, known := f.routes[route.Name]
	return known && target.service == service && len(route.Splits) == 1 && now.Sub(target.since) >= routeSettleTime
}
