package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// copyRenewShare is the share of the time for which a copy is kept after which it is made again.
const copyRenewShare = 0.6

// copyRetryInterval is how long after a copy could not be made again that is tried once more.
const copyRetryInterval = 250 * time.Millisecond

// maxFormerHandles is how many handles of former copies are freed. The time of older ones is over.
const maxFormerHandles = 2

// maxCopyRefusals bounds how often the pause doubles after which a copy is asked for again that could not be made.
const maxCopyRefusals = 4

// mustRenew reports whether a copy that was made is near its end, or of no use since its replica takes no requests any more or
// has unloaded the model.
func (c *call) mustRenew(now time.Time, copied *runCopy) (expires, closed bool) {
	if !copied.hasEnded() || copied.err != nil || copied.restart || now.Before(copied.renewFrom) {
		return false, false
	}
	fleet := c.handler.options.Fleet
	wait, accepted := fleet.acceptsIn(copied.target)
	ttl := time.Duration(copyRenewShare * float64(c.engine.CopyTTL))
	held := copyKey{model: c.requestInfo.Model, adapter: c.requestInfo.Adapter}
	return ttl > 0 && now.Sub(copied.askedAt) >= ttl, !accepted && wait == 0 || !fleet.holds(c.service, held, copied.target)
}

// mustAskAgain reports whether a copy that could not be made may be made by now. The pause doubles with each refusal.
func (c *call) mustAskAgain(now time.Time, copied *runCopy) bool {
	if !copied.hasEnded() || copied.err == nil || errors.Is(copied.err, errNoSuchRun) || errors.Is(copied.err, errVainCopies) {
		return false
	}
	return now.Sub(copied.askedAt) >= copyRetryInterval<<copied.refusals
}

// renewCopy has the copy of the run that is under way made again if it must be: at the same replica, which gets only what is
// new, or at another one, or it is stopped. The earlier copy is kept until then.
func (c *call) renewCopy(ctx context.Context, now time.Time) {
	h := c.handler
	if c.copied.renewal != nil && !c.copied.renewal.hasEnded() {
		return
	}
	c.adoptRenewal(now)
	earlier := c.copied
	if c.mustAskAgain(now, earlier) {
		c.dropCopy()
		c.copied = c.secureRun(ctx, now, earlier.source)
		c.copied.refusals = min(earlier.refusals+1, maxCopyRefusals)
		return
	}
	expires, closed := c.mustRenew(now, earlier)
	if closed {
		earlier.renewal = c.secureRun(ctx, now, earlier.source)
		return
	}
	if !expires || !h.vainCopies.mayCopy(now, c.service) {
		return
	}
	renewed := &runCopy{source: earlier.source, request: earlier.request, ended: make(chan struct{}), askedAt: now}
	earlier.renewal = renewed
	go func() {
		defer close(renewed.ended)
		h.makeCopy(ctx, renewed, []*Peer{earlier.target})
	}()
}

// adoptRenewal replaces the copy of the current run by the one that was made after it, if there is one.
func (c *call) adoptRenewal(now time.Time) {
	earlier := c.copied
	if earlier.renewal == nil || !earlier.renewal.hasEnded() {
		return
	}
	renewed := earlier.renewal
	earlier.renewal = nil
	if renewed.err != nil {
		earlier.renewFrom = now.Add(copyRetryInterval)
		return
	}
	c.copied = renewed
	switch {
	case renewed.handle == earlier.handle:
	case renewed.target == earlier.target || renewed.restart:
		// The new copy may hold only what the earlier one lacks.
		renewed.formerHandles = append(earlier.formerHandles, earlier.handle)
		renewed.formerHandles = renewed.formerHandles[max(len(renewed.formerHandles)-maxFormerHandles, 0):]
	default:
		go c.handler.freeCopy(earlier)
	}
}

// awaitRenewal waits for a copy that is being made again as its stream ends. If that takes too long, the earlier one is used.
func (c *call) awaitRenewal(ctx context.Context) {
	if c.copied == nil || c.copied.renewal == nil {
		return
	}
	c.copied.renewal.awaitAtEnd(ctx)
	c.adoptRenewal(c.handler.options.Now())
}
