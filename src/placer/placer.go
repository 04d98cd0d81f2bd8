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
	// planInterval is the time between two plans of the models.
	planInterval = 250 * time.Millisecond
	// minStepPause batches wake-ups: each answer to an order and each heartbeat of a replica wakes
	// the placer, hundreds of times a second at 240 replicas, where a step takes 1 ms
	// (BenchmarkStepAtSizes).
	minStepPause = 20 * time.Millisecond
	// stepPauseFactor is the ratio of the pause after a step to the duration of the step. Up to
	// maxStepPause, it bounds steps to a fifth of the leader's CPU time. A step visits all replicas
	// and takes 20 ms at 3,000 of them (BenchmarkStepAtSizes); with pauses of 20 ms, steps used
	// most of the half core of a control node and delayed consensus.
	stepPauseFactor = 4
	// maxStepPause bounds that pause, so that a large installation does not delay a copy that
	// requests wait for.
	maxStepPause = 200 * time.Millisecond
	// callTimeout bounds one call to a replica.
	callTimeout = 600 * time.Millisecond
	// reportInterval is the time between two requests for a report of a replica in an unknown
	// state. A report describes the state some hundred milliseconds ago.
	reportInterval = 700 * time.Millisecond
	// drainTime is how long gateways have to stop sending requests to a copy before its unload is
	// ordered.
	drainTime = 500 * time.Millisecond
	// adapterLoadBase and adapterLoadPerMB estimate the load time of an adapter.
	adapterLoadBase  = 8 * time.Millisecond
	adapterLoadPerMB = 300 * time.Microsecond
	// adapterLoadDefault is the load time assumed for an adapter whose load began at an unknown
	// time.
	adapterLoadDefault = 100 * time.Millisecond
	// registrationQuietPeriod is how long no new replica must have registered before the first
	// plan.
	registrationQuietPeriod = 1300 * time.Millisecond
	// missingWindow is how long a model or adapter counts as missing after a request waited for it.
	missingWindow = 2 * time.Second
	// maxLoadingAdapters is the number of adapters that may be loading on one replica.
	maxLoadingAdapters = 4
)

// Leading describes the leadership of this node.
type Leading struct {
	// Self is true while this node leads and its lease is valid.
	Self bool
	// Token is the term of the leadership, which is unique to one holder.
	Token uint64
	// Since is when this node became the leader.
	Since time.Time
}

// Options configure a placer.
type Options struct {
	// Holder is the name of this node in its orders; see Order.
	Holder string
	Calls  Calls
	// Leading returns the current leadership; it is called right before each order, see SendCheck. It must be safe
	// for concurrent use.
	Leading func() Leading
	// Table returns the configuration in force, nil if there is none.
	Table func() *catalog.Table
	// Publish sends gateways the copies that differ from what the replicas last reported.
	Publish func(*wire.Holdings)
	// Lease is the time that has to pass between the orders of two holders.
	Lease time.Duration
	Ring  *event.Ring
	Now   func() time.Time
	// Speed returns the speed of a replica relative to the mean one of its service, as learned by
	// gateways; nil means that all are equal.
	Speed func(replica string) float64
	// Go runs a call concurrently; nil means in a goroutine.
	Go func(func())
}

// Placer places models and adapters on replicas. It is safe for concurrent use.
type Placer struct {
	options Options

	mu       sync.Mutex
	replicas map[string]*replicaState
	demand   *demand
	buckets  map[string]*tokenBucket
	// fencingToken is the term of the current leadership; fenced is set once a replica rejected an
	// order because it has seen a higher token.
	fencingToken    uint64
	fenced          bool
	holdingsVersion uint64
	// publishedCopies are the copies in the last holdings sent to gateways.
	publishedCopies []wire.Holding
	// publishedComing are the models listed as coming in the last holdings sent to gateways.
	publishedComing []modelKey
	wake            wakeup.Flag
	// plannedAt is when the models of each service were last planned.
	plannedAt map[string]time.Time
	// lastNewReplicaAt is when the latest replica was first seen, firstReplicaAt when the first one
	// was. registrationsSettled is set once all replicas have had the time to register.
	lastNewReplicaAt     time.Time
	firstReplicaAt       time.Time
	registrationsSettled bool
	// unplaced are the models that no replica had room for in the last plan.
	unplaced map[modelKey]bool
	// zoneDrains are the drained zones, whose replicas get no orders; nil if there are none.
	zoneDrains *wire.ZoneDrains
	// noCopySince holds when each model without a copy was first seen without one.
	noCopySince map[modelKey]time.Time
}

