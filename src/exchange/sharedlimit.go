package exchange

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wire"
)

// sharedLimit is the rate limit of one incarnation of a replica over all gateways together, as
// known to this gateway from the replica's responses and from the permit issuer. It is safe for
// concurrent use.
type sharedLimit struct {
	// active is set while the replica is limited, so that the check costs one atomic load.
	active atomic.Bool

	mu    sync.Mutex
	limit ratelimit.State
	// since is when the limit took effect here, lastNamedAt when a response or the issuer last
	// named one.
	since, lastNamedAt time.Time
	// term and version identify the issuer's statement that was applied last.
	term, version uint64
	// unreported is the last statement of a response that no issuer has received yet, nil if there
	// is none.
	unreported *ratelimit.LimitReport
	// reporting is set while a report to the issuer is in progress.
	reporting bool
	// fault describes the last limit that could not be parsed.
	fault string
}

// sentRequest describes the request to which a response belongs.
type sentRequest struct {
	// sentAt is when the request was sent. term and grant are the term and number of its permit, 0
	// if it had none.
	sentAt      time.Time
	term, grant uint64
	// succeeded is set if the replica ran the request without a server error.
	succeeded bool
}

// limitReport is a report of a limit to the issuer.
type limitReport struct {
	word ratelimit.LimitReport
	// heard is the statement of a response from which the report was made, nil if it only repeats
	// the known limit.
	heard *ratelimit.LimitReport
}

func (t *sharedLimit) currentLimit() ratelimit.State { return t.limitSince().limit }

// limitSince is a limit and the time since which it is in effect.
type limitSince struct {
	limit ratelimit.State
	since time.Time
}

func (t *sharedLimit) limitSince() limitSince {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limitSince{limit: t.limit, since: t.since}
}

// noteReply records what a response says about the limit. It reports whether the issuer must be
// told now.
//
// A lower limit takes effect at once. A higher one, or the absence of one, may come from a response
// that was overtaken by a newer one, so it takes effect only once the issuer has compared it with
// the reports of the other gateways. An error or rejection without a limit does not lift the limit,
// since it may come from a proxy in front of the replica.
func (t *sharedLimit) noteReply(now time.Time, reply RateLimit, sent sentRequest) (report bool) {
	if !reply.Valid && (!t.active.Load() || reply.ParseError != "" || !sent.succeeded) {
		return false
	}
	word := &ratelimit.LimitReport{State: ratelimit.State{Limited: reply.Valid, PerSecond: reply.PerSecond}, FromResponse: true, Term: sent.term, Permit: sent.grant}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case word.State == t.limit:
		if reply.Valid {
			t.lastNamedAt = now
		}
		t.unreported = word
		return false
	case word.Stricter(t.limit):
		t.set(now, word.State)
	case !sent.sentAt.After(t.lastNamedAt):
		return false
	}
	t.unreported = word
	return true
}

// report returns what the issuer is to be told.
func (t *sharedLimit) report() limitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreported != nil {
		return limitReport{word: *t.unreported, heard: t.unreported}
	}
	return limitReport{word: ratelimit.LimitReport{State: t.limit}}
}

// applyIssued applies a limit from the issuer, with its term and version; heard is the statement of
// a response that the issuer was told, if any. Term 0 stands for a limit that other gateways heard
// while there was no issuer; it can only lower the limit. applyIssued reports whether the limit
// changed.
func (t *sharedLimit) applyIssued(now time.Time, s ratelimit.State, term, version uint64, heard *ratelimit.LimitReport) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == 0 {
		if s.Stricter(t.limit) {
			t.set(now, s)
			return true
		}
		return false
	}
	if heard != nil && t.unreported == heard {
		t.unreported = nil
	}
	if term < t.term || term == t.term && version < t.version {
		return false
	}
	if t.unreported != nil && t.unreported.Stricter(s) {
		// A response has named a lower limit since, which the issuer does not know yet.
		return false
	}
	t.term, t.version = term, version
	if s == t.limit {
		return false
	}
	t.set(now, s)
	return true
}

// applyUnconfirmed applies the statement of a response that could not be reported to any issuer. It
// reports whether the limit changed.
func (t *sharedLimit) applyUnconfirmed(now time.Time, heard *ratelimit.LimitReport) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreported != heard || heard.State == t.limit {
		return false
	}
	t.set(now, heard.State)
	return true
}

// set changes the limit; the lock is held.
func (t *sharedLimit) set(now time.Time, s ratelimit.State) {
	t.limit, t.since = s, now
	if s.Limited {
		t.lastNamedAt = now
	}
	t.active.Store(s.Limited)
}

