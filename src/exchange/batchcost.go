package exchange

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/moorspool/moorspool/src/work"
)

// Terms of the cost of a replica of an engine with small batches, beside the expected time to the
// first event.
const (
	// lateCostMS is the cost of a first event that is surely late, half of that of a failure.
	lateCostMS = failureCostMS / 2
	// occupancyWeight multiplies the expected delay by other requests that arrive later, so that fast
	// replicas keep slots for those that need them.
	occupancyWeight = 1.5
	// pauseCostMS is added for each stream of the replica that would surely pause for too long. A
	// late stream is worth half to its client, as is one with a late first event; prompts that are
	// read between several events do less.
	pauseCostMS = 300.0
	// maxFailingShare is the share of recent failures from which on a free slot no longer makes a
	// replica preferable to a full one.
	maxFailingShare = 0.5
)

// batchWork is what a request needs of a replica of an engine with small batches. It is computed once
// for each choice.
type batchWork struct {
	enabled bool
	room    roomRequest
	// perToken is the prefill time per token and overhead the time to the first event without
	// prefill, both at factor 1.
	perToken time.Duration
	overhead time.Duration
	// decode is the time to generate the expected output, maxDecode that for the longest allowed
	// one, and typicalDecode that of other requests, at factor 1.
	decode        time.Duration
	maxDecode     time.Duration
	typicalDecode time.Duration
	// toTarget is the time left until the first event should reach the client, and left the time until the client gives up.
	toTarget time.Duration
	left     time.Duration
}

// addWork adds to the requirements what a choice among engines with small batches needs.
func (c *call) addWork(want *Requirements) {
	if !c.engine.SmallBatch() {
		return
	}
	want.Engine = c.engine
	want.ExpectedOutput = c.handler.options.Fleet.outputs.Expected(c.route.Name, c.requestInfo.OutputHint, c.requestInfo.OutputTokens)
	want.MaxOutput = c.requestInfo.OutputTokens
	want.GapTarget = c.route.GapTarget
	want.Priority = c.route.Priority
	want.ReadyBy = c.startedAt.Add(c.route.Target)
	want.Deadline = c.deadline
}

// expectedWork returns how long the request is expected to occupy a whole replica with factor 1:
// nothing else runs while its prompt is read, and its output takes one of the slots.
func (c *call) expectedWork() time.Duration {
	fleet := c.handler.options.Fleet
	output := fleet.outputs.Expected(c.route.Name, c.requestInfo.OutputHint, c.requestInfo.OutputTokens)
	prefill := fleet.speeds.PrefillTime(c.requestInfo.Model, c.requestInfo.PromptTokens)
	return prefill + fleet.speeds.DecodeTime(c.requestInfo.Model, output)/time.Duration(c.engine.Slots)
}

// newBatchWork returns what a request needs; it is not enabled for other engines than those with
// small batches whose replicas report their load.
func (f *Fleet) newBatchWork(now time.Time, want *Requirements) batchWork {
	if !want.Engine.SmallBatch() || want.Model == "" || !f.loadReporters.has(want.Service) {
		return batchWork{}
	}
	typical := f.typical.Of(want.Service)
	w := batchWork{
		enabled:       true,
		perToken:      f.speeds.PrefillTime(want.Model, 1),
		overhead:      f.speeds.Overhead(),
		decode:        f.speeds.DecodeTime(want.Model, want.ExpectedOutput),
		maxDecode:     f.speeds.DecodeTime(want.Model, want.MaxOutput),
		typicalDecode: typical.Decode,
		toTarget:      want.ReadyBy.Sub(now),
		left:          want.Deadline.Sub(now),
	}
	w.room = roomRequest{
		event:         f.speeds.DecodeTime(want.Model, max(want.Engine.EventTokens, 1)),
		gapTarget:     want.GapTarget,
		priority:      want.Priority,
		memory:        want.PromptLength + want.ExpectedOutput,
		typicalMemory: typical.Memory,
		cacheTokens:   want.Engine.CacheTokens,
	}
	return w
}

// batchCost returns the cost of a replica in milliseconds, the number of prompt tokens that it has
// to prefill, and whether it has a free slot.
func (f *Fleet) batchCost(c *candidate, want *Requirements, w *batchWork, e *loadEstimate) (cost float64, tokens int, free bool) {
	tokens = c.peer.uncached(want)
	w.room.prefill = w.perToken * time.Duration(tokens)
	cost = w.cost(e) + rand.Float64()*jitterMS
	if c.zone != f.zone {
		cost += crossZoneCostMS
	}
	return cost, tokens, w.free(e)
}

// free reports whether a replica is preferable to those with a full batch.
func (w *batchWork) free(e *loadEstimate) bool {
	return hasSlot(e, &w.room) && !e.ejected && e.failureShare < maxFailingShare
}

