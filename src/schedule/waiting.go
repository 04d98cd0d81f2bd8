package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// priorityStep is how much later a request of the next lower priority counts as due.
	priorityStep = 100 * time.Millisecond
	// pressedShare is the part of the time before its latest start after which a request may use the
	// room that is left to more urgent ones.
	pressedShare = 0.25
	// maxPriority is the priority from which all are equal.
	maxPriority = 7
	priorities  = maxPriority + 1
)

// level is the rank of a request in refusals; lower values go first. What an account asks for within
// its fair share goes before what goes beyond it, then the priority decides, then whether the client
// was refused before.
type level int

const (
	// newcomer is added for a request that was not refused before.
	newcomer level = 1
	// levelsPerPriority is the number of levels of one priority.
	levelsPerPriority level = 2
	// beyondShare is added for a request beyond the fair share of its account.
	beyondShare level = levelsPerPriority * priorities
	// levels is the number of levels.
	levels = 2 * beyondShare
)

// first returns the first level of the same share and priority.
func (l level) first() level { return l - l%levelsPerPriority }

// waitingRequest is a request that has no place yet.
type waitingRequest struct {
	ticket  uint64
	request Request
	account *account
	weight  float64
	// work is the expected time in a slot.
	work time.Duration
	// priority is the priority of the request, at least 0 and at most maxPriority.
	priority   int
	level      level
	since      time.Time
	candidates []candidate
	// targetStart is when the request has to start for its target, latestStart for its deadline.
	targetStart, latestStart time.Time
	// due orders the requests.
	due time.Time
	// early is set if the client was refused before and returns earlier than it was told.
	early bool
	// late is set if the request can only be served after its target.
	late bool
}

// candidate is a known replica that could serve a request.
type candidate struct {
	replica       *replica
	prefill, work time.Duration
}

// newWaiting returns a request that is not in the queue yet.
func (q *Queue) newWaiting(now time.Time, ticket uint64, request Request) *waitingRequest {
	w := &waitingRequest{ticket: ticket, request: request, since: now}
	w.priority = q.settings.priority(&request)
	w.weight = q.settings.weight(&request)
	w.account = q.accounts.get(w)
	q.accounts.lift(w.account)
	for _, c := range request.Candidates[:min(len(request.Candidates), maxCandidates)] {
		if r := q.replicas[c.Replica]; r != nil && !w.has(r) {
			w.candidates = append(w.candidates, candidate{replica: r, prefill: max(c.Prefill, 0), work: max(c.Work, minWork)})
		}
	}
	w.request.Candidates = nil
	w.work = w.meanWork()
	deadline := max(request.Deadline, request.Target)
	margin := networkMargin + w.minPrefill()
	w.targetStart = now.Add(request.Target - margin)
	w.latestStart = now.Add(deadline - margin)
	w.level = level(w.priority) * levelsPerPriority
	penalty := time.Duration(w.priority) * priorityStep
	for _, c := range w.candidates {
		c.replica.demands.ask(now, w.account, w.part())
	}
	expected, early := q.refusals.expects(now, &request)
	w.early = early
	if q.accounts.beyondShare(now, w) {
		w.level += beyondShare
		penalty += q.accounts.lag(w.account, q.slots())
	}
	if !expected {
		w.level += newcomer
	}
	w.due = w.targetStart.Add(min(penalty, w.slackAfterTarget()/2))
	if w.due.Before(now) {
		w.due = now
	}
	return w
}

// slackAfterTarget is the time between the latest starts for the target and for the deadline.
func (w *waitingRequest) slackAfterTarget() time.Duration { return w.latestStart.Sub(w.targetStart) }

// becomeLate orders a request that has missed its target by its deadline.
func (w *waitingRequest) becomeLate() {
	w.late = true
	w.due = w.targetStart.Add(w.slackAfterTarget() / 2)
}

// pressed reports whether a request has waited for so long that it has to start soon.
func (w *waitingRequest) pressed(now time.Time) bool {
	start := w.targetStart
	if w.late {
		start = w.due
	}
	return now.Sub(w.since) >= time.Duration(pressedShare*float64(start.Sub(w.since)))
}

