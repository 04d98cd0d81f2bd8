package ratelimit

import (
	"math/rand/v2"
	"sort"
	"time"
)

// simulationStep is the time step of the simulation, which runs on virtual time. It has many
// gateways with requests for one cold backend server, and control nodes of which one at a time
// issues permits.
const simulationStep = time.Millisecond

// message is a request on its way to the leader, or a reply on its way back.
type message struct {
	at          time.Time
	gateway     int
	requestedAt time.Time
	answer      *Reply
	// maxWait is how long the request can wait.
	maxWait time.Duration
}

// leaderTerm is the time for which one node leads.
type leaderTerm struct {
	term  uint64
	since time.Time
	until time.Time
}

// permit is a permit that a gateway waits to use.
type permit struct {
	gateway     int
	requestedAt time.Time
	wait        time.Duration
	from        time.Time
}

type simulation struct {
	random      *rand.Rand
	now         time.Time
	rate        float64
	issuers     map[uint64]*Issuer
	leaderTerms []leaderTerm
	messages    []message
	// pausedUntil is until when a gateway is suspended.
	pausedUntil map[int]time.Time
	// permits are waiting to be used.
	permits []permit
	// nextRequest is when each gateway requests its next permit.
	nextRequest []time.Time
	arrivals    []time.Time
	// faultRate is the probability of each fault.
	faultRate float64
	// maxDelay is the longest delay of a message.
	maxDelay time.Duration
	// delayFrom and delayUntil bound a time in which replies are held back; they arrive together at
	// its end.
	delayFrom  time.Time
	delayUntil time.Time
}

func newSimulation(seed uint64, gateways int, rate, faultRate float64, maxDelay time.Duration) *simulation {
	w := &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         time.Unix(1_800_000_000, 0),
		rate:        rate,
		issuers:     map[uint64]*Issuer{},
		pausedUntil: map[int]time.Time{},
		nextRequest: make([]time.Time, gateways),
		faultRate:   faultRate,
		maxDelay:    maxDelay,
	}
	for i := range w.nextRequest {
		w.nextRequest[i] = w.now.Add(time.Duration(w.random.IntN(500)) * time.Millisecond)
	}
	return w
}

// planLeaders plans the terms. A term begins only after the lease of the one before has ended.
func (w *simulation) planLeaders(span time.Duration, termDuration time.Duration) {
	at := w.now.Add(-time.Minute)
	for term := uint64(1); at.Before(w.now.Add(span)); term++ {
		until := w.now.Add(time.Duration(term) * termDuration)
		l := leaderTerm{term: term, since: at, until: until}
		w.leaderTerms = append(w.leaderTerms, l)
		w.issuers[term] = NewIssuer(func() Leadership {
			return Leadership{Self: !w.now.Before(l.since) && w.now.Before(l.until), Term: l.term, Since: l.since}
		}, nil)
		at = until.Add(time.Duration(w.random.IntN(300)) * time.Millisecond)
	}
}

// delay returns the delay of one message.
func (w *simulation) delay() time.Duration {
	if w.random.Float64() < w.faultRate {
		return time.Duration(w.random.Int64N(int64(w.maxDelay)))
	}
	return time.Duration(500+w.random.IntN(2500)) * time.Microsecond
}

// run lets all gateways request permits as often as they may.
func (w *simulation) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(simulationStep) {
		w.sendRequests()
		w.deliver()
		w.usePermits()
	}
}

func (w *simulation) sendRequests() {
	for g, at := range w.nextRequest {
		if at.After(w.now) || w.now.Before(w.pausedUntil[g]) {
			continue
		}
		// A request without a reply is abandoned after a second.
		w.nextRequest[g] = w.now.Add(time.Second)
		if w.random.Float64() < w.faultRate/4 {
			continue
		}
		w.messages = append(w.messages, message{at: w.now.Add(w.delay()), gateway: g, requestedAt: w.now, maxWait: time.Duration(w.random.IntN(600)) * time.Millisecond})
	}
}

func (w *simulation) deliver() {
	due := w.messages
	w.messages = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, m := range due {
		switch {
		case m.at.After(w.now):
			w.messages = append(w.messages, m)
		case m.answer == nil:
			for _, l := range w.leaderTerms {
				if got := w.issuers[l.term].Take(w.now, Request{Server: "r", ColdPerSecond: w.rate, MaxWait: m.maxWait}); got.Known {
					m.at, m.answer = w.now.Add(w.delay()), &got
					if w.now.After(w.delayFrom) && w.now.Before(w.delayUntil) {
						m.at = w.delayUntil
					}
					w.messages = append(w.messages, m)
					break
				}
			}
		default:
			w.handleAnswer(m)
		}
	}
}

// handleAnswer lets a gateway wait for its permit's time, or try again.
func (w *simulation) handleAnswer(m message) {
	wait := max(m.answer.Wait, simulationStep)
	w.nextRequest[m.gateway] = w.now.Add(wait)
	if m.answer.Granted {
		w.permits = append(w.permits, permit{gateway: m.gateway, requestedAt: m.requestedAt, wait: wait, from: w.now.Add(wait)})
	}
	if w.random.Float64() < w.faultRate {
		w.pausedUntil[m.gateway] = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	}
}

// usePermits sends the requests whose permits' time has come. A gateway checks right before sending
// that the permit has not expired.
func (w *simulation) usePermits() {
	waiting := w.permits
	w.permits = nil
	for _, p := range waiting {
		switch {
		case w.now.Before(p.from) || w.now.Before(w.pausedUntil[p.gateway]):
			w.permits = append(w.permits, p)
		case w.now.Before(p.requestedAt.Add(p.wait + PermitTTL)):
			w.arrivals = append(w.arrivals, w.now)
		}
	}
}

// maxPerSecond returns the most arrivals in any second.
func (w *simulation) maxPerSecond() int {
	sort.Slice(w.arrivals, func(i, j int) bool { return w.arrivals[i].Before(w.arrivals[j]) })
	maxPerSecond, first := 0, 0
	for i, at := range w.arrivals {
		for at.Sub(w.arrivals[first]) >= time.Second {
			first++
		}
		maxPerSecond = max(maxPerSecond, i-first+1)
	}
	return maxPerSecond
}
