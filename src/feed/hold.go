package feed

import (
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/event"
)

// A gateway that has just started has no configuration and may have served a newer one before its restart.
// It waits for one that is known to be the newest, but no longer than this, counted from its first contact
// with a control node. Then it serves what it can get: its availability zone may be cut off, or a majority
// of the control nodes may be lost for long.
const (
	// staleHold applies to a configuration that was known to be the newest when the control node last
	// reached a majority. The other gateways of a zone that is cut off use it too.
	staleHold = time.Second
	// unconfirmedHold applies to a configuration that was never known to be the newest since the control
	// node started. Hosts that lost their power together are expected back within this time.
	unconfirmedHold = 10 * time.Second
)

// confirmationTrust is how long after its configuration was last known to be the newest a gateway may
// refuse requests for good because of it. It outlasts elections and connections to another control node.
const confirmationTrust = 5 * time.Second

// holdFor returns how long a gateway without a configuration waits before it uses the source's.
func (s *source) holdFor(now time.Time) time.Duration {
	switch {
	case s.confirmedAt.IsZero():
		return unconfirmedHold
	case now.Sub(s.confirmedAt) > uncertainAfter:
		return staleHold
	}
	return 0
}

// mayUse reports whether a source's configuration may be put into force. The caller holds the lock.
func (f *Follower) mayUse(now time.Time, s *source) bool {
	return f.version > 0 || now.Sub(f.firstContactAt) >= s.holdFor(now)
}

// noteHeld logs once that the configuration of a source is not used yet. The caller holds the lock.
func (f *Follower) noteHeld(now time.Time, s *source) {
	if f.heldLogged || f.sink.Document == nil || s.version == 0 || f.mayUse(now, s) {
		return
	}
	f.heldLogged = true
	f.ring.Add(event.Event{Kind: event.ConfigHeld, Host: s.address, Zone: s.zone, Reason: s.describeVersion(now, s.version)})
}

// describeVersion describes a configuration that the source delivered, for a log line.
func (s *source) describeVersion(now time.Time, version uint64) string {
	text := "version " + strconv.FormatUint(version, 10)
	if s.confirmedAt.IsZero() {
		return text + ", not confirmed since the control node started"
	}
	return text + ", confirmed " + now.Sub(s.confirmedAt).Round(time.Millisecond).String() + " before"
}

// Confirmed reports whether the configuration in force was known to be the newest within
// confirmationTrust.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range f.sources {
		if s.version <= f.version && !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) <= confirmationTrust {
			return true
		}
	}
	return false
}
