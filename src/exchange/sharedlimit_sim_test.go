package exchange

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.SetFixedSeed() }

// Parameters of limitedWorld.
const (
	worldNodes = 5
	// windowLength is the length of the windows in which the limit is checked. firstLimitDelay is
	// the time after the first limit from which on it is checked.
	windowLength    = 4 * time.Second
	firstLimitDelay = 4 * time.Second
	// limitKnownDelay is the time after which a gateway that was told of a limit has to apply it,
	// and after which a change of the limit has to take effect.
	limitKnownDelay = 500 * time.Millisecond
)

// limitedWorld simulates one replica that may name a limit, gateways that all have requests for it,
// and control nodes with at most one leader at a time. Time is virtual.
type limitedWorld struct {
	random *rand.Rand
	now    time.Duration
	events simQueueOf
	// faults is the probability that a message is delayed; some of the delayed messages are lost.
	// Half of it is the probability that a node does not reach the leader.
	faults   float64
	gateways []*worldGateway
	nodes    []*worldNode
	terms    []worldTerm
	issuers  []*ratelimit.Issuer
	// limits are the limits that the replica names, in order of time.
	limits   []worldLimit
	arrivals []worldArrival
	// refused holds when requests were refused because there was no permit.
	refused []time.Duration
}

type worldGateway struct {
	sharedLimit  sharedLimit
	localIssuer  *ratelimit.FallbackIssuer
	node         *worldNode
	nextPermitAt time.Duration
	// limitKnownAt is when the gateway first received the current limit, 0 if it has not.
	limitKnownAt time.Duration
	// suspendedUntil is until when the host is suspended.
	suspendedUntil time.Duration
}

type worldNode struct {
	localIssuer *ratelimit.FallbackIssuer
	lostSince   time.Duration
	// cutFrom and cutTo are the start and end of a partition from the other control nodes.
	cutFrom, cutTo time.Duration
	// Between unreachableFrom and unreachableTo no gateway reaches the node.
	unreachableFrom, unreachableTo time.Duration
}

type worldTerm struct{ since, until time.Duration }

type worldLimit struct {
	at    time.Duration
	limit RateLimit
}

type worldArrival struct {
	at time.Duration
	// limitKnown is set if the gateway had known the limit for limitKnownDelay.
	limitKnown bool
}

func newLimitedWorld(seed uint64, gateways int, faults float64, limits ...worldLimit) *limitedWorld {
	w := &limitedWorld{random: rand.New(rand.NewPCG(seed, 51)), faults: faults, limits: limits}
	for range worldNodes {
		w.nodes = append(w.nodes, &worldNode{localIssuer: ratelimit.NewFallbackIssuer(w.random.Float64), lostSince: -1})
	}
	for i := range gateways {
		w.gateways = append(w.gateways, &worldGateway{localIssuer: ratelimit.NewFallbackIssuer(w.random.Float64), node: w.nodes[i%worldNodes]})
	}
	return w
}

// addTerms adds leaders that follow each other, each for the given time, with gaps between them.
func (w *limitedWorld) addTerms(span, each time.Duration) {
	for since := -time.Minute; since < span; {
		r := worldTerm{since: since, until: max(since, 0) + each}
		term := uint64(len(w.terms) + 1)
		w.terms = append(w.terms, r)
		w.issuers = append(w.issuers, ratelimit.NewIssuer(func() ratelimit.Leadership {
			return ratelimit.Leadership{Self: w.now >= r.since && w.now < r.until, Term: term, Since: w.at(r.since)}
		}, func(ratelimit.Change) { w.after(50*time.Millisecond, func() { w.broadcastLimits(int(term) - 1) }) }))
		since = r.until + time.Duration(w.random.IntN(1500))*time.Millisecond
	}
}

func (w *limitedWorld) at(d time.Duration) time.Time { return noon.Add(d) }
func (w *limitedWorld) clock() time.Time             { return w.at(w.now) }

func (w *limitedWorld) after(d time.Duration, do func()) {
	heap.Push(&w.events, simEvent{at: w.now + d, do: do})
}

// delay returns the delay of a message; lost is set if it never arrives.
func (w *limitedWorld) delay() (d time.Duration, lost bool) {
	if w.random.Float64() < w.faults {
		return time.Duration(w.random.IntN(1000)) * time.Millisecond, w.random.Float64() < 0.3
	}
	return time.Duration(500+w.random.IntN(2500)) * time.Microsecond, false
}