// cost returns the cost of a replica for the request whose prefill time is in w.room. Prompts delay
// all streams of the replica, so the time to read them counts in full. The time to the first event
// counts by the risk that it is late.
func (w *batchWork) cost(e *loadEstimate) float64 {
	cost := e.failureShare * failureCostMS
	if e.ejected {
		cost += failureCostMS
	}
	cost += milliseconds(work.Scale(w.reading(e), e.relativePace()) + w.slotWait(e))
	cost += w.lateStart(e) + occupancyWeight*milliseconds(w.occupancy(e)) + w.pauseCost(e)
	return cost + w.lateEnd(e)*failureCostMS
}

// firstEvent returns the expected time to the first event once the request has a slot.
func (w *batchWork) firstEvent(e *loadEstimate) time.Duration {
	return work.Scale(w.reading(e), e.relativePace()) + work.Scale(w.overhead, e.slowness())
}

// reading returns the time at the usual pace until the prompt has been read.
func (w *batchWork) reading(e *loadEstimate) time.Duration {
	return e.backlog + work.Scale(w.room.prefill, e.usualFactor())
}

// slotWait returns the expected time until a slot is free.
func (w *batchWork) slotWait(e *loadEstimate) time.Duration {
	ahead := e.running + e.waiting + 1 - e.slots
	if ahead <= 0 {
		return 0
	}
	return work.Scale(w.typicalDecode, e.slowness()*float64(ahead)/float64(e.slots))
}

// occupancy returns the expected delay by other requests that arrive while this one runs. It grows
// with the used share of the replica's slots as the wait in a queue does, and with the time that the
// replica needs for an event, so that load is spread by capacity.
func (w *batchWork) occupancy(e *loadEstimate) time.Duration {
	slots := float64(e.slots)
	used := min(float64(e.running+e.waiting), slots)
	return work.Scale(w.room.event, e.slowness()*used/(slots+1-used))
}

// pauseCost returns the cost of pauses of the streams of the replica, including that of the request.
func (w *batchWork) pauseCost(e *loadEstimate) float64 {
	if w.room.gapTarget <= 0 {
		return 0
	}
	pause := work.Scale(w.room.event, e.slowness()) + work.Scale(w.reading(e), e.relativePace())
	// Two thirds of the allowed pause are for prompts and slow spells that can't be foreseen.
	risk := min(max(1.5*float64(pause)/float64(w.room.gapTarget)-0.5, 0), 1)
	return risk * risk * float64(e.running+1) * pauseCostMS
}

// lateStart returns the cost of a first event that may be late.
func (w *batchWork) lateStart(e *loadEstimate) float64 {
	if w.toTarget <= 0 {
		return milliseconds(w.firstEvent(e))
	}
	ratio := min(float64(w.firstEvent(e)+w.slotWait(e))/float64(w.toTarget), 1)
	return ratio * ratio * lateCostMS
}

// lateEnd estimates the probability that the stream does not end before its deadline. Outputs differ
// from the expected length by half to twice as a rule, so the probability is a third power of the
// ratio of the expected time to the time left, and 0 if even the longest output ends in time.
func (w *batchWork) lateEnd(e *loadEstimate) float64 {
	if w.left <= 0 {
		return 1
	}
	begin := w.firstEvent(e) + w.slotWait(e)
	if w.maxDecode > 0 && begin+work.Scale(w.maxDecode, e.usualFactor()) < w.left {
		return 0
	}
	ratio := float64(begin+work.Scale(w.decode, e.usualFactor())) / float64(w.left)
	cube := ratio * ratio * ratio
	return cube / (1 + cube)
}

// complete sets the fields of a choice for the replica that was chosen.
func (w *batchWork) complete(best *Choice, e *loadEstimate) {
	w.room.prefill = w.perToken * time.Duration(best.PrefillTokens)
	best.SmallBatch = true
	best.Free = hasSlot(e, &w.room)
	best.Short = w.decode <= w.typicalDecode
	best.Factor = e.usualFactor()
	best.UsualPace = e.usual
	best.Idle = e.backlog <= 0 && e.waiting == 0 && e.running < e.slots
	best.PrefillTime = work.Scale(w.room.prefill, e.usualFactor())
	best.ChunkTime = work.Scale(w.perToken*prefillChunkTokens, e.slowness())
	best.FirstEvent = w.firstEvent(e)
	best.Crowded = !withinAllowance(e, &w.room)
	best.Allowance = w.room.allowance(e)
}

// describe returns the estimates on which the choice was based, for a log line.
func (w *batchWork) describe(best *Choice, e *loadEstimate) string {
	return fmt.Sprintf(", %d tokens to read in %d ms, factor %.2f usual pace %.2f pace %.2f, first event in %d ms, %d ms of output, slot free %t, %d ms of prompts allowed",
		best.PrefillTokens, best.PrefillTime.Milliseconds(), e.factor, e.usual, e.pace, best.FirstEvent.Milliseconds(), work.Scale(w.decode, e.usualFactor()).Milliseconds(), best.Free, best.Allowance.Milliseconds())
}

// uncached returns the number of prompt tokens that a replica is expected not to have cached.
func (p *Peer) uncached(want *Requirements) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(want.PromptLength-p.parts.cached(want.Model, want.Parts), 0)
}
