package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/control"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/metric"
)

// setQuorumGauges sets the gauges of a control node's membership.
func setQuorumGauges(m *metric.Registry, q control.Quorum) {
	m.Gauge("voters", float64(q.Voters))
	m.Gauge("voters_heard", float64(q.InContact))
	m.Gauge("learners", float64(q.Learners))
	m.Gauge("leading", boolValue(q.Leading))
	m.Gauge("leader_known", boolValue(q.LeaderKnown))
	m.Gauge("member", boolValue(q.Member))
	m.Gauge("configuration_version", float64(q.Version))
	m.Gauge("term", float64(q.Term))
}

// setDelayGauges sets the gauges of the longest recent delays in a control node's consensus.
func setDelayGauges(m *metric.Registry, d control.Delays) {
	m.Gauge("agreement_wait_seconds", d.Wait.Seconds())
	m.Gauge("agreement_step_seconds", d.Iteration.Seconds())
	m.Gauge("disk_write_seconds", d.Write.Seconds())
}

const (
	// maxNamedAccounts is how many client accounts have a gauge of their own at a time,
	// maxAccountNames how many ever get one: operators choose the names, and the number of time
	// series must be bounded.
	maxNamedAccounts = 8
	maxAccountNames  = 32
	// otherAccounts is the label of the sum of the rest.
	otherAccounts = "others"
)

// accountGauges are the gauges of the use of client accounts' limits.
type accountGauges struct {
	// named holds the accounts that ever had a gauge.
	named map[string]bool
}

// set sets the gauges of the accounts with the largest use, and the sum of the rest.
func (g *accountGauges) set(m *metric.Registry, used map[string]float64) {
	names := slices.SortedFunc(maps.Keys(used), func(a, b string) int { return cmp.Compare(used[b], used[a]) })
	others := 0.0
	updated := map[string]bool{}
	for i, name := range names {
		if i >= maxNamedAccounts || !g.named[name] && len(g.named) >= maxAccountNames {
			others += used[name]
			continue
		}
		g.named[name], updated[name] = true, true
		m.GaugeOf("account_units_per_second", "account", name, used[name])
	}
	for name := range g.named {
		if !updated[name] {
			m.GaugeOf("account_units_per_second", "account", name, 0)
		}
	}
	m.GaugeOf("account_units_per_second", "account", otherAccounts, others)
}

// setGatewayGauges sets the gauges of the configuration that a gateway uses, nil if there is none
// yet, and of the newest that it knows to exist.
func setGatewayGauges(now time.Time, m *metric.Registry, table *catalog.Table, known feed.View) {
	version := uint64(0)
	if table != nil {
		version = table.Version()
	}
	m.Gauge("configuration_version", float64(version))
	m.Gauge("configuration_version_told", float64(known.Version))
	m.Gauge("control_nodes_followed", float64(known.ConnectedNodes))
	if !known.Confirmed.IsZero() {
		m.Gauge("configuration_confirmed_age_seconds", now.Sub(known.Confirmed).Seconds())
	}
}

// setAvailabilityGauges sets the gauges of the backend servers that accept no or fewer requests from a
// gateway.
func setAvailabilityGauges(m *metric.Registry, f *exchange.Fleet) {
	backingOff, leaving := f.BackingOff()
	m.Gauge("replicas_backing_off", float64(backingOff))
	m.Gauge("replicas_leaving_told", float64(leaving))
	m.Gauge("zones_drained", float64(f.DrainedZones()))
	m.Gauge("replicas_cold", float64(f.ColdReplicas()))
	m.Gauge("replicas_limited", float64(f.LimitedReplicas()))
	m.Gauge("services_unreachable", float64(len(f.Unreachable())))
}

// setLoadViewGauges sets the gauges of the load of all gateways as a gateway was last told. A gateway
// without replicas of engines with small batches has no such view.
func setLoadViewGauges(now time.Time, m *metric.Registry, f *exchange.Fleet) {
	age, replicas, found := f.LoadView(now)
	if !found {
		return
	}
	m.Gauge("load_view_age_seconds", age.Seconds())
	m.Gauge("load_view_replicas", float64(replicas))
}

// boolValue converts a boolean to a gauge value.
func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