// run sends requests at a rate over all gateways.
func (w *limitedWorld) run(span time.Duration, rate float64) {
	for at := 0.0; at < span.Seconds(); at += w.random.ExpFloat64() / rate {
		g := w.gateways[w.random.IntN(len(w.gateways))]
		heap.Push(&w.events, simEvent{at: time.Duration(at * float64(time.Second)), do: func() { w.request(g, w.now) }})
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(simEvent)
		if next.at > span {
			return
		}
		w.now = next.at
		next.do()
	}
}

// request handles one request at a gateway. It waits at most half a second for a permit.
func (w *limitedWorld) request(g *worldGateway, arrivedAt time.Duration) {
	switch {
	case w.now < g.suspendedUntil:
		w.after(g.suspendedUntil-w.now, func() { w.request(g, arrivedAt) })
	case !g.sharedLimit.active.Load():
		w.send(g, sentRequest{sentAt: w.clock()})
	case w.now < g.nextPermitAt:
		w.refused = append(w.refused, w.now)
	default:
		asked := w.now
		w.ask(g, ratelimit.Horizon, func(a ratelimit.Reply) { w.answered(g, asked, a) })
	}
}

// answered lets a request wait until its permit becomes valid.
func (w *limitedWorld) answered(g *worldGateway, asked time.Duration, a ratelimit.Reply) {
	switch {
	case !g.sharedLimit.active.Load():
		w.send(g, sentRequest{sentAt: w.clock()})
	case !a.Known || !a.Granted:
		w.refused = append(w.refused, w.now)
		g.nextPermitAt = w.now + a.Wait
		if !a.Known {
			g.nextPermitAt = w.now + permitRetryDelay
		}
	default:
		w.after(a.Wait, func() { w.use(g, asked+a.Wait+ratelimit.PermitTTL, a) })
	}
}

// use sends a request with a permit unless the permit has expired.
func (w *limitedWorld) use(g *worldGateway, until time.Duration, a ratelimit.Reply) {
	if w.now < g.suspendedUntil {
		w.after(g.suspendedUntil-w.now, func() { w.use(g, until, a) })
		return
	}
	if w.now < until && !g.sharedLimit.currentLimit().Stricter(a.State) {
		w.send(g, sentRequest{sentAt: w.clock(), term: a.Term, grant: a.Permit})
	}
}

// ask requests a permit from the gateway's control node. If there is no reply, the gateway issues
// one locally.
func (w *limitedWorld) ask(g *worldGateway, within time.Duration, then func(ratelimit.Reply)) {
	told := g.sharedLimit.report()
	ask := ratelimit.Request{Server: "r", LimitReport: told.word, MaxWait: within}
	done := false
	end := func(a ratelimit.Reply) {
		if done {
			return
		}
		if w.now < g.suspendedUntil {
			a = ratelimit.Reply{} // the request has timed out meanwhile
		}
		done = true
		if a.Known {
			g.sharedLimit.applyIssued(w.clock(), a.State, a.Term, a.Version, told.heard)
		} else {
			ask.LimitReport = ratelimit.LimitReport{State: g.sharedLimit.currentLimit()}
			a = g.localIssuer.Take(w.clock(), ask, ratelimit.GatewayShare(len(w.gateways)))
		}
		then(a)
	}
	w.after(permitTimeout, func() { end(ratelimit.Reply{}) })
	there, lost := w.delay()
	if lost || w.now >= g.node.unreachableFrom && w.now < g.node.unreachableTo {
		return
	}
	w.after(there, func() {
		a := w.issue(g.node, ask)
		if back, lost := w.delay(); !lost {
			w.after(back, func() { end(a) })
		}
	})
}

// issue returns the reply of a control node: that of the leader, or after a second without a leader
// one from the node's own share.
func (w *limitedWorld) issue(n *worldNode, ask ratelimit.Request) ratelimit.Reply {
	reached := (w.now < n.cutFrom || w.now >= n.cutTo) && w.random.Float64() >= w.faults/2
	for _, issuer := range w.issuers {
		if a := issuer.Take(w.clock(), ask); a.Known {
			if reached {
				n.lostSince = -1
				return a
			}
			break // the reply and its permit are lost
		}
	}
	if n.lostSince < 0 {
		n.lostSince = w.now
	}
	if ask.LimitReport.FromResponse && ask.LimitReport.Limited {
		heard := []ratelimit.ServerLimit{{State: ask.LimitReport.State}}
		w.after(50*time.Millisecond, func() { w.broadcast(n, 0, 0, heard) })
	}
	if w.now-n.lostSince < time.Second {
		return ratelimit.Reply{}
	}
	return n.localIssuer.Take(w.clock(), ask, ratelimit.ControlShare(worldNodes))
}