// New returns a placer without replicas.
func New(options Options) *Placer {
	if options.Go == nil {
		options.Go = func(f func()) { go f() }
	}
	return &Placer{
		options:     options,
		replicas:    map[string]*replicaState{},
		demand:      newDemand(),
		buckets:     map[string]*tokenBucket{},
		wake:        wakeup.New(),
		plannedAt:   map[string]time.Time{},
		unplaced:    map[modelKey]bool{},
		noCopySince: map[modelKey]time.Time{},
	}
}

// SetReplicas applies changes to the registered replicas.
func (p *Placer) SetReplicas(changes registry.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for i := range changes.Entries {
		p.updateReplica(now, &changes.Entries[i])
	}
	for _, id := range changes.Removed {
		delete(p.replicas, id)
	}
	p.wake.Raise()
}

// updateReplica applies the registration of one replica; the lock is held.
func (p *Placer) updateReplica(now time.Time, e *registry.Entry) {
	r := p.replicas[e.Record.ID]
	if r == nil {
		r = newReplicaState(e.Record)
		p.replicas[e.Record.ID] = r
		p.lastNewReplicaAt = now
		if p.firstReplicaAt.IsZero() {
			p.firstReplicaAt = now
		}
	}
	r.record = e.Record
	r.listed = e.Usable()
	p.updateUsable(r)
	if e.Record.Sequence > r.recordSequence {
		r.recordSequence = e.Record.Sequence
		r.reconcile(now, e.Record.Models, false)
	}
}

// updateUsable recomputes whether a replica may get orders and its copies count. A replica in a
// drained zone is not usable, so that its models are loaded elsewhere as if it had failed. The lock
// is held.
func (p *Placer) updateUsable(r *replicaState) {
	r.usable = r.listed && !r.leaving && !p.zoneDrains.Drained(r.record.Zone)
}

// SetDrains sets the drained zones, whose replicas get no orders.
func (p *Placer) SetDrains(zoneDrains *wire.ZoneDrains) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneDrains = zoneDrains
	for _, r := range p.replicas {
		p.updateUsable(r)
	}
	p.wake.Raise()
}

// RecordUsage records what the requests of a gateway asked for.
func (p *Placer) RecordUsage(usage wire.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.record(p.options.Now(), usage)
	for _, asked := range usage.Models {
		if asked.Missing > 0 {
			p.wake.Raise()
			return
		}
	}
}

// Run plans and sends orders until the context ends.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake.Raised():
		}
		lead := p.options.Leading()
		if began := p.options.Now(); p.hasAuthority(began, lead) {
			p.step(ctx, lead)
			time.Sleep(pauseAfter(p.options.Now().Sub(began)))
		}
	}
}

// pauseAfter returns the pause after a step of the given duration.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(stepPauseFactor*took, minStepPause), maxStepPause)
}

// hasAuthority reports whether this node may send orders: it leads, and the lease of any earlier
// holder has expired.
func (p *Placer) hasAuthority(now time.Time, lead Leading) bool {
	return lead.Self && now.Sub(lead.Since) >= p.options.Lease
}

