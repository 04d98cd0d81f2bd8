package feed

import (
	"time"

	"github.com/moorspool/moorspool/src/rpc"
)

const (
	// sendsAtOnce is how many gateways a control node tells something at the same moment.
	// Goroutines that are ready to run take turns, so that with 240 streams ready, consensus
	// got a turn after 0.4 to 0.8 s on half a core; with these few it gets one after as many
	// sends, of some 50 microseconds each.
	sendsAtOnce = 4
	// slotWait is how long a send waits for one of these places before it goes on without:
	// gateways that don't read must not hold up the others.
	slotWait = 200 * time.Millisecond
)

// sendSlots are the places for sends to gateways.
type sendSlots chan struct{}

func newSendSlots() sendSlots { return make(sendSlots, sendsAtOnce) }

// send sends a notification once there is a place for it.
func (s sendSlots) send(peer *rpc.Peer, n rpc.Notification) error {
	if s.take(slotWait) {
		defer s.release()
	}
	return peer.Send(n)
}

// take waits for a place; it reports whether there was one within a time.
func (s sendSlots) take(wait time.Duration) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

func (s sendSlots) release() { <-s }
