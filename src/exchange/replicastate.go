package exchange

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/event"
)

// Limits on the states that are kept of replicas no longer listed.
const (
	// unlistedStateTTL is how long a state is kept. A listed replica that has gone silent is
	// removed after less.
	unlistedStateTTL = maxBackoff
	// maxUnlistedStates is several times the number of backend servers in the largest installation.
	// States of further replicas are dropped.
	maxUnlistedStates = 4096
)

// unlistedState is the state of a replica that is no longer listed.
type unlistedState struct {
	backoffState *backoffState
	// coldUntil and sharedLimit are those of the peer.
	coldUntil   int64
	sharedLimit *sharedLimit
	unlistedAt  time.Time
}

// saveState keeps the state of a replica that is no longer listed, if it is in backoff, leaving,
// cold or rate-limited; the lock is held.
func (f *Fleet) saveState(peer *Peer) {
	cold := peer.coldUntil.Load()
	restricted := peer.backoffState.restricted.Load() || peer.sharedLimit.active.Load() || cold > f.bootNow().UnixNano()
	if restricted && len(f.unlisted) < maxUnlistedStates {
		f.unlisted[peer.id] = unlistedState{backoffState: peer.backoffState, coldUntil: cold, sharedLimit: peer.sharedLimit, unlistedAt: f.now()}
	}
}

// restoreState restores the saved state of a replica that is listed again; the lock is held.
func (f *Fleet) restoreState(peer *Peer) {
	if unlisted, found := f.unlisted[peer.id]; found {
		peer.backoffState = unlisted.backoffState
		peer.sharedLimit = unlisted.sharedLimit
		peer.coldUntil.Store(unlisted.coldUntil)
		delete(f.unlisted, peer.id)
	}
}

// inheritState copies to a newly listed incarnation what was asked for at its address. Both
// incarnations answer at the same address and to the same name, so the first responses of the new
// one are attributed to the old one until a control node lists it. A backoff, a limit or a cold time is
// attributed to the new incarnation if no connection has broken since it was asked for, and either connections
// had broken before or an idle one is still open: the connections of an incarnation end with it. A
// leaving state would exclude the new incarnation permanently, so that it is confirmed first, see
// traceLeaving. The lock is held.
func (f *Fleet) inheritState(peer *Peer) {
	for _, earlier := range f.peers {
		restricted, limited, cold := earlier.backoffState.restricted.Load(), earlier.sharedLimit.active.Load(), earlier.coldReply.Load()
		if earlier.pool.address != peer.pool.address || earlier.name() != peer.name() || !restricted && !limited && cold == nil {
			continue
		}
		brokenConns, connected := earlier.pool.checkIdle()
		saidByLater := func(brokenAtWord int64) bool {
			return brokenAtWord == int64(brokenConns) && (brokenAtWord > 0 || connected)
		}
		if restricted && saidByLater(earlier.brokenAtBackoff.Load()) {
			peer.backoffState.inherit(earlier.backoffState)
		}
		if limited && saidByLater(earlier.brokenAtLimit.Load()) {
			peer.sharedLimit.inherit(earlier.sharedLimit)
		}
		if now := f.bootNow(); cold != nil && now.Before(cold.until) && saidByLater(cold.brokenConns) {
			peer.markCold(now, cold.until.Sub(now))
		}
	}
}

// expireStates drops the states of replicas that have not been listed for long; the lock is held.
func (f *Fleet) expireStates(now time.Time) {
	for id, unlisted := range f.unlisted {
		if now.Sub(unlisted.unlistedAt) > unlistedStateTTL {
			delete(f.unlisted, id)
		}
	}
}

// applyReply updates the replica's state from the head of a response. This applies to every head
// that arrives, even if no client receives the response, because it describes how the replica
// treats this gateway and not the request.
func (f *Fleet) applyReply(peer *Peer, reply *Reply) {
	if reply.Leaving {
		f.noteLeaving(peer)
	}
	if reply.Cold > 0 {
		peer.noteColdReply(f.bootNow(), reply.Cold)
	}
	switch {
	case reply.Backoff > 0:
		breaks, _ := peer.pool.checkIdle()
		peer.brokenAtBackoff.Store(int64(breaks))
		if peer.backoffState.backOff(f.bootNow(), reply.Backoff, rand.Float64()) {
			f.ring.Add(event.Event{Kind: event.BackoffAsked, Host: peer.ID(), Reason: fmt.Sprintf("for %s", min(reply.Backoff, maxBackoff))})
		}
	case reply.BackoffParseError != "":
		f.ring.Add(event.Event{Kind: event.BackoffAsked, Host: peer.ID(), Reason: "for a time that can't be read, so for none: " + reply.BackoffParseError})
	case reply.rejected():
		// A rejection without a backoff does not show that the replica accepts requests again.
	case peer.backoffState.restricted.Load() && peer.backoffState.noteAccepted(f.bootNow()):
		f.ring.Add(event.Event{Kind: event.BackoffOver, Host: peer.ID()})
	}
}

