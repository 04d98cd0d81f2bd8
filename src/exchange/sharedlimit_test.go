package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wire"
)

func limitOf(perSecond float64) ratelimit.State {
	return ratelimit.State{Limited: true, PerSecond: perSecond}
}

// TestLimitInResponse: a lower limit takes effect at once. A higher one, or none, takes effect only
// once the issuer confirms it.
func TestLimitInResponse(t *testing.T) {
	now := noon
	named := func(perSecond float64) RateLimit { return RateLimit{Valid: true, PerSecond: perSecond} }
	run := sentRequest{sentAt: now.Add(time.Second), term: 3, grant: 9, succeeded: true}
	failed, early := run, run
	failed.succeeded = false
	early.sentAt = now.Add(-time.Second)
	for name, c := range map[string]struct {
		said RateLimit
		by   sentRequest
		want ratelimit.State
		tell bool
		word ratelimit.State
	}{
		"the same":                           {named(5), run, limitOf(5), false, limitOf(5)},
		"a lower one":                        {named(2), run, limitOf(2), true, limitOf(2)},
		"a lower one with a failure":         {named(2), failed, limitOf(2), true, limitOf(2)},
		"a lower one to an earlier request":  {named(2), early, limitOf(2), true, limitOf(2)},
		"a higher one":                       {named(9), run, limitOf(5), true, limitOf(9)},
		"a higher one to an earlier request": {named(9), early, limitOf(5), false, limitOf(5)},
		"none":                               {RateLimit{}, run, limitOf(5), true, ratelimit.State{}},
		"none to an earlier request":         {RateLimit{}, early, limitOf(5), false, limitOf(5)},
		"none with a failure":                {RateLimit{}, failed, limitOf(5), false, limitOf(5)},
		"one that can't be read":             {RateLimit{ParseError: "no decimal number"}, run, limitOf(5), false, limitOf(5)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sharedLimit sharedLimit
			is.True(sharedLimit.noteReply(now, named(5), sentRequest{}))
			sharedLimit.applyIssued(now, limitOf(5), 3, 1, sharedLimit.report().heard)
			is.Equal(sharedLimit.noteReply(now.Add(2*time.Second), c.said, c.by), c.tell)
			is.Equal(sharedLimit.currentLimit(), c.want)
			is.Equal(sharedLimit.report().word.State, c.word)
		})
	}
}

// TestLimitFromIssuer: the newest version takes effect unless a response has named a lower limit
// since.
func TestLimitFromIssuer(t *testing.T) {
	is := is.New(t)
	var sharedLimit sharedLimit
	is.True(sharedLimit.applyIssued(noon, limitOf(5), 3, 4, nil))
	is.True(!sharedLimit.applyIssued(noon, ratelimit.State{}, 3, 3, nil)) // older
	is.True(!sharedLimit.applyIssued(noon, ratelimit.State{}, 2, 9, nil)) // from an earlier leader
	is.True(!sharedLimit.applyIssued(noon, limitOf(8), 0, 0, nil))        // without an issuer only a lower limit applies
	is.True(sharedLimit.applyIssued(noon, limitOf(4), 0, 0, nil))
	is.True(sharedLimit.applyIssued(noon, limitOf(8), 3, 5, nil))
	is.True(sharedLimit.noteReply(noon, RateLimit{Valid: true, PerSecond: 2}, sentRequest{}))
	is.True(!sharedLimit.applyIssued(noon, limitOf(8), 3, 6, nil)) // the issuer does not know the limit of 2 yet
	told := sharedLimit.report()
	is.True(!sharedLimit.applyIssued(noon, limitOf(2), 3, 7, told.heard))
	is.True(sharedLimit.applyIssued(noon, ratelimit.State{}, 3, 8, nil))
	is.True(!sharedLimit.active.Load())
}

// TestLimitWithoutIssuerIsReportedLater: the statement of a response is reported once there is an
// issuer.
func TestLimitWithoutIssuerIsReportedLater(t *testing.T) {
	is := is.New(t)
	var sharedLimit sharedLimit
	sharedLimit.noteReply(noon, RateLimit{Valid: true, PerSecond: 2}, sentRequest{})
	told := sharedLimit.report()
	sharedLimit.applyIssued(noon, limitOf(2), 0, 0, told.heard)
	is.True(sharedLimit.report().word.FromResponse)
}

