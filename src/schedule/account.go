package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// givenShare is the part of the slots that is shared out. The rest is for what is not known exactly:
// how much the accounts ask for, and when slots become free.
const givenShare = 0.95

// account is what a client account has used. Its counter is the virtual token counter of Sheng et
// al., "Fairness in Serving Large Language Models", OSDI 2024, in time in a slot.
type account struct {
	name string
	// index is the account's index in the demand of replicas.
	index  int
	weight float64
	// counter is the work that was given while others waited, by weight.
	counter float64
	// waiting and places are the numbers of its requests, queued is the waiting work.
	waiting, places int
	queued          time.Duration
}

// accounts are the accounts that have requests.
type accounts struct {
	byName map[string]*account
	// byIndex are the accounts by index, nil where one is free.
	byIndex []*account
	// least is the counter at which a new or returning account starts.
	least float64
}

// get returns the account of a request, a new one if it has no other requests.
func (a *accounts) get(w *waitingRequest) *account {
	acc := a.byName[w.request.Account]
	if acc == nil {
		acc = &account{name: w.request.Account, index: slices.Index(a.byIndex, nil)}
		if acc.index < 0 {
			acc.index = len(a.byIndex)
			a.byIndex = append(a.byIndex, nil)
		}
		a.byIndex[acc.index] = acc
		a.byName[acc.name] = acc
	}
	acc.weight = w.weight
	return acc
}

// floor returns the least counter of the accounts that wait, which never falls.
func (a *accounts) floor() float64 {
	least, found := 0.0, false
	for _, acc := range a.byIndex {
		if acc != nil && acc.waiting > 0 && (!found || acc.counter < least) {
			least, found = acc.counter, true
		}
	}
	if found {
		a.least = max(a.least, least)
	}
	return a.least
}

// lift makes an account that did not wait start with the least counter of those that do.
func (a *accounts) lift(acc *account) {
	if floor := a.floor(); acc.waiting == 0 {
		acc.counter = max(acc.counter, floor)
	}
}

// used reports whether an account has requests.
func (a *account) used() bool { return a.waiting > 0 || a.places > 0 }

// lag returns how long the account has to wait by its fair share of the slots, as all its waiting
// requests go before and it may have used more than others.
func (a *accounts) lag(acc *account, slots int) time.Duration {
	weights := 0.0
	for _, other := range a.byIndex {
		if other != nil {
			weights += other.weight
		}
	}
	if slots == 0 {
		return 0
	}
	ahead := acc.counter - a.floor() + float64(acc.queued)/acc.weight
	return time.Duration(min(ahead*weights/float64(slots), float64(never)))
}

// enter counts a request that is let in.
func (a *accounts) enter(w *waitingRequest) {
	w.account.waiting++
	w.account.queued += w.work
}

// leave counts a request that waits no more.
func (a *accounts) leave(w *waitingRequest) {
	a.floor()
	w.account.waiting--
	w.account.queued -= w.work
}

// charge counts work that is given while others wait.
func (a *accounts) charge(w *waitingRequest) {
	w.account.counter += float64(w.work) / w.account.weight
}

// remove removes an account without requests.
func (a *accounts) remove(acc *account) {
	delete(a.byName, acc.name)
	a.byIndex[acc.index] = nil
}

// demand is what an account asks of a replica, in slots.
type demand struct {
	// current are its places and the part of its waiting requests that may come there, by priority.
	current [priorities]float64
	// asked is the moving average of all arriving work, also of what is refused.
	asked float64
}

// sum returns the sum of the first values.
func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// demands are the demands of the accounts by index.
type demands struct {
	decay     decay
	byAccount []demand
}

// of returns the demand of an account.
func (d *demands) of(acc *account) *demand {
	for len(d.byAccount) <= acc.index {
		d.byAccount = append(d.byAccount, demand{})
	}
	return &d.byAccount[acc.index]
}

// ask counts work that arrives.
func (d *demands) ask(now time.Time, acc *account, work time.Duration) {
	if d.decay.due(now) {
		factor := 1 / d.decay.weight(now)
		for i := range d.byAccount {
			d.byAccount[i].asked *= factor
		}
		d.decay.origin = now
	}
	d.of(acc).asked += d.decay.weight(now) * work.Seconds()
}

// addPlace changes the number of places of an account.
func (d *demands) addPlace(w *waitingRequest, count float64) {
	d.of(w.account).current[w.priority] += count
}

// forget forgets the demand of an account.
func (d *demands) forget(acc *account) {
	if acc.index < len(d.byAccount) {
		d.byAccount[acc.index] = demand{}
	}
}

// beyondShare reports whether a request asks for more than the max-min fair share of its account in
// the slots of its candidates. Less urgent requests of the account itself don't count.
func (a *accounts) beyondShare(now time.Time, w *waitingRequest) bool {
	slots, own := 0, w.density()
	total := make([]float64, len(a.byIndex))
	for _, c := range w.candidates {
		d := &c.replica.demands
		slots += max(c.replica.state.Slots-c.replica.foreign, 0)
		factor := 1 / d.decay.total(now)
		for i := range d.byAccount {
			total[i] += d.byAccount[i].asked * factor
		}
		own += sum(d.of(w.account).current[:w.priority+1])
	}
	return own > a.fairShare(total, givenShare*float64(slots))*w.account.weight
}

// fairShare returns the slots by weight up to which each account gets what it asks for.
func (a *accounts) fairShare(asked []float64, slots float64) float64 {
	type ask struct{ slots, weight float64 }
	asks := make([]ask, 0, len(asked))
	weights := 0.0
	for i, acc := range a.byIndex {
		if acc != nil && asked[i] > 0 {
			asks = append(asks, ask{asked[i], acc.weight})
			weights += acc.weight
		}
	}
	if len(asks) < 2 {
		return math.Inf(1)
	}
	slices.SortFunc(asks, func(x, y ask) int { return cmp.Compare(x.slots/x.weight, y.slots/y.weight) })
	for i, x := range asks {
		if share := slots / weights; x.slots > share*x.weight || i == len(asks)-1 {
			return share
		}
		slots -= x.slots
		weights -= x.weight
	}
	return slots
}
