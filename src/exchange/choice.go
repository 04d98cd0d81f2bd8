package exchange

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/resume"
)

// Terms of the estimated time to the first byte of a request at a replica.
const (
	// runningCostMS is added for each request that the replica is running.
	runningCostMS = 1.2
	// waitingCostMS is added for each request that is queued at the replica.
	waitingCostMS = 40.0
	// crossZoneCostMS is added for a replica in another availability zone.
	crossZoneCostMS = 12.0
	// failureCostMS is multiplied by the replica's recent failure share, and added once for an
	// ejected replica.
	failureCostMS = 800.0
	// slotUseCostMS is multiplied by the used share of a plain service's slots.
	slotUseCostMS = 30.0
	// fullCostMS is multiplied by that share and added once all slots are used.
	fullCostMS = 60.0
	// jitterMS is the upper bound of a random term, so that gateways with equal estimates choose
	// different replicas.
	jitterMS = 2.0
)

// Requirements are what a request needs of a replica.
type Requirements struct {
	Service string
	// Model is "" for plain services.
	Model        string
	Adapter      string
	PromptLength int
	Parts        []Part
	// Residency holds the regions in which the request may be served.
	Residency catalog.Residency
	// Origin restricts the choice to the software that began the stream.
	Origin resume.Binding
	// MaxPermitWait is how long the request can wait for a permit for a cold or rate-limited
	// replica. It is negative if the request must not ask for one.
	MaxPermitWait time.Duration
	// Only restricts the choice to one replica, nil for any.
	Only *Peer
	// PermitOnly restricts the choice to replicas that need a permit.
	PermitOnly bool
	// The other fields are set for engines with small batches only.
	Engine *catalog.Engine
	// ExpectedOutput is the expected length of the output in tokens, MaxOutput the longest allowed
	// one.
	ExpectedOutput int
	MaxOutput      int
	// GapTarget is the longest pause between two events that counts as in time.
	GapTarget time.Duration
	Priority  int
	// ReadyBy is when the first event should reach the client, Deadline when the client gives up.
	ReadyBy  time.Time
	Deadline time.Time
}

// Verdict is the result of a choice.
type Verdict uint8

const (
	// Chosen means that a replica was found.
	Chosen Verdict = iota
	// ModelMissing means that no reachable replica holds the model or adapter.
	ModelMissing
	// NoReplica means that no replica of the service is reachable.
	NoReplica
	// NoFreeSlot means that all slots of the service stay occupied for longer than the request can
	// wait.
	NoFreeSlot
	// Backlog means that no replica would start on the prompt in time.
	Backlog
	// NoRoom means that the replicas with the model have no room for the request in time.
	NoRoom
	// NotAccepting means that every replica that could run the request accepts none for now.
	NotAccepting
)

// Choice is the chosen replica, or the reason why there is none.
type Choice struct {
	Peer    *Peer
	Verdict Verdict
	// PrefillTokens is the part of the prompt that the replica is expected not to have cached,
	// PrefillTime the time it is expected to need for that part.
	PrefillTokens int
	PrefillTime   time.Duration
	// ChunkTime is the time that the replica needs for one prefill chunk.
	ChunkTime time.Duration
	// Alternatives is the number of other replicas that could have been chosen.
	Alternatives int
	// Copy is the copy of the run from which the replica goes on, nil for none.
	Copy *runCopy
	// Backlog is the time that the replica needs for the prompts it was sent before.
	Backlog time.Duration
	// AcceptsIn is the time until the first of the replicas that accept nothing now accepts
	// requests again, and Slots is the sum of their slots.
	AcceptsIn time.Duration
	Slots     int
	Reason    string
	// SmallBatch is set if the engine has small batches. The fields below are set only then.
	SmallBatch bool
	// Free is set if the replica has a free slot and memory for the request.
	Free bool
	// Short is set if the request is expected to hold a slot for no longer than the typical one.
	Short bool
	// Idle is set if the replica had nothing else to read, and a free slot.
	Idle bool
	// Factor is how long the replica takes as a rule relative to the mean replica of the service,
	// UsualPace the part of it that the replica tells itself.
	Factor    float64
	UsualPace float64
	// FirstEvent is the expected time to the first event once the request has a slot.
	FirstEvent time.Duration
	// Allowance is the longest backlog that the replica may have after the request was sent. Crowded
	// is set if it would be longer.
	Allowance time.Duration
	Crowded   bool
}

// connectTimeout returns how long connecting to the chosen replica may take.
func (c *Choice) connectTimeout() time.Duration {
	if c.Alternatives > 0 {
		return dialAttempt
	}
	return dialTimeout
}

