package placer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The placer's times.
const (
	// planEvery is how often models are planned.
	planEvery = 250 * time.Millisecond
	// stepPause joins what wakes the placer: each answer to an order and each replica's
	// word does, hundreds of times a second at 240 replicas, and a step costs 1 ms there
	// (BenchmarkStepAtSizes).
	stepPause = 20 * time.Millisecond
	// pausesPerStep is how many times a step's own time the pause after it lasts, at the
	// least: a step looks at all replicas, 20 ms at 3,000 of them (BenchmarkStepAtSizes), and
	// with 20 ms between steps it took most of a control node of half a core, for which
	// consensus waited. With this a leader spends at most a fifth of its processor on steps.
	pausesPerStep = 4
	// longestStepPause bounds that pause: a copy that requests wait for is not put off for
	// longer by the size of the installation.
	longestStepPause = 200 * time.Millisecond
	// orderTimeout bounds the wait for a replica's answer.
	orderTimeout = 600 * time.Millisecond
	// askAgain is the pause between two questions to a replica in doubt: a
	// report tells how things stood some hundred milliseconds before.
	askAgain = 700 * time.Millisecond
	// closeFor is how long gateways have to stop sending before an unload.
	closeFor = 500 * time.Millisecond
	// adapterShort and adapterPerMB estimate how long an adapter's load takes.
	adapterShort = 8 * time.Millisecond
	adapterPerMB = 300 * time.Microsecond
	// adapterLong is for adapters whose load began at an unknown time.
	adapterLong = 100 * time.Millisecond
	// gatherPause is how long no new replica must have come before the first plan.
	gatherPause = 1300 * time.Millisecond
	// missingSpan is how long a copy that requests waited for counts as missing.
	missingSpan = 2 * time.Second
	// maxTransit is how many adapters may be on their way to a replica.
	maxTransit = 4
)

// Leading tells whether this node may order.
type Leading struct {
	// Self is set while this node leads under a valid lease.
	Self bool
	// Token is the term: no other holder has the same.
	Token uint64
	// Since is when this node began to lead.
	Since time.Time
}

// Options are what a placer needs.
type Options struct {
	Holder string
	Calls  Calls
	// Leading is asked right before each order.
	Leading func() Leading
	// Table returns the configuration in force here, nil if there is none.
	Table func() *catalog.Table
	// Publish tells gateways what is known beyond the replicas' own words.
	Publish func(*wire.Holdings)
	// Lease is how long two holders must keep apart.
	Lease time.Duration
	Ring  *event.Ring
	Now   func() time.Time
	// Go runs a call beside the placer; nil means a goroutine.
	Go func(func())
}

// Placer places models on replicas; it is safe for concurrent use.
type Placer struct {
	options Options

	mu      sync.Mutex
	units   map[string]*unit
	demand  *demand
	buckets map[string]*bucket
	token   uint64
	fenced  bool
	version uint64
	// told are the copies that gateways were told of last.
	told []wire.Holding
	// toldComing are the models that they were told of last as being loaded.
	toldComing []modelKey
	wake       wakeup.Flag
	// planned is when each service's models were last planned.
	planned map[string]time.Time
	// newest is when a replica was last heard of for the first time, eldest when the
	// first was; gathered is set once they have been given time to come.
	newest   time.Time
	eldest   time.Time
	gathered bool
	unplaced map[modelKey]bool
	// drains are the zones whose replicas get nothing new; nil if there is none.
	drains *wire.ZoneDrains
	// lost are the models without a copy, with since when.
	lost map[modelKey]time.Time
}

// New returns a placer that knows no replicas.
func New(options Options) *Placer {
	if options.Go == nil {
		options.Go = func(f func()) { go f() }
	}
	return &Placer{
		options:  options,
		units:    map[string]*unit{},
		demand:   newDemand(),
		buckets:  map[string]*bucket{},
		wake:     wakeup.New(),
		planned:  map[string]time.Time{},
		unplaced: map[modelKey]bool{},
		lost:     map[modelKey]time.Time{},
	}
}

// SetReplicas takes in what changed of the replicas as the control nodes see them.
func (p *Placer) SetReplicas(changes registry.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for i := range changes.Entries {
		p.takeEntry(now, &changes.Entries[i])
	}
	for _, id := range changes.Removed {
		delete(p.units, id)
	}
	p.wake.Raise()
}

// takeEntry takes in one replica; the lock is held.
func (p *Placer) takeEntry(now time.Time, e *registry.Entry) {
	u := p.units[e.Record.ID]
	if u == nil {
		u = newUnit(e.Record)
		p.units[e.Record.ID] = u
		p.newest = now
		if p.eldest.IsZero() {
			p.eldest = now
		}
	}
	u.record = e.Record
	u.listed = e.Usable()
	p.setUsable(u)
	if e.Record.Sequence > u.beat {
		u.beat = e.Record.Sequence
		u.reconcile(now, e.Record.Models, false)
	}
}

// setUsable brings up to date whether a replica may be ordered to, and counts as a place for
// copies: what a drained zone holds has to come elsewhere, as if it were lost. The lock is held.
func (p *Placer) setUsable(u *unit) {
	u.usable = u.listed && !u.leaving && !p.drains.Drained(u.record.Zone)
}