// inherit copies the limit of an earlier incarnation.
func (t *sharedLimit) inherit(earlier *sharedLimit) {
	limit := earlier.currentLimit()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.active.Store(limit.Limited)
}

// noteFault records a parse error and reports whether it differs from the previous one.
func (t *sharedLimit) noteFault(fault string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.fault != fault
	t.fault = fault
	return changed
}

// beginReport reports whether no report is in progress. If so, the caller must make one.
func (t *sharedLimit) beginReport() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := !t.reporting
	t.reporting = true
	return begun
}

// endReport ends a report. It returns true if the caller must report again because a response named
// another limit in the meantime.
func (t *sharedLimit) endReport(reported *ratelimit.LimitReport) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reporting = t.unreported != nil && t.unreported != reported && t.unreported.State != t.limit
	return t.reporting
}

// noteLimit records what a response says about its replica's limit, and tells the issuer if it is
// new.
func (h *Handler) noteLimit(peer *Peer, reply RateLimit, sent sentRequest) {
	fleet := h.options.Fleet
	if reply.ParseError != "" && peer.sharedLimit.noteFault(reply.ParseError) {
		fleet.ring.Add(event.Event{Kind: event.RateLimitChanged, Host: peer.ID(), Reason: "a limit that can't be read, so none: " + reply.ParseError})
	}
	if !reply.Valid && !peer.sharedLimit.active.Load() {
		return
	}
	before := peer.sharedLimit.limitSince()
	if reply.Valid {
		breaks, _ := peer.pool.checkIdle()
		peer.brokenAtLimit.Store(int64(breaks))
	}
	report := peer.sharedLimit.noteReply(fleet.bootNow(), reply, sent)
	fleet.logLimitChange(peer, before, "by an answer")
	if report && peer.sharedLimit.beginReport() {
		go h.reportLimit(peer)
	}
}

// reportLimit reports a limit to the issuer, and repeats this while responses name other limits.
func (h *Handler) reportLimit(peer *Peer) {
	for again := true; again; {
		heard := peer.sharedLimit.report().heard
		before := peer.sharedLimit.limitSince()
		answer := h.requestPermit(context.Background(), peer, -1, 0)
		if !answer.Known && heard != nil && peer.sharedLimit.applyUnconfirmed(h.options.Fleet.bootNow(), heard) {
			h.options.Fleet.logLimitChange(peer, before, "by an answer, no issuer in reach")
		}
		again = peer.sharedLimit.endReport(heard)
	}
}

// applyIssuedLimit applies the issuer's limit of a replica.
func (f *Fleet) applyIssuedLimit(peer *Peer, s ratelimit.State, term, version uint64, heard *ratelimit.LimitReport) {
	before := peer.sharedLimit.limitSince()
	changed := peer.sharedLimit.applyIssued(f.bootNow(), s, term, version, heard)
	if changed || !s.Limited {
		// The next request asks for a permit again without delay.
		peer.nextPermitAt.Store(0)
	}
	f.logLimitChange(peer, before, "by the issuer")
}

// SetLimits applies the limits that the issuer sends to all gateways.
func (f *Fleet) SetLimits(limits wire.Limits) {
	for _, told := range limits.Limits {
		f.mu.Lock()
		peer := f.peers[told.Replica]
		f.mu.Unlock()
		if peer != nil {
			f.applyIssuedLimit(peer, ratelimit.State{Limited: told.Limited, PerSecond: told.PerSecond}, limits.Term, limits.Version, nil)
		}
	}
}

// logLimitChange logs a limit that differs from the one before.
func (f *Fleet) logLimitChange(peer *Peer, before limitSince, source string) {
	if now := peer.sharedLimit.currentLimit(); now != before.limit {
		f.ring.Add(event.Event{Kind: event.RateLimitChanged, Host: peer.ID(), Reason: fmt.Sprintf("%s, before %s for %s; %s", now, before.limit, f.bootNow().Sub(before.since).Round(time.Millisecond), source)})
	}
}

// describePermitNeed describes why a replica needs permits.
func (f *Fleet) describePermitNeed(peer *Peer) string {
	text := ""
	if s := peer.sharedLimit.currentLimit(); s.Limited {
		text = " takes " + s.String() + " from all gateways"
	}
	if f.isCold(peer) {
		text += " is cold"
	}
	return text + ", with a permit in " + f.minPermitWait(peer).Round(time.Millisecond).String()
}

// LimitedReplicas returns the number of replicas with a shared rate limit.
func (f *Fleet) LimitedReplicas() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, peer := range f.peers {
		if peer.sharedLimit.active.Load() {
			count++
		}
	}
	return count
}
