package exchange

import (
	"context"
	"math/rand/v2"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/reach"
)

// noteDial records whether a replica accepted a connection. A replica that is leaving may end at any
// time, which says nothing of the links to others.
func (f *Fleet) noteDial(peer *Peer, connected bool) {
	now, known := f.now(), len(f.index.lookup(peer.service, copyKey{}))
	change, changed := reach.Change{}, false
	switch {
	case connected:
		change, changed = f.links.DialSucceeded(now, peer.service, peer.ID(), known)
	case !peer.leaving():
		change, changed = f.links.DialFailed(now, peer.service, peer.ID(), known)
	}
	if changed {
		f.logReach(change)
	}
}

// noteContact records that a replica has sent something. Other gateways have no service.
func (f *Fleet) noteContact(peer *Peer) {
	now := f.now()
	peer.noteHeard(now)
	if peer.service != "" {
		f.links.Contact(now, peer.service)
	}
}

// Unreachable returns the services that this gateway can't connect to, sorted.
func (f *Fleet) Unreachable() []string { return f.links.Lost() }

// ProbeUnreachable dials one replica of each service that this gateway can't connect to.
func (f *Fleet) ProbeUnreachable(ctx context.Context) {
	for _, service := range f.links.Lost() {
		listed := f.index.lookup(service, copyKey{})
		if len(listed) == 0 {
			continue
		}
		pool := listed[rand.IntN(len(listed))].peer.pool
		raw, err := pool.connect(ctx, dialAttempt)
		if err == nil {
			pool.putUnused(f.now(), newConn(raw))
		}
	}
}

func (f *Fleet) logReach(change reach.Change) {
	kind := event.ServiceReachable
	if change.Unreachable {
		kind = event.ServiceUnreachable
	}
	f.ring.Add(event.Event{Kind: kind, Reason: "service " + change.Service + ": " + change.Evidence})
}
