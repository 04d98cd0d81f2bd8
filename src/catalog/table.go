package catalog

import (
	"net"
	"sort"
	"strings"
)

// Table indexes the routes, services and accounts of one document. It is immutable.
type Table struct {
	document Document
	routes   map[string][]*Route
	services map[string]*Service
	// priorities are those of the routes of each service.
	priorities map[string]priorityRange
	byKey      map[Key]*Account
	accounts   map[string]*Account
}

// NewTable returns the table of a valid document.
func NewTable(d Document) *Table {
	t := &Table{document: d, routes: map[string][]*Route{}, services: map[string]*Service{}, priorities: map[string]priorityRange{}}
	t.byKey = make(map[Key]*Account, len(d.Accounts))
	t.accounts = make(map[string]*Account, len(d.Accounts))
	for i := range t.document.Routes {
		route := &t.document.Routes[i]
		host := canonicalHost(route.Host)
		t.routes[host] = append(t.routes[host], route)
		for _, split := range route.Splits {
			t.addPriority(split.Service, route.Priority)
		}
	}
	for _, routes := range t.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.document.Services {
		service := &t.document.Services[i]
		t.services[service.Name] = service
	}
	for i := range t.document.Accounts {
		account := &t.document.Accounts[i]
		t.accounts[account.Name] = account
		for _, key := range account.Keys {
			t.byKey[key] = account
		}
	}
	return t
}

// priorityRange holds the most and the least urgent priority of the routes of a service.
type priorityRange struct {
	most, least int
}

func (t *Table) addPriority(service string, priority int) {
	known, found := t.priorities[service]
	if !found {
		known = priorityRange{most: priority, least: priority}
	}
	t.priorities[service] = priorityRange{most: min(known.most, priority), least: max(known.least, priority)}
}

// MostUrgent reports whether a priority is that of the most urgent routes of a service that has less
// urgent ones too.
func (t *Table) MostUrgent(service string, priority int) bool {
	known, found := t.priorities[service]
	return found && known.most < known.least && priority <= known.most
}

// Version returns the document's version.
func (t *Table) Version() uint64 { return t.document.Version }

// Document returns the whole document; the caller must not change it.
func (t *Table) Document() *Document { return &t.document }

// Service returns the service with a name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// KeysRequired reports whether requests need the key of a client account.
func (t *Table) KeysRequired() bool { return t.document.KeysRequired }

// AccountOf returns the client account that holds a key, nil if there is none.
func (t *Table) AccountOf(key Key) *Account { return t.byKey[key] }

// Account returns the client account with a name, nil if there is none.
func (t *Table) Account(name string) *Account { return t.accounts[name] }

// RouteFor returns the route of the host with the longest prefix of the path, nil if there is none.
func (t *Table) RouteFor(host, path string) *Route {
	for _, route := range t.routes[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Pick returns the service selected by a random number in [0, 1), in proportion to the weights.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	at := draw * float64(total)
	for _, split := range r.Splits {
		at -= float64(split.Weight)
		if at < 0 {
			return split.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// canonicalHost strips the port from a host name and lowercases it.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// SmallBatches reports whether any service has an engine with small batches.
func (t *Table) SmallBatches() bool {
	for i := range t.document.Services {
		if t.document.Services[i].Engine.SmallBatch() {
			return true
		}
	}
	return false
}