// Pick chooses the replica with the lowest estimated time to the first byte.
func (f *Fleet) Pick(now time.Time, want Requirements, tried []*Peer) Choice {
	held := copyKey{model: want.Model, adapter: want.Adapter}
	best := Choice{Verdict: NoReplica}
	bestCost, bestFree := 0.0, false
	var bestEstimate loadEstimate
	batch := f.newBatchWork(now, &want)
	seen := 0
	for _, c := range f.index.lookup(want.Service, held) {
		if !f.mayServe(&want, c.zone, c.peer) || want.Only != nil && want.Only != c.peer {
			continue
		}
		if wait, accepted := f.acceptsIn(c.peer); !accepted {
			best.addNotAccepting(wait, c.peer)
			continue
		}
		wait, permitNeeded := time.Duration(0), f.needsPermit(c.peer)
		if want.PermitOnly && !permitNeeded {
			continue
		}
		if permitNeeded {
			if wait = f.minPermitWait(c.peer); wait > want.MaxPermitWait {
				best.addNotAccepting(max(wait, time.Millisecond), c.peer)
				continue
			}
		}
		if wasTried(tried, c.peer) || c.peer.lacksCopy(now, held) {
			continue
		}
		estimate := c.peer.loadEstimate(now)
		cost, prefill, free := f.candidateCost(c, &want, &batch, &estimate)
		if permitNeeded {
			cost += permitCostMS + milliseconds(wait)
		}
		seen++
		if best.Peer == nil || free && !bestFree || free == bestFree && cost < bestCost {
			best.Peer, best.Verdict = c.peer, Chosen
			best.PrefillTokens, best.PrefillTime = prefill, f.speeds.PrefillTime(want.Model, prefill)
			bestCost, bestFree, bestEstimate = cost, free, estimate
		}
	}
	if best.Peer == nil && best.AcceptsIn > 0 {
		best.Verdict = NotAccepting
		return best
	}
	if best.Peer == nil {
		best.Verdict = f.emptyVerdict(want, tried)
		return best
	}
	best.Backlog = bestEstimate.backlog
	best.ChunkTime = f.speeds.PrefillTime(want.Model, prefillChunkTokens)
	best.Alternatives = seen - 1
	best.Reason = fmt.Sprintf("cost %.0f ms of %d candidates, running %d waiting %d of %d, %d ms of prompts unread, load %d ms old", bestCost, seen, bestEstimate.running, bestEstimate.waiting, bestEstimate.slots, bestEstimate.backlog.Milliseconds(), bestEstimate.loadAge.Milliseconds())
	if batch.enabled {
		batch.complete(&best, &bestEstimate)
		best.Reason += batch.describe(&best, &bestEstimate)
	}
	return best
}

// addNotAccepting counts a replica that accepts no requests for the given time. A time of 0 means
// that it never accepts again; such a replica is not counted.
func (c *Choice) addNotAccepting(wait time.Duration, peer *Peer) {
	if wait == 0 {
		return
	}
	if c.AcceptsIn == 0 || wait < c.AcceptsIn {
		c.AcceptsIn = wait
	}
	c.Slots += peer.slots()
}

// emptyVerdict returns why no replica was chosen: either no untried replica of the service is left,
// or none of those left holds the model or adapter.
func (f *Fleet) emptyVerdict(want Requirements, tried []*Peer) Verdict {
	for _, c := range f.index.lookup(want.Service, copyKey{}) {
		if want.Model != "" && !wasTried(tried, c.peer) && f.mayServe(&want, c.zone, c.peer) {
			return ModelMissing
		}
	}
	return NoReplica
}

func wasTried(tried []*Peer, p *Peer) bool {
	for _, other := range tried {
		if other == p {
			return true
		}
	}
	return false
}

// candidateCost returns the cost of a replica in milliseconds, the number of prompt tokens that it has
// to prefill, and whether it is preferable to replicas with a full batch, which is true for all other
// engines than those with small batches.
func (f *Fleet) candidateCost(c *candidate, want *Requirements, batch *batchWork, estimate *loadEstimate) (cost float64, prefill int, free bool) {
	if batch.enabled {
		return f.batchCost(c, want, batch, estimate)
	}
	cost, prefill = f.cost(c, want, estimate)
	return cost, prefill, true
}

// cost estimates the time to the first byte in milliseconds. It also returns the number of prompt
// tokens that the replica has to prefill.
func (f *Fleet) cost(c *candidate, want *Requirements, estimate *loadEstimate) (float64, int) {
	cost := rand.Float64()*jitterMS + estimate.failureShare*failureCostMS
	if c.zone != f.zone {
		cost += crossZoneCostMS
	}
	if estimate.ejected {
		cost += failureCostMS
	}
	if want.Model == "" {
		usage := float64(estimate.running+estimate.waiting) / float64(estimate.slots)
		cost += usage * slotUseCostMS
		if usage >= 1 {
			cost += usage * fullCostMS
		}
		return cost, 0
	}
	c.peer.mu.Lock()
	cached := c.peer.parts.cached(want.Model, want.Parts)
	c.peer.mu.Unlock()
	prefill := max(want.PromptLength-cached, 0)
	cost += milliseconds(f.speeds.PrefillTime(want.Model, prefill) + estimate.backlog)
	cost += float64(estimate.running)*runningCostMS + float64(estimate.waiting)*waitingCostMS
	return cost, prefill
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
