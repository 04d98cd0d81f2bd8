package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/quota"
	"github.com/moorspool/moorspool/src/wire"
)

// Times of the granter.
const (
	// reportInterval is how often a control node reports to the leader: a dozen times in a lease,
	// and often enough that shares follow the demand within half a second.
	reportInterval = 200 * time.Millisecond
	// reportRetryDelay is the pause after a report without an answer. It is short because gateways
	// wait for the first report to a new leader.
	reportRetryDelay = 30 * time.Millisecond
	// reportTimeout limits one report; later answers are ignored.
	reportTimeout = 400 * time.Millisecond
	// drawTimeout limits a request for units that are not leased.
	drawTimeout = 150 * time.Millisecond
	// maxWait limits the wait in an answer; clients don't wait longer.
	maxWait = 5 * time.Second
)

// Leadership is the state of the granter's control node.
type Leadership struct {
	// Self is set while the node leads with a valid lease and has applied all committed entries;
	// Version is then the newest accepted configuration.
	Self    bool
	Version uint64
	// Term is the term of the leader.
	Term uint64
	// Members are the control nodes.
	Members []string
	// Extensions are the recorded extensions by account.
	Extensions map[string]float64
}

// Leader are the calls to the leading control node, which may be this one.
type Leader struct {
	Lease   func(ctx context.Context, request wire.LeaseRequest) (wire.LeaseReply, error)
	Reserve func(ctx context.Context, request wire.DrawRequest) (wire.DrawReply, error)
}

// GranterOptions configure a granter.
type GranterOptions struct {
	// Node is the name of the control node; Incarnation differs after each restart.
	Node        string
	Incarnation uint64
	Parameters  quota.Parameters
	Leader      Leader
	Leadership  func() Leadership
	// Confirmed returns the version that the node passes on to gateways and when a majority was last known
	// to have nothing newer, the zero time if never. It serves while there is no leader and may be nil.
	Confirmed func() (version uint64, at time.Time)
	// Record records an account's extension on a majority of disks.
	Record func(ctx context.Context, account string, units float64) error
	// Table returns the newest configuration that the node has applied, nil if there is none.
	Table func() *catalog.Table
	Now   func() time.Time
}

// Granter grants a control node's shares of the limits to its gateways. While the node leads it
// also divides the limits among the control nodes. It is safe for concurrent use.
type Granter struct {
	options GranterOptions

	mu        sync.Mutex
	holder    *quota.Holder
	freshness Freshness
	allocator *quota.Allocator
	// priorUsage is the usage that the leader reported last; it is used if this node becomes the
	// leader.
	priorUsage quota.PriorUsage
	term       uint64

	// recordMu are held while an extension of their account is recorded. They are locked before mu,
	// which protects the map.
	recordMu map[string]*sync.Mutex
}

// NewGranter returns a granter without shares.
func NewGranter(options GranterOptions) *Granter {
	return &Granter{options: options, holder: quota.NewHolder(options.Node, options.Incarnation, options.Parameters), recordMu: map[string]*sync.Mutex{}}
}

// lockRecord locks the recording of an account's extension and returns the function that unlocks it.
func (g *Granter) lockRecord(account string) func() {
	g.mu.Lock()
	lock := g.recordMu[account]
	if lock == nil {
		lock = &sync.Mutex{}
		g.recordMu[account] = lock
	}
	g.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// Run reports to the leader until the context ends. There is one report at a time, so that the
// shares in a report are still correct when the answer arrives.
func (g *Granter) Run(ctx context.Context) {
	pause := reportInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = reportRetryDelay
		if g.report(ctx) {
			pause = reportInterval
			g.reduceExtensions(ctx)
		}
	}
}

// reduceExtensions records less for the extensions of which far more is recorded than is used in the
// present window.
func (g *Granter) reduceExtensions(ctx context.Context) {
	lead, table := g.leadingTable()
	if table == nil {
		return
	}
	g.mu.Lock()
	now := g.options.Now()
	reducible := g.allocatorFor(now, &lead).Reducible(now)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, account := range reducible {
		if err := g.reduceExtension(ctx, &lead, account); err != nil {
			// Retried in the next round. Until then a new leader counts more than was used.
			return
		}
	}
}

