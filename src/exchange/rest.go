package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Limits of the requests that go on from the copy of a run.
const (
	// maxRests is how many times a request may go on from a copy, as long as each rest is unframed in turn.
	maxRests = maxSends - 1
	// maxRefusedRests is how many of its requests for that may be refused, or get no answer.
	maxRefusedRests = 4
	// maxRestWait is how long a stream waits for its rest. Clients give a stream up after two seconds of silence at the
	// earliest. minRestWait is left for the search if it took long to make sure that the run has ended.
	maxRestWait = 1500 * time.Millisecond
	minRestWait = 200 * time.Millisecond
	// minRestPause is the pause before a replica is asked again that named no time. It doubles with each further refusal.
	minRestPause = 50 * time.Millisecond
	// maxBackupRefusals is how many requests to go on from the copy that a replica keeps of a run as it grows may be refused:
	// one without a copy refuses for good.
	maxBackupRefusals = 2
	// restPollInterval is how often a rest that waits for its replica or the retry budget is tried.
	restPollInterval = 10 * time.Millisecond
)

// copyPlace is a replica at which a run can go on, and the name of what it keeps of the run.
type copyPlace struct {
	peer   *Peer
	handle string
	// asked is how many times it was asked to go on, and gone is set if that can't help any more.
	asked int
	gone  bool
}

// nextPlace returns the place that was asked least, nil if none is left.
func (r *runCopy) nextPlace() *copyPlace {
	var next *copyPlace
	for _, place := range r.places {
		if !place.gone && (next == nil || place.asked < next.asked) {
			next = place
		}
	}
	return next
}

// restSearch is the search for a replica that goes on with a stream whose run has ended.
type restSearch struct {
	copied *runCopy
	place  *copyPlace
	// until is when the search ends.
	until time.Time
	// denied is set if a replica refused one that was to have the copy, unanswered if one gave no answer.
	denied, unanswered bool
}

// mayAskForRest reports whether the request may go on from a copy of its run once more.
func (c *call) mayAskForRest() bool { return c.rests < maxRests && c.refusedRests < maxRefusedRests }

// resumeFromCopy reports whether a stream goes on from the copy of its run, and chooses the replica that has it. The
// run must have ended at its source.
func (c *call) resumeFromCopy(ctx context.Context) (Choice, bool) {
	if c.copied == nil || c.copied.over || c.settled != c.copied.source || !c.mayAskForRest() {
		return Choice{}, false
	}
	if c.timeOver(ctx) || c.clientLeft() || c.stream == nil || c.stream.lastEventID == "" {
		return Choice{}, false
	}
	began := c.handler.options.Now()
	c.awaitRenewal(ctx)
	copied := c.copied
	copied.over = true
	if err := c.endAtSource(ctx, copied); err != nil {
		c.reason += "; no copy of the run shows its end: " + err.Error()
		return Choice{}, false
	}
	if now := c.handler.options.Now(); copied.ranOut && c.mayRunOnceMore() && c.handler.restOutcomes.refusesEnded(now, c.service) {
		c.reason += "; the rest is not asked for: " + errCopiesGone.Error()
		return Choice{}, false
	}
	c.dropOtherCopies()
	c.rest = &restSearch{copied: copied, until: later(began.Add(maxRestWait), c.handler.options.Now().Add(minRestWait))}
	return c.searchRest(ctx)
}

// resumeAfterRefusal reports whether the rest of a stream is asked for once more, after a replica refused it or gave no
// answer, and chooses the replica.
func (c *call) resumeAfterRefusal(ctx context.Context, refused *Choice, ended outcome) (Choice, bool) {
	search := c.rest
	if refused.Copy == nil || search == nil || search.copied != refused.Copy || ended != notRun && ended != notAccepted && !c.headless {
		return Choice{}, false
	}
	c.rests--
	c.refusedRests++
	if ended == notAccepted {
		c.restSends--
	}
	if !c.notSent {
		search.copied.paid = nil
	}
	switch {
	case c.rejection.Misdirected:
		search.place.gone = true
	case c.headless:
		// The run may go on there, and nowhere else then. Its copy may have been used.
		search.unanswered = true
		search.place.gone = search.copied.backup && !c.notSent
		search.copied.keepOnly(search.place)
	case c.rejection.NotRun && c.rejection.Backoff == 0:
		search.denied = true
		search.place.gone = search.copied.ranOut && !c.handler.restOutcomes.mayInsist(c.handler.options.Now(), c.service)
	}
	if c.refusedRests >= maxRefusedRests || search.copied.backup && c.refusedRests >= maxBackupRefusals {
		return c.giveUpRest(errors.Errorf("%d requests for it were refused", c.refusedRests))
	}
	return c.searchRest(ctx)
}

// mayRunOnceMore reports whether another run may finish the stream, which costs as much as a request for the rest.
func (c *call) mayRunOnceMore() bool {
	return c.route.Idempotent() && c.possibleRuns < c.route.Attempts
}

