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

// The granter's times.
const (
	// leaseEvery is how often a control node reports to the leader: a dozen times in a
	// lease, and often enough that shares follow clients within half a second.
	leaseEvery = 200 * time.Millisecond
	// leaseAgain is the pause after a report that no leader took: gateways wait for the
	// first one of a new leader.
	leaseAgain = 30 * time.Millisecond
	// leaseWithin bounds one report. A later answer counts for nothing.
	leaseWithin = 400 * time.Millisecond
	// drawWithin bounds an ask for what no control node has.
	drawWithin = 150 * time.Millisecond
	// longestTold bounds the wait that is told: clients don't wait longer.
	longestTold = 5 * time.Second
)

// Leadership is what a granter has to know of its control node.
type Leadership struct {
	// Self is set while the node leads with a valid lease and has applied all that is
	// committed; Version is then the newest accepted configuration.
	Self    bool
	Version uint64
	// Term is the leader's.
	Term uint64
	// Members are the control nodes.
	Members []string
	// Extensions are the recorded extensions by account.
	Extensions map[string]float64
}

// Leader are the calls to the leading control node, which may be this one.
type Leader struct {
	Lease func(ctx context.Context, request wire.LeaseRequest) (wire.LeaseReply, error)
	Draw  func(ctx context.Context, request wire.DrawRequest) (wire.DrawReply, error)
}

// GranterOptions are what a granter needs.
type GranterOptions struct {
	// Node names the control node, Life tells its restarts apart.
	Node       string
	Life       uint64
	Terms      quota.Terms
	Leader     Leader
	Leadership func() Leadership
	// Record records an account's extension on a majority's disks.
	Record func(ctx context.Context, account string, units float64) error
	// Table returns the newest configuration that the node has applied, nil if there is none.
	Table func() *catalog.Table
	Now   func() time.Time
}

// Granter grants a control node's part of the limits to its gateways and, while the node
// leads, divides the limits among the control nodes. It is safe for concurrent use.
type Granter struct {
	options GranterOptions

	mu        sync.Mutex
	holder    *quota.Holder
	freshness Freshness
	divider   *quota.Divider
	// known is what a divider told last, for the case that this node is the next one.
	known quota.Known
	term  uint64

	// recording is held while an extension is recorded, before mu.
	recording sync.Mutex
}

// NewGranter returns a granter without a share.
func NewGranter(options GranterOptions) *Granter {
	return &Granter{options: options, holder: quota.NewHolder(options.Node, options.Life, options.Terms)}
}

// Run reports to the leader until the context ends. There is one report at a time, so that
// what a report says of the node's shares stays true until its answer.
func (g *Granter) Run(ctx context.Context) {
	pause := leaseEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = leaseAgain
		if g.report(ctx) {
			pause = leaseEvery
			g.endExtensions(ctx)
		}
	}
}

// endExtensions records the end of the extensions that have left the window.
func (g *Granter) endExtensions(ctx context.Context) {
	lead, table := g.leads()
	if table == nil {
		return
	}
	g.mu.Lock()
	now := g.options.Now()
	ended := g.dividerOf(now, &lead).Ended(now)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaseWithin)
	defer cancel()
	for _, account := range ended {
		g.recording.Lock()
		err := g.record(ctx, &lead, account, 0)
		g.recording.Unlock()
		if err != nil {
			// The next round tries again; until then the next leader counts too much.
			return
		}
	}
}

// record records an extension and lets the divider of the same term use it; recording is held.
func (g *Granter) record(ctx context.Context, lead *Leadership, account string, units float64) error {
	if err := g.options.Record(ctx, account, units); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.divider != nil && g.term == lead.Term {
		g.divider.Recorded(account, units)
	}
	return nil
}

// report reports to the leader and takes in its answer; it reports false if there was none.
func (g *Granter) report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseWithin)
	defer cancel()
	sentAt := g.options.Now()
	reply, err := g.options.Leader.Lease(ctx, g.request(sentAt))
	// An error says that no leader was in reach; the next report tries again.
	if err != nil || !reply.Known || ctx.Err() != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.Confirm(reply.Version, sentAt)
	now := g.options.Now()
	g.holder.Apply(now, sentAt, fromWire(reply.Shares))
	g.known = quota.NewKnown(sentAt, now, usageFromWire(reply.Usage), reply.Complete)
	return true
}

func (g *Granter) request(now time.Time) wire.LeaseRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.holder.Report(now)
	return wire.LeaseRequest{Node: report.Holder, Life: report.Life, Sequence: report.Sequence, Shares: toWire(report.Shares)}
}

