package schedule

import (
	"math"
	"time"
)

const (
	// stateAge is how old a state may be when it arrives; places that have ended within it may
	// still be counted there.
	stateAge = 200 * time.Millisecond
	// reserveShare is the part of the slots that is left to more urgent requests, which then need not
	// wait for the end of a stream.
	reserveShare = 1.0 / 12
	// workWeight is the weight of a new sample in the mean work of a replica.
	workWeight = 0.05
)

// replica is the queue's state of one replica.
type replica struct {
	id    string
	state State
	// held is the number of given places, foreign what runs or waits there beyond them.
	held, foreign int
	// recent are the bounds of held since recentSince, earlier those of the stateAge before.
	recent, earlier bounds
	recentSince     time.Time
	// lastHeld is the number of held places before the current change.
	lastHeld int
	// readUntil is when the replica will have read all prompts.
	readUntil time.Time
	// waiting are the requests that could be served here, in their order.
	waiting queueList
	// ahead is the work of the requests that were reconsidered so far.
	ahead time.Duration
	// work is the moving average of the work of a place.
	work  time.Duration
	rates rates
	// demands are what the accounts ask of it.
	demands demands
	// refused is the work of recently refused requests that may return, as of refusedAt.
	refused   time.Duration
	refusedAt time.Time
}

func newReplica(now time.Time, id string) *replica {
	return &replica{
		id:      id,
		rates:   rates{decay: newDecay(now, rateWindow)},
		demands: demands{decay: newDecay(now, demandWindow)},
	}
}

// bounds are the least and the largest of some numbers.
type bounds struct{ least, most int }

// with returns the bounds of these numbers and one more.
func (b bounds) with(n int) bounds { return bounds{min(b.least, n), max(b.most, n)} }

// setState records the newest state. It may be older than the newest places and ends of places, so
// that foreign work is only known between two bounds; between these it is as it was.
func (r *replica) setState(now time.Time, state State) {
	state.Slots = max(state.Slots, 0)
	r.state = state
	r.noteHeld(now)
	counted := state.Running + state.Waiting
	least := counted - max(r.recent.most, r.earlier.most)
	most := counted - min(r.recent.least, r.earlier.least)
	r.foreign = max(0, least, min(r.foreign, most))
	r.readUntil = now.Add(max(state.Backlog, 0))
}

// noteHeld records the number of held places, after each change.
func (r *replica) noteHeld(now time.Time) {
	if age := now.Sub(r.recentSince); age >= stateAge {
		r.earlier = r.recent
		if age >= 2*stateAge {
			r.earlier = bounds{r.lastHeld, r.lastHeld}
		}
		r.recent = bounds{r.lastHeld, r.lastHeld}
		r.recentSince = now
	}
	r.lastHeld = r.held
	r.recent = r.recent.with(r.held)
}

// used returns how many slots are taken.
func (r *replica) used() int { return r.held + r.foreign }

// backlog returns how long the replica needs for the prompts that it has not read yet.
func (r *replica) backlog(now time.Time) time.Duration { return max(r.readUntil.Sub(now), 0) }

// room is the room of a replica at one time.
type room struct {
	// free is the number of free slots, reserved how many of them are kept from requests that are
	// not of the first level.
	free, reserved int
	first          level
}

// room returns the room of the replica.
func (r *replica) room(now time.Time) room {
	return room{
		free:     r.state.Slots - r.used(),
		reserved: int(math.Ceil(reserveShare * float64(r.state.Slots))),
		first:    r.rates.first(now),
	}
}

// keeps reports whether the reserve is kept from a request.
func (m *room) keeps(now time.Time, w *waitingRequest) bool {
	return (w.late || w.level.first() > m.first) && !w.pressed(now)
}

// fits reports whether a request may be given a place.
func (m *room) fits(now time.Time, w *waitingRequest) bool {
	if m.free > m.reserved {
		return true
	}
	return m.free > 0 && !m.keeps(now, w)
}

// next returns the waiting request that goes next, nil if there is none or no room for it.
func (r *replica) next(now time.Time) *waitingRequest {
	if len(r.waiting) == 0 || r.state.Slots <= r.used() {
		return nil
	}
	m := r.room(now)
	for _, w := range r.waiting {
		if m.fits(now, w) {
			return w
		}
	}
	return nil
}

// start counts a place that is given.
func (r *replica) start(now time.Time, c candidate) {
	r.held++
	r.noteHeld(now)
	r.readUntil = now.Add(r.backlog(now) + c.prefill)
	if r.work == 0 {
		r.work = c.work
	}
	r.work += time.Duration(workWeight * float64(c.work-r.work))
}

// end counts a place that has ended.
func (r *replica) end(now time.Time) {
	r.held--
	r.noteHeld(now)
}