// broadcastLimits tells all gateways the issuer's limits.
func (w *limitedWorld) broadcastLimits(leader int) {
	term, version, told := w.issuers[leader].Limits(w.clock(), 10, 10*time.Second)
	w.broadcast(nil, term, version, told)
}

// broadcast sends limits from a control node, or from the leader if it is nil, to all gateways that
// it reaches.
func (w *limitedWorld) broadcast(from *worldNode, term, version uint64, told []ratelimit.ServerLimit) {
	for _, g := range w.gateways {
		for _, one := range told {
			cut := w.now >= g.node.cutFrom && w.now < g.node.cutTo
			if d, lost := w.delay(); !lost && (!cut || g.node == from) {
				w.after(d, func() {
					if g.sharedLimit.applyIssued(w.clock(), one.State, term, version, nil) {
						g.nextPermitAt = 0
					}
				})
			}
		}
	}
}

// named returns the limit that the replica names now.
func (w *limitedWorld) named() RateLimit {
	var limit RateLimit
	for _, l := range w.limits {
		if w.now >= l.at {
			limit = l.limit
		}
	}
	return limit
}

// send makes a request arrive. The head of its response arrives some time later.
func (w *limitedWorld) send(g *worldGateway, by sentRequest) {
	w.arrivals = append(w.arrivals, worldArrival{at: w.now, limitKnown: w.limitKnown(g)})
	w.after(time.Duration(5+w.random.IntN(200))*time.Millisecond, func() {
		said := w.named()
		d, lost := w.delay()
		if lost {
			return
		}
		w.after(d, func() { w.noteReply(g, said, by) })
	})
}

// limitKnown reports whether a gateway has known the limit for limitKnownDelay.
func (w *limitedWorld) limitKnown(g *worldGateway) bool {
	_, since, _, named := w.limitAt(w.now)
	return named && g.limitKnownAt >= since && w.now-g.limitKnownAt >= limitKnownDelay
}

func (w *limitedWorld) noteReply(g *worldGateway, said RateLimit, by sentRequest) {
	if w.now < g.suspendedUntil {
		w.after(g.suspendedUntil-w.now, func() { w.noteReply(g, said, by) })
		return
	}
	if limit, since, _, named := w.limitAt(w.now); named && said == names(limit) && g.limitKnownAt < since {
		g.limitKnownAt = w.now
	}
	by.succeeded = true
	if g.sharedLimit.noteReply(w.clock(), said, by) && g.sharedLimit.beginReport() {
		w.tellIssuer(g)
	}
}

// tellIssuer reports a limit to the issuer.
func (w *limitedWorld) tellIssuer(g *worldGateway) {
	heard := g.sharedLimit.report().heard
	w.ask(g, -1, func(a ratelimit.Reply) {
		if !a.Known && heard != nil {
			g.sharedLimit.applyUnconfirmed(w.clock(), heard)
		}
		if g.sharedLimit.endReport(heard) {
			w.tellIssuer(g)
		}
	})
}

// most returns by how much the requests in any window exceed the limit, and the largest number of
// requests in a window. After a change the limit is checked only once the gateways can know it.
func (w *limitedWorld) most() (over float64, most int) {
	over = math.Inf(-1)
	var within []worldArrival
	for _, a := range w.arrivals {
		limit, since, first, named := w.limitAt(a.at)
		if !a.limitKnown || !named || a.at-first < firstLimitDelay {
			continue
		}
		within = append(within, a)
		for a.at-within[0].at > windowLength {
			within = within[1:]
		}
		if a.at-since < windowLength+limitKnownDelay {
			continue
		}
		most = max(most, len(within))
		over = max(over, float64(len(within))-(1.5*limit*windowLength.Seconds()+5))
	}
	return over, most
}

// limitAt returns the limit at a time, since when it applies, and since when a limit is named.
func (w *limitedWorld) limitAt(at time.Duration) (limit float64, since, first time.Duration, named bool) {
	for _, l := range w.limits {
		if l.at > at {
			break
		}
		if l.limit.Valid && !named {
			first = l.at
		}
		limit, since, named = l.limit.PerSecond, l.at, l.limit.Valid
	}
	return limit, since, first, named
}

func names(perSecond float64) RateLimit { return RateLimit{Valid: true, PerSecond: perSecond} }

