package loadview

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// reportLifetime is how long a report or sum is valid. A gateway that is silent for longer has
// ended, is cut off or hangs, and its requests end without it.
const reportLifetime = time.Second

// Board collects the requests under way at all gateways, on a control node. It is safe for
// concurrent use.
type Board struct {
	mu       sync.Mutex
	gateways map[string]latestReport
	nodes    map[string]latestReport
	changed  wakeup.Flag
}

// latestReport is the latest report of a gateway or sum of a control node.
type latestReport struct {
	loads []wire.ReplicaLoad
	at    time.Time
	// send sends the totals to the gateway; nil for control nodes.
	send func(wire.LoadReport)
	// sending is set while totals are being sent to the gateway. A gateway that hangs does not
	// delay the others, and gets the newest totals once it accepts them.
	sending *atomic.Bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{gateways: map[string]latestReport{}, nodes: map[string]latestReport{}, changed: wakeup.New()}
}

// Report records a gateway's requests under way; send sends totals to that gateway.
func (b *Board) Report(now time.Time, report wire.LoadReport, send func(wire.LoadReport)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sending := b.gateways[report.Node].sending
	if sending == nil {
		sending = &atomic.Bool{}
	}
	b.gateways[report.Node] = latestReport{loads: report.Loads, at: now, send: send, sending: sending}
	b.changed.Raise()
}

// Changed returns a channel that delivers when there were new reports since it last did.
func (b *Board) Changed() <-chan struct{} { return b.changed.Raised() }

// Totals returns the totals over all gateways, the sum over the gateways that report to this node,
// and functions that send totals to these gateways, each to be called once. Gateways that are still
// being sent earlier totals are left out.
func (b *Board) Totals(now time.Time) (totals, sum wire.LoadReport, send []func(wire.LoadReport)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum.Loads = b.sum(now, b.gateways)
	totals.Loads = b.sum(now, b.gateways, b.nodes)
	for _, report := range b.gateways {
		if report.sending.CompareAndSwap(false, true) {
			send = append(send, func(totals wire.LoadReport) {
				defer report.sending.Store(false)
				report.send(totals)
			})
		}
	}
	return totals, sum, send
}

// RecordSum records another control node's sum over the gateways that report to it.
func (b *Board) RecordSum(now time.Time, sum wire.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[sum.Node] = latestReport{loads: sum.Loads, at: now}
	b.changed.Raise()
}

// sum adds up the valid reports by replica and removes expired ones. The caller holds the lock.
func (b *Board) sum(now time.Time, sources ...map[string]latestReport) []wire.ReplicaLoad {
	total := map[string]wire.ReplicaLoad{}
	for _, source := range sources {
		for name, report := range source {
			if now.Sub(report.at) > reportLifetime {
				delete(source, name)
				continue
			}
			for _, load := range report.loads {
				all := total[load.Replica]
				all.Replica = load.Replica
				all.Running += load.Running
				all.UnreadMS += load.UnreadMS
				total[load.Replica] = all
			}
		}
	}
	loads := make([]wire.ReplicaLoad, 0, len(total))
	for _, load := range total {
		loads = append(loads, load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Replica < loads[j].Replica })
	return loads
}