// keepOnly drops all other places.
func (r *runCopy) keepOnly(place *copyPlace) {
	for _, other := range r.places {
		other.gone = other.gone || other != place
	}
}

// searchRest chooses the place at which the rest is asked for next. It waits for one that takes no requests now.
func (c *call) searchRest(ctx context.Context) (Choice, bool) {
	search := c.rest
	ctx, cancel := context.WithTimeout(ctx, search.until.Sub(c.handler.options.Now()))
	defer cancel()
	for {
		place := search.copied.nextPlace()
		if place == nil {
			return c.giveUpRest(errors.New("no replica that has it takes requests"))
		}
		if err := c.awaitCopyPlace(ctx, place); err != nil {
			c.reason += "; " + place.peer.ID() + " has a copy of the run: " + err.Error()
			place.gone, search.denied = true, false
			continue
		}
		if err := c.takeRestRetry(ctx, search.copied); err != nil {
			return c.giveUpRest(err)
		}
		place.asked++
		search.place = place
		return c.chooseRest(place)
	}
}

// chooseRest returns the choice of a place.
func (c *call) chooseRest(place *copyPlace) (Choice, bool) {
	copied := c.rest.copied
	copied.target, copied.handle = place.peer, place.handle
	c.copied = copied
	c.restSends++
	c.rests++
	c.handler.options.Metrics.Continued.Inc(1)
	return Choice{Peer: place.peer, Verdict: Chosen, Copy: copied, Reason: c.reason + "; goes on from its copy at " + place.peer.ID()}, true
}

// giveUpRest ends the search for good. The copy is freed as the request ends.
func (c *call) giveUpRest(reason error) (Choice, bool) {
	c.reason += "; the rest is not asked for: " + reason.Error()
	if !errors.Is(reason, errRestBudget) {
		c.noteDeniedRest(c.rest)
	}
	c.copied, c.rest = c.rest.copied, nil
	c.copied.err = errGivenUpRest
	return Choice{}, false
}

// noteDeniedRest records that a stream got no rest from replicas that were to have its copy.
func (c *call) noteDeniedRest(search *restSearch) {
	if !search.denied || search.unanswered || !search.copied.restart && !search.copied.ranOut {
		return
	}
	now := c.handler.options.Now()
	c.handler.restOutcomes.note(now, c.service, search.copied.restart, false)
	c.handler.vainCopies.note(now, c.service, false)
}

// Reasons for which a replica with a copy is not asked for the rest.
var (
	errPlaceClosed  = errors.New("it takes no requests any more")
	errOtherWriter  = errors.New("it may not go on with the stream")
	errRestTimeOver = errors.New("it takes no requests in time")
	errRestBudget   = errors.New("the retry budget is spent")
	errCopiesGone   = errors.New("its service lately kept no copies of ended runs, and another run may finish the stream")
	errGivenUpRest  = errors.New("its rest was given up")
)

// awaitCopyPlace waits until a place takes the request.
func (c *call) awaitCopyPlace(ctx context.Context, place *copyPlace) error {
	fleet := c.handler.options.Fleet
	if place.asked > 0 && !sleep(ctx, minRestPause<<(place.asked-1)) {
		return errRestTimeOver
	}
	for {
		if !c.mayWrite(place.peer, place.peer.writerOrigin()) {
			return errOtherWriter
		}
		wait, accepted := fleet.acceptsIn(place.peer)
		if !accepted && wait == 0 {
			return errPlaceClosed
		}
		if accepted && c.permitted(ctx, place.peer, c.restWait()) {
			return nil
		}
		if accepted {
			wait = fleet.minPermitWait(place.peer)
		}
		if wait > c.restWait() || c.clientLeft() || !sleep(ctx, max(wait, restPollInterval)) {
			return errRestTimeOver
		}
	}
}

// restWait returns for how much longer the stream waits for its rest.
func (c *call) restWait() time.Duration {
	return max(c.rest.until.Sub(c.handler.options.Now()), 0)
}

// takeRestRetry takes the retry with which a stream goes on from a copy, and waits for it if the budget is spent. One whose
// request was not sent is still there.
func (c *call) takeRestRetry(ctx context.Context, copied *runCopy) error {
	for copied.paid == nil {
		now := c.handler.options.Now()
		if c.takeRetry(now) {
			copied.paid, copied.takenAt = c.handler.budgets.get(c.service), now
			return nil
		}
		if c.clientLeft() || !sleep(ctx, restPollInterval) {
			return errRestBudget
		}
	}
	return nil
}

// takeRetry takes a retry of the budget of the request's service.
func (c *call) takeRetry(now time.Time) bool {
	return c.handler.budgets.get(c.service).Take(now, c.handler.Gateways())
}

// hasOtherWays reports whether the client of a stream that breaks off may take it up. Runs of others are rather stopped before
// their end.
func (c *call) hasOtherWays() bool {
	return c.route.Idempotent() && !c.restarted && !c.handler.stopping.Load()
}
