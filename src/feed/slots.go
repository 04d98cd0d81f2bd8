package feed

import (
	"time"

	"github.com/moorspool/moorspool/src/rpc"
)

const (
	// maxConcurrentSends is how many gateways a control node sends to at the same time. Runnable
	// goroutines take turns, so that with 240 streams ready to send, consensus had to wait for 0.4
	// to 0.8 s on half a core; with this limit it waits for at most that many sends, of some 50
	// microseconds each.
	maxConcurrentSends = 4
	// slotTimeout is how long a send waits for a slot before it proceeds without one: gateways that
	// don't read must not hold up the others.
	slotTimeout = 200 * time.Millisecond
)

// sendSlots is a semaphore for sends to gateways.
type sendSlots chan struct{}

func newSendSlots() sendSlots { return make(sendSlots, maxConcurrentSends) }

// send sends a notification, holding a slot unless none became free within slotTimeout.
func (s sendSlots) send(peer *rpc.Peer, n rpc.Notification) error {
	if s.acquire(slotTimeout) {
		defer s.release()
	}
	return peer.Send(n)
}

// acquire waits for a slot and reports whether it got one in time.
func (s sendSlots) acquire(wait time.Duration) bool {
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