// TestLimitHoldsInEveryWindow: the limit rises, falls, ends and returns, while messages are lost,
// hosts are suspended and leaders change.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span = 30 * time.Second
		limits := []worldLimit{{at: time.Second, limit: names(rapid.SampledFrom([]float64{0, 0.01, 0.5, 1, 1.1, 5, 20, 60}).Draw(rt, "limit"))}}
		for at := 8 * time.Second; at < span; at += 7 * time.Second {
			limit := rapid.SampledFrom([]RateLimit{{}, names(1), names(5), names(30)}).Draw(rt, "next limit")
			limits = append(limits, worldLimit{at: at, limit: limit})
		}
		gateways := rapid.SampledFrom([]int{1, 3, 30, 300}).Draw(rt, "gateways")
		w := newLimitedWorld(rapid.Uint64().Draw(rt, "seed"), gateways, rapid.Float64Range(0, 0.3).Draw(rt, "faults"), limits...)
		w.addTerms(span, time.Duration(rapid.IntRange(500, 20000).Draw(rt, "reign"))*time.Millisecond)
		draw := func(what string) time.Duration {
			return time.Duration(rapid.IntRange(0, 25000).Draw(rt, what)) * time.Millisecond
		}
		for _, n := range w.nodes[:worldNodes/2] {
			n.cutFrom = draw("cut")
			n.cutTo = n.cutFrom + draw("cut for")
			n.unreachableFrom = draw("dark")
			n.unreachableTo = n.unreachableFrom + draw("dark for")
		}
		for range rapid.IntRange(0, 4).Draw(rt, "suspensions") {
			g := w.gateways[w.random.IntN(gateways)]
			w.after(draw("suspended"), func() { g.suspendedUntil = w.now + time.Duration(w.random.IntN(3000))*time.Millisecond })
		}
		w.run(span, 200)
		if over, most := w.most(); over > 0 {
			rt.Fatalf("%d requests in %s, %.1f too many", most, windowLength, over)
		}
	})
}

// TestALimitIsUsedAndEnds: without faults nine tenths of the limit are used, and 2 s after its end
// no request is refused.
func TestALimitIsUsedAndEnds(t *testing.T) {
	for _, gateways := range []int{3, 75, 1000} {
		for _, perSecond := range []float64{1, 5, 20, 200} {
			is := is.New(t)
			const end, span = 16 * time.Second, 22 * time.Second
			w := newLimitedWorld(3, gateways, 0, worldLimit{at: time.Second, limit: names(perSecond)}, worldLimit{at: end})
			w.addTerms(span, time.Hour)
			w.run(span, max(500, 3*perSecond))
			used := 0
			for _, a := range w.arrivals {
				if a.at >= 5*time.Second && a.at < end {
					used++
				}
			}
			is.True(float64(used) >= 0.9*perSecond*(end-5*time.Second).Seconds())
			for _, at := range w.refused {
				is.True(at < end+2*time.Second)
			}
			over, _ := w.most()
			is.True(over <= 0)
		}
	}
}

// TestLimitIsPartlyUsedWithoutIssuer: without a leader, and for some gateways without any control
// node, a part of the limit is used and it is not exceeded.
func TestLimitIsPartlyUsedWithoutIssuer(t *testing.T) {
	is := is.New(t)
	const span = 40 * time.Second
	w := newLimitedWorld(5, 30, 0, worldLimit{at: time.Second, limit: names(20)})
	w.addTerms(2*time.Second, 2*time.Second)
	w.terms, w.issuers = w.terms[:1], w.issuers[:1]
	w.nodes[0].unreachableTo = time.Hour
	w.run(span, 200)
	used := 0
	for _, a := range w.arrivals {
		if a.at >= 10*time.Second {
			used++
		}
	}
	is.True(float64(used) >= 0.4*20*30)
	over, _ := w.most()
	is.True(over <= 0)
}

// TestALimitEndsWithoutAnIssuer: a gateway without any control node learns from responses that the
// limit has ended.
func TestALimitEndsWithoutAnIssuer(t *testing.T) {
	is := is.New(t)
	const end, span = 12 * time.Second, 60 * time.Second
	w := newLimitedWorld(6, 2, 0, worldLimit{at: time.Second, limit: names(20)}, worldLimit{at: end})
	for _, n := range w.nodes {
		n.unreachableTo = time.Hour
	}
	w.run(span, 50)
	for _, g := range w.gateways {
		is.True(!g.sharedLimit.active.Load())
	}
}
