package exchange

import (
	"time"

	"github.com/moorspool/moorspool/src/work"
)

// Engines with small batches run out of slots and memory before prompts delay anything. A request
// that is sent to a full batch waits there or preempts a running stream, which is then read anew, so
// it is sent where there is room, or held at the gateway as long as it can wait.
const (
	// maxPauseShare is the share of the allowed pause, less the time of an event itself, that the
	// prefill backlog may take. The rest is for prompts that other gateways send at the same time.
	maxPauseShare = 0.65
	// spellPace is the pace relative to the usual one from which on a replica counts as slowed down by
	// other work on its machine, which takes some 0.1 s.
	spellPace = 1.5
	// maxMemoryShare is the share of a replica's memory that requests may be expected to need.
	// Outputs are often longer than expected, and preemption costs more than a short wait.
	maxMemoryShare = 0.95
)

// roomRequest is what hasRoom needs to know of a request.
type roomRequest struct {
	// prefill is the time that a replica with factor 1 needs for the part of the prompt that is not
	// cached there.
	prefill time.Duration
	// event is the time in which a replica with factor 1 generates the tokens of one event.
	event time.Duration
	// gapTarget is the longest pause between two events that counts as in time, 0 for no bound.
	gapTarget time.Duration
	priority  int
	// memory is the expected memory of the request in tokens, typicalMemory that of each request
	// that is running, and cacheTokens the memory of a replica, 0 if unknown.
	memory        int
	typicalMemory int
	cacheTokens   int
}

// hasRoom reports whether a replica can run a request at once without preempting a stream or making
// one pause for too long.
func hasRoom(e *loadEstimate, r *roomRequest) bool {
	return hasSlot(e, r) && withinAllowance(e, r)
}

// hasSlot reports whether a replica has a free slot and enough memory for a request.
func hasSlot(e *loadEstimate, r *roomRequest) bool {
	requests := e.running + e.waiting
	if requests >= e.slots {
		return false
	}
	if r.cacheTokens <= 0 || requests == 0 {
		return true
	}
	needed := requests*r.typicalMemory + r.memory
	return float64(needed) <= maxMemoryShare*float64(r.cacheTokens)
}

// withinAllowance reports whether a request can be sent without exceeding the prefill backlog that
// the replica may have. A replica that has no backlog and is as fast as usual may always be sent a
// prompt, since waiting would not make the pause shorter.
func withinAllowance(e *loadEstimate, r *roomRequest) bool {
	if r.gapTarget <= 0 || !waitingHelps(e) {
		return true
	}
	return e.backlog+work.Scale(r.prefill, e.usualFactor()) <= r.allowance(e)
}

// waitingHelps reports whether a prompt would make streams pause for less if it were sent later: after
// the prompts before it were read, or after a slow spell in which streams run.
func waitingHelps(e *loadEstimate) bool {
	return e.backlog > 0 || e.running > 0 && e.relativePace() >= spellPace
}

// allowance returns the prefill backlog that a replica may have, in time at its usual pace. A slow
// replica needs more of the allowed pause for the event itself, and may have less.
func (r *roomRequest) allowance(e *loadEstimate) time.Duration {
	left := r.gapTarget - work.Scale(r.event, e.slowness())
	share := maxPauseShare - priorityShareStep*float64(r.priority)
	return max(work.Scale(left, max(share, minPauseShare)/e.relativePace()), 0)
}

// minPauseShare is the share that the lowest priorities keep.
const minPauseShare = 0.25

// breaksIn reports whether a request that gets no place in time is sent to a full batch, where it preempts
// a less urgent stream. The most urgent requests of a service do so if they are short: the stream goes on
// once they have ended or another one has, mostly before its pause is too long.
func (c *call) breaksIn(choice *Choice) bool {
	return choice.SmallBatch && choice.Short && c.handler.table.Load().MostUrgent(c.service, c.priority())
}
