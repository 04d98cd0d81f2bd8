package ratelimit

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.SetFixedSeed() }

// bound returns how many requests a cold backend server may get in any second: one and a half times
// its rate and five more.
func bound(rate float64) float64 { return rate*1.5 + 5 }

// The bound holds with delayed or lost messages, paused gateways and changes of the leader.
func TestNoSecondSeesMoreThanAColdServerMayGet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 60).Draw(rt, "rate")
		gateways := rapid.SampledFrom([]int{1, 3, 75, 300}).Draw(rt, "gateways")
		w := newSimulation(rapid.Uint64().Draw(rt, "seed"), gateways, rate, rapid.Float64Range(0, 0.4).Draw(rt, "faults"), 3*time.Second)
		w.planLeaders(4*time.Second, time.Duration(rapid.IntRange(200, 4000).Draw(rt, "reign"))*time.Millisecond)
		w.delayFrom = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cut")) * time.Millisecond)
		w.delayUntil = w.delayFrom.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cut for")) * time.Millisecond)
		w.run(4 * time.Second)
		if maxPerSecond := w.maxPerSecond(); float64(maxPerSecond) > bound(rate) {
			rt.Fatalf("%d requests in one second, %.1f allowed", maxPerSecond, bound(rate))
		}
	})
}

// The allowed rate is used when requests wait for it at all gateways.
func TestWhatAColdServerBearsIsUsed(t *testing.T) {
	for _, gateways := range []int{3, 75, 1000} {
		is := is.New(t)
		const rate, span = 11, 5
		w := newSimulation(7, gateways, rate, 0, time.Second)
		w.planLeaders(span*time.Second, time.Hour)
		w.run(span * time.Second)
		is.True(float64(len(w.arrivals)) >= 0.9*rate*span)
		is.True(float64(w.maxPerSecond()) <= bound(rate))
	}
}

// Permits are issued ahead, so those of the previous leader may still be used.
func TestANewLeaderWaitsForThePermitsOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	lead := Leadership{Self: true, Term: 1, Since: now.Add(-time.Hour)}
	i := NewIssuer(func() Leadership { return lead }, nil)
	ask := func(within time.Duration) Reply {
		return i.Take(now, Request{Server: "r", ColdPerSecond: 4, MaxWait: within})
	}
	is.Equal(ask(0), Reply{Known: true, Granted: true, Term: 1, Permit: 1})
	is.Equal(ask(0), Reply{Known: true, Wait: 250 * time.Millisecond, Term: 1})
	is.Equal(ask(time.Second), Reply{Known: true, Granted: true, Wait: 250 * time.Millisecond, Term: 1, Permit: 2})
	is.Equal(ask(time.Second), Reply{Known: true, Granted: true, Wait: 500 * time.Millisecond, Term: 1, Permit: 3})
	is.Equal(ask(time.Second), Reply{Known: true, Wait: 750 * time.Millisecond, Term: 1}) // too far ahead
	lead = Leadership{Self: true, Term: 2, Since: now}
	is.Equal(ask(time.Second), Reply{Known: true, Granted: true, Wait: Horizon, Term: 2, Permit: 1})
	lead.Self = false
	is.Equal(i.Take(now.Add(time.Hour), Request{Server: "r", ColdPerSecond: 4, MaxWait: time.Second}), Reply{})
}

// TestWaysToKeepTheBound compares simulated permits with two calculated alternatives: an equal
// share for each gateway, of which a third has requests, and a single gateway chosen by hashing, of
// which there are two in a network partition.
func TestWaysToKeepTheBound(t *testing.T) {
	const rate, span = 11.0, 20.0
	for _, gateways := range []int{75, 1000} {
		// A third of the gateways has requests for this backend server.
		asking := gateways / 3
		shares := float64(asking) / float64(gateways)
		// Two gateways in different partitions both assume that they are the one chosen by hashing.
		w := newSimulation(11, asking, rate, 0, time.Second)
		w.planLeaders(span*time.Second, time.Hour)
		w.run(span * time.Second)
		permits := float64(len(w.arrivals)) / (rate * span)
		t.Logf("%d gateways, fraction of the allowed rate used: shares %.2f, permits %.2f; most in a second: one by hashing in a partition %.0f, permits %d, allowed %.1f",
			gateways, shares, permits, 2*rate, w.maxPerSecond(), bound(rate))
		if permits <= shares || math.IsNaN(permits) {
			t.Errorf("permits use no more than equal shares")
		}
		if 2*rate <= bound(rate) {
			t.Errorf("two gateways that send at the full rate would stay within the bound")
		}
	}
}

// BenchmarkTake measures one request for a permit at the leader, by the number of cold backend
// servers.
func BenchmarkTake(b *testing.B) {
	for _, servers := range []int{10, 1000, 10000} {
		b.Run(strconv.Itoa(servers), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			lead := Leadership{Self: true, Term: 1, Since: now.Add(-time.Hour)}
			i := NewIssuer(func() Leadership { return lead }, nil)
			names := make([]string, servers)
			for n := range names {
				names[n] = "i-" + strconv.Itoa(n)
			}
			for n := 0; b.Loop(); n++ {
				now = now.Add(10 * time.Microsecond)
				i.Take(now, Request{Server: names[n%servers], ColdPerSecond: 11, MaxWait: time.Second})
			}
		})
	}
}