// reduceExtension lowers an account's extension before it records that, so that no more is granted than
// the next leader finds.
func (g *Granter) reduceExtension(ctx context.Context, lead *Leadership, account string) error {
	defer g.lockRecord(account)()
	g.mu.Lock()
	if g.allocator == nil || g.term != lead.Term {
		g.mu.Unlock()
		return nil
	}
	units, changed := g.allocator.Reduce(g.options.Now(), account)
	g.mu.Unlock()
	if !changed {
		return nil
	}
	return g.record(ctx, lead, account, units)
}

// record records an extension and passes it to the allocator of the same term; the account's lock is
// held.
func (g *Granter) record(ctx context.Context, lead *Leadership, account string, units float64) error {
	if err := g.options.Record(ctx, account, units); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allocator != nil && g.term == lead.Term {
		g.allocator.Recorded(account, units)
	}
	return nil
}

// report reports to the leader and applies the answer; it reports false if there was none.
func (g *Granter) report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := g.options.Now()
	reply, err := g.options.Leader.Lease(ctx, g.leaseRequest(sentAt))
	// An error means that no leader was reachable; the next report tries again.
	if err != nil || !reply.Known || ctx.Err() != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.Confirm(reply.Version, sentAt)
	now := g.options.Now()
	g.holder.Apply(now, sentAt, fromWire(reply.Shares))
	g.priorUsage = quota.NewPriorUsage(sentAt, now, usageFromWire(reply.Usage), reply.Complete)
	return true
}

func (g *Granter) leaseRequest(now time.Time) wire.LeaseRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.holder.Report(now)
	return wire.LeaseRequest{Node: report.Holder, Incarnation: report.Incarnation, Sequence: report.Sequence, Shares: toWire(report.Shares)}
}