// Admit answers a gateway.
func (g *Granter) Admit(ctx context.Context, request wire.AdmitRequest) wire.AdmitReply {
	reply := wire.AdmitReply{}
	if request.Account != "" {
		reply.Admission, reply.WaitMS = g.grant(ctx, request)
	}
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if version, at := g.freshness.Newest(); version > 0 {
		reply.Version = version
		// Rounded up: an age must not be told as younger than it is.
		reply.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	return reply
}

// grant takes units from the node's share, or else from what no node has.
func (g *Granter) grant(ctx context.Context, request wire.AdmitRequest) (wire.Admission, int64) {
	now := g.options.Now()
	g.mu.Lock()
	g.holder.Ask(now, request.Account, request.Units)
	taken := g.holder.Take(now, request.Account, request.Units)
	g.mu.Unlock()
	if taken {
		return wire.Granted, 0
	}
	ctx, cancel := context.WithTimeout(ctx, drawWithin)
	defer cancel()
	reply, err := g.options.Leader.Draw(ctx, wire.DrawRequest(request))
	if err != nil {
		return wire.Unsure, 0
	}
	return reply.Admission, reply.WaitMS
}

// Lease answers a control node's report, if this node leads.
func (g *Granter) Lease(request wire.LeaseRequest) wire.LeaseReply {
	lead, table := g.leads()
	if table == nil {
		return wire.LeaseReply{Known: lead.Self, Version: lead.Version}
	}
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := quota.Report{Holder: request.Node, Life: request.Life, Sequence: request.Sequence, Shares: fromWire(request.Shares)}
	divider := g.dividerOf(now, &lead)
	shares := divider.Report(now, report, limits(table))
	usage, complete := divider.Usage(now)
	return wire.LeaseReply{Known: true, Version: lead.Version, Shares: toWire(shares), Usage: usageToWire(usage), Complete: complete}
}

// Draw answers an ask for what no control node has, if this node leads.
func (g *Granter) Draw(ctx context.Context, request wire.DrawRequest) wire.DrawReply {
	lead, table := g.leads()
	if table == nil {
		return wire.DrawReply{}
	}
	limit, limited := limits(table)(request.Account)
	if !limited {
		return wire.DrawReply{Admission: wire.Granted}
	}
	answer := g.take(&lead, request, limit)
	if answer.Record > 0 {
		answer = g.takeMore(ctx, &lead, request, limit)
	}
	switch {
	case answer.Taken:
		return wire.DrawReply{Admission: wire.Granted}
	case answer.Record > 0:
		return wire.DrawReply{}
	}
	return wire.DrawReply{Admission: wire.Spent, WaitMS: min(answer.Wait, longestTold).Milliseconds() + 1}
}

func (g *Granter) take(lead *Leadership, request wire.DrawRequest, limit quota.Limit) quota.Answer {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dividerOf(now, lead).Take(now, request.Account, request.Units, limit)
}

// takeMore records what the account's extension needs and takes from it. Asks that wait
// for a record find it made.
func (g *Granter) takeMore(ctx context.Context, lead *Leadership, request wire.DrawRequest, limit quota.Limit) quota.Answer {
	g.recording.Lock()
	defer g.recording.Unlock()
	answer := g.take(lead, request, limit)
	if answer.Record == 0 {
		return answer
	}
	if err := g.record(ctx, lead, request.Account, answer.Record); err != nil {
		// The node no longer leads, or its majority is gone: nobody can say.
		return answer
	}
	return g.take(lead, request, limit)
}

// leads returns the leadership and, if this node leads, the configuration.
func (g *Granter) leads() (Leadership, *catalog.Table) {
	lead := g.options.Leadership()
	if !lead.Self {
		return Leadership{}, nil
	}
	return lead, g.options.Table()
}

// dividerOf returns the divider of the node's term; the lock is held.
func (g *Granter) dividerOf(now time.Time, lead *Leadership) *quota.Divider {
	if g.divider == nil || g.term != lead.Term {
		g.divider, g.term = quota.NewDivider(g.options.Terms, now, lead.Members, lead.Extensions, g.known), lead.Term
	}
	return g.divider
}

// limits returns a function that finds an account's limit, false if it has none.
func limits(table *catalog.Table) func(string) (quota.Limit, bool) {
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

// Used returns what is asked for of each account at this node, in units a second.
func (g *Granter) Used() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Used(g.options.Now())
}
