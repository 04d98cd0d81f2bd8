package exchange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.SetFixedSeed() }

func accepted(i *backoffState, now time.Time) bool {
	_, accepted := i.accepts(now)
	return accepted
}

// TestLatestBackoffEndCounts: another backoff during a backoff can extend it but never shortens it.
func TestLatestBackoffEndCounts(t *testing.T) {
	is := is.New(t)
	var i backoffState
	is.True(i.backOff(noon, 3*time.Second, 0))
	is.True(!i.backOff(noon.Add(time.Second), time.Second, 0))
	is.True(!accepted(&i, noon.Add(2500*time.Millisecond)))
	is.True(!i.backOff(noon.Add(2*time.Second), 3*time.Second, 0))
	is.True(!accepted(&i, noon.Add(4900*time.Millisecond)))
	is.True(accepted(&i, noon.Add(5*time.Second)))
}

// TestGatewaysRejectedTogetherReturnSpreadOut: no gateway returns before the backoff ends, all
// return within a tenth of it, spread evenly.
func TestGatewaysRejectedTogetherReturnSpreadOut(t *testing.T) {
	is := is.New(t)
	const gateways = 300
	random := rand.New(rand.NewPCG(1, 2))
	intakes := make([]backoffState, gateways)
	for i := range intakes {
		intakes[i].backOff(noon, 3*time.Second, random.Float64())
	}
	came, most := 0, 0
	for at := 2900 * time.Millisecond; at <= 3300*time.Millisecond; at += 10 * time.Millisecond {
		now := 0
		for i := range intakes {
			if intakes[i].admit(noon.Add(at)) {
				now++
				intakes[i].backOff(noon.Add(at), time.Hour, 0)
			}
		}
		is.True(at >= 3*time.Second || now == 0)
		came += now
		most = max(most, now)
	}
	is.Equal(came, gateways)
	is.True(most < 3*gateways/30)
}

// TestLongBackoffIsShortened: after the longest allowed backoff a single trial request is sent.
func TestLongBackoffIsShortened(t *testing.T) {
	is := is.New(t)
	var i backoffState
	i.backOff(noon, math.MaxInt64, 0)
	is.True(!accepted(&i, noon.Add(maxBackoff-time.Second)))
	is.True(i.admit(noon.Add(maxBackoff)))
	is.True(!i.admit(noon.Add(maxBackoff)))
}

// TestTrialRequestsDoubleUntilAccepted: after a backoff one request is sent, and the number doubles
// until a response arrives. The first accepted request ends the trial, another backoff restarts it.
func TestTrialRequestsDoubleUntilAccepted(t *testing.T) {
	is := is.New(t)
	var i backoffState
	i.backOff(noon, time.Second, 0)
	at := noon.Add(time.Second)
	sent := 0
	for range 100 {
		if i.admit(at) {
			sent++
		}
	}
	is.Equal(sent, 1)
	from, _ := i.accepts(at)
	is.Equal(from, at.Add(trialInterval))
	for range 100 {
		if i.admit(at.Add(2 * trialInterval)) {
			sent++
		}
	}
	is.Equal(sent, 4)
	i.backOff(at.Add(2*trialInterval), time.Second, 0)
	is.True(!accepted(&i, at.Add(3*trialInterval)))
	after := at.Add(2*trialInterval + time.Second)
	is.True(i.admit(after))
	is.True(i.noteAccepted(after))
	for range 100 {
		is.True(i.admit(after))
	}
}

// TestResponseBeforeBackoffEndDoesNotEndIt: a response to a request from before the backoff says
// nothing about it.
func TestResponseBeforeBackoffEndDoesNotEndIt(t *testing.T) {
	is := is.New(t)
	var i backoffState
	i.backOff(noon, time.Second, 0)
	is.True(!i.noteAccepted(noon.Add(100 * time.Millisecond)))
	is.True(!accepted(&i, noon.Add(200*time.Millisecond)))
}

