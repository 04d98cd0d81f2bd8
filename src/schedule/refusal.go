package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	noReplica    Reason = "no replica can serve it"
	replicaLost  Reason = "its replicas were removed"
	noRoom       Reason = "no room in time"
	tooEarly     Reason = "returned before it was told to"
	queueFull    Reason = "the queue is full"
	displaced    Reason = "displaced by a more urgent request"
	deadlineNear Reason = "no room before its deadline"
)

const (
	// retryWithoutReplica is when a request without a replica should be retried: a copy is loaded or
	// a replica comes back in about this time. Retries are spread over as long again.
	retryWithoutReplica = 500 * time.Millisecond
	// retrySpreads is the number of different times in this spread.
	retrySpreads = 16
	// minRetryAfter is the least time after which a refused request should be retried.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the time, as no estimate is good for longer.
	maxRetryAfter = 10 * time.Second
	// minReturnShare is the part of the slots that returning requests are assumed to get at least.
	minReturnShare = 0.1
	// promiseTTL is how long a client that was told when to return is expected after that time.
	promiseTTL = 5 * time.Second
	// earlyReturn is how much earlier than told a client may return.
	earlyReturn = 20 * time.Millisecond
	// maxPromises bounds the promises that are kept.
	maxPromises = 4096
	// refusalSeconds is for how many seconds refusals are shown to operators.
	refusalSeconds = 10
	// maxRefusalKeys bounds the different refusals that are shown of one second.
	maxRefusalKeys = 256
	// freshShare is the part of its target that a request may have waited to be refused in
	// favour of another; later it is of more use to its client late than told to return.
	freshShare = 0.25
)

// promiseKey is whose requests may return, as they have no identity of their own.
type promiseKey struct{ account, kind string }

// refusals are the recently refused requests.
type refusals struct {
	// started is when the first replica was known.
	started time.Time
	// promises are the times at which refused clients were told to return.
	promises map[promiseKey][]time.Time
	count    int
	// recent are the refusals of the last seconds by second.
	recent [refusalSeconds]refusalSecond
}

// refusalSecond are the refusals of one second.
type refusalSecond struct {
	second int64
	counts map[refusalKey]int
}

// refusalKey is what refusals are counted by.
type refusalKey struct {
	account, kind string
	reason        Reason
	inFavour      string
}

func newRefusals() refusals { return refusals{promises: map[promiseKey][]time.Time{}} }

// note records a refusal and returns when the client should return: after the requests that wait and
// those refused before.
func (f *refusals) note(now time.Time, w *waitingRequest, wait time.Duration, reason Reason, inFavour string) time.Duration {
	retryAfter := returnTime(now, w, wait)
	f.consume(w)
	if !w.early {
		f.promise(now, promiseKey{w.request.Account, w.request.Kind}, now.Add(retryAfter))
	}
	f.show(now, refusalKey{w.request.Account, w.request.Kind, reason, inFavour})
	return retryAfter
}

// returnTime returns how long the waiting requests and those refused before will take, and counts
// the request among the latter.
func returnTime(now time.Time, w *waitingRequest, wait time.Duration) time.Duration {
	refused, left := time.Duration(0), 0.0
	for _, c := range w.candidates {
		rate := c.replica.returnRate(now, w.level)
		refused += c.replica.noteRefused(now, w.newPart(), rate)
		left += rate
	}
	if left == 0 {
		return retryWithoutReplica + spread(w, retryWithoutReplica)
	}
	if wait >= never {
		wait = 0
	}
	retryAfter := max(wait+time.Duration(float64(refused)/left), minRetryAfter)
	if retryAfter > maxRetryAfter {
		return maxRetryAfter - spread(w, maxRetryAfter/2)
	}
	return retryAfter
}

// spread returns a part of a time that differs between requests.
func spread(w *waitingRequest, span time.Duration) time.Duration {
	return span * time.Duration(w.ticket%retrySpreads) / retrySpreads
}

// newPart returns the work that a refusal adds to what may return: none if the client has come back
// early, as it was counted before.
func (w *waitingRequest) newPart() time.Duration {
	if w.early {
		return 0
	}
	return w.part()
}

