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

// Times of the gate.
const (
	// confirmInterval is how often a gate without requests confirms its configuration; several
	// attempts fit into the time for which a confirmation counts.
	confirmInterval = time.Second
	// confirmRetryDelay is the pause after a failed confirmation.
	confirmRetryDelay = 200 * time.Millisecond
	// confirmTimeout limits one confirmation.
	confirmTimeout = 500 * time.Millisecond
	// trustMargin is subtracted from the time for which a confirmation counts, for the time between
	// the check of a request and its arrival.
	trustMargin = 250 * time.Millisecond
	// exhaustedTTL is how long a gate refuses an account based on the last answer, so that a flood
	// does not cause a call to a control node for each request.
	exhaustedTTL = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait that a refused client is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// unreachableBackoff is how long no calls are made after one without an answer, so that
	// requests at a disconnected gateway don't each wait for a timeout.
	unreachableBackoff = 100 * time.Millisecond
	// electionWait is how long requests wait for an expected election when no node can admit them:
	// after a loss of power of all nodes there was a leader 0.67 s after its start. In a longer
	// outage requests are refused at once.
	electionWait = 800 * time.Millisecond
	// retryInterval is the pause between two attempts of a waiting request.
	retryInterval = 30 * time.Millisecond
	// maxAskInterval bounds the time between two calls for an account that could not be admitted. One
	// request calls for all that wait at the gateway: if each did, the calls of a few thousand waiting
	// requests would keep the control nodes from answering any.
	maxAskInterval = 200 * time.Millisecond
	// minUnsureRetryAfter is the shortest wait told to a client whose request no node could admit:
	// an election takes half a second to one. A longer outage is expected to last as long again.
	minUnsureRetryAfter = 500 * time.Millisecond
	// unsureRetention is how long after its last request an account's outage is remembered. Clients return
	// within a few seconds.
	unsureRetention = time.Minute
)

// AskFunc calls a control node.
type AskFunc func(ctx context.Context, request wire.AdmitRequest) (wire.AdmitReply, error)

// GateOptions configure a gate.
type GateOptions struct {
	Request AskFunc
	// Trust is how long after the configuration was known to be the newest requests with a key are
	// served, 0 for no limit.
	Trust time.Duration
	// GrantTTL is how long a grant may be spent.
	GrantTTL time.Duration
	// GiveBack gives units back to a control node. It must not block. If it is nil, they stay for the
	// next requests of the account at this gateway.
	GiveBack func(account string, units float64)
	Ring     *event.Ring
	Now      func() time.Time
	// Sleep waits for d; it reports false if the context ended first.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// Sleep waits for d; it reports false if the context ended first.
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
	// unreachableUntil is until when no calls are made.
	unreachableUntil time.Time
	// unsure holds the outages of accounts whose requests can't be admitted; "" stands for the
	// confirmation of the configuration.
	unsure map[string]outage
	// trusted is the state that was logged last.
	trusted bool
}

// outage is the time in which an account's requests could not be admitted.
type outage struct {
	since time.Time
	// lastAt is when a request was last refused because of it.
	lastAt time.Time
	// askAt is when the next call may be made, askInterval the time between the last two.
	askAt       time.Time
	askInterval time.Duration
}

// noteCall sets the time of the next call after one that is made now.
func (o *outage) noteCall(now time.Time) {
	o.askInterval = min(max(2*o.askInterval, retryInterval), maxAskInterval)
	o.askAt = now.Add(o.askInterval)
}

// NewGate returns a gate without a confirmed configuration.
func NewGate(options GateOptions) *Gate {
	return &Gate{options: options, grants: quota.NewGrants(), unsure: map[string]outage{}}
}

// Run keeps the configuration confirmed until the context ends. inForce returns the version that
// the gateway uses, and whether it has client accounts.
func (g *Gate) Run(ctx context.Context, inForce func() (version uint64, keyed bool)) {
	pause := confirmInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = confirmInterval
		g.sweep(g.options.Now())
		version, keyed := inForce()
		if !keyed {
			continue
		}
		now := g.options.Now()
		g.logTrustChange(now, version)
		if now.Sub(g.confirmedAt(version)) < confirmInterval {
			continue
		}
		if !g.Confirm(ctx) {
			pause = confirmRetryDelay
		}
	}
}

// sweep removes expired state. Accounts that are removed from the configuration send no request that would
// remove theirs.
func (g *Gate) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.Sweep(now)
	for account, unsure := range g.unsure {
		if now.Sub(unsure.lastAt) > unsureRetention {
			delete(g.unsure, account)
		}
	}
}

// Confirm asks a control node when the configuration was last the newest; it reports whether there
// was an answer.
func (g *Gate) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := g.ask(ctx, wire.AdmitRequest{})
	if err != nil || reply.Version == 0 {
		g.noteUnsure(g.options.Now(), "")
		return false
	}
	g.clearUnsure("")
	return true
}

// AwaitConfirmation waits until a version is confirmed, at most as long as an expected election
// takes; it reports whether the version is confirmed.
func (g *Gate) AwaitConfirmation(ctx context.Context, version uint64) bool {
	for {
		if g.Confirmed(g.options.Now(), version) {
			return true
		}
		if g.mayAsk(g.options.Now(), "") {
			g.Confirm(ctx)
		}
		if g.Confirmed(g.options.Now(), version) {
			return true
		}
		if !g.waitForElection(ctx, "") {
			return false
		}
	}
}