// TestRejectionWithoutBackoffDoesNotEndTrial: further trial requests are still limited.
func TestRejectionWithoutBackoffDoesNotEndTrial(t *testing.T) {
	is := is.New(t)
	now := noon
	f := NewFleet("z", Dial, nil, func() time.Time { return now }, func() time.Time { return now })
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{benchEntry(0, 1)}})
	peer := f.Peer("i-0")
	f.applyReply(peer, &Reply{Backoff: time.Second, NotRun: true})
	now = now.Add(time.Second + maxBackoffJitter)
	is.True(f.admit(peer))
	f.applyReply(peer, &Reply{NotRun: true})
	is.True(!f.admit(peer))
	f.applyReply(peer, &Reply{NotRun: true, Misdirected: true}) // it accepted the request but lacks the model
	is.True(f.admit(peer))
	is.True(f.admit(peer))
}

// TestLeavingIsFinal: neither an accepted request nor time nor a backoff resets it.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	var i backoffState
	is.True(i.noteLeaving())
	is.True(!i.noteLeaving())
	i.backOff(noon, time.Second, 0)
	is.True(!i.noteAccepted(noon.Add(time.Hour)))
	from, ok := i.accepts(noon.Add(24 * time.Hour))
	is.True(!ok && from.IsZero())
	is.True(!i.admit(noon.Add(24 * time.Hour)))
}

// TestBackoffDoesNotApplyToOtherIncarnations: a backoff of one incarnation does not apply to
// another one of the same name, and neither does a late response of an earlier incarnation.
func TestBackoffDoesNotApplyToOtherIncarnations(t *testing.T) {
	is := is.New(t)
	now := noon
	f := NewFleet("z", Dial, nil, func() time.Time { return now }, func() time.Time { return now })
	entry := func(born int64) registry.Entry {
		id := registry.Incarnation{Name: "i", StartedMS: born}.ID()
		return registry.Entry{Record: registry.Record{ID: id, Name: "i", StartedMS: born, Service: "s", Address: "192.0.2.1:1", Zone: "z", Slots: 4}}
	}
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{entry(1)}})
	earlier := f.Peer("i@1")
	f.applyReply(earlier, &Reply{Backoff: time.Minute})
	replaced := entry(1)
	replaced.Replaced = true
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{entry(2), replaced}})
	is.True(f.acceptsWithoutPermit(f.Peer("i@2")))
	f.applyReply(earlier, &Reply{Backoff: time.Minute, Leaving: true})
	is.True(f.acceptsWithoutPermit(f.Peer("i@2")))
	is.Equal(f.Pick(now, Requirements{Service: "s"}, nil).Peer, f.Peer("i@2"))
	is.True(!f.acceptsWithoutPermit(earlier))
}

// TestBackoffElapsesWhileHostIsSuspended: the replica's time passes while this host is suspended.
func TestBackoffElapsesWhileHostIsSuspended(t *testing.T) {
	is := is.New(t)
	boot := noon
	f := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return boot })
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{benchEntry(0, 1)}})
	peer := f.Peer("i-0")
	f.applyReply(peer, &Reply{Backoff: 10 * time.Second})
	is.True(!f.acceptsWithoutPermit(peer))
	boot = noon.Add(10*time.Second + maxBackoffJitter)
	is.True(f.acceptsWithoutPermit(peer))
}

// TestStatesOfUnlistedReplicasAreBounded: saved states expire, and their number is limited.
func TestStatesOfUnlistedReplicasAreBounded(t *testing.T) {
	is := is.New(t)
	f := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return noon })
	for i := range maxUnlistedStates + 10 {
		id := fmt.Sprint("i-", i)
		f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: id, Service: "s"}}}})
		f.applyReply(f.Peer(id), &Reply{Leaving: true})
		f.SetReplicas(registry.Changes{Removed: []string{id}})
	}
	is.Equal(len(f.unlisted), maxUnlistedStates)
	f.Expire(noon.Add(unlistedStateTTL))
	is.Equal(len(f.unlisted), maxUnlistedStates)
	f.Expire(noon.Add(unlistedStateTTL + time.Second))
	is.Equal(len(f.unlisted), 0)
}

