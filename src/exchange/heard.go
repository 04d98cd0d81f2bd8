package exchange

import (
	"fmt"

	"github.com/moorspool/moorspool/src/event"
)

// heard takes in what an answer says of whether its replica takes requests from this gateway.
// Each head that comes from the replica is taken in, also one that no client gets: its word is
// about the gateway, not about the request.
func (f *Fleet) heard(peer *Peer, reply *Reply) {
	if reply.Leaving && peer.intake.leave() {
		f.ring.Add(event.Event{Kind: event.LeavingTold, Host: peer.ID()})
	}
	switch {
	case reply.Backoff > 0:
		if peer.intake.backOff(f.bootNow(), reply.Backoff) {
			f.ring.Add(event.Event{Kind: event.BackoffAsked, Host: peer.ID(), Reason: fmt.Sprintf("for %s", min(reply.Backoff, longestBackoff))})
		}
	case reply.BackoffFault != "":
		f.ring.Add(event.Event{Kind: event.BackoffAsked, Host: peer.ID(), Reason: "for a time that can't be read, so for none: " + reply.BackoffFault})
	case peer.intake.restricted.Load() && peer.intake.answered(f.bootNow()):
		f.ring.Add(event.Event{Kind: event.BackoffOver, Host: peer.ID()})
	}
}

// BackingOff returns how many replicas want nothing from this gateway now, and how many have
// told it that they leave.
func (f *Fleet) BackingOff() (backingOff, leaving int) {
	now := f.bootNow()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if peer.intake.backingOff(now) {
			backingOff++
		}
		if peer.intake.left() {
			leaving++
		}
	}
	return backingOff, leaving
}
