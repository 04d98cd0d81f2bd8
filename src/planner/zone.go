package planner

import (
	"fmt"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/ledger"
	"github.com/moorspool/moorspool/src/member"
	"github.com/moorspool/moorspool/src/wire"
)

// The zone's times.
const (
	// drainTimeout is how long an unload waits for gateways to remove the route.
	drainTimeout = 2 * time.Second
	// fenceDelay is how long an order may remain unsettled before a fence is sent.
	fenceDelay = 2 * time.Second
	// leaseMargin is the time before the end of a lease in which engines that do not check orders
	// get none, because an order may arrive late.
	leaseMargin = time.Second
)

// Zone makes the placement decisions of one availability zone. Every method that makes decisions
// takes the current time. It is not safe for concurrent use.
type Zone struct {
	name            string
	ring            *event.Ring
	set             *config.Set
	ledger          *ledger.Ledger
	members         map[string]*hostEntry
	demandEstimates *demandEstimates
	drains          map[copyKey]*drain
	drainedHosts    map[string]bool
	copies          map[string]cachedCopies
	// fencedAt is when each host was last sent a fence.
	fencedAt     map[string]time.Time
	storeLimiter *rate.Limiter
	storeShare   float64
	policy       config.Policy

	epoch    uint64
	orderSeq uint64
	leaseEnd time.Time

	routes        *routeTable
	loads         uint64
	unloads       uint64
	unplaced      []string
	ordersInDoubt int

	lastPlanKey planKey
	// replan is set if the last plan ordered something, or could not order all that was wanted.
	replan bool
	// stateChanges counts changes of member states and drains.
	stateChanges uint64
}

// hostEntry is a backend server known to the zone.
type hostEntry struct {
	listed discovery.Host
	member *member.Host
	state  member.State
}

// drain is a copy that gets no more requests and will be unloaded.
type drain struct {
	since time.Time
	// appliedSeq is the sequence of the routes that gateways must have applied before the unload.
	appliedSeq uint64
}

// NewZone returns the zone with a name; storeShare is its share of the weight store's limits.
func NewZone(name string, storeShare float64, ring *event.Ring) *Zone {
	z := &Zone{
		name:            name,
		ring:            ring,
		set:             config.NewSet(config.Revision{}, nil),
		ledger:          ledger.New(),
		members:         map[string]*hostEntry{},
		demandEstimates: newDemandEstimates(),
		drains:          map[copyKey]*drain{},
		drainedHosts:    map[string]bool{},
		copies:          map[string]cachedCopies{},
		fencedAt:        map[string]time.Time{},
		storeShare:      storeShare,
		routes:          newRouteTable(name),
	}
	z.setPolicy()
	return z
}

// SetConfig applies a newer configuration.
func (z *Zone) SetConfig(set *config.Set) {
	z.set = set
	z.setPolicy()
}

// setPolicy applies the policy of the configuration.
func (z *Zone) setPolicy() {
	policy := z.set.Policy()
	if z.storeLimiter != nil && policy == z.policy {
		return
	}
	z.policy = policy
	burst := max(int(float64(policy.Store.FullSpeed)*z.storeShare), 1)
	z.storeLimiter = rate.NewLimiter(rate.Limit(policy.Store.LoadsPerSecond*z.storeShare), burst)
}

// SetAuthority sets the epoch granted by the control nodes and the end of its lease.
func (z *Zone) SetAuthority(epoch uint64, leaseEnd time.Time) {
	if epoch != z.epoch {
		z.epoch = epoch
		z.orderSeq = 0
		z.fencedAt = map[string]time.Time{}
		z.routes.setEpoch(epoch)
	}
	z.leaseEnd = leaseEnd
}

// Epoch returns the epoch of the zone's authority, 0 if it has none.
func (z *Zone) Epoch() uint64 { return z.epoch }

// Listed applies the platform's list of hosts.
func (z *Zone) Listed(list discovery.List, now time.Time) {
	listed := map[string]bool{}
	for _, host := range list.Hosts {
		if host.Zone != z.name {
			continue
		}
		listed[host.Name] = true
		entry := z.members[host.Name]
		if entry == nil {
			entry = &hostEntry{member: member.New(now)}
			z.members[host.Name] = entry
		}
		entry.listed = host
		entry.member.Listed(host.Leaving, now)
	}
	for name, entry := range z.members {
		if !listed[name] {
			entry.member.Unlisted(now)
		}
	}
}

