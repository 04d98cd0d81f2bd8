package exchange

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// fakeAdmission returns the verdict set by a test.
type fakeAdmission struct {
	mu       sync.Mutex
	verdict  admission.Verdict
	trusted  bool
	asked    []float64
	returned []float64
	// onAdmit is called before each verdict.
	onAdmit func()
	// suspended is how long the host was suspended.
	suspended time.Duration
}

func (f *fakeAdmission) admission() Admission {
	return Admission{
		Admit: func(_ context.Context, _ *catalog.Account, units float64) admission.Verdict {
			if f.onAdmit != nil {
				f.onAdmit()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.asked = append(f.asked, units)
			return f.verdict
		},
		Return: func(_ string, units float64, _ time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.returned = append(f.returned, units)
		},
		Confirmed:         func(time.Time, uint64) bool { return f.trusted },
		AwaitConfirmation: func(context.Context, uint64) bool { return f.trusted },
		Now:               func() time.Time { return time.Now().Add(f.suspended) },
	}
}

func (f *fakeAdmission) counts() (asked, returned int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.asked), len(f.returned)
}

// keyedTable has one route and a client account with the given keys.
func keyedTable(version uint64, r catalog.Route, keys ...catalog.Key) *catalog.Table {
	return catalog.NewTable(catalog.Document{
		Version: version, Routes: []catalog.Route{r}, Services: testServices(), KeysRequired: true,
		Accounts: []catalog.Account{{Name: "a", Keys: keys, Limit: catalog.Limit{Unit: catalog.Requests, Rate: 1}}},
	})
}

func newKeyedBench(t *testing.T, f *fakeAdmission, r catalog.Route, replicas ...*fakeReplica) *bench {
	b := newBench(t, r, replicas...)
	b.handler.options.Admission = f.admission()
	b.handler.SetTable(keyedTable(1, r, "k"))
	return b
}

func granting() *fakeAdmission {
	return &fakeAdmission{trusted: true, verdict: admission.Verdict{Admission: wire.AdmissionGranted, Until: time.Now().Add(time.Minute)}}
}

func TestAnAdmittedRequestCarriesItsAccount(t *testing.T) {
	is := is.New(t)
	r := newReplica(t, "x", whole)
	f := granting()
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	is.Equal(b.do("GET", "one", "", testKey+": k", testAccount+": forged").status, http.StatusOK)
	is.Equal(r.last().request.Header.Values(testAccount), []string{"a"})
	is.Equal(len(r.last().request.Header.Values(testKey)), 0)
	asked, returned := f.counts()
	is.Equal(asked, 1)
	is.Equal(returned, 0)
}

// TestAGrantLapsesWhileTheHostIsSuspended: the monotonic clock stops during a suspension, but the
// validity of a grant does not.
func TestAGrantLapsesWhileTheHostIsSuspended(t *testing.T) {
	is := is.New(t)
	r := newReplica(t, "x", whole)
	f := granting()
	f.onAdmit = func() { f.suspended += 2 * time.Minute }
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusServiceUnavailable)
	is.Equal(r.count(), 0)
}

func TestUnknownKeyIsRefusedWithoutAdmissionRequest(t *testing.T) {
	is := is.New(t)
	r := newReplica(t, "x", whole)
	f := granting()
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	is.Equal(b.do("GET", "one", "").status, http.StatusUnauthorized)
	is.Equal(b.do("GET", "two", "", testKey+": other").status, http.StatusUnauthorized)
	is.Equal(r.count(), 0)
	asked, _ := f.counts()
	is.Equal(asked, 0)
}

func TestSpentAccountIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	r := newReplica(t, "x", whole)
	f := granting()
	f.verdict = admission.Verdict{Admission: wire.QuotaExhausted, RetryAfter: 750 * time.Millisecond}
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	got := b.do("GET", "one", "", testKey+": k")
	is.Equal(got.status, http.StatusTooManyRequests)
	is.Equal(got.header.Get("Retry-After"), "0.750")
	is.Equal(r.count(), 0)
}

// TestUnconfirmedConfigurationServesOnlyAnonymousRoutes: unknown keys are refused as undecided too,
// since they may have been added meanwhile.
func TestUnconfirmedConfigurationServesOnlyAnonymousRoutes(t *testing.T) {
	is := is.New(t)
	r := newReplica(t, "x", whole)
	f := granting()
	f.trusted = false
	open := route(catalog.Safe, 2)
	b := newKeyedBench(t, f, open, r)
	for _, key := range []string{"k", "other"} {
		got := b.do("GET", "one", "", testKey+": "+key)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(r.count(), 0)
	open.Anonymous = true
	b.handler.SetTable(keyedTable(2, open, "k"))
	is.Equal(b.do("GET", "two", "").status, http.StatusOK)
}

// TestAKeyThatIsTakenAwayWhileARequestWaitsDoesNotRun: the configuration is checked again right
// before each send.
func TestAKeyThatIsTakenAwayWhileARequestWaitsDoesNotRun(t *testing.T) {
	is := is.New(t)
	rt := route(catalog.Safe, 2)
	r := newReplica(t, "x", whole)
	f := granting()
	b := newKeyedBench(t, f, rt, r)
	f.onAdmit = func() { b.handler.SetTable(keyedTable(2, rt)) }
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusUnauthorized)
	is.Equal(r.count(), 0)
	_, returned := f.counts()
	is.Equal(returned, 1) // the grant is returned
}

// TestGrantOfRejectedAttemptIsReused: the grant covers the next attempt and is returned if there is
// none.
func TestGrantOfRejectedAttemptIsReused(t *testing.T) {
	is := is.New(t)
	f := granting()
	full, other := newReplica(t, "x", notRunning), newReplica(t, "y", notRunning)
	b := newKeyedBench(t, f, route(catalog.Unsafe, 2), full, other)
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusServiceUnavailable)
	is.Equal(full.count()+other.count(), 2)
	asked, returned := f.counts()
	is.Equal(asked, 1)
	is.Equal(returned, 1)
}

// TestExpiredGrantIsRequestedAgain: a request that waited after its admission is counted when it is
// sent.
func TestExpiredGrantIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	f := granting()
	r := newReplica(t, "x", whole)
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	const life = 100 * time.Millisecond
	passed := time.Duration(0)
	now := func() time.Time { return time.Now().Add(passed) }
	b.handler.options.Now, b.handler.options.Admission.Now = now, now
	f.onAdmit = func() { f.verdict.Until = now().Add(life) }
	b.handler.options.Admission.Confirmed = func(time.Time, uint64) bool {
		passed += life // the request waits after it was admitted
		return true
	}
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusOK)
	asked, _ := f.counts()
	is.Equal(asked, 2)
}

// TestExpiredGrantIsNotUsed: the gateway was suspended while it waited for the grant.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := granting()
	f.verdict.Until = time.Now()
	r := newReplica(t, "x", whole)
	b := newKeyedBench(t, f, route(catalog.Safe, 2), r)
	is.Equal(b.do("GET", "one", "", testKey+": k").status, http.StatusServiceUnavailable)
	is.Equal(r.count(), 0)
}
