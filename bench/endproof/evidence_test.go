package endproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	noon = time.Unix(1_800_000_000, 0)
	v1   = Software{Service: "s", Version: "v1"}
	v2   = Software{Service: "s", Version: "v2"}
)

const testWindow = time.Hour

func testRule(confirmations int) Rule {
	return Rule{Confirmations: confirmations, Window: testWindow}
}

// confirmed returns evidence of whole closes of v1 at server a.
func confirmed(rule Rule, count int) *Evidence {
	e := New(rule)
	for range count {
		e.Record(noon, v1, "a", Whole)
	}
	return e
}

func TestNoClosePassesWithoutEvidence(t *testing.T) {
	is := is.New(t)
	is.Equal(New(testRule(1)).Decide(noon, v1, "a", false, 0), Check)
	is.Equal(confirmed(testRule(3), 2).Decide(noon, v1, "a", false, 0), Check)
	is.Equal(confirmed(testRule(3), 3).Decide(noon, v1, "a", false, 0), PassOn)
}

func TestARuleWithoutConfirmationsPassesUntilABreakIsSeen(t *testing.T) {
	is := is.New(t)
	e := New(testRule(0))
	is.Equal(e.Decide(noon, v1, "a", false, 0), PassOn)
	is.Equal(e.Decide(noon, Software{Service: "s"}, "a", false, 0), Check)
	e.Record(noon, v1, "b", Short)
	is.Equal(e.Decide(noon.Add(shortTTL-1), v1, "a", false, 0), Check)
	is.Equal(e.Decide(noon, v2, "a", false, 0), PassOn)
}

func TestOneBreakWithdrawsTheTrust(t *testing.T) {
	for _, verdict := range []Verdict{Short, BrokenOff} {
		is := is.New(t)
		e := confirmed(testRule(3), 100)
		e.Record(noon, v1, "b", verdict)
		e.Record(noon, v1, "a", Whole)
		is.Equal(e.Decide(noon, v1, "a", false, 0), Check)
	}
}

func TestAnotherVersionBeginsWithNothing(t *testing.T) {
	is := is.New(t)
	e := confirmed(testRule(3), 3)
	is.Equal(e.Decide(noon, v2, "a", false, 0), Check)
	is.Equal(e.Decide(noon, Software{Service: "t", Version: "v1"}, "a", false, 0), Check)
	e.Record(noon, v2, "a", Short)
	is.Equal(e.Decide(noon, v1, "a", false, 0), PassOn)
}

func TestAnUnknownVersionIsNotTrusted(t *testing.T) {
	is := is.New(t)
	e := New(testRule(1))
	e.Record(noon, Software{Service: "s"}, "a", Whole)
	is.Equal(e.Decide(noon, Software{Service: "s"}, "a", false, 0), Check)
}

func TestAWeakConfirmationCountsIfTheRuleSaysSo(t *testing.T) {
	for _, counts := range []bool{false, true} {
		is := is.New(t)
		e := New(Rule{Confirmations: 1, Window: testWindow, CountWeak: counts})
		e.Record(noon, v1, "a", WeaklyWhole)
		is.Equal(e.Decide(noon, v1, "a", false, 0) == PassOn, counts)
	}
}

func TestAServerMayNeedConfirmationsOfItsOwn(t *testing.T) {
	is := is.New(t)
	e := confirmed(Rule{Confirmations: 3, ServerConfirmations: 1, Window: testWindow}, 3)
	is.Equal(e.Decide(noon, v1, "b", false, 0), Check)
	e.Record(noon, v1, "b", Whole)
	is.Equal(e.Decide(noon, v1, "b", false, 0), PassOn)
}

func TestAShareOfTheStreamsThatMayBeTakenUpIsCheckedOn(t *testing.T) {
	is := is.New(t)
	rule := testRule(1)
	rule.CheckedShare = 0.1
	e := confirmed(rule, 1)
	is.Equal(e.Decide(noon, v1, "a", true, 0.09), Check)
	is.Equal(e.Decide(noon, v1, "a", true, 0.1), PassOn)
	is.Equal(e.Decide(noon, v1, "a", false, 0.09), PassOn)
}

func TestConfirmationsExpire(t *testing.T) {
	is := is.New(t)
	for age, want := range map[time.Duration]Decision{testWindow/2 - 1: PassOn, testWindow: Check, 10 * testWindow: Check} {
		is.Equal(confirmed(testRule(1), 1).Decide(noon.Add(age), v1, "a", false, 0), want)
	}
}

func TestSoftwareBeyondTheLimitIsNotTrusted(t *testing.T) {
	is := is.New(t)
	e := New(testRule(1))
	for i := range maxSoftware {
		e.Record(noon, Software{Service: "s", Version: fmt.Sprint(i)}, "a", Whole)
	}
	e.Record(noon, v1, "a", Whole)
	is.Equal(e.Decide(noon, v1, "a", false, 0), Check)
	later := noon.Add(testWindow)
	e.Record(later, v1, "a", Whole)
	is.Equal(e.Decide(later, v1, "a", false, 0), PassOn)
	is.Equal(len(e.records), 1)
}

// TestNoClosePassesAfterAShortOneOrTooFewWholeOnes compares decisions with the whole history.
func TestNoClosePassesAfterAShortOneOrTooFewWholeOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := Rule{Confirmations: rapid.IntRange(1, 8).Draw(t, "confirmations"), Window: testWindow, CountWeak: rapid.Bool().Draw(t, "weak")}
		e, now := New(rule), noon
		var wholeAt []time.Time
		short := false
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(testWindow)/4).Draw(t, "pause")))
			verdict := rapid.SampledFrom([]Verdict{Whole, Whole, Whole, Whole, WeaklyWhole, WeaklyWhole, Short, BrokenOff}).Draw(t, "verdict")
			software := rapid.SampledFrom([]Software{v1, v1, v2}).Draw(t, "software")
			e.Record(now, software, "a", verdict)
			if software == v1 && (verdict == Whole || verdict == WeaklyWhole && rule.CountWeak) {
				wholeAt = append(wholeAt, now)
			}
			short = short || software == v1 && (verdict == Short || verdict == BrokenOff)
			got := e.Decide(now, v1, "a", false, 0)
			if got == PassOn && (short || countSince(wholeAt, now.Add(-testWindow)) < rule.Confirmations) {
				t.Fatal("a close passed")
			}
			if got == Check && !short && countSince(wholeAt, now.Add(-testWindow/2)) >= rule.Confirmations {
				t.Fatal("no close passed")
			}
		}
	})
}

func countSince(times []time.Time, since time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(since) {
			count++
		}
	}
	return count
}

func TestTheBoundHoldsForAllShares(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		confirmations := rapid.IntRange(0, 2000).Draw(t, "confirmations")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		chance := share
		for range confirmations {
			chance *= 1 - share
		}
		if chance > ShortShareBound(confirmations)*(1+1e-9) {
			t.Fatal(chance, ShortShareBound(confirmations))
		}
	})
	is.Equal(ConfirmationsFor(1), 0)
	for _, bound := range []float64{1e-2, 1e-4, 1e-6} {
		n := ConfirmationsFor(bound)
		is.True(ShortShareBound(n) <= bound)
		is.True(ShortShareBound(n-1) > bound)
	}
	is.Equal(ConfirmationsAgainst(0.3, 1e-6), 39)
	is.Equal(ConfirmationsAgainst(0.01, 1e-6), 1375)
	is.Equal(UntilSeen(0.1), 9.0)
}
