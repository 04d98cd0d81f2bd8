package route

import (
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// candidates are the hosts that can serve one model, adapter or pool: those in the gateway's own
// availability zone and the others.
type candidates struct {
	local  []*Host
	remote []*Host
}

func (c *candidates) len() int {
	if c == nil {
		return 0
	}
	return len(c.local) + len(c.remote)
}

// at returns the i-th candidate, the local ones first.
func (c *candidates) at(i int) *Host {
	if i < len(c.local) {
		return c.local[i]
	}
	return c.remote[i-len(c.local)]
}

// Table contains the hosts that can serve each model, adapter and pool; it is immutable.
type Table struct {
	models   map[string]*candidates
	adapters map[string]*candidates
	pools    map[string]*candidates
	hosts    int
}

// NewTable builds the table of a gateway in a zone. hosts contains the Host of each name, which is
// kept from one table to the next.
func NewTable(zone string, routes []wire.HostRoute, hosts map[string]*Host) *Table {
	t := &Table{
		models:   map[string]*candidates{},
		adapters: map[string]*candidates{},
		pools:    map[string]*candidates{},
	}
	sorted := append([]wire.HostRoute(nil), routes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Host < sorted[j].Host })
	for _, route := range sorted {
		host := hosts[route.Host]
		if host == nil || route.State == wire.HostGone {
			continue
		}
		t.hosts++
		local := route.Zone == zone
		add(t.pools, route.Pool, host, local)
		for _, model := range route.Models {
			add(t.models, model.Model, host, local)
			for _, adapter := range model.Adapters {
				add(t.adapters, adapter, host, local)
			}
		}
	}
	return t
}

func add(table map[string]*candidates, name string, host *Host, local bool) {
	c := table[name]
	if c == nil {
		c = &candidates{}
		table[name] = c
	}
	list := &c.remote
	if local {
		list = &c.local
	}
	if n := len(*list); n > 0 && (*list)[n-1] == host {
		// Several copies on one host are one candidate.
		return
	}
	*list = append(*list, host)
}

// Hosts returns the number of hosts in the table.
func (t *Table) Hosts() int { return t.hosts }

// Models returns the number of models with a ready copy.
func (t *Table) Models() int { return len(t.models) }

// Has reports whether a copy of the model or adapter is ready.
func (t *Table) Has(requirements Requirements) bool { return t.find(requirements).len() > 0 }

// Requirements is what a request needs.
type Requirements struct {
	Model   string
	Adapter string
	// Pool is the name of a plain service, used instead of a model.
	Pool string
}

func (t *Table) find(requirements Requirements) *candidates {
	switch {
	case requirements.Pool != "":
		return t.pools[requirements.Pool]
	case requirements.Adapter != "":
		return t.adapters[requirements.Adapter]
	}
	return t.models[requirements.Model]
}

// EstimateWait estimates how long the candidates need to serve the given number of requests that
// wait before this one.
func (t *Table) EstimateWait(requirements Requirements, waiting int) time.Duration {
	c := t.find(requirements)
	var slots, serviceTime int64
	for i := 0; i < c.len(); i++ {
		h := c.at(i)
		slots += min(h.slots.Load(), h.limit.Load())
		serviceTime = max(serviceTime, h.serviceTime.Load())
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(int64(waiting) * serviceTime / slots)
}
