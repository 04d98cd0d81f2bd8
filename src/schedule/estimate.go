package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// never is longer than any request may wait.
	never = time.Hour
	// burstMargin is how much longer a request may wait than expected if all slots are taken by more
	// urgent work, which comes in bursts.
	burstMargin = 0.3
	// waitDeviations is how many standard deviations are added to the expected wait. Slots become free
	// at random, so that the standard deviation of n gaps between them is the root of n gaps.
	waitDeviations = 1
	// overloadTime is for how long more urgent work that takes all slots is expected to do so.
	overloadTime = 4 * time.Second
	// minLateWait is how long a request that can't be in time must be able to wait to be let in all
	// the same: until an overload has ended and what waited before has started. In a lasting overload
	// an answer that is late would take the slot of one that is in time.
	minLateWait = overloadTime * 3 / 2
)

// load is the work before a request at its candidates.
type load struct {
	// ahead is the waiting work that goes before, work the mean work of what runs.
	ahead, work time.Duration
	// slots are the slots of the candidates, urgent those that work of more urgent levels takes.
	slots, urgent float64
	// reserve are the slots that are left to more urgent requests until the request is pressed.
	reserve float64
	// overtaking is the work that will arrive later and be due earlier.
	overtaking time.Duration
	// due is the time until the request is due.
	due time.Duration
}

// load returns the work before a request.
func (q *Queue) load(now time.Time, w *waitingRequest) load {
	l := load{due: w.due.Sub(now)}
	for _, c := range w.candidates {
		r := c.replica
		l.slots += float64(r.state.Slots)
		l.work += r.work
		urgent, overtaking := r.rates.overtaking(now, w.level, w.due.Sub(now))
		l.urgent += urgent
		if room := r.room(now); room.keeps(now, w) {
			l.reserve += float64(room.reserved)
		}
		l.overtaking += overtaking
		for _, other := range r.waiting {
			if w.behind(other) {
				l.ahead += other.part()
			} else if w.level < beyondShare {
				break
			}
		}
	}
	if len(w.candidates) > 0 {
		l.work /= time.Duration(len(w.candidates))
	}
	return l
}

// behind reports whether the work of another waiting request counts as done before a new one: it is
// due earlier, or within the share of its account while this one is beyond.
func (w *waitingRequest) behind(other *waitingRequest) bool {
	if w.level >= beyondShare && other.level < beyondShare {
		return true
	}
	return compareDue(other, w) < 0
}

// wait returns how long a request behind this load is expected to wait: until a slot becomes free,
// for the work ahead, and for what overtakes it meanwhile.
func (l load) wait() time.Duration {
	if l.slots == 0 {
		return never
	}
	wait := float64(l.ahead+l.overtaking) / l.slots
	if left := l.slots - l.urgent - l.reserve; left > 0 {
		wait = min(wait, float64(l.ahead)/left)
	}
	if l.urgent >= l.slots && l.due < overloadTime {
		return never
	}
	gap := max(float64(l.work)/l.slots, 1)
	wait += gap
	wait *= 1 + burstMargin*l.urgent/l.slots
	wait += waitDeviations * math.Sqrt(wait/gap) * gap
	return min(time.Duration(wait), never)
}

// expectedWait returns how long a request is expected to wait.
func (q *Queue) expectedWait(now time.Time, w *waitingRequest) time.Duration {
	return q.load(now, w).wait()
}

// leastWait returns how long a request waits at least behind the work that goes before it.
func (w *waitingRequest) leastWait() time.Duration {
	ahead, slots := time.Duration(0), 0
	for _, c := range w.candidates {
		ahead += c.replica.ahead
		slots += c.replica.state.Slots
	}
	if slots == 0 {
		return 0
	}
	return ahead / time.Duration(slots)
}

// makeRoom removes less urgent requests that would go before a new one if it is in time then, and
// reports whether it is. The removed ones wait beyond their target or are refused.
func (q *Queue) makeRoom(now time.Time, w *waitingRequest) bool {
	victims, ok := q.chooseVictims(now, w)
	if !ok {
		return false
	}
	for _, v := range victims {
		q.displace(now, v, w.request.Kind)
	}
	return true
}

// yields reports whether a waiting request may be displaced by a new one. What is late already does
// not yield, and to one of the same kind that returns only what can be told early to return.
func (w *waitingRequest) yields(now time.Time, other *waitingRequest) bool {
	if w.late {
		return false
	}
	if w.level.first() == other.level.first() {
		return w.level > other.level && w.fresh(now)
	}
	return w.level > other.level
}

// chooseVictims chooses as few requests as possible, the least urgent ones first.
func (q *Queue) chooseVictims(now time.Time, w *waitingRequest) ([]*waitingRequest, bool) {
	l := q.load(now, w)
	seen := map[uint64]bool{}
	var possible []*waitingRequest
	for _, c := range w.candidates {
		for _, other := range c.replica.waiting {
			if compareDue(other, w) >= 0 {
				break
			}
			if other.yields(now, w) && !seen[other.ticket] {
				seen[other.ticket] = true
				possible = append(possible, other)
			}
		}
	}
	slices.SortFunc(possible, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(b.level, a.level), compareDue(b, a))
	})
	for i, v := range possible {
		l.ahead -= v.part() * time.Duration(shared(v, w))
		if w.inTimeAfter(now, l.wait()) {
			return possible[:i+1], true
		}
	}
	return nil, false
}

// shared returns how many candidates two requests have in common.
func shared(a, b *waitingRequest) int {
	count := 0
	for _, c := range a.candidates {
		if b.has(c.replica) {
			count++
		}
	}
	return count
}