// closed reports whether a replica gets no new work whatever it answers: it is listed as leaving, a later
// start has its place, or its zone is drained.
func (f *Fleet) closed(peer *Peer) bool {
	return peer.listedLeaving.Load() || peer.replaced() || f.drained(peer)
}

// admit reports whether a replica accepts a request that is sent now, and counts it.
func (f *Fleet) admit(peer *Peer) bool {
	if f.closed(peer) || f.shareTaken(peer, 0) {
		return false
	}
	return !peer.backoffState.restricted.Load() || peer.backoffState.admit(f.bootNow())
}

// acceptsWithoutPermit reports whether a replica accepts requests now and needs no permit. Replicas
// in drained zones accept none.
func (f *Fleet) acceptsWithoutPermit(peer *Peer) bool {
	_, accepted := f.acceptsIn(peer)
	return accepted && !f.needsPermit(peer)
}

// acceptsIn reports whether a replica accepts requests now. If not, it returns the time until it
// may, 0 for never.
func (f *Fleet) acceptsIn(peer *Peer) (wait time.Duration, accepted bool) {
	if f.closed(peer) {
		return 0, false
	}
	if f.shareTaken(peer, 1) {
		return rejectionLimitRetry, false
	}
	if !peer.backoffState.restricted.Load() {
		return 0, true
	}
	now := f.bootNow()
	from, accepted := peer.backoffState.accepts(now)
	if accepted || from.IsZero() {
		return 0, accepted
	}
	return max(from.Sub(now), 1), false
}

// unavailable returns the IDs of the replicas of a service that accept no requests now, need a
// permit, or must not serve the request.
func (f *Fleet) unavailable(want *Requirements) []string {
	var ids []string
	for _, c := range f.index.lookup(want.Service, copyKey{}) {
		if !f.acceptsWithoutPermit(c.peer) || !f.mayServe(want, c.zone, c.peer) {
			ids = append(ids, c.peer.ID())
		}
	}
	return ids
}

// BackingOff returns the number of replicas with a backoff in effect for this gateway, and the
// number of those that announced that they are leaving.
func (f *Fleet) BackingOff() (backingOff, leaving int) {
	now := f.bootNow()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if peer.backoffState.backingOff(now) {
			backingOff++
		}
		if peer.backoffState.isLeaving() {
			leaving++
		}
	}
	return backingOff, leaving
}

// maxListedReplicas bounds the replicas that are listed in a refusal.
const maxListedReplicas = 8

// describeUnavailable lists the replicas that could run a request but accept none now, with the
// time until they do.
func (f *Fleet) describeUnavailable(want Requirements) string {
	var descriptions []string
	more := 0
	for _, c := range f.index.lookup(want.Service, copyKey{model: want.Model, adapter: want.Adapter}) {
		wait, accepted := f.acceptsIn(c.peer)
		switch {
		case accepted && !f.needsPermit(c.peer) || !f.mayServe(&want, c.zone, c.peer):
		case len(descriptions) == maxListedReplicas:
			more++
		case f.drained(c.peer):
			descriptions = append(descriptions, c.peer.ID()+" is in a drained zone")
		case c.peer.replaced():
			descriptions = append(descriptions, c.peer.ID()+" has started again")
		case accepted:
			descriptions = append(descriptions, c.peer.ID()+f.describePermitNeed(c.peer))
		case wait == 0:
			descriptions = append(descriptions, c.peer.ID()+" leaves")
		default:
			descriptions = append(descriptions, c.peer.ID()+" wants nothing for "+wait.Round(time.Millisecond).String())
		}
	}
	text := "no replica that could run it takes requests: " + strings.Join(descriptions, ", ")
	if more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// jitterRetry returns the time after which a refused client should retry if no replica accepts
// requests for acceptsIn. A draw from 0 to 1 adds up to half of it, so that clients refused
// together do not return together to a replica on trial.
func jitterRetry(acceptsIn time.Duration, draw float64) time.Duration {
	jitter := min(max(acceptsIn/2, minRetryJitter), maxRetryJitter)
	return acceptsIn + time.Duration(draw*float64(jitter))
}

// The limits of that jitter. The minimum covers about five doublings of a trial; the maximum spares
// a client that has waited for long.
const (
	minRetryJitter = 500 * time.Millisecond
	maxRetryJitter = 5 * time.Second
)
