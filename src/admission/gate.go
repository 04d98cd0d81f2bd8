package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/quota"
	"github.com/moorspool/moorspool/src/wire"
)

// The gate's times.
const (
	// confirmEvery is how often a gate that sees no requests has its configuration
	// confirmed: several tries fit into the time for which one counts.
	confirmEvery = time.Second
	// confirmAgain is the pause after a confirmation that failed.
	confirmAgain = 200 * time.Millisecond
	// confirmWithin bounds one confirmation.
	confirmWithin = 500 * time.Millisecond
	// trustMargin is kept from the time for which a confirmation counts, for the way of a
	// request that is checked and then sent.
	trustMargin = 250 * time.Millisecond
	// emptyCounts bounds how long a gate refuses an account by what it heard last, so that
	// a flood does not ask a control node for each of its requests.
	emptyCounts = 50 * time.Millisecond
	// shortestWait and longestWait bound what a refused client is told to wait.
	shortestWait = 50 * time.Millisecond
	longestWait  = 2 * time.Second
	// unreachableFor is how long nobody is asked after an ask that nobody answered, so that
	// requests at a gateway that is cut off don't each wait for that.
	unreachableFor = 100 * time.Millisecond
	// electionTime is how long requests wait once nobody can admit them, for the election
	// that is expected: after all had lost power there was a leader 0.67 s after its start.
	// An outage that lasts longer is none, and requests are refused at once.
	electionTime = 800 * time.Millisecond
	// askAgain is the pause between two asks of a waiting request.
	askAgain = 30 * time.Millisecond
	// retryUnsure is what a client is told at least whose request nobody could admit: an
	// election takes half a second to one. An outage that has lasted longer is expected to
	// last as long again.
	retryUnsure = 500 * time.Millisecond
)

// AskFunc asks a control node.
type AskFunc func(ctx context.Context, request wire.AdmitRequest) (wire.AdmitReply, error)

// GateOptions are what a gate needs.
type GateOptions struct {
	Ask AskFunc
	// Trust is how long requests with a key are served after the configuration was known
	// to be the newest, 0 for ever.
	Trust time.Duration
	// Life is how long a grant may be spent.
	Life time.Duration
	Ring *event.Ring
	Now  func() time.Time
	// Sleep waits for a while; it reports false if the context ended first.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// Sleep waits for a while; it reports false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Gate admits a gateway's requests; it is safe for concurrent use.
type Gate struct {
	options GateOptions

	mu        sync.Mutex
	freshness Freshness
	grants    *quota.Grants
	// unreachableUntil is until when nobody is asked.
	unreachableUntil time.Time
	// unsureSince is since when an account's requests can't be admitted; "" stands for the
	// confirmation of the configuration.
	unsureSince map[string]time.Time
	// trusted is what was logged last.
	trusted bool
}

// NewGate returns a gate that knows nothing yet.
func NewGate(options GateOptions) *Gate {
	return &Gate{options: options, grants: quota.NewGrants(), unsureSince: map[string]time.Time{}}
}

// Run has the configuration confirmed until the context ends; keyed reports whether there
// are accounts, and version which configuration the gateway acts on.
func (g *Gate) Run(ctx context.Context, inForce func() (version uint64, keyed bool)) {
	pause := confirmEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = confirmEvery
		version, keyed := inForce()
		if !keyed {
			continue
		}
		now := g.options.Now()
		g.noteTrust(now, version)
		if now.Sub(g.confirmedAt(version)) < confirmEvery {
			continue
		}
		if !g.Confirm(ctx) {
			pause = confirmAgain
		}
	}
}

// Confirm asks how lately the configuration was the newest; it reports whether anybody knew.
func (g *Gate) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	reply, err := g.ask(ctx, wire.AdmitRequest{})
	if err != nil || reply.Version == 0 {
		g.unsure(g.options.Now(), "")
		return false
	}
	g.sure("")
	return true
}

// AwaitTrust waits until a configuration of a version is trusted, as long as an election
// is expected; it reports whether it is.
func (g *Gate) AwaitTrust(ctx context.Context, version uint64) bool {
	for {
		if g.Trusted(g.options.Now(), version) {
			return true
		}
		g.Confirm(ctx)
		if g.Trusted(g.options.Now(), version) {
			return true
		}
		if !g.wait(ctx, "") {
			return false
		}
	}
}

