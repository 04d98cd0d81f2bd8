package exchange

import (
	"context"
	"time"
)

// Pacing. An engine reads prompts between the steps of the streams that run, so that
// prompts sent together make all of them pause. A first event has time to spare, a
// stream has less: prompts beyond what the pause allows wait here.
const (
	// paceShare is the part of the allowed pause that unread prompts may take; the
	// rest is for the streams' own steps and for what comes at the same moment. Chosen
	// on tuhoe-keys: 0.35 and 0.7 measured no better there (docs/DECIDING.md).
	paceShare = 0.5
	// paceByPriority is the part of that which each further priority gives up, so that
	// more urgent requests go first.
	paceByPriority = 0.15
	// paceHold is the part of its target that a request waits at most.
	paceHold = 0.6
	// pieceTokens is how much of a prompt an engine reads between two steps of its
	// streams at most. It is a usual bound and that of the users' present engines; the
	// configuration does not say it, so other engines may differ.
	pieceTokens = 2048
	// paceStep is how often a waiting request looks again.
	paceStep = 4 * time.Millisecond
)

// paced reports whether a request should wait before it goes to the chosen replica.
func (c *call) paced(now time.Time, choice Choice) bool {
	if c.facts.Model == "" || c.route.GapTarget <= 0 || choice.Unread <= 0 {
		return false
	}
	if !now.Before(c.began.Add(time.Duration(float64(c.route.Target) * paceHold))) {
		return false
	}
	if !c.pausesTooLong(choice) {
		return false
	}
	share := paceShare * max(1-paceByPriority*float64(c.route.Priority), 0.25)
	return choice.Unread+choice.ReadTime > time.Duration(float64(c.route.GapTarget)*share)
}

// pausesTooLong reports whether prompts can make a stream pause for too long at all: an
// event holds the tokens of so many steps, each with one piece of a prompt before it.
func (c *call) pausesTooLong(choice Choice) bool {
	if c.eventTokens == 0 {
		return true
	}
	return time.Duration(c.eventTokens)*choice.PieceTime > c.route.GapTarget
}

// sleep waits for a while; it reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