// limitedBench has one replica that names a limit, and a permit issuer.
func limitedBench(t *testing.T, limit string, others ...*fakeReplica) (*bench, *fakeReplica, *ratelimit.Issuer) {
	x := newReplica(t, "x", func(a arrival) bool { a.answer(200, "slow", testLimit+": "+limit); return true })
	r := route(catalog.Safe, 2)
	b := newBench(t, r, append(others, x)...)
	issuer := ratelimit.NewIssuer(func() ratelimit.Leadership {
		return ratelimit.Leadership{Self: true, Term: 1, Since: time.Now().Add(-time.Hour)}
	}, nil)
	b.handler.options.Permits.Request = func(_ context.Context, q wire.PermitRequest) (wire.PermitReply, error) {
		a := issuer.Take(time.Now(), ratelimit.Request{
			Server: q.Replica, MaxWait: time.Duration(q.WithinMS) * time.Millisecond, Priority: q.Priority,
			LimitReport: ratelimit.LimitReport{State: ratelimit.State{Limited: q.Limited, PerSecond: q.PerSecond}, FromResponse: q.FromResponse, Term: q.Term, Permit: q.Permit},
		})
		return wire.PermitReply{Known: true, Limits: true, Granted: a.Granted, WaitUS: a.Wait.Microseconds(), Limited: a.State.Limited, PerSecond: a.State.PerSecond, Term: a.Term, Version: a.Version, Permit: a.Permit}, nil
	}
	return b, x, issuer
}

// TestLimitedReplicaGetsRequestsAtItsLimit: of many simultaneous requests the others are refused
// with Retry-After and the reason. A second, unlimited replica serves all of them.
func TestLimitedReplicaGetsRequestsAtItsLimit(t *testing.T) {
	is := is.New(t)
	b, x, _ := limitedBench(t, "0.5")
	is.Equal(b.do("POST", "names", "x").status, http.StatusOK)
	var work sync.WaitGroup
	for i := range 20 {
		work.Add(1)
		go func() {
			defer work.Done()
			got := b.do("POST", fmt.Sprint("many-", i), "x")
			if got.status == http.StatusOK {
				return
			}
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != http.StatusServiceUnavailable || err != nil || wait <= 0 || !strings.Contains(got.body, "takes 0.5 requests a second from all gateways") {
				t.Errorf("status %d, in %s s: %s", got.status, got.header.Get("Retry-After"), got.body)
			}
		}()
	}
	work.Wait()
	is.True(x.count() <= 4) // the first one, and those with permits within half a second
	y := newReplica(t, "y", whole)
	b, x, _ = limitedBench(t, "0.5", y)
	for i := range 40 {
		is.Equal(b.do("POST", fmt.Sprint("beside-", i), "x").status, http.StatusOK)
	}
	is.True(x.count() <= 4)
}

// TestLiftedLimitAdmitsAllRequests: the response to a request with a permit names no limit any
// more.
func TestLiftedLimitAdmitsAllRequests(t *testing.T) {
	is := is.New(t)
	b, x, issuer := limitedBench(t, "0")
	is.Equal(b.do("POST", "names", "x").status, http.StatusOK)
	is.Equal(b.fleet.LimitedReplicas(), 1)
	x.setAct(whole)
	for b.do("POST", "asks", "x").status != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	for b.fleet.LimitedReplicas() > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 {
		is.Equal(b.do("POST", fmt.Sprint("free-", i), "x").status, http.StatusOK)
	}
	_, _, told := issuer.Limits(time.Now(), 10, time.Hour)
	is.Equal(told, []ratelimit.ServerLimit{{Server: "x"}})
}

// TestLimitBeforeCrashIsNotInherited: the connections of the incarnation that named the limit are
// broken.
func TestLimitBeforeCrashIsNotInherited(t *testing.T) {
	is := is.New(t)
	b, x, _ := limitedBench(t, "0")
	is.Equal(b.do("POST", "names", "x").status, http.StatusOK)
	is.Equal(b.fleet.LimitedReplicas(), 1)
	x.setAct(func(arrival) bool { return false })
	for x.count() < 3 {
		b.do("POST", "ends", "x")
		time.Sleep(10 * time.Millisecond)
	}
	x.setAct(whole)
	b.restart(x)
	is.True(!b.fleet.Peer("x@2").sharedLimit.active.Load())
	is.Equal(b.do("POST", "later", "x").status, http.StatusOK)
}

// TestLimitBeforeIncarnationIsListedIsInherited: the earlier incarnation had ended, as its broken
// connections show.
func TestLimitBeforeIncarnationIsListedIsInherited(t *testing.T) {
	is := is.New(t)
	b, x, _ := limitedBench(t, "0")
	b.crash(x)
	x.setAct(func(a arrival) bool { a.answer(200, "slow", testLimit+": 0"); return true })
	is.Equal(b.do("POST", "names", "x").status, http.StatusOK)
	b.restart(x)
	is.True(b.fleet.Peer("x@2").sharedLimit.active.Load())
}