// Admit answers a gateway.
func (g *Granter) Admit(ctx context.Context, request wire.AdmitRequest) wire.AdmitReply {
	reply := wire.AdmitReply{}
	if request.Account != "" {
		reply.Admission, reply.WaitMS = g.grant(ctx, request)
	}
	confirmedVersion, confirmedAt := g.confirmedByMajority()
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.freshness.Newest(); confirmedAt.After(known) {
		g.freshness.Confirm(confirmedVersion, confirmedAt)
	}
	if version, at := g.freshness.Newest(); version > 0 {
		reply.Version = version
		// Rounded up, so that the configuration never seems more recent than it is.
		reply.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	return reply
}

// confirmedByMajority returns the version that a majority confirmed and when, 0 if none is known.
func (g *Granter) confirmedByMajority() (version uint64, at time.Time) {
	if g.options.Confirmed == nil {
		return 0, time.Time{}
	}
	version, at = g.options.Confirmed()
	if at.IsZero() {
		return 0, time.Time{}
	}
	return version, at
}

// grant takes units from the node's share, or else from the units that are not leased.
func (g *Granter) grant(ctx context.Context, request wire.AdmitRequest) (wire.Admission, int64) {
	now := g.options.Now()
	g.mu.Lock()
	g.holder.AddDemand(now, request.Account, request.Units)
	taken := g.holder.Take(now, request.Account, request.Units)
	g.mu.Unlock()
	if taken {
		return wire.AdmissionGranted, 0
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := g.options.Leader.Reserve(ctx, wire.DrawRequest(request))
	if err != nil {
		return wire.AdmissionUnknown, 0
	}
	return reply.Admission, reply.WaitMS
}

// GiveBack takes back units that a gateway was granted and will not use.
func (g *Granter) GiveBack(returned wire.AdmitReturn) {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range returned.Units {
		if r.Units > 0 && r.Account != "" {
			g.holder.GiveBack(now, r.Account, r.Units)
		}
	}
}

// Lease answers a control node's report if this node leads.
func (g *Granter) Lease(request wire.LeaseRequest) wire.LeaseReply {
	lead, table := g.leadingTable()
	if table == nil {
		return wire.LeaseReply{Known: lead.Self, Version: lead.Version}
	}
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := quota.Report{Holder: request.Node, Incarnation: request.Incarnation, Sequence: request.Sequence, Shares: fromWire(request.Shares)}
	allocator := g.allocatorFor(now, &lead)
	shares := allocator.Report(now, report, limitLookup(table))
	usage, complete := allocator.Usage(now)
	return wire.LeaseReply{Known: true, Version: lead.Version, Shares: toWire(shares), Usage: usageToWire(usage), Complete: complete}
}

// Reserve answers a request for units that are not leased, if this node leads.
func (g *Granter) Reserve(ctx context.Context, request wire.DrawRequest) wire.DrawReply {
	lead, table := g.leadingTable()
	if table == nil {
		return wire.DrawReply{}
	}
	limit, limited := limitLookup(table)(request.Account)
	if !limited {
		return wire.DrawReply{Admission: wire.AdmissionGranted}
	}
	answer := g.takeUnits(&lead, request, limit)
	if answer.Record > 0 {
		answer = g.takeExtension(ctx, &lead, request, limit)
	}
	switch {
	case answer.Taken:
		return wire.DrawReply{Admission: wire.AdmissionGranted}
	case answer.Record > 0, answer.Uncertain:
		return wire.DrawReply{}
	}
	return wire.DrawReply{Admission: wire.QuotaExhausted, WaitMS: min(answer.Wait, maxWait).Milliseconds() + 1}
}

func (g *Granter) takeUnits(lead *Leadership, request wire.DrawRequest, limit quota.Limit) quota.TakeResult {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocatorFor(now, lead).Take(now, request.Account, request.Units, limit)
}

// takeExtension records the extension that the account needs and takes units from it. Callers that
// waited for another recording may find that it is enough for them.
func (g *Granter) takeExtension(ctx context.Context, lead *Leadership, request wire.DrawRequest, limit quota.Limit) quota.TakeResult {
	began := g.options.Now()
	defer g.lockRecord(request.Account)()
	answer := g.takeUnits(lead, request, limit)
	if answer.Record == 0 || g.options.Now().Sub(began) >= drawTimeout {
		// Nobody waits any more for a request that waited too long for its turn.
		return answer
	}
	if err := g.record(ctx, lead, request.Account, answer.Record); err != nil {
		// The node no longer leads or has no majority, so the request can be neither granted nor refused.
		return answer
	}
	return g.takeUnits(lead, request, limit)
}

// leadingTable returns the leadership and, if this node leads, the configuration.
func (g *Granter) leadingTable() (Leadership, *catalog.Table) {
	lead := g.options.Leadership()
	if !lead.Self {
		return Leadership{}, nil
	}
	return lead, g.options.Table()
}

// allocatorFor returns the allocator of the present term; the lock is held.
func (g *Granter) allocatorFor(now time.Time, lead *Leadership) *quota.Allocator {
	if g.allocator == nil || g.term != lead.Term {
		g.allocator, g.term = quota.NewAllocator(g.options.Parameters, now, lead.Members, lead.Extensions, g.priorUsage), lead.Term
	}
	return g.allocator
}

// limitLookup returns a function that finds an account's limit, false if it has none.
func limitLookup(table *catalog.Table) func(string) (quota.Limit, bool) {
	return func(name string) (quota.Limit, bool) {
		account := table.Account(name)
		if account == nil || account.Limit.Rate <= 0 {
			return quota.Limit{}, false
		}
		return quota.Limit{Rate: account.Limit.Rate, Burst: account.Limit.Burst}, true
	}
}

func toWire(shares []quota.Share) []wire.QuotaShare {
	all := make([]wire.QuotaShare, 0, len(shares))
	for _, s := range shares {
		all = append(all, wire.QuotaShare(s))
	}
	return all
}

func fromWire(shares []wire.QuotaShare) []quota.Share {
	all := make([]quota.Share, 0, len(shares))
	for _, s := range shares {
		all = append(all, quota.Share(s))
	}
	return all
}

func usageToWire(usage []quota.Usage) []wire.QuotaUsage {
	all := make([]wire.QuotaUsage, 0, len(usage))
	for _, u := range usage {
		for i := range u.Used {
			u.Used[i] = math.Ceil(u.Used[i])
		}
		all = append(all, wire.QuotaUsage(u))
	}
	return all
}

func usageFromWire(usage []wire.QuotaUsage) []quota.Usage {
	all := make([]quota.Usage, 0, len(usage))
	for _, u := range usage {
		all = append(all, quota.Usage(u))
	}
	return all
}

// DemandRates returns the demand of each account at this node, in units a second.
func (g *Granter) DemandRates() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.DemandRates(g.options.Now())
}