// returnRate returns how many slots requests of a level may get when they return.
func (r *replica) returnRate(now time.Time, l level) float64 {
	slots := float64(r.state.Slots)
	return max(slots-r.rates.before(now, l), minReturnShare*slots)
}

// noteRefused adds refused work that may return and returns all of it.
func (r *replica) noteRefused(now time.Time, work time.Duration, rate float64) time.Duration {
	drained := time.Duration(rate * float64(now.Sub(r.refusedAt)))
	if r.refusedAt.IsZero() {
		drained = r.refused
	}
	r.refused = max(r.refused-drained, 0) + work
	r.refusedAt = now
	return r.refused
}

// promise records when a client was told to return.
func (f *refusals) promise(now time.Time, key promiseKey, at time.Time) {
	f.prune(now, key)
	if f.count >= maxPromises {
		f.pruneAll(now)
	}
	if f.count >= maxPromises {
		return
	}
	times := f.promises[key]
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	f.promises[key] = slices.Insert(times, i, at)
	f.count++
}

// prune forgets the promises of a key whose clients are not expected any more.
func (f *refusals) prune(now time.Time, key promiseKey) {
	times := f.promises[key]
	kept := slices.IndexFunc(times, func(at time.Time) bool { return now.Before(at.Add(promiseTTL)) })
	if kept < 0 {
		kept = len(times)
	}
	f.count -= kept
	f.promises[key] = times[kept:]
	if kept == len(times) {
		delete(f.promises, key)
	}
}

func (f *refusals) pruneAll(now time.Time) {
	for key := range f.promises {
		f.prune(now, key)
	}
}

// expects reports whether a client returns as it was told to, and whether it returns earlier. Clients
// that return early count as new ones. What was promised before the start is not known.
func (f *refusals) expects(now time.Time, request *Request) (expected, early bool) {
	if !request.Returned {
		return false, false
	}
	if f.started.IsZero() || now.Sub(f.started) < maxRetryAfter {
		return true, false
	}
	key := promiseKey{request.Account, request.Kind}
	f.prune(now, key)
	times := f.promises[key]
	expected = len(times) > 0 && !times[0].After(now.Add(earlyReturn))
	return expected, !expected && len(times) > 0
}

// consume forgets the promise to a request that has returned.
func (f *refusals) consume(w *waitingRequest) {
	key := promiseKey{w.request.Account, w.request.Kind}
	if !w.returned() || len(f.promises[key]) == 0 || f.promises[key][0].After(w.since.Add(earlyReturn)) {
		return
	}
	f.promises[key] = f.promises[key][1:]
	f.count--
	if len(f.promises[key]) == 0 {
		delete(f.promises, key)
	}
}

// show counts a refusal for operators.
func (f *refusals) show(now time.Time, key refusalKey) {
	second := now.Unix()
	s := &f.recent[second%refusalSeconds]
	if s.second != second || s.counts == nil {
		*s = refusalSecond{second: second, counts: map[refusalKey]int{}}
	}
	if _, known := s.counts[key]; !known && len(s.counts) >= maxRefusalKeys {
		key.account, key.kind, key.inFavour = "", "", ""
	}
	s.counts[key]++
}

// fresh reports whether a request has waited so little that its client may be told to return.
func (w *waitingRequest) fresh(now time.Time) bool {
	return now.Sub(w.since) <= time.Duration(freshShare*float64(w.request.Target))
}

// displace takes a waiting request out of the way of a kind of more urgent ones: it is refused, or
// served after its target if its client has waited too long to be told to return.
func (q *Queue) displace(now time.Time, w *waitingRequest, inFavour string) {
	if w.returned() || !w.fresh(now) {
		q.makeLate(w)
		return
	}
	q.remove(w)
	q.refuse(now, w, displaced, inFavour)
}

// displaceLeastValuable refuses the least urgent waiting request in favour of a more urgent one.
func (q *Queue) displaceLeastValuable(now time.Time, w *waitingRequest) bool {
	var least *waitingRequest
	for _, other := range q.waiting {
		if least == nil || cmp.Or(cmp.Compare(other.level, least.level), compareDue(other, least)) > 0 {
			least = other
		}
	}
	if least == nil || least.level <= w.level {
		return false
	}
	q.remove(least)
	q.refuse(now, least, displaced, w.request.Kind)
	return true
}
