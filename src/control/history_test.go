package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.Fix() }

// TestRandomHistories lets faults of every kind strike at random, together and
// one after the other, with clocks that run at different rates, and then checks
// every promise: one leader a term, nothing accepted lost or changed, one token a
// key, one holder an epoch, all states equal.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { randomHistory(rt, randomEvent) })
}

// randomHistory plays strikes one after the other beside callers, and checks every promise once all
// trouble is over.
func randomHistory(rt *rapid.T, strike func(rt *rapid.T, s *sim)) {
	s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), "k1", "k2", "k3")
	for i, name := range s.names() {
		s.nodes[name].drift = 1 + float64(rapid.IntRange(-4, 4).Draw(rt, fmt.Sprint("drift", i)))/100
	}
	s.run(2 * time.Second)
	for i := range rapid.IntRange(3, 12).Draw(rt, "events") {
		strike(rt, s)
		for j := range 6 {
			s.change(fmt.Sprint("h", i, j), fmt.Sprint("l", j))
			s.claim(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(rt, "key")), fmt.Sprint("t", i, j))
			s.grant(fmt.Sprint("p", rapid.IntRange(0, 2).Draw(rt, "holder")))
			s.document(uint64(s.sent))
			s.run(time.Duration(rapid.IntRange(10, 900).Draw(rt, "pause")) * time.Millisecond)
			s.tend()
		}
	}
	s.effects = nil
	s.heal()
	s.disarm()
	s.fastDisks()
	revive(s, "")
	if !s.until(90*time.Second, func() bool { s.tend(); return s.settled() }) {
		rt.Fatal("the control nodes did not settle" + s.describe())
	}
	s.check()
}

// randomEvent strikes with one fault; at most one disk is lost at a time, and
// the next only after the control nodes have settled.
func randomEvent(rt *rapid.T, s *sim) {
	name := rapid.SampledFrom(s.names()).Draw(rt, "node")
	n := s.nodes[name]
	switch rapid.SampledFrom([]string{"kill", "revive", "wipe", "one way", "both ways", "heal", "freeze", "lossy", "calm", "before", "after"}).Draw(rt, "event") {
	case "kill":
		s.kill(name)
	case "revive":
		revive(s, "")
	case "wipe":
		if s.settled() {
			s.kill(name)
			s.wipe(name)
			s.boot(name)
		}
	case "one way":
		s.isolate(name, false)
	case "both ways":
		s.isolate(name, true)
	case "heal":
		s.heal()
	case "freeze":
		n.frozenTo = s.now.Add(frozenFor)
	case "lossy":
		s.effects = lossy(s)
	case "calm":
		s.effects = nil
	case "before":
		n.disk.beforeSync = once()
	case "after":
		n.disk.afterSync = once()
	}
}
