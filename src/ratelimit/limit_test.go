package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLeadingIssuer returns an issuer whose node has led term 1 for an hour.
func newLeadingIssuer(now time.Time) *Issuer {
	return NewIssuer(func() Leadership { return Leadership{Self: true, Term: 1, Since: now.Add(-time.Hour)} }, nil)
}

// A backend server that is both cold and limited gets permits at the slower pace. A limit alone
// allows a burst of one second, but none at first.
func TestTheSlowerPaceApplies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	count := func(i *Issuer, at time.Time, ask Request) (granted int) {
		for i.Take(at, ask).Granted {
			granted++
		}
		return granted
	}
	limit := LimitReport{State: limited(5)}
	i := newLeadingIssuer(now)
	is.Equal(count(i, now, Request{Server: "r", LimitReport: limit}), 1)
	is.Equal(count(i, now.Add(time.Minute), Request{Server: "r", LimitReport: limit}), 6)
	i = newLeadingIssuer(now)
	is.Equal(count(i, now, Request{Server: "r", LimitReport: limit, ColdPerSecond: 2}), 1)
	is.Equal(count(i, now.Add(time.Minute), Request{Server: "r", LimitReport: limit, ColdPerSecond: 2}), 1)
	is.Equal(i.Take(now.Add(time.Minute), Request{Server: "r", LimitReport: limit, ColdPerSecond: 2}).Wait, 500*time.Millisecond)
}

// A request is let through once a second, so that the end of the limit is noticed.
func TestALimitOfZeroIsProbed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	for _, perSecond := range []float64{0, 0.01, 1} {
		i, granted := newLeadingIssuer(now), 0
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if i.Take(now.Add(at), Request{Server: "r", LimitReport: LimitReport{State: limited(perSecond)}}).Granted {
				granted++
			}
		}
		is.Equal(granted, 10)
	}
}

func TestUrgentRequestsGetScarcePermits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	i := newLeadingIssuer(now)
	var granted [3]int
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		for priority := 2; priority >= 0; priority-- {
			ask := Request{Server: "r", LimitReport: LimitReport{State: limited(10)}, MaxWait: Horizon, Priority: priority}
			if i.Take(now.Add(at), ask).Granted {
				granted[priority]++
			}
		}
	}
	is.True(granted[0] >= 190)
	is.True(granted[1]+granted[2] <= 20)
}

// Low priority reduces the wait only while more urgent requests ask for permits.
func TestRequestsOfOneLowPriorityWaitTheFullTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	i := newLeadingIssuer(now)
	ask := Request{Server: "r", LimitReport: LimitReport{State: limited(2)}, MaxWait: Horizon, Priority: 7}
	is.True(i.Take(now, ask).Granted)
	urgent := ask
	urgent.Priority, urgent.MaxWait = 0, 0
	is.True(!i.Take(now, urgent).Granted)
	is.True(!i.Take(now.Add(100*time.Millisecond), ask).Granted) // 0.4 s ahead
	is.True(i.Take(now.Add(1200*time.Millisecond), ask).Granted)
	is.True(i.Take(now.Add(1200*time.Millisecond), ask).Granted)
	is.Equal(i.Take(now.Add(1200*time.Millisecond), ask).Wait, 300*time.Millisecond)
}

func TestAReportWithoutARequestTakesNoPermit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	i := newLeadingIssuer(now)
	for range 5 {
		got := i.Take(now, Request{Server: "r", MaxWait: -1, LimitReport: LimitReport{State: limited(2), FromResponse: true}})
		is.Equal(got, Reply{Known: true, State: limited(2), Term: 1, Version: 1})
	}
	is.True(i.Take(now, Request{Server: "r"}).Granted)
}

// TestABurstServesMoreCallers checks that permits with a burst serve at least as many callers as
// evenly spaced ones. Callers arrive at random at a fraction of the limit and wait for at most half
// a second.
func TestABurstServesMoreCallers(t *testing.T) {
	const span = 2000 * time.Second
	for _, perSecond := range []float64{1, 5, 20} {
		for _, load := range []float64{0.5, 0.8, 2} {
			even, burst := servedFraction(perSecond, load, span, evenPace(perSecond)), servedFraction(perSecond, load, span, limitPace(perSecond))
			t.Logf("limit %g, %g of it asked for: served evenly %.3f, with a burst %.3f", perSecond, load, even, burst)
			if burst < even || perSecond == 1 && burst == even {
				t.Errorf("a burst serves no more callers")
			}
		}
	}
}

// servedFraction returns the fraction of the callers that get a permit in time.
func servedFraction(perSecond, load float64, span time.Duration, p pace) float64 {
	random := rand.New(rand.NewPCG(uint64(perSecond), 53))
	start := time.Unix(1_800_000_000, 0)
	var s schedule
	s.reset(start, p)
	arrived, served := 0, 0
	for at := time.Duration(0); at < span; at += time.Duration(random.ExpFloat64() / (load * perSecond) * float64(time.Second)) {
		arrived++
		if _, taken := s.take(start.Add(at), p, Horizon); taken {
			served++
		}
	}
	return float64(served) / float64(arrived)
}
