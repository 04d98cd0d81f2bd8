package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// step is the time step of the simulation.
const step = 10 * time.Millisecond

// noon is the start time of the simulation.
var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// strategy is how the gateways of a simulation get their units.
type strategy int

const (
	// leased is the strategy in use: leased shares, and the rest from the leader.
	leased strategy = iota
	// central asks the leader for each request.
	central
	// equal gives each gateway a fixed equal share.
	equal
)

var strategyNames = []string{"leased", "central", "equal"}

// simulation is an installation in virtual time: gateways ask their control node, control nodes ask
// the leader.
type simulation struct {
	strategy   strategy
	parameters Parameters
	limits     map[string]Limit
	// accounts are the names in limits in a fixed order.
	accounts []string
	random   *rand.Rand
	now      time.Time
	nodes    []*simulatedNode
	gateways []*simulatedGateway
	// leader is the index of the leading node, -1 if there is none.
	leader        int
	allocator     *Allocator
	spent         map[string][]spend
	pendingSpends []spend
	asked         int
	refused       int
	// withinLimit is each account's demand within its limit, over a window; refusedWithinLimit
	// counts the refused requests of that demand.
	withinLimit        map[string]*slidingWindow
	refusedWithinLimit int
	incarnations       uint64
	// recorded are the extensions of the accounts as recorded on a majority's disks.
	recorded map[string]float64
}

type simulatedNode struct {
	holder *Holder
	// disconnected cuts the node off from the leader, but not from its gateways.
	disconnected bool
	// lastUsage is the usage that the leader reported last.
	lastUsage PriorUsage
}

type simulatedGateway struct {
	node         int
	grants       *Grants
	equal        map[string]*bucket
	disconnected bool
}

type spend struct {
	at      time.Time
	account string
	units   float64
}

func newSimulation(strategy strategy, parameters Parameters, limits map[string]Limit, nodes, gateways int, random *rand.Rand) *simulation {
	w := &simulation{strategy: strategy, parameters: parameters, limits: limits, random: random, now: noon, spent: map[string][]spend{}, withinLimit: map[string]*slidingWindow{}, recorded: map[string]float64{}}
	w.accounts = slices.Sorted(maps.Keys(limits))
	for account := range limits {
		w.withinLimit[account] = &slidingWindow{span: parameters.Window}
	}
	for i := range nodes {
		w.nodes = append(w.nodes, &simulatedNode{holder: w.newHolder(i)})
	}
	for i := range gateways {
		g := &simulatedGateway{node: i % nodes, grants: NewGrants(), equal: map[string]*bucket{}}
		for account, limit := range limits {
			part := float64(gateways)
			g.equal[account] = &bucket{at: noon, rate: limit.Rate / part, depth: (limit.Burst + parameters.maxSaved(limit)) / part}
		}
		w.gateways = append(w.gateways, g)
	}
	w.elect(0)
	return w
}

func (w *simulation) newHolder(node int) *Holder {
	w.incarnations++
	return NewHolder(fmt.Sprint("node-", node), w.incarnations, w.parameters)
}

// elect makes a node the leader; -1 means none.
func (w *simulation) elect(node int) {
	w.leader, w.allocator = node, nil
	if node < 0 {
		return
	}
	var names []string
	for i := range w.nodes {
		names = append(names, fmt.Sprint("node-", i))
	}
	w.allocator = NewAllocator(w.parameters, w.now, names, maps.Clone(w.recorded), w.nodes[node].lastUsage)
}

// reachesLeader reports whether a node reaches the leader.
func (w *simulation) reachesLeader(node int) bool {
	return w.allocator != nil && (node == w.leader || !w.nodes[node].disconnected && !w.nodes[w.leader].disconnected)
}

func (w *simulation) limit(account string) (Limit, bool) {
	limit, found := w.limits[account]
	return limit, found
}

// advance moves the time by one step; every 200 ms the nodes report to the leader.
func (w *simulation) advance() {
	w.now = w.now.Add(step)
	if w.strategy == leased && w.now.Sub(noon)%(200*time.Millisecond) == 0 {
		for i, node := range w.nodes {
			if w.reachesLeader(i) {
				report := node.holder.Report(w.now)
				node.holder.Apply(w.now, w.now, w.allocator.Report(w.now, report, w.limit))
				usage, complete := w.allocator.Usage(w.now)
				node.lastUsage = NewPriorUsage(w.now, w.now, usage, complete)
			}
		}
	}
	if w.allocator != nil && w.now.Sub(noon)%time.Second == 0 {
		for _, account := range w.allocator.Ended(w.now) {
			w.record(account, 0)
		}
	}
	kept := w.pendingSpends[:0]
	for _, s := range w.pendingSpends {
		if s.at.After(w.now) {
			kept = append(kept, s)
			continue
		}
		w.spent[s.account] = append(w.spent[s.account], s)
	}
	w.pendingSpends = kept
}

// idle lets time pass without requests.
func (w *simulation) idle(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
	}
}

// ask sends a request to a gateway. Granted units are spent up to delay later, as far as the grant
// allows.
func (w *simulation) ask(gateway int, account string, units float64, delay time.Duration) bool {
	w.asked++
	limit := w.limits[account]
	withinLimit := w.withinLimit[account].used(w.now)+units <= limit.Rate*w.parameters.Window.Seconds()+limit.Burst
	if withinLimit {
		w.withinLimit[account].add(w.now, units)
	}
	until, granted := w.grant(gateway, account, units)
	if !granted {
		w.refused++
		if withinLimit {
			w.refusedWithinLimit++
		}
		return false
	}
	at := w.now.Add(delay)
	if !at.Before(until) {
		at = until
	}
	w.pendingSpends = append(w.pendingSpends, spend{at: at, account: account, units: units})
	return true
}

func (w *simulation) grant(gateway int, account string, units float64) (time.Time, bool) {
	g := w.gateways[gateway]
	until := w.now.Add(w.parameters.GrantTTL)
	if w.strategy == equal {
		taken, _ := g.equal[account].take(w.now, units)
		return until, taken
	}
	if g.disconnected {
		return until, false
	}
	node := w.nodes[g.node]
	if w.strategy == leased {
		node.holder.AddDemand(w.now, account, units)
		if node.holder.Take(w.now, account, units) {
			return until, true
		}
	}
	if !w.reachesLeader(g.node) {
		return until, false
	}
	answer := w.allocator.Take(w.now, account, units, w.limits[account])
	if answer.Record > 0 {
		w.record(account, answer.Record)
		answer = w.allocator.Take(w.now, account, units, w.limits[account])
	}
	return until, answer.Taken
}

func (w *simulation) record(account string, units float64) {
	w.recorded[account] = units
	w.allocator.Recorded(account, units)
}

// peakUsage returns the most units that an account spent in any window.
func (w *simulation) peakUsage(account string) float64 {
	all := w.spent[account]
	peakUsage, sum, first := 0.0, 0.0, 0
	for i := range all {
		sum += all[i].units
		for all[i].at.Sub(all[first].at) > w.parameters.Window {
			sum -= all[first].units
			first++
		}
		peakUsage = max(peakUsage, sum)
	}
	return peakUsage
}

// maxUsage returns how many units an account may spend in any window.
func (w *simulation) maxUsage(account string) float64 {
	limit := w.limits[account]
	return (limit.Rate*w.parameters.Window.Seconds()+limit.Burst)*(1+w.parameters.Overage) + w.parameters.Slack
}