// TestBackoffIsLoggedOnce: one line when a backoff begins and one when it is over, but none for
// each rejection in between. A backoff that cannot be parsed is logged.
func TestBackoffIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	now := noon
	ring := event.NewRing("test", 64, nil, time.Now)
	f := NewFleet("z", Dial, ring, func() time.Time { return now }, func() time.Time { return now })
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{benchEntry(0, 1)}})
	peer := f.Peer("i-0")
	for range 3 {
		f.applyReply(peer, &Reply{Backoff: time.Second})
	}
	backingOff, leaving := f.BackingOff()
	is.Equal([]int{backingOff, leaving}, []int{1, 0})
	now = now.Add(time.Second + maxBackoffJitter)
	f.applyReply(peer, &Reply{NotRun: true})
	f.applyReply(peer, &Reply{})
	f.applyReply(peer, &Reply{})
	f.applyReply(peer, &Reply{BackoffParseError: "neither seconds nor a date: \"x\""})
	f.applyReply(peer, &Reply{Leaving: true})
	f.applyReply(peer, &Reply{Leaving: true})
	backingOff, leaving = f.BackingOff()
	is.Equal([]int{backingOff, leaving}, []int{0, 1})
	var kinds []event.Kind
	found, _ := ring.Since(0, "i-0")
	for _, e := range found {
		if e.Kind != event.ReplicasFound {
			kinds = append(kinds, e.Kind)
		}
	}
	is.Equal(kinds, []event.Kind{event.BackoffAsked, event.BackoffOver, event.BackoffAsked, event.ShutdownAnnounced})
}

// TestRequestWaitsForShortBackoff: the request is served without a refusal.
func TestRequestWaitsForShortBackoff(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", whole)
	b := newBench(t, route(catalog.Unsafe, 1), x)
	b.fleet.applyReply(b.fleet.Peer("x"), &Reply{Backoff: 60 * time.Millisecond})
	is.Equal(b.do("POST", "one", "x").status, http.StatusOK)
	is.True(!b.handler.waitQueues.any(queueKey{service: "s"}))
	is.Equal(b.handler.waitQueues.waiting.Load(), int64(0))
}

