package exchange

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wire"
)

// Permits issues the permits that are needed to send requests to replicas with a rate limit over
// all gateways: cold replicas of services with a cold rate, and replicas that name a limit.
type Permits struct {
	// Request waits for a permit. If it is nil, no permits are issued and such replicas get no
	// requests.
	Request func(ctx context.Context, request wire.PermitRequest) (wire.PermitReply, error)
}

const (
	// permitCostMS is the cost in milliseconds of asking for a permit: one round trip to the
	// leader.
	permitCostMS = 5.0
	// permitTimeout limits the wait for the issuer's reply. A permit that arrives later would be of
	// little use, since its validity counts from when it was asked for.
	permitTimeout = ratelimit.PermitTTL / 2
	// maxPermitWaitShare is the share of its target that a request waits for a permit. The issuer
	// announces the wait in advance, so a request whose wait would be longer does not wait at all.
	maxPermitWaitShare = 0.5
	// permitRetryDelay is how long a replica is not chosen after no issuer could grant a permit or
	// say when there will be one.
	permitRetryDelay = 200 * time.Millisecond
	// maxPermitRequests is the number of replicas for which a request asks for a permit. After that
	// it considers only replicas that need none.
	maxPermitRequests = 2
)

// sendPermit allows one request to be sent to a replica.
type sendPermit struct {
	peer  *Peer
	until time.Time
	// limit is the replica's limit when the permit was issued.
	limit ratelimit.State
	// term and number identify the permit; they are 0 if the gateway issued it locally.
	term, number uint64
}

// covers reports whether the permit allows sending a request to the replica now. A permit that was
// issued before a lower limit was named is invalid; otherwise all permits issued in advance would
// still be used.
func (p *sendPermit) covers(now time.Time, peer *Peer) bool {
	return p.peer == peer && now.Before(p.until) && !peer.sharedLimit.currentLimit().Stricter(p.limit)
}

// needsPermit reports whether requests to a replica need a permit.
func (f *Fleet) needsPermit(peer *Peer) bool { return peer.sharedLimit.active.Load() || f.isCold(peer) }

// minPermitWait returns the minimum time that a request for a replica has to wait for a permit, as
// far as this is known.
func (f *Fleet) minPermitWait(peer *Peer) time.Duration {
	return max(time.Duration(peer.nextPermitAt.Load()-f.bootNow().UnixNano()), 0)
}

// maxPermitWait returns how long the request can wait for a permit. It is negative if the request
// must not ask for one.
func (c *call) maxPermitWait(now time.Time) time.Duration {
	if c.permitRequests >= maxPermitRequests {
		return -1
	}
	return max(min(c.shareEnd(maxPermitWaitShare).Sub(now), ratelimit.Horizon), 0)
}

// permitted reports whether the request may be sent to the chosen replica. If a permit is needed,
// it asks for one and waits until it becomes valid.
func (c *call) permitted(ctx context.Context, peer *Peer, maxWait time.Duration) bool {
	fleet := c.handler.options.Fleet
	if !fleet.needsPermit(peer) || c.sendPermit.covers(fleet.bootNow(), peer) {
		return true
	}
	c.permitRequests++
	asked := fleet.bootNow()
	answer := c.handler.requestPermit(ctx, peer, maxWait, c.priority())
	switch {
	case !fleet.needsPermit(peer):
		// The issuer knows that the replica is no longer limited.
		return true
	case !answer.Known:
		peer.nextPermitAt.Store(fleet.bootNow().Add(permitRetryDelay).UnixNano())
		return false
	case !answer.Granted:
		peer.nextPermitAt.Store(fleet.bootNow().Add(answer.Wait).UnixNano())
		return false
	}
	if !sleep(ctx, answer.Wait) {
		return false
	}
	c.permitWait += answer.Wait
	// The expiry counts from the request for the permit, since the reply may have been delayed.
	c.sendPermit = sendPermit{peer: peer, until: asked.Add(answer.Wait + ratelimit.PermitTTL), limit: answer.State, term: answer.Term, number: answer.Permit}
	return c.sendPermit.covers(fleet.bootNow(), peer)
}

// pickWithPermit chooses a replica for which a permit is available at once. Slots are only assigned
// at replicas that need no permit, so the capacity of cold and limited replicas would otherwise be
// unused.
func (c *call) pickWithPermit(ctx context.Context, now time.Time, want Requirements) (Choice, bool) {
	want.PermitOnly, want.MaxPermitWait = true, 0
	choice := c.handler.options.Fleet.Pick(now, want, c.tried)
	if choice.Verdict != Chosen {
		return choice, false
	}
	permitted := c.permitted(ctx, choice.Peer, 0)
	c.permitRequests = 0
	return choice, permitted
}

// requestPermit asks for a permit and applies the issuer's limit of the replica. A negative maxWait
// only reports the known limit. If no issuer replies, the gateway issues permits from its own share
// of the rate.
func (h *Handler) requestPermit(ctx context.Context, peer *Peer, maxWait time.Duration, priority int) ratelimit.Reply {
	if h.options.Permits.Request == nil {
		return ratelimit.Reply{}
	}
	report := peer.sharedLimit.report()
	request := wire.PermitRequest{
		Service: peer.service, Replica: peer.ID(), WithinMS: maxWait.Milliseconds(), Priority: priority, Warm: !h.options.Fleet.isCold(peer),
		Limited: report.word.Limited, PerSecond: report.word.PerSecond, FromResponse: report.word.FromResponse, Term: report.word.Term, Permit: report.word.Permit,
	}
	if maxWait < 0 {
		request.WithinMS = -1
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := h.options.Permits.Request(ctx, request)
	if err != nil || !reply.Known || !reply.Limits && report.word.Limited {
		h.options.Metrics.PermitsLost.Inc(1)
		return h.issueLocalPermit(peer, maxWait, priority)
	}
	answer := ratelimit.Reply{
		Known: true, Granted: reply.Granted, Wait: time.Duration(reply.WaitUS) * time.Microsecond,
		State: ratelimit.State{Limited: reply.Limited, PerSecond: reply.PerSecond}, Term: reply.Term, Version: reply.Version, Permit: reply.Permit,
	}
	if reply.Limits {
		h.options.Fleet.applyIssuedLimit(peer, answer.State, answer.Term, answer.Version, report.heard)
	}
	return answer
}

// issueLocalPermit takes a permit from the gateway's own share of the rate.
func (h *Handler) issueLocalPermit(peer *Peer, maxWait time.Duration, priority int) ratelimit.Reply {
	fleet := h.options.Fleet
	request := ratelimit.Request{Server: peer.ID(), LimitReport: ratelimit.LimitReport{State: peer.sharedLimit.currentLimit()}, MaxWait: maxWait, Priority: priority}
	if fleet.isCold(peer) {
		request.ColdPerSecond = fleet.coldRate(peer.service)
	}
	return h.localIssuer.Take(fleet.bootNow(), request, ratelimit.GatewayShare(h.Gateways()))
}

// usePermit reports whether a request may be sent to a replica now, and uses its permit if the
// replica needs one. The permit counts as used even if the send fails.
func (c *call) usePermit(peer *Peer) bool {
	fleet := c.handler.options.Fleet
	if !fleet.needsPermit(peer) {
		return true
	}
	covered := c.sendPermit.covers(fleet.bootNow(), peer)
	c.sendPermit = sendPermit{}
	return covered
}
