package exchange

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/work"
)

// Pacing limits the prompts that are sent to an engine at the same time. An engine prefills prompts
// between the decoding steps of its running streams, so prompts that arrive together make all
// streams pause. The first event of a stream can wait longer than later ones, so prompts beyond the
// allowed pause wait at the gateway.
const (
	// maxBacklogShare is the share of the allowed pause that the prefill backlog may take. The rest
	// is for the decoding steps of the streams and for prompts that arrive at the same time. In
	// tests on tuhoe-keys, 0.35 and 0.7 were no better (docs/DECIDING.md).
	maxBacklogShare = 0.5
	// priorityShareStep is the share by which each lower priority reduces the allowed backlog, so
	// that more urgent requests go first.
	priorityShareStep = 0.15
	// maxPaceWaitShare is the share of its target that a request waits at most.
	maxPaceWaitShare = 0.6
	// prefillChunkTokens is the maximum number of prompt tokens that an engine reads between two
	// decoding steps. It is a common default. The configuration has no setting for it, so other
	// engines may differ.
	prefillChunkTokens = 2048
	// holdMargin multiplies the expected time to the first event of a request that is held.
	holdMargin = 1.5
	// paceInterval is how often a waiting request checks again.
	paceInterval = 4 * time.Millisecond
)

// mustPace reports whether a request should wait before it is sent to the chosen replica.
func (c *call) mustPace(now time.Time, choice Choice) bool {
	if choice.SmallBatch {
		return c.mustHold(now, &choice)
	}
	if c.requestInfo.Model == "" || c.route.GapTarget <= 0 || choice.Backlog <= 0 {
		return false
	}
	if !now.Before(c.startedAt.Add(time.Duration(float64(c.route.Target) * maxPaceWaitShare))) {
		return false
	}
	if !c.canExceedGapTarget(choice) {
		return false
	}
	share := maxBacklogShare * max(1-priorityShareStep*float64(c.route.Priority), 0.25)
	return choice.Backlog+choice.PrefillTime > time.Duration(float64(c.route.GapTarget)*share)
}

// mustHold reports whether a request should wait before it is sent to the chosen replica of an engine
// with small batches. Without a free slot it waits as long as its first event can be in time. It
// waits for prompts to be read as long as on other engines.
func (c *call) mustHold(now time.Time, choice *Choice) bool {
	if !choice.Free {
		return now.Before(c.startedAt.Add(c.route.Target - work.Scale(choice.FirstEvent, holdMargin)))
	}
	if !choice.Crowded {
		return false
	}
	if !now.Before(c.startedAt.Add(time.Duration(float64(c.route.Target) * maxPaceWaitShare))) {
		return false
	}
	return c.canExceedGapTarget(*choice)
}

// canExceedGapTarget reports whether prompts can make a stream pause for longer than the target at
// all. An event holds the tokens of several decoding steps, and each step may follow one prefill
// chunk.
func (c *call) canExceedGapTarget(choice Choice) bool {
	if c.tokensPerEvent == 0 {
		return true
	}
	return time.Duration(c.tokensPerEvent)*choice.ChunkTime > c.route.GapTarget
}

// sleep waits for a duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
