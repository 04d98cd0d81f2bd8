package planner

import (
	"fmt"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/ledger"
	"github.com/moorspool/moorspool/src/member"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/platform"
	"github.com/moorspool/moorspool/src/wire"
)

// The zone's times.
const (
	// drainPatience is how long an unload waits for entry hosts to take the route away.
	drainPatience = 2 * time.Second
	// fencePatience is how long an order may stay unsettled before a fence is sent.
	fencePatience = 2 * time.Second
	// leaseMargin is kept from the end of a lease for orders under way.
	leaseMargin = time.Second
)

// Zone decides for one availability zone. Every method that decides takes the
// present time; it is not safe for concurrent use.
type Zone struct {
	name    string
	ring    *event.Ring
	set     *config.Set
	ledger  *ledger.Ledger
	members map[string]*hostEntry
	demands *demands
	drains  map[copyKey]*drain
	drained map[string]bool
	copies  map[string]cachedCopies
	// fencedAt is when each host was last sent a fence.
	fencedAt map[string]time.Time
	store    *rate.Limiter
	share    float64
	policy   config.Policy

	epoch    uint64
	seq      uint64
	leaseEnd time.Time

	routes   *routeTable
	loads    uint64
	unloads  uint64
	unplaced []string
	doubted  int

	planned planKey
	// waits is set while the last plan wanted more than could be ordered.
	waits bool
	// memberChanges counts changes of standing and of drains.
	memberChanges uint64
}

// hostEntry is a backend server as the zone knows it.
type hostEntry struct {
	listed platform.Host
	member *member.Host
	state  member.State
}

// copyKey names a copy of a model.
type copyKey struct {
	host        string
	accelerator int
	model       string
	version     string
}

// drain is a copy that no longer takes requests and is to be unloaded.
type drain struct {
	since time.Time
	// taken is the routes sequence that entry hosts must have taken.
	taken uint64
}

// NewZone returns the decider of a zone; share is its part of the weight store.
func NewZone(name string, share float64, ring *event.Ring) *Zone {
	z := &Zone{
		name:     name,
		ring:     ring,
		set:      config.NewSet(config.Revision{}, nil),
		ledger:   ledger.New(),
		members:  map[string]*hostEntry{},
		demands:  newDemands(),
		drains:   map[copyKey]*drain{},
		drained:  map[string]bool{},
		copies:   map[string]cachedCopies{},
		fencedAt: map[string]time.Time{},
		share:    share,
		routes:   newRouteTable(name),
	}
	z.setPolicy()
	return z
}

// SetConfig moves to a newer configuration.
func (z *Zone) SetConfig(set *config.Set) {
	z.set = set
	z.setPolicy()
}

func (z *Zone) setPolicy() {
	policy := z.set.Policy()
	if z.store != nil && policy == z.policy {
		return
	}
	z.policy = policy
	burst := max(int(float64(policy.Store.FullSpeed)*z.share), 1)
	z.store = rate.NewLimiter(rate.Limit(policy.Store.LoadsPerSecond*z.share), burst)
}

// SetAuthority notes the epoch that the keepers granted and when its lease ends.
func (z *Zone) SetAuthority(epoch uint64, leaseEnd time.Time) {
	if epoch != z.epoch {
		z.epoch = epoch
		z.seq = 0
		z.fencedAt = map[string]time.Time{}
		z.routes.setEpoch(epoch)
	}
	z.leaseEnd = leaseEnd
}

// Epoch returns the epoch that the zone commands at, 0 for none.
func (z *Zone) Epoch() uint64 { return z.epoch }