// step makes all decisions that are due.
func (p *Placer) step(ctx context.Context, lead Leading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lead.Token != p.fencingToken {
		p.beginTerm(lead)
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

// beginTerm resets the state that depends on orders, since the orders of earlier holders are not
// known.
func (p *Placer) beginTerm(lead Leading) {
	p.fencingToken = lead.Token
	p.fenced = false
	p.holdingsVersion = 0
	p.publishedCopies = nil
	p.buckets = map[string]*tokenBucket{}
	p.noCopySince = map[modelKey]time.Time{}
	for _, r := range p.replicas {
		r.orderCountKnown = false
		r.runsUnknownOrder = false
		r.pendingLoad = ""
	}
	p.options.Ring.Add(event.Event{Kind: event.AuthorityGranted, Host: p.options.Holder, Reason: fmt.Sprintf("orders under fencing token %d", lead.Token)})
}

// stepService updates the replicas of a service and plans its models and adapters.
func (p *Placer) stepService(ctx context.Context, now time.Time, s *catalog.Service) {
	replicas := p.replicasOf(s.Name)
	for _, r := range replicas {
		p.advance(ctx, now, r)
	}
	if p.registrationsComplete(now) && now.Sub(p.plannedAt[s.Name]) >= planInterval/2 {
		p.planModels(ctx, now, s, replicas)
	}
	copyCounts := countAdapterCopies(s.Name, replicas)
	p.planAdapters(ctx, now, s, replicas, copyCounts)
	p.replicateAdapters(ctx, now, s, replicas, copyCounts)
}

// registrationsComplete reports whether the existing replicas have had the time to register. A plan
// made with only half of the replicas would load models again that the others hold.
func (p *Placer) registrationsComplete(now time.Time) bool {
	if !p.registrationsSettled && !p.firstReplicaAt.IsZero() {
		p.registrationsSettled = now.Sub(p.lastNewReplicaAt) >= registrationQuietPeriod || now.Sub(p.firstReplicaAt) >= p.options.Lease
	}
	return p.registrationsSettled
}

// replicasOf returns the replicas of a service in the order of their IDs.
func (p *Placer) replicasOf(service string) []*replicaState {
	var replicas []*replicaState
	for _, id := range sortedIDs(p.replicas) {
		if r := p.replicas[id]; r.record.Service == service {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// advance applies what changes by the passage of time alone on a replica: it requests reports of
// replicas in an unknown state, marks loaded adapters as ready and unloads drained copies.
func (p *Placer) advance(ctx context.Context, now time.Time, r *replicaState) {
	if !r.usable {
		return
	}
	if r.backingOff = now.Before(r.backoffUntil); r.backingOff {
		return
	}
	if (!r.orderCountKnown || r.outcomeUnknown || r.runsUnknownOrder) && !r.callInFlight && now.Sub(r.reportRequestedAt) >= reportInterval {
		p.requestReport(ctx, now, r)
	}
	for name, c := range r.copies {
		for _, a := range c.adapters {
			if a.phase == loading && !a.readyAt.IsZero() && !now.Before(a.readyAt) {
				a.phase = ready
			}
		}
		if c.phase == draining && now.Sub(c.since) >= drainTime && p.mayOrder(r) && !r.runsUnknownOrder {
			p.sendOrder(ctx, now, r, Order{Operation: Unload, Model: name})
		}
		if c.phase == loading && now.Sub(c.since) > loadTimeout {
			r.outcomeUnknown = true
		}
	}
}

// loadTimeout is how long a load may go unconfirmed before a report is requested.
const loadTimeout = 25 * time.Second

// mayOrder reports whether an order may be sent to a replica now.
func (p *Placer) mayOrder(r *replicaState) bool {
	return r.usable && r.orderCountKnown && !r.outcomeUnknown && !r.callInFlight && !r.backingOff
}

// requestReport asks a replica for a report in the background; the lock is held.
func (p *Placer) requestReport(ctx context.Context, now time.Time, r *replicaState) {
	r.callInFlight = true
	r.reportRequestedAt = now
	name, address := r.record.ReplicaName(), r.record.Address
	p.options.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		report, err := p.options.Calls.Report(ctx, name, address)
		p.mu.Lock()
		defer p.mu.Unlock()
		r.callInFlight = false
		r.updateAvailability(p.options.Now(), report.Availability)
		if err == nil && report.of(&r.record) {
			r.applyReport(p.options.Now(), report)
		}
		p.wake.Raise()
	})
}
