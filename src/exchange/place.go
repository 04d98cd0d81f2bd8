package exchange

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/wire"
)

// Places assigns the places of replicas that are few beside the gateways.
type Places struct {
	// Ask waits for a place; nil if places are not assigned.
	Ask func(ctx context.Context, request wire.PlaceRequest) (wire.PlaceReply, error)
	// Release tells how a request with a place ended; it may block for a while.
	Release func(wire.PlaceRelease)
}

const (
	// placeSlack is how much longer than a place can be worth having the answer to an ask
	// is waited for.
	placeSlack = 30 * time.Millisecond
	// placesLost is how long a gateway chooses by itself after an ask without an answer.
	placesLost = 500 * time.Millisecond
)

// placing is a handler's state of asking for places; it is safe for concurrent use.
type placing struct {
	// lostUntil is until when nobody is asked, in nanoseconds.
	lostUntil atomic.Int64
}

// place is a place that a request was assigned.
type place struct {
	ticket uint64
	began  time.Time
}

// wantsPlace reports whether the request's replica is to be assigned: its service has fewer
// places than there are gateways, so that own counts say nothing of how full they are.
func (c *call) wantsPlace(now time.Time) bool {
	h := c.handler
	if h.options.Places.Ask == nil || c.facts.Model != "" || now.UnixNano() < h.placing.lostUntil.Load() {
		return false
	}
	places := h.options.Fleet.Places(c.service)
	return places > 0 && places < h.Gateways()
}

// assigned asks for a place; it reports false if nobody answered, or none of the replicas takes
// requests from this gateway, and the gateway has to choose by itself.
func (c *call) assigned(ctx context.Context, now time.Time) (Choice, bool) {
	h := c.handler
	want := c.want()
	closed := h.options.Fleet.closed(&want)
	if len(closed) > 0 && len(closed) == len(h.options.Fleet.index.of(c.service, copyKey{})) {
		return Choice{}, false
	}
	within := c.began.Add(c.route.Target).Sub(now)
	request := wire.PlaceRequest{Service: c.service, Account: c.accountName(), Priority: c.priority(), WithinMS: within.Milliseconds()}
	for _, peer := range c.tried {
		request.Tried = append(request.Tried, peer.ID())
	}
	// What a replica asked of this gateway says nothing to the others, so that the node that
	// assigns places learns of it with each ask.
	request.Tried = append(request.Tried, closed...)
	ctx, cancel := context.WithTimeout(ctx, max(within, 0)+placeSlack)
	defer cancel()
	reply, err := h.options.Places.Ask(ctx, request)
	if err != nil || !reply.Known {
		h.placing.lostUntil.Store(h.options.Now().Add(placesLost).UnixNano())
		return Choice{}, false
	}
	if reply.Replica == "" {
		c.retryIn = time.Duration(reply.RetryMS) * time.Millisecond
		return Choice{Verdict: Crowded}, true
	}
	c.place = place{ticket: reply.Ticket, began: h.options.Now()}
	peer := h.options.Fleet.Peer(reply.Replica)
	if peer == nil {
		c.release(dispatch.Full)
		return Choice{}, false
	}
	if !h.options.Fleet.takes(peer) || !h.options.Fleet.resides(&want, peer.zone()) {
		c.release(dispatch.Unused)
		return Choice{}, false
	}
	return Choice{Peer: peer, Verdict: Chosen, Reason: "assigned after " + c.place.began.Sub(now).String()}, true
}

// release tells how the request ended that had a place.
func (c *call) release(outcome dispatch.Outcome) {
	if c.place.ticket == 0 {
		return
	}
	h := c.handler
	release := wire.PlaceRelease{Service: c.service, Ticket: c.place.ticket, Outcome: string(outcome), TookMS: h.options.Now().Sub(c.place.began).Milliseconds()}
	c.place = place{}
	go h.options.Places.Release(release)
}

// Places returns how many requests the usable replicas of a service work on at once.
func (f *Fleet) Places(service string) int {
	places := 0
	for _, c := range f.index.of(service, copyKey{}) {
		places += c.peer.slots()
	}
	return places
}

// Peer returns the replica of an ID if it may get requests, nil if not.
func (f *Fleet) Peer(id string) *Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		return s.candidate.peer
	}
	return nil
}

// placeOutcome returns how an attempt ended, for who assigned its place.
func (c *call) placeOutcome(ended outcome) dispatch.Outcome {
	switch {
	case ended == answered:
		return dispatch.Answered
	case ended == withheld:
		return dispatch.Unused
	case ended == notRun && c.unsent:
		return dispatch.Unreachable
	case ended == notRun:
		return dispatch.Full
	}
	return dispatch.Failed
}
