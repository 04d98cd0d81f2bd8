package loadview

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// reportLife is how long a report or sum counts. A gateway that is silent for longer
// has ended, is cut off or frozen, and its requests end without it.
const reportLife = time.Second

// Board is a control node's collection of what gateways have under way; it is safe
// for concurrent use.
type Board struct {
	mu       sync.Mutex
	gateways map[string]told
	nodes    map[string]told
	changed  wakeup.Flag
}

// told is the last word of a gateway or control node.
type told struct {
	loads []wire.ReplicaLoad
	at    time.Time
	// tell sends a gateway the totals; nil for control nodes.
	tell func(wire.LoadReport)
	// telling is set while a gateway is being told, which may hang: others go on, and
	// it is told the newest totals once it can be.
	telling *atomic.Bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{gateways: map[string]told{}, nodes: map[string]told{}, changed: wakeup.New()}
}

// Report takes in what a gateway has under way; tell sends it totals.
func (b *Board) Report(now time.Time, report wire.LoadReport, tell func(wire.LoadReport)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	telling := b.gateways[report.Node].telling
	if telling == nil {
		telling = &atomic.Bool{}
	}
	b.gateways[report.Node] = told{loads: report.Loads, at: now, tell: tell, telling: telling}
	b.changed.Raise()
}

// Changed delivers when something new was told since it last did.
func (b *Board) Changed() <-chan struct{} { return b.changed.Raised() }

// Round returns the totals over all gateways, the sum over those that report here,
// and how to tell each of these that is not being told just now; each function is
// to be called once.
func (b *Board) Round(now time.Time) (totals, sum wire.LoadReport, tell []func(wire.LoadReport)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum.Loads = b.sum(now, b.gateways)
	totals.Loads = b.sum(now, b.gateways, b.nodes)
	for _, word := range b.gateways {
		if word.telling.CompareAndSwap(false, true) {
			tell = append(tell, func(totals wire.LoadReport) {
				defer word.telling.Store(false)
				word.tell(totals)
			})
		}
	}
	return totals, sum, tell
}

// TakeSum takes in another control node's sum over the gateways that report to it.
func (b *Board) TakeSum(now time.Time, sum wire.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[sum.Node] = told{loads: sum.Loads, at: now}
	b.changed.Raise()
}

// sum adds up all that is young enough, by replica, and forgets the rest; the lock
// is held.
func (b *Board) sum(now time.Time, sources ...map[string]told) []wire.ReplicaLoad {
	total := map[string]wire.ReplicaLoad{}
	for _, source := range sources {
		for name, word := range source {
			if now.Sub(word.at) > reportLife {
				delete(source, name)
				continue
			}
			for _, load := range word.loads {
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