// SetDrains takes in the zones whose replicas get nothing new, no orders either.
func (p *Placer) SetDrains(drains *wire.ZoneDrains) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains = drains
	for _, u := range p.units {
		p.setUsable(u)
	}
	p.wake.Raise()
}

// TakeUsage takes in what a gateway's requests ask for.
func (p *Placer) TakeUsage(usage wire.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.take(p.options.Now(), usage)
	for _, asked := range usage.Models {
		if asked.Missing > 0 {
			p.wake.Raise()
			return
		}
	}
}

// Run places until the context ends.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake.Raised():
		}
		lead := p.options.Leading()
		if began := p.options.Now(); p.due(began, lead) {
			p.step(ctx, lead)
			time.Sleep(pauseAfter(p.options.Now().Sub(began)))
		}
	}
}

// pauseAfter returns the pause after a step that took a time.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(pausesPerStep*took, stepPause), longestStepPause)
}

// due reports whether this node may order: it leads, and any earlier holder has
// been silent for a lease.
func (p *Placer) due(now time.Time, lead Leading) bool {
	return lead.Self && now.Sub(lead.Since) >= p.options.Lease
}

// step takes all decisions that are due.
func (p *Placer) step(ctx context.Context, lead Leading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lead.Token != p.token {
		p.begin(lead)
	}
	if p.fenced {
		return
	}
	table := p.options.Table()
	if table == nil {
		return
	}
	now := p.options.Now()
	services := table.Document().Services
	for i := range services {
		if services[i].Engine != nil {
			p.stepService(ctx, now, &services[i])
		}
	}
	p.publish(now)
}

// begin takes up the work of a term: what other holders ordered is not known.
func (p *Placer) begin(lead Leading) {
	p.token = lead.Token
	p.fenced = false
	p.version = 0
	p.told = nil
	p.buckets = map[string]*bucket{}
	p.lost = map[modelKey]time.Time{}
	for _, u := range p.units {
		u.known = false
		u.busy = false
		u.next = ""
	}
	p.options.Ring.Add(event.Event{Kind: event.AuthorityGranted, Host: p.options.Holder, Reason: fmt.Sprintf("orders under fencing token %d", lead.Token)})
}

func (p *Placer) stepService(ctx context.Context, now time.Time, s *catalog.Service) {
	units := p.unitsOf(s.Name)
	for _, u := range units {
		p.settle(ctx, now, u)
	}
	if p.complete(now) && now.Sub(p.planned[s.Name]) >= planEvery/2 {
		p.planModels(ctx, now, s, units)
	}
	holders := adapterHolders(s.Name, units)
	p.planAdapters(ctx, now, s, units, holders)
	p.spreadAdapters(ctx, now, s, units, holders)
}

// complete reports whether the replicas that exist have had the time to register.
// Planned with half of them, models that the others hold would seem lost.
func (p *Placer) complete(now time.Time) bool {
	if !p.gathered && !p.eldest.IsZero() {
		p.gathered = now.Sub(p.newest) >= gatherPause || now.Sub(p.eldest) >= p.options.Lease
	}
	return p.gathered
}

func (p *Placer) unitsOf(service string) []*unit {
	var units []*unit
	for _, id := range sortedIDs(p.units) {
		if u := p.units[id]; u.record.Service == service {
			units = append(units, u)
		}
	}
	return units
}

// settle moves on what time alone moves: questions to replicas in doubt,
// adapters that have arrived, copies that are closed long enough.
func (p *Placer) settle(ctx context.Context, now time.Time, u *unit) {
	if !u.usable {
		return
	}
	if u.quiet = now.Before(u.quietUntil); u.quiet {
		return
	}
	if (!u.known || u.doubt || u.busy) && !u.sending && now.Sub(u.askedAt) >= askAgain {
		p.ask(ctx, now, u)
	}
	for name, c := range u.copies {
		for _, a := range c.adapters {
			if a.phase == loading && !a.readyAt.IsZero() && !now.Before(a.readyAt) {
				a.phase = ready
			}
		}
		if c.phase == closing && now.Sub(c.since) >= closeFor && p.mayOrder(u) && !u.busy {
			p.send(ctx, now, u, Order{Operation: Unload, Model: name})
		}
		if c.phase == loading && now.Sub(c.since) > loadPatience {
			u.doubt = true
		}
	}
}

// loadPatience is after how long a load that no word came of is asked about.
const loadPatience = 25 * time.Second

func (p *Placer) mayOrder(u *unit) bool {
	return u.usable && u.known && !u.doubt && !u.sending && !u.quiet
}

// ask gets a replica's report; the lock is held.
func (p *Placer) ask(ctx context.Context, now time.Time, u *unit) {
	u.sending = true
	u.askedAt = now
	name, address := u.record.ReplicaName(), u.record.Address
	p.options.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		report, err := p.options.Calls.Report(ctx, name, address)
		p.mu.Lock()
		defer p.mu.Unlock()
		u.sending = false
		u.hear(p.options.Now(), report.Word)
		if err == nil && report.of(&u.record) {
			u.takeReport(p.options.Now(), report)
		}
		p.wake.Raise()
	})
}