// TestAtMostTwoRequestsDuringABackoff checks the rule as a property, with several gateways and
// replicas, restarts under one name, backoffs at any time, late responses and replicas that are
// listed again. No incarnation gets more than two requests of one gateway between half a second
// after its rejection and the end of the backoff, and an incarnation without a backoff always
// accepts requests.
func TestAtMostTwoRequestsDuringABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newBackoffWorld(seed)
		for range 400 {
			w.step()
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// backoffWorld holds the fleets of several gateways and their replicas, on virtual time.
type backoffWorld struct {
	random       *rand.Rand
	now          time.Time
	fleets       []*Fleet
	incarnations []*backoffIncarnation
	violation    string
}

// backoffIncarnation is one incarnation of a replica, with its times by gateway.
type backoffIncarnation struct {
	entry       registry.Entry
	leaving     bool
	askedAt     map[int]time.Time
	until       map[int]time.Time
	sentWithin  map[int]int
	announcedAt map[int]time.Time
}

func newBackoffWorld(seed uint64) *backoffWorld {
	w := &backoffWorld{random: rand.New(rand.NewPCG(seed, 1)), now: noon}
	for range 1 + w.random.IntN(3) {
		w.fleets = append(w.fleets, NewFleet("z", Dial, nil, func() time.Time { return w.now }, func() time.Time { return w.now }))
	}
	for i := range 1 + w.random.IntN(4) {
		w.incarnations = append(w.incarnations, nil)
		w.restart(i)
	}
	return w
}

// restart starts a new incarnation with the same name and address. Two incarnations within one
// millisecond could not be distinguished.
func (w *backoffWorld) restart(i int) {
	w.now = w.now.Add(time.Millisecond)
	born := w.now.UnixMilli()
	incarnation := registry.Incarnation{Name: fmt.Sprint("i", i), StartedMS: born}
	record := registry.Record{ID: incarnation.ID(), Name: incarnation.Name, StartedMS: born, Service: "s", Address: fmt.Sprint("192.0.2.1:", i+1), Zone: "z", Slots: 4}
	start := &backoffIncarnation{entry: registry.Entry{Record: record}, askedAt: map[int]time.Time{}, until: map[int]time.Time{}, sentWithin: map[int]int{}, announcedAt: map[int]time.Time{}}
	before := w.incarnations[i]
	w.incarnations[i] = start
	for _, f := range w.fleets {
		changes := registry.Changes{Entries: []registry.Entry{start.entry}}
		if before != nil {
			gone := before.entry
			gone.Replaced = true
			changes.Entries = append(changes.Entries, gone)
		}
		f.SetReplicas(changes)
	}
}

func (w *backoffWorld) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(120)) * time.Millisecond)
	i, g := w.random.IntN(len(w.incarnations)), w.random.IntN(len(w.fleets))
	f, start := w.fleets[g], w.incarnations[i]
	switch w.random.IntN(20) {
	case 0:
		w.restart(i)
	case 1:
		start.leaving = true
	case 2:
		f.SetReplicas(registry.Changes{Removed: []string{start.entry.Record.ID}})
		f.Expire(w.now)
		f.SetReplicas(registry.Changes{Entries: []registry.Entry{start.entry}})
	case 3:
		// A late response of an earlier incarnation.
		f.applyReply(newPeer(registry.Record{ID: fmt.Sprint("i", i, "@0")}, nil), &Reply{Backoff: time.Hour, Leaving: true})
	default:
		w.send(g)
	}
	for _, s := range w.incarnations {
		peer := f.Peer(s.entry.Record.ID)
		if !s.leaving && s.until[g].IsZero() && !f.acceptsWithoutPermit(peer) {
			w.violation = s.entry.Record.ID + " has no backoff but does not accept requests"
		}
	}
}

// send sends a request as a gateway does and applies the replica's response.
func (w *backoffWorld) send(g int) {
	f := w.fleets[g]
	choice := f.Pick(w.now, Requirements{Service: "s"}, nil)
	if choice.Verdict != Chosen || !f.admit(choice.Peer) {
		return
	}
	var start *backoffIncarnation
	for _, s := range w.incarnations {
		if s.entry.Record.ID == choice.Peer.ID() {
			start = s
		}
	}
	if start == nil {
		return
	}
	if announcedAt := start.announcedAt[g]; !announcedAt.IsZero() {
		w.violation = start.entry.Record.ID + " got a request after it announced that it is leaving"
	}
	if w.now.Before(start.until[g]) && w.now.Sub(start.askedAt[g]) > 500*time.Millisecond {
		if start.sentWithin[g]++; start.sentWithin[g] > 2 {
			w.violation = start.entry.Record.ID + " got too many requests during its backoff"
		}
	}
	reply := Reply{Leaving: start.leaving}
	if reply.Leaving {
		start.announcedAt[g] = w.now
	}
	if w.random.IntN(3) == 0 {
		reply.Backoff = time.Duration(w.random.IntN(4000)) * time.Millisecond
		start.askedAt[g], start.sentWithin[g] = w.now, 0
		if until := w.now.Add(reply.Backoff); until.After(start.until[g]) {
			start.until[g] = until
		}
	}
	f.applyReply(choice.Peer, &reply)
}
