package exchange

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/wire"
)

// Slots assigns slots of services that have fewer slots than there are gateways.
type Slots struct {
	// Request waits for a slot. It is nil if slots are not assigned.
	Request func(ctx context.Context, request wire.PlaceRequest) (wire.PlaceReply, error)
	// Release reports how a request with a slot ended. It may block for a while.
	Release func(wire.PlaceRelease)
}

const (
	// slotReplyMargin is added to the time for which a slot is useful, when waiting for the reply.
	slotReplyMargin = 30 * time.Millisecond
	// assignerRetryDelay is how long a gateway chooses replicas by itself after a slot request
	// without a reply.
	assignerRetryDelay = 500 * time.Millisecond
)

// slotAssigner is the state of a handler's slot requests. It is safe for concurrent use.
type slotAssigner struct {
	// unavailableUntil is until when no slots are requested, in nanoseconds.
	unavailableUntil atomic.Int64
}

// assignedSlot is a slot that was assigned to a request.
type assignedSlot struct {
	ticket uint64
	// owner is the address of the control node that assigned it, "" for the leader.
	owner     string
	startedAt time.Time
}

// needsAssignedSlot reports whether the request's replica is to be assigned. This is the case if
// the service has fewer slots than there are gateways, since a gateway's own counts then say little
// about free slots.
func (c *call) needsAssignedSlot(now time.Time) bool {
	h := c.handler
	if h.options.Slots.Request == nil || c.requestInfo.Model != "" || now.UnixNano() < h.slotAssigner.unavailableUntil.Load() {
		return false
	}
	slots := h.options.Fleet.Slots(c.service)
	return slots > 0 && slots < h.Gateways()
}

// assignSlot requests a slot. It returns false if the gateway must choose a replica by itself:
// there was no reply, the assigned replica cannot be used, or no replica accepts requests from this
// gateway.
func (c *call) assignSlot(ctx context.Context, now time.Time) (Choice, bool) {
	h := c.handler
	requirements := c.requirements()
	unavailable := h.options.Fleet.unavailable(&requirements)
	if len(unavailable) > 0 && len(unavailable) == len(h.options.Fleet.index.lookup(c.service, copyKey{})) {
		return Choice{}, false
	}
	maxWait := c.firstByteDue().Sub(now)
	request := wire.PlaceRequest{Service: c.service, Account: c.accountName(), Priority: c.priority(), WithinMS: maxWait.Milliseconds()}
	for _, peer := range c.tried {
		request.Tried = append(request.Tried, peer.ID())
	}
	// A replica's backoff applies to this gateway only, so the assigning node does not know of it
	// and has to be told with each request.
	request.Tried = append(request.Tried, unavailable...)
	waiting, cancel := context.WithTimeout(ctx, max(maxWait, 0)+slotReplyMargin)
	defer cancel()
	reply, err := h.options.Slots.Request(waiting, request)
	if err != nil && ctx.Err() != nil {
		return Choice{Verdict: NoFreeSlot}, true
	}
	if err != nil || !reply.Known {
		h.slotAssigner.unavailableUntil.Store(h.options.Now().Add(assignerRetryDelay).UnixNano())
		return Choice{}, false
	}
	if reply.Replica == "" {
		c.retryIn = time.Duration(reply.RetryMS) * time.Millisecond
		return Choice{Verdict: NoFreeSlot}, true
	}
	c.assignedSlot = assignedSlot{ticket: reply.Ticket, owner: reply.Owner, startedAt: h.options.Now()}
	peer := h.options.Fleet.Peer(reply.Replica)
	if peer == nil {
		c.release(dispatch.Full)
		return Choice{}, false
	}
	if !h.options.Fleet.acceptsWithoutPermit(peer) || !h.options.Fleet.mayServe(&requirements, peer.zone(), peer) {
		c.release(dispatch.Unused)
		return Choice{}, false
	}
	return Choice{Peer: peer, Verdict: Chosen, Reason: "assigned after " + c.assignedSlot.startedAt.Sub(now).String()}, true
}

// release reports how the request that held the slot ended.
func (c *call) release(outcome dispatch.Outcome) {
	if c.assignedSlot.ticket == 0 {
		return
	}
	h := c.handler
	release := wire.PlaceRelease{Service: c.service, Ticket: c.assignedSlot.ticket, Owner: c.assignedSlot.owner, Outcome: string(outcome), TookMS: h.options.Now().Sub(c.assignedSlot.startedAt).Milliseconds()}
	c.assignedSlot = assignedSlot{}
	go h.options.Slots.Release(release)
}

// Slots returns the sum of the slots of a service's usable replicas.
func (f *Fleet) Slots(service string) int {
	total := 0
	for _, c := range f.index.lookup(service, copyKey{}) {
		total += c.peer.slots()
	}
	return total
}

// Peer returns the replica with an ID, or nil if it may not get requests.
func (f *Fleet) Peer(id string) *Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.usable[id]; s != nil {
		return s.candidate.peer
	}
	return nil
}

// slotOutcome converts the outcome of an attempt for the node that assigned its slot.
func (c *call) slotOutcome(ended outcome) dispatch.Outcome {
	switch {
	case ended == answered:
		return dispatch.Answered
	case ended == notAccepted:
		return dispatch.Unused
	case ended == notRun && c.notSent && c.handler.options.Fleet.links.Unreachable(c.service):
		// The links of this gateway say nothing of the replica to others.
		return dispatch.Unused
	case ended == notRun && c.notSent:
		return dispatch.Unreachable
	case ended == notRun:
		return dispatch.Full
	}
	return dispatch.Failed
}
