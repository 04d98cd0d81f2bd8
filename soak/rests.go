package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// viaHeader names the gateway that a client sent a request to; gateways pass it on.
	viaHeader = "Soak-Via"
	// wordSlack is after how long a gateway acts on what a replica said in an answer.
	wordSlack = 500 * time.Millisecond
	// restAllowed is how many requests of a gateway may reach a replica after that in a time for
	// which it wanted nothing.
	restAllowed = 2
	// restsFor is how long a replica turns everybody away, restsEvery the pause between two such
	// spells, leavingEvery that between two replicas that say that they leave.
	restsFor     = 4 * time.Second
	restsEvery   = 3 * time.Second
	leavingEvery = 6 * time.Second
	// openFor is how long a replica takes requests after such a time, before it asks for the next.
	openFor = 500 * time.Millisecond
	// measuredRest is the time that replicas ask for in a measurement.
	measuredRest = 3 * time.Second
)

// words is what one start of a replica says in its answers of whether it takes requests, and what
// came of it; it is safe for concurrent use.
type words struct {
	mu sync.Mutex
	// rests is the time that it asks for from now on, 0 for none.
	rests time.Duration
	// leaves is set once it says in all answers that it leaves.
	leaves bool
	by     map[string]*told
}

// told is what one gateway was told.
type told struct {
	restedAt, until time.Time
	leftAt          time.Time
	within          int
}

// wordCounts are the sums of a run; they are safe for concurrent use.
type wordCounts struct {
	mu                sync.Mutex
	asked, over, most int
	afterLeaver       int
}

// set says for how long the replica wants nothing from each gateway that sends something, 0 for
// taking all again.
func (w *words) set(rest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rests = rest
}

// leave lets the replica say in its answers that it leaves.
func (w *words) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaves = true
}

// arrived checks a request against what its gateway was told, and returns how long the replica
// wants nothing more from it, whether it turns the request away, and whether it says that it leaves.
func (r *replicas) arrived(one *replica, request *http.Request) (rest time.Duration, away, leaves bool) {
	via, now := request.Header.Get(viaHeader), time.Now()
	if via == "" {
		return 0, false, false
	}
	w := &one.words
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = map[string]*told{}
	}
	known := w.by[via]
	if known == nil {
		known = &told{}
		w.by[via] = known
	}
	if !known.leftAt.IsZero() && now.Sub(known.leftAt) > drainGrace && r.calmBefore(via, known.leftAt) {
		r.words.afterLeaving()
		r.check.late("drain", "%s got a request from %s %s after it had said in an answer that it leaves", one.id, via, now.Sub(known.leftAt))
	}
	if w.leaves && known.leftAt.IsZero() {
		known.leftAt = now
	}
	if now.Before(known.until) {
		if now.Sub(known.restedAt) > wordSlack && r.calmBefore(via, known.restedAt) {
			known.within++
			r.words.within(known.within)
			if known.within > restAllowed {
				r.check.late("rest", "%s got %d requests from %s in a time for which it wanted nothing", one.id, known.within, via)
			}
		}
		return 0, true, w.leaves
	}
	if w.rests > 0 && now.Sub(known.until) > openFor {
		*known = told{restedAt: now, until: now.Add(w.rests), leftAt: known.leftAt}
		r.words.rest()
		return w.rests, true, w.leaves
	}
	return 0, false, w.leaves
}

// calmBefore reports whether a gateway has been calm since before a time.
func (r *replicas) calmBefore(gateway string, at time.Time) bool {
	for _, m := range r.in.gatewayNodes() {
		if m.name == gateway {
			_, since := m.state()
			return !since.IsZero() && since.Before(at)
		}
	}
	return false
}

// turnAway answers a request that is not run.
func turnAway(w http.ResponseWriter, rest time.Duration) {
	if rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (c *wordCounts) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
}

func (c *wordCounts) within(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = max(c.most, count)
	if count == restAllowed+1 {
		c.over++
	}
}

func (c *wordCounts) afterLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.afterLeaver++
}

// String sums up what was asked and what came of it.
func (c *wordCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("rests asked %d, with over two requests after the first 0.5 s %d, most in one %d; after a word of leaving %d", c.asked, c.over, c.most, c.afterLeaver)
}

// some returns a share of the replicas, one at the least.
func (r *replicas) some(share float64) []*replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(max(int(share*float64(len(r.list))), 1), len(r.list))
	return append([]*replica(nil), r.list[:count]...)
}

// rest lets some replicas turn gateways away now and then, at times all of them.
func (r *replicas) rest(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restsEvery):
		}
		resting := r.some([]float64{0.2, 0.5, 1}[random.IntN(3)])
		asked := time.Duration(500+random.IntN(2500)) * time.Millisecond
		for _, one := range resting {
			one.words.set(asked)
		}
		r.check.count("spells of rest")
		select {
		case <-ctx.Done():
		case <-time.After(restsFor):
		}
		for _, one := range resting {
			one.words.set(0)
		}
	}
}

// sayLeaving lets a replica say in its answers that it leaves while its calls go on as before;
// turnOver replaces it in time.
func (r *replicas) sayLeaving(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingEvery):
		}
		r.mu.Lock()
		var one *replica
		if len(r.list) > 2 {
			one = r.list[random.IntN(len(r.list))]
		}
		r.mu.Unlock()
		if one == nil {
			continue
		}
		one.words.leave()
		r.check.count("leaving said in answers")
		time.Sleep(drainGrace + 2*time.Second)
		r.replace(one)
	}
}

// restShare lets a share of the replicas turn gateways away for the whole measurement, from its
// seventh second on.
func restShare(share float64) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, _ *clients) {
		time.Sleep(7 * time.Second)
		for _, one := range r.some(share) {
			one.words.set(measuredRest)
		}
		<-ctx.Done()
		fmt.Println(&r.words)
	}
}

// leaveHalf lets half of the replicas say that they leave from the seventh second on.
func leaveHalf(ctx context.Context, r *replicas, _ *clients) {
	time.Sleep(7 * time.Second)
	for _, one := range r.some(0.5) {
		one.words.leave()
	}
	<-ctx.Done()
	fmt.Println(&r.words)
}