// waitLate makes a returned request wait beyond its target if it can wait until an overload ends, and
// is expected to start soon enough.
func (w *waitingRequest) waitLate(now time.Time, wait time.Duration) bool {
	latest := w.targetStart.Add(w.slackAfterTarget() / 2)
	if !w.returned() || now.Add(max(wait, minLateWait)).After(latest) {
		return false
	}
	w.becomeLate()
	return true
}

// returned reports whether the client came back at the time that it was told.
func (w *waitingRequest) returned() bool { return w.level%levelsPerPriority != newcomer }

// inTimeAfter reports whether a request that waits for a time meets its target.
func (w *waitingRequest) inTimeAfter(now time.Time, wait time.Duration) bool {
	return wait < never && !now.Add(wait).After(w.targetStart)
}

// countAhead adds the work of the request to what is ahead of others.
func (w *waitingRequest) countAhead() {
	for _, c := range w.candidates {
		c.replica.ahead += w.part()
	}
}

// minPrefill returns the least time that a candidate needs to read the prompt.
func (w *waitingRequest) minPrefill() time.Duration {
	if len(w.candidates) == 0 {
		return 0
	}
	least := w.candidates[0].prefill
	for _, c := range w.candidates {
		least = min(least, c.prefill)
	}
	return least
}

// meanWork returns the mean time in a slot over the candidates.
func (w *waitingRequest) meanWork() time.Duration {
	if len(w.candidates) == 0 {
		return minWork
	}
	sum := time.Duration(0)
	for _, c := range w.candidates {
		sum += c.work
	}
	return sum / time.Duration(len(w.candidates))
}

// part is the work that a request brings to each of its candidates on average.
func (w *waitingRequest) part() time.Duration {
	return w.work / time.Duration(max(len(w.candidates), 1))
}

func (w *waitingRequest) has(r *replica) bool {
	return slices.ContainsFunc(w.candidates, func(c candidate) bool { return c.replica == r })
}

func (w *waitingRequest) candidate(r *replica) candidate {
	return w.candidates[slices.IndexFunc(w.candidates, func(c candidate) bool { return c.replica == r })]
}

// removeCandidate removes a replica from the candidates of a request that waits.
func (w *waitingRequest) removeCandidate(r *replica) {
	r.waiting.remove(w)
	w.candidates = slices.DeleteFunc(w.candidates, func(c candidate) bool { return c.replica == r })
}

// bestReplica returns the replica with room that should serve the request: the first candidate that
// meets the target, else the one that starts first. It returns nil if none has room.
func (w *waitingRequest) bestReplica(now time.Time) *replica {
	var best *replica
	bestTime := never
	for _, c := range w.candidates {
		if m := c.replica.room(now); !m.fits(now, w) {
			continue
		}
		firstEvent := c.replica.backlog(now) + c.prefill
		if !now.Add(firstEvent + networkMargin - w.minPrefill()).After(w.targetStart) {
			return c.replica
		}
		if firstEvent < bestTime {
			best, bestTime = c.replica, firstEvent
		}
	}
	return best
}

// density returns the slots that the request needs until its target if it is served evenly.
func (w *waitingRequest) density() float64 {
	return min(float64(w.work)/float64(max(w.targetStart.Sub(w.since), minWork)), 1)
}

// ask changes the demand for the candidates by a number of requests.
func (w *waitingRequest) ask(requests float64) {
	for _, c := range w.candidates {
		c.replica.demands.of(w.account).current[w.priority] += requests * w.density() / float64(len(w.candidates))
	}
}

// queueList is a list of waiting requests in their order.
type queueList []*waitingRequest

// insert adds a request.
func (l *queueList) insert(w *waitingRequest) {
	at, _ := slices.BinarySearchFunc(*l, w, compareDue)
	*l = slices.Insert(*l, at, w)
}

// remove removes a request.
func (l *queueList) remove(w *waitingRequest) {
	if at, found := slices.BinarySearchFunc(*l, w, compareDue); found {
		*l = slices.Delete(*l, at, at+1)
	}
}

// compareDue orders requests by when they are due, then by arrival.
func compareDue(a, b *waitingRequest) int {
	return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.ticket, b.ticket))
}