// ask calls a control node and records the confirmation in its answer.
func (g *Gate) ask(ctx context.Context, request wire.AdmitRequest) (wire.AdmitReply, error) {
	sentAt := g.options.Now()
	if g.unreachable(sentAt) {
		return wire.AdmitReply{}, errUnreachable
	}
	reply, err := g.options.Request(ctx, request)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.unreachableUntil = g.options.Now().Add(unreachableBackoff)
		return reply, err
	}
	g.freshness.Confirm(reply.Version, sentAt.Add(-time.Duration(reply.AgeMS)*time.Millisecond))
	return reply, nil
}

// errUnreachable means that no control node answered recently.
var errUnreachable = errors.New("no control node answered lately")

func (g *Gate) unreachable(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.unreachableUntil)
}

func (g *Gate) confirmedAt(version uint64) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshness.ConfirmedAt(version)
}

// Confirmed reports whether a version was confirmed so recently that requests with a key may be
// served by it.
func (g *Gate) Confirmed(now time.Time, version uint64) bool {
	if g.options.Trust <= 0 {
		return true
	}
	return now.Sub(g.confirmedAt(version)) < g.options.Trust-trustMargin
}

// logTrustChange logs when the configuration ceases to be trusted, or is trusted again.
func (g *Gate) logTrustChange(now time.Time, version uint64) {
	trusted := g.Confirmed(now, version)
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
	g.options.Ring.Add(event.Event{Kind: kind, Reason: "confirmed " + formatAge(now, g.freshness.ConfirmedAt(version))})
}

func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

// Verdict is the result of Admit.
type Verdict struct {
	Admission wire.Admission
	// Until is until when a granted request may be sent.
	Until time.Time
	// RetryAfter is when a request that was not granted should be retried.
	RetryAfter time.Duration
}

// Admit requests units of an account's limit for a request. It waits while an election is expected.
func (g *Gate) Admit(ctx context.Context, account *catalog.Account, units float64) Verdict {
	for {
		verdict := g.admitOnce(ctx, account, units)
		if verdict.Admission != wire.AdmissionUnknown || !g.waitForElection(ctx, account.Name) {
			return verdict
		}
	}
}

// waitForElection waits before the next attempt. It reports false if the outage has lasted longer
// than an election takes.
func (g *Gate) waitForElection(ctx context.Context, account string) bool {
	g.mu.Lock()
	since := g.unsure[account].since
	g.mu.Unlock()
	if g.options.Now().Sub(since) >= electionWait {
		return false
	}
	return g.options.Sleep(ctx, retryInterval)
}

func (g *Gate) admitOnce(ctx context.Context, account *catalog.Account, units float64) Verdict {
	now := g.options.Now()
	g.mu.Lock()
	until, taken := g.grants.Take(now, account.Name, units)
	empty := g.grants.ExhaustedWait(now, account.Name)
	g.mu.Unlock()
	switch {
	case taken:
		return Verdict{Admission: wire.AdmissionGranted, Until: until}
	case empty > 0:
		return Verdict{Admission: wire.QuotaExhausted, RetryAfter: addJitter(empty)}
	case !g.mayAsk(now, account.Name):
		return Verdict{RetryAfter: g.noteUnsure(now, account.Name)}
	}
	reply, err := g.ask(ctx, wire.AdmitRequest{Account: account.Name, Units: units})
	if err != nil || reply.Admission == wire.AdmissionUnknown {
		return Verdict{RetryAfter: g.noteUnsure(now, account.Name)}
	}
	g.clearUnsure(account.Name)
	if reply.Admission == wire.AdmissionGranted {
		return Verdict{Admission: wire.AdmissionGranted, Until: now.Add(g.options.GrantTTL)}
	}
	wait := min(time.Duration(reply.WaitMS)*time.Millisecond, maxRetryAfter)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.SetExhausted(account.Name, g.options.Now().Add(min(wait, exhaustedTTL)), wait)
	return Verdict{Admission: wire.QuotaExhausted, RetryAfter: addJitter(wait)}
}

// mayAsk reports whether a call for an account may be made now, and counts it. While requests of the
// account can't be admitted, one of them calls for all.
func (g *Gate) mayAsk(now time.Time, account string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	unsure, known := g.unsure[account]
	if !known {
		return true
	}
	if now.Before(unsure.askAt) {
		return false
	}
	unsure.noteCall(now)
	g.unsure[account] = unsure
	return true
}

// noteUnsure records that a request could not be admitted and returns when to retry.
func (g *Gate) noteUnsure(now time.Time, account string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	unsure, known := g.unsure[account]
	if !known {
		unsure.since = now
		unsure.noteCall(now)
	}
	unsure.lastAt = now
	g.unsure[account] = unsure
	return addJitter(max(now.Sub(unsure.since), minUnsureRetryAfter))
}

func (g *Gate) clearUnsure(account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unsure, account)
}

// Return gives back the units of a granted request that was not run. Units whose grant has ended
// count as used.
func (g *Gate) Return(account string, units float64, until time.Time) {
	if g.options.GiveBack != nil {
		if g.options.Now().Before(until) {
			g.options.GiveBack(account, units)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.Put(g.options.Now(), account, units, until)
}

// addJitter returns the wait plus up to half of it, so that clients that were refused together
// don't retry together.
func addJitter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait/2)))
}