// Listed takes in the platform's list.
func (z *Zone) Listed(list platform.List, now time.Time) {
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

// Reported takes in an engine's report.
func (z *Zone) Reported(host string, report engine.Report, now time.Time) {
	entry := z.members[host]
	if entry == nil || report.Host != host {
		return
	}
	if report.Epoch > z.epoch && z.epoch != 0 {
		z.loseAuthority("an engine has seen a newer epoch")
	}
	entry.member.Answered(report.Leaving, now)
	z.ledger.Observe(report, z.checks(entry), now)
}

// Answered takes in that a plain service answered its health check.
func (z *Zone) Answered(host string, leaving bool, now time.Time) {
	if entry := z.members[host]; entry != nil {
		entry.member.Answered(leaving, now)
	}
}

func (z *Zone) loseAuthority(reason string) {
	z.ring.Add(event.Event{Kind: event.AuthorityLost, Zone: z.name, Reason: reason})
	z.epoch = 0
}

// checks reports whether a host's engine refuses orders of an older epoch.
func (z *Zone) checks(entry *hostEntry) bool {
	pool, _ := z.set.Get(config.Key{Kind: config.KindPool, Name: entry.listed.Pool})
	return pool.Pool != nil && pool.Pool.ChecksOrders
}

// Demand takes in an entry host's counts.
func (z *Zone) Demand(report wire.DemandReport) { z.demands.add(report) }

// Drain empties a host, or takes that back.
func (z *Zone) Drain(host string, undo bool) {
	z.memberChanges++
	if undo {
		delete(z.drained, host)
		return
	}
	z.drained[host] = true
}

// SendTo is an order with the host it goes to.
type SendTo struct {
	Host    string
	Address string
	Order   engine.Order
}

// Step lets time pass and returns the orders to send now; each is counted in
// the ledger already. taken is the oldest routes sequence that the entry hosts
// in reach act on.
func (z *Zone) Step(now time.Time, taken uint64) []SendTo {
	z.demands.sample(now)
	z.tickMembers(now)
	var orders []SendTo
	if z.epoch != 0 {
		orders = append(orders, z.place(now)...)
		orders = append(orders, z.unloadDrained(now, taken)...)
		orders = append(orders, z.fences(now)...)
	}
	z.updateRoutes()
	z.noteDoubt()
	return orders
}

// place plans, if anything has changed that a plan depends on. Most steps of a
// zone find nothing new, so that its work grows with what changes.
func (z *Zone) place(now time.Time) []SendTo {
	key := z.planKey()
	if key == z.planned && !z.waits {
		return nil
	}
	z.waits = false
	orders := append(z.plan(now), z.adapters(now)...)
	z.waits = z.waits || len(orders) > 0
	z.planned = key
	return orders
}

// planKey stands for all that a plan depends on but the time.
type planKey struct {
	set     *config.Set
	epoch   uint64
	changes uint64
	members uint64
	demand  uint64
}

func (z *Zone) planKey() planKey {
	key := planKey{set: z.set, epoch: z.epoch, members: z.memberChanges, demand: z.demands.levels()}
	for name := range z.members {
		if host := z.ledger.Host(name); host != nil {
			key.changes += host.Changes()
		}
	}
	return key
}

func (z *Zone) noteDoubt() {
	if doubted := z.ledger.InDoubt(); doubted != z.doubted {
		if doubted > z.doubted {
			z.ring.Add(event.Event{Kind: event.OrderInDoubt, Zone: z.name, Reason: fmt.Sprintf("%d in doubt", doubted)})
		} else {
			z.ring.Add(event.Event{Kind: event.OrderSettled, Zone: z.name, Reason: fmt.Sprintf("%d in doubt", doubted)})
		}
		z.doubted = doubted
	}
}

var memberEvents = map[member.State]event.Kind{
	member.Live:    event.HostLive,
	member.Suspect: event.HostSuspect,
	member.Leaving: event.HostLeaving,
	member.Gone:    event.HostGone,
}

func (z *Zone) tickMembers(now time.Time) {
	for _, name := range z.hostNames() {
		entry := z.members[name]
		entry.member.Tick(now)
		state := entry.member.State()
		if state == entry.state {
			continue
		}
		z.memberChanges++
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

// hostNames returns the known hosts in a fixed order, so that equal inputs lead
// to equal orders.
func (z *Zone) hostNames() []string {
	names := make([]string, 0, len(z.members))
	for name := range z.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// accelerators returns the zone's accelerators in a fixed order.
func (z *Zone) accelerators() []place.Accelerator {
	var all []place.Accelerator
	for _, name := range z.hostNames() {
		host := z.ledger.Host(name)
		if host == nil {
			continue
		}
		open := z.members[name].state == member.Live && !z.drained[name]
		for i := 0; i < host.Accelerators(); i++ {
			all = append(all, place.Accelerator{Host: name, Index: i, Free: host.Free(i), Open: open, Slots: host.Report().Slots})
		}
	}
	return all
}

// Input returns all that the next plan depends on.
func (z *Zone) Input(now time.Time) place.Input {
	in := place.Input{Accelerators: z.accelerators(), Weigh: z.policy.Weigh, Loads: z.loadsNow(now)}
	for _, model := range z.set.ModelNames() {
		if contains(z.set.AssignedZones(model), z.name) {
			in.Models = append(in.Models, z.model(model))
		}
	}
	z.addCopies(&in)
	return in
}

func contains(words []string, word string) bool {
	for _, other := range words {
		if other == word {
			return true
		}
	}
	return false
}

func (z *Zone) model(name string) place.Model {
	m := place.Model{Name: name, Footprint: z.set.Footprint(name), Demand: z.demands.of(name)}
	for _, object := range z.set.OfKind(config.KindSelector) {
		selector := object.Selector
		if !selector.Matches(z.set.Model(name)) {
			continue
		}
		m.Rank = max(m.Rank, selector.Rank)
		m.Copies = max(m.Copies, selector.Copies)
		if selector.Apart {
			m.Apart = append(m.Apart, object.Key.Name)
		}
		if selector.Together {
			m.Together = append(m.Together, object.Key.Name)
		}
	}
	return m
}

// loadsNow is how many loads the weight store's limits allow to be started.
func (z *Zone) loadsNow(now time.Time) int {
	loading := 0
	for name := range z.members {
		if host := z.ledger.Host(name); host != nil {
			loading += host.Loading()
		}
	}
	atOnce := max(int(float64(z.policy.Store.FullSpeed)*z.share), 1)
	return max(min(atOnce-loading, int(z.store.TokensAt(now))), 0)
}

// addCopies fills in the copies that are resident or ordered, and takes the
// memory that their adapters are still owed from what is free.
func (z *Zone) addCopies(in *place.Input) {
	for i := range in.Accelerators {
		accelerator := &in.Accelerators[i]
		for _, copied := range z.copiesAt(accelerator.Host, accelerator.Index) {
			if !copied.based {
				continue
			}
			known := z.set.Model(copied.key.model)
			_, draining := z.drains[copied.key]
			owed := copied.owed(z.set)
			stale := known == nil || known.Version != copied.key.version
			if !draining && !stale && known != nil {
				if owed > accelerator.Free {
					// The adapters that were added since have no room here.
					stale = true
				} else {
					accelerator.Free -= owed
				}
			}
			in.Copies = append(in.Copies, place.Copy{Model: copied.key.model, Accelerator: i, Ready: copied.ready, Stale: stale, Leaving: draining})
		}
	}
}

// heldCopy is a model on an accelerator with the adapters it has there.
type heldCopy struct {
	key   copyKey
	ready bool
	// based is false for adapters whose model is neither here nor ordered.
	based    bool
	adapters map[string]engine.CopyState
}

func (c heldCopy) adapterNames() []string {
	names := make([]string, 0, len(c.adapters))
	for name := range c.adapters {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// owed is the memory of the adapters that the copy should have and has not.
func (c heldCopy) owed(set *config.Set) config.Bytes {
	var sum config.Bytes
	for _, name := range set.AdapterNames(c.key.model) {
		if _, found := c.adapters[name]; !found {
			sum += set.Adapter(name).Memory
		}
	}
	return sum
}

// cachedCopies are a host's copies as they were at a count of its changes.
type cachedCopies struct {
	account *ledger.Host
	changes uint64
	copies  [][]heldCopy
}

// copiesAt returns the copies on an accelerator, resident and ordered, in a
// fixed order. They are worked out anew only after the host's account changed.
func (z *Zone) copiesAt(hostName string, accelerator int) []heldCopy {
	host := z.ledger.Host(hostName)
	cached := z.copies[hostName]
	if cached.account != host || cached.changes != host.Changes() || len(cached.copies) != host.Accelerators() {
		cached = cachedCopies{account: host, changes: host.Changes()}
		for i := 0; i < host.Accelerators(); i++ {
			cached.copies = append(cached.copies, findCopies(host, hostName, i))
		}
		z.copies[hostName] = cached
	}
	return cached.copies[accelerator]
}

func findCopies(host *ledger.Host, hostName string, accelerator int) []heldCopy {
	byKey := map[copyKey]*heldCopy{}
	get := func(w engine.Weights) *heldCopy {
		key := copyKey{hostName, accelerator, w.Model, w.Version}
		if byKey[key] == nil {
			byKey[key] = &heldCopy{key: key, adapters: map[string]engine.CopyState{}}
		}
		return byKey[key]
	}
	for _, copied := range host.Report().Copies {
		if copied.Accelerator != accelerator || copied.State == engine.CopyFailed {
			continue
		}
		held := get(copied.Weights)
		if copied.Weights.Adapter != "" {
			held.adapters[copied.Weights.Adapter] = copied.State
			continue
		}
		held.based = true
		held.ready = copied.State == engine.CopyReady
	}
	for _, order := range host.Pending() {
		if order.Accelerator != accelerator || order.Action != engine.ActionLoad {
			continue
		}
		held := get(order.Weights)
		if adapter := order.Weights.Adapter; adapter != "" {
			if _, found := held.adapters[adapter]; !found {
				held.adapters[adapter] = engine.CopyLoading
			}
			continue
		}
		held.based = true
	}
	all := make([]heldCopy, 0, len(byKey))
	for _, held := range byKey {
		all = append(all, *held)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].key, all[j].key
		if a.model != b.model {
			return a.model < b.model
		}
		return a.version < b.version
	})
	return all
}