// Reported applies an engine's report.
func (z *Zone) Reported(host string, report engine.Report, now time.Time) {
	entry := z.members[host]
	if entry == nil || report.Host != host {
		return
	}
	if report.Epoch > z.epoch && z.epoch != 0 {
		z.loseAuthority("an engine has seen a newer epoch")
	}
	entry.member.Answered(report.Leaving, now)
	z.ledger.Observe(report, z.checksOrders(entry), now)
}

// Answered records that a host with a plain service answered its health check.
func (z *Zone) Answered(host string, leaving bool, now time.Time) {
	if entry := z.members[host]; entry != nil {
		entry.member.Answered(leaving, now)
	}
}

// loseAuthority gives up the zone's authority.
func (z *Zone) loseAuthority(reason string) {
	z.ring.Add(event.Event{Kind: event.AuthorityLost, Zone: z.name, Reason: reason})
	z.epoch = 0
}

// checksOrders reports whether the engine of a host refuses orders of an older epoch.
func (z *Zone) checksOrders(entry *hostEntry) bool {
	pool, _ := z.set.Get(config.Key{Kind: config.KindPool, Name: entry.listed.Pool})
	return pool.Pool != nil && pool.Pool.ChecksOrders
}

// RecordDemand records the demand report of a gateway.
func (z *Zone) RecordDemand(report wire.DemandReport) { z.demandEstimates.add(report) }

// Drain drains a host or, with undo, ends its drain.
func (z *Zone) Drain(host string, undo bool) {
	z.stateChanges++
	if undo {
		delete(z.drainedHosts, host)
		return
	}
	z.drainedHosts[host] = true
}

// HostOrder is an order and the host that it is for.
type HostOrder struct {
	Host    string
	Address string
	Order   engine.Order
}

// Step updates the zone to the current time and returns the orders to send now, whose memory is
// already reserved in the ledger. appliedSeq is the lowest sequence of routes that a reachable
// gateway has applied.
func (z *Zone) Step(now time.Time, appliedSeq uint64) []HostOrder {
	z.demandEstimates.sample(now)
	z.updateMembers(now)
	var orders []HostOrder
	if z.epoch != 0 {
		orders = append(orders, z.planIfChanged(now)...)
		orders = append(orders, z.unloadDrained(now, appliedSeq)...)
		orders = append(orders, z.fenceOrders(now)...)
	}
	z.updateRoutes()
	z.logInDoubt()
	return orders
}

// planIfChanged plans if anything that a plan depends on has changed. Most steps of a zone find no
// changes, so that the work grows with the number of changes.
func (z *Zone) planIfChanged(now time.Time) []HostOrder {
	key := z.planKey()
	if key == z.lastPlanKey && !z.replan {
		return nil
	}
	z.replan = false
	orders := append(z.plan(now), z.adapterOrders(now)...)
	z.replan = z.replan || len(orders) > 0
	z.lastPlanKey = key
	return orders
}

// logInDoubt adds an event if the number of orders in doubt has changed.
func (z *Zone) logInDoubt() {
	if ordersInDoubt := z.ledger.InDoubt(); ordersInDoubt != z.ordersInDoubt {
		if ordersInDoubt > z.ordersInDoubt {
			z.ring.Add(event.Event{Kind: event.OrderInDoubt, Zone: z.name, Reason: fmt.Sprintf("%d in doubt", ordersInDoubt)})
		} else {
			z.ring.Add(event.Event{Kind: event.OrderSettled, Zone: z.name, Reason: fmt.Sprintf("%d in doubt", ordersInDoubt)})
		}
		z.ordersInDoubt = ordersInDoubt
	}
}

// memberEvents maps the new state of a member to the kind of event for it.
var memberEvents = map[member.State]event.Kind{
	member.Live:    event.HostLive,
	member.Suspect: event.HostSuspect,
	member.Leaving: event.HostLeaving,
	member.Gone:    event.HostGone,
}

// updateMembers updates the member states to the current time and removes members that are gone.
func (z *Zone) updateMembers(now time.Time) {
	for _, name := range z.hostNames() {
		entry := z.members[name]
		entry.member.Update(now)
		state := entry.member.State()
		if state == entry.state {
			continue
		}
		z.stateChanges++
		if kind, named := memberEvents[state]; named {
			z.ring.Add(event.Event{Kind: kind, Host: name, Zone: z.name, Reason: "was " + string(entry.state)})
		}
		entry.state = state
		if state == member.Gone {
			z.ledger.Forget(name)
			delete(z.members, name)
		}
	}
}

// hostNames returns the known hosts in a fixed order, so that equal inputs lead to equal orders.
func (z *Zone) hostNames() []string {
	names := make([]string, 0, len(z.members))
	for name := range z.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