// ask asks a control node and takes in what it says of the configuration.
func (g *Gate) ask(ctx context.Context, request wire.AdmitRequest) (wire.AdmitReply, error) {
	sentAt := g.options.Now()
	if g.unreachable(sentAt) {
		return wire.AdmitReply{}, errUnreachable
	}
	reply, err := g.options.Ask(ctx, request)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.unreachableUntil = g.options.Now().Add(unreachableFor)
		return reply, err
	}
	g.freshness.Confirm(reply.Version, sentAt.Add(-time.Duration(reply.AgeMS)*time.Millisecond))
	return reply, nil
}

// errUnreachable means that nobody answered lately.
var errUnreachable = errors.New("no control node answered lately")

func (g *Gate) unreachable(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.unreachableUntil)
}

func (g *Gate) confirmedAt(version uint64) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshness.At(version)
}

// Trusted reports whether a configuration of a version was known to be the newest so
// lately that requests with a key may be served by it.
func (g *Gate) Trusted(now time.Time, version uint64) bool {
	if g.options.Trust <= 0 {
		return true
	}
	return now.Sub(g.confirmedAt(version)) < g.options.Trust-trustMargin
}

// noteTrust logs when the configuration ceases to be trusted, or is again.
func (g *Gate) noteTrust(now time.Time, version uint64) {
	trusted := g.Trusted(now, version)
	g.mu.Lock()
	defer g.mu.Unlock()
	if trusted == g.trusted {
		return
	}
	g.trusted = trusted
	kind := event.TrustLost
	if trusted {
		kind = event.TrustRegained
	}
	g.options.Ring.Add(event.Event{Kind: kind, Reason: "confirmed " + age(now, g.freshness.At(version))})
}

func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

// Verdict is what a gate says of a request.
type Verdict struct {
	Admission wire.Admission
	// Until is until when a granted request may be sent.
	Until time.Time
	// RetryAfter is when a request that was not granted should come back.
	RetryAfter time.Duration
}

// Admit asks for a request's units of its account's limit. While an election is expected it
// waits for that.
func (g *Gate) Admit(ctx context.Context, account *catalog.Account, units float64) Verdict {
	for {
		verdict := g.admit(ctx, account, units)
		if verdict.Admission != wire.Unsure || !g.wait(ctx, account.Name) {
			return verdict
		}
	}
}

// wait waits a while before the next ask, if nobody could answer for so short a time that
// an election is expected; else it reports false.
func (g *Gate) wait(ctx context.Context, account string) bool {
	g.mu.Lock()
	since := g.unsureSince[account]
	g.mu.Unlock()
	if g.options.Now().Sub(since) >= electionTime {
		return false
	}
	return g.options.Sleep(ctx, askAgain)
}

func (g *Gate) admit(ctx context.Context, account *catalog.Account, units float64) Verdict {
	now := g.options.Now()
	g.mu.Lock()
	until, taken := g.grants.Take(now, account.Name, units)
	empty := g.grants.Empty(now, account.Name)
	g.mu.Unlock()
	switch {
	case taken:
		return Verdict{Admission: wire.Granted, Until: until}
	case empty > 0:
		return Verdict{Admission: wire.Spent, RetryAfter: spread(empty)}
	}
	reply, err := g.ask(ctx, wire.AdmitRequest{Account: account.Name, Units: units})
	if err != nil || reply.Admission == wire.Unsure {
		return Verdict{RetryAfter: g.unsure(now, account.Name)}
	}
	g.sure(account.Name)
	if reply.Admission == wire.Granted {
		return Verdict{Admission: wire.Granted, Until: now.Add(g.options.Life)}
	}
	wait := min(time.Duration(reply.WaitMS)*time.Millisecond, longestWait)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.SetEmpty(account.Name, g.options.Now().Add(min(wait, emptyCounts)), wait)
	return Verdict{Admission: wire.Spent, RetryAfter: spread(wait)}
}

// unsure notes that a request could not be admitted and returns when to come back.
func (g *Gate) unsure(now time.Time, account string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, known := g.unsureSince[account]
	if !known {
		since = now
		g.unsureSince[account] = now
	}
	return spread(max(now.Sub(since), retryUnsure))
}

func (g *Gate) sure(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unsureSince, account)
}

// Return gives back the units of a request that was granted and has not run.
func (g *Gate) Return(account string, units float64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.Put(g.options.Now(), account, units, until)
}

// spread returns a wait or up to half as long again, so that clients that were refused
// together don't come back together.
func spread(wait time.Duration) time.Duration {
	wait = min(max(wait, shortestWait), longestWait)
	return wait + time.Duration(rand.Int64N(int64(wait/2)))
}
