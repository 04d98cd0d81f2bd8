package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.SetFixedSeed() }

// TestRandomHistories injects random combinations of all kinds of faults, with clocks that run at
// different rates, and then checks the invariants: one leader per term, no accepted change lost or
// modified, one token per key, one holder per epoch, and equal states on all nodes.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { randomHistory(rt, randomEvent) })
}

// randomHistory alternates injected faults with client requests, and checks all invariants after
// the faults have ended.
func randomHistory(rt *rapid.T, inject func(rt *rapid.T, s *sim)) {
	s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), "k1", "k2", "k3")
	for i, name := range s.names() {
		s.nodes[name].clockRate = 1 + float64(rapid.IntRange(-4, 4).Draw(rt, fmt.Sprint("drift", i)))/100
	}
	s.run(2 * time.Second)
	for i := range rapid.IntRange(3, 12).Draw(rt, "events") {
		inject(rt, s)
		for j := range 6 {
			s.change(fmt.Sprint("h", i, j), fmt.Sprint("l", j))
			s.claim(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(rt, "key")), fmt.Sprint("t", i, j))
			s.grant(fmt.Sprint("p", rapid.IntRange(0, 2).Draw(rt, "holder")))
			s.document(uint64(s.sent))
			s.run(time.Duration(rapid.IntRange(10, 900).Draw(rt, "pause")) * time.Millisecond)
			s.maintainMembership()
		}
	}
	s.effects = nil
	s.heal()
	s.clearDiskFaults()
	s.fastDisks()
	restartStopped(s, "")
	if !s.until(90*time.Second, func() bool { s.maintainMembership(); return s.converged() }) {
		rt.Fatal("the control nodes did not converge" + s.describe())
	}
	s.checkFinalState()
}

// randomEvent injects one fault. At most one disk is lost at a time, and the next one only after
// the control nodes have recovered.
func randomEvent(rt *rapid.T, s *sim) {
	name := rapid.SampledFrom(s.names()).Draw(rt, "node")
	n := s.nodes[name]
	switch rapid.SampledFrom([]string{"kill", "revive", "wipe", "one way", "both ways", "heal", "freeze", "lossy", "calm", "before", "after"}).Draw(rt, "event") {
	case "kill":
		s.kill(name)
	case "revive":
		restartStopped(s, "")
	case "wipe":
		if s.converged() {
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
		n.frozenUntil = s.now.Add(freezeDuration)
	case "lossy":
		s.effects = lossy(s)
	case "calm":
		s.effects = nil
	case "before":
		n.disk.beforeSync = firstCallOnly()
	case "after":
		n.disk.afterSync = firstCallOnly()
	}
}
