package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

// choose picks a replica. It waits for a limited time if the model is not loaded yet or if no
// replica accepts requests now.
func (c *call) choose(ctx context.Context) Choice {
	defer c.leaveQueue()
	requirements := c.requirements()
	h := c.handler
	demandCounted := false
	if now := h.options.Now(); c.needsAssignedSlot(now) {
		if choice, found := c.pickWithPermit(ctx, now, requirements); found {
			return choice
		}
		if choice, known := c.assignSlot(ctx, now); known {
			return choice
		}
	}
	for {
		now := h.options.Now()
		requirements.MaxPermitWait = c.maxPermitWait(now)
		choice := c.pick(now, requirements)
		if choice.Verdict == Chosen && c.mustQueue(now) {
			choice = Choice{Verdict: NotAccepting, Slots: choice.Peer.slots(), AcceptsIn: time.Millisecond}
		}
		if choice.Verdict == NotAccepting {
			if c.waitInQueue(ctx, now, choice) {
				continue
			}
			return choice
		}
		if choice.Verdict == Chosen && c.needsPlace(&choice) {
			if placed, decided := c.awaitPlace(ctx, &requirements, choice); decided {
				return placed
			}
			continue
		}
		if choice.Verdict == Chosen && c.backlogTooLong(now, choice) {
			// Add up to half of the backlog at random, so that clients refused together do not
			// return together.
			c.retryIn = choice.Backlog + time.Duration(rand.Float64()*float64(choice.Backlog)/2)
			choice.Verdict = Backlog
			return choice
		}
		if choice.Verdict == Chosen && c.mustPace(now, choice) {
			if !sleep(ctx, paceInterval) {
				return choice
			}
			continue
		}
		if choice.Verdict == Chosen && !c.permitted(ctx, choice.Peer, requirements.MaxPermitWait) {
			continue
		}
		if choice.Verdict == Chosen || len(c.tried) > 0 || c.lacksOrigin(now) {
			return choice
		}
		if !c.keepsWaiting(now, requirements, choice) {
			return choice
		}
		if choice.Verdict == ModelMissing && !demandCounted {
			h.options.Demand.Count(c.service, c.requestInfo, true)
			demandCounted = true
		}
		select {
		case <-ctx.Done():
			return choice
		case <-time.After(replicaPollInterval):
		}
	}
}

// lacksOrigin reports whether no replica will turn up that may go on with the stream: nothing loads a
// model for the sake of a software version.
func (c *call) lacksOrigin(now time.Time) bool {
	return !c.origin.Unbound() && !c.handler.options.Fleet.Discovering(now)
}

// keepsWaiting reports whether a request without a replica should look for one again.
func (c *call) keepsWaiting(now time.Time, want Requirements, choice Choice) bool {
	wait := c.maxReplicaWait(now, choice.Verdict)
	switch {
	case now.Before(c.waitEnd(wait, wait)):
		return true
	case choice.Verdict != ModelMissing:
		return false
	case c.waitsForCopy(now):
		return true
	}
	// The model may have been loaded between the choice and the check whether it is being loaded.
	return c.handler.options.Fleet.Pick(now, want, c.tried).Verdict != ModelMissing
}

// maxFirstEventTargets is the longest expected time to the first event with which a request is
// still sent, as a multiple of the route's target. A slightly late response is worth half to the
// client; one later than four targets is worth nothing, since the client has left by then. Under a
// shifted load, a limit of 1.0 served as many requests as no limit; more of them were in time, and
// more were refused twice.
const maxFirstEventTargets = 2.0

// backlogTooLong reports whether even the best replica has so much to prefill that the request
// would be far too late. Sending it anyway would delay all later requests as well, and most such
// prompts would be cancelled before they were read.
func (c *call) backlogTooLong(now time.Time, choice Choice) bool {
	if c.requestInfo.Model == "" || len(c.tried) > 0 {
		return false
	}
	latest := c.firstByteDue().Add(time.Duration(float64(c.route.Target) * (maxFirstEventTargets - 1)))
	return choice.Backlog > 0 && now.Add(choice.Backlog+choice.PrefillTime).After(latest)
}

// maxReplicaWait returns how long a request waits for a replica: for a model that may be loading,
// or for replicas that this gateway has not discovered yet.
func (c *call) maxReplicaWait(now time.Time, verdict Verdict) time.Duration {
	share := 0.0
	if verdict == ModelMissing {
		share = maxCopyWaitShare
	}
	if c.handler.options.Fleet.Discovering(now) {
		share = maxDiscoveryWaitShare
	}
	return time.Duration(float64(c.route.Target) * share)
}

// minTargetShare is the share of its target that a request has left for its first byte as its body ends.
const minTargetShare = 0.5

// waitEnd returns until when a request waits that is refused then: for a time after its head, but at least for
// another one after the last byte of its body, as long as the refusal arrives before the deadline. The refusal of
// a request whose body took long helps its client little, which has to send the whole body again.
func (c *call) waitEnd(afterHead, afterBody time.Duration) time.Time {
	return later(c.startedAt.Add(afterHead), earlier(c.receivedAt.Add(afterBody), c.deadline.Add(-placeReplyMargin)))
}

// shareEnd returns until when a request waits that is refused after a share of its target.
func (c *call) shareEnd(share float64) time.Time {
	wait := time.Duration(float64(c.route.Target) * share)
	return c.waitEnd(wait, wait)
}

// firstByteDue returns when the response to a request that waits should begin.
func (c *call) firstByteDue() time.Time {
	return c.waitEnd(c.route.Target, time.Duration(float64(c.route.Target)*minTargetShare))
}

func (c *call) requirements() Requirements {
	want := Requirements{Service: c.service, Model: c.requestInfo.Model, Adapter: c.requestInfo.Adapter, PromptLength: c.requestInfo.PromptTokens, Parts: c.requestInfo.Parts, Residency: catalog.ResidencyOf(c.route, c.account), Origin: c.origin.Binding}
	if c.next != nil {
		want.Only = c.next.peer
	}
	c.addWork(&want)
	return want
}
