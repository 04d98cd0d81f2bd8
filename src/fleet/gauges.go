package fleet

import (
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/control"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/metric"
)

// setQuorumGauges tells how a control node sees the membership.
func setQuorumGauges(m *metric.Registry, q control.Quorum) {
	m.Gauge("voters", float64(q.Voters))
	m.Gauge("voters_heard", float64(q.Heard))
	m.Gauge("learners", float64(q.Learners))
	m.Gauge("leading", oneIf(q.Leading))
	m.Gauge("leader_known", oneIf(q.LeaderKnown))
	m.Gauge("member", oneIf(q.Member))
	m.Gauge("configuration_version", float64(q.Version))
}

// setGatewayGauges tells which configuration a gateway acts on, nil if there is none yet,
// and which is the newest that it was told of.
func setGatewayGauges(m *metric.Registry, table *catalog.Table, known feed.Known) {
	version := uint64(0)
	if table != nil {
		version = table.Version()
	}
	m.Gauge("configuration_version", float64(version))
	m.Gauge("configuration_version_told", float64(known.Version))
	m.Gauge("control_nodes_followed", float64(known.Reach))
}

func oneIf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
