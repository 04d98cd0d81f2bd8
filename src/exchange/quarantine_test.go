package exchange

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/quarantine"
)

const crashBody = "ends whatever runs it"

// newCrashingReplica returns a replica that crashes when it runs crashBody and serves everything
// else.
func newCrashingReplica(t *testing.T, id string, before func(a arrival)) *fakeReplica {
	var f *fakeReplica
	f = newReplica(t, id, func(a arrival) bool {
		if a.body != crashBody {
			return whole(a)
		}
		_ = f.listener.Close()
		before(a)
		return false
	})
	return f
}

func replicaNamed(i int) string { return fmt.Sprint("ended-", i) }

func countCrashes(replicas []*fakeReplica) int {
	count := 0
	for _, f := range replicas {
		f.mu.Lock()
		for _, a := range f.arrivals {
			if a.body == crashBody {
				count++
			}
		}
		f.mu.Unlock()
	}
	return count
}

// awaitCrashChecks waits until the dials to replicas whose connections broke are over. A request waits for
// them no longer than crashCheckTimeout.
func (b *bench) awaitCrashChecks() {
	b.t.Helper()
	detector := b.handler.crashDetector
	checking := func() bool {
		detector.mu.Lock()
		defer detector.mu.Unlock()
		for _, candidate := range detector.candidates {
			if candidate.probe != nil {
				return true
			}
		}
		return false
	}
	for wait := 0; checking(); wait++ {
		if wait == 10_000 {
			b.t.Fatal("a replica is still being dialed")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestQuarantinedContentReachesNoReplica: after the third crash no replica gets the content,
// neither in a first attempt nor in a retry or the continuation of a stream. The client is told
// that nothing ran and when to retry.
func TestQuarantinedContentReachesNoReplica(t *testing.T) {
	for _, way := range []struct {
		name     string
		kind     catalog.Kind
		attempts int
		before   func(a arrival)
	}{
		{"one try", catalog.Unsafe, 1, func(arrival) {}},
		{"tries within a call", catalog.Safe, 5, func(arrival) {}},
		{"a stream before its first event", catalog.Streaming, 2, func(a arrival) { a.head() }},
		{"a stream within its events", catalog.Streaming, 2, func(a arrival) { a.head(); a.event(1) }},
	} {
		t.Run(way.name, func(t *testing.T) {
			is := is.New(t)
			var replicas []*fakeReplica
			for i := range 8 {
				replicas = append(replicas, newCrashingReplica(t, fmt.Sprint("r", i), way.before))
			}
			b := newBench(t, route(way.kind, way.attempts), replicas...)
			var last clientResponse
			for i := range 8 {
				last = b.do("POST", fmt.Sprint("ending-", i), crashBody)
				b.awaitCrashChecks()
			}
			is.Equal(countCrashes(replicas), quarantine.Threshold)
			is.Equal(last.status, http.StatusTooManyRequests)
			wait, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > (30 * time.Minute).Seconds()) // longer than the client waits
			is.Equal(b.do("POST", "other", "harmless").status, http.StatusOK)
		})
	}
}

// newPoisonedReplica returns a replica that crashes when it begins to answer a request with the part
// "poison" before the last one of its prompt.
func newPoisonedReplica(t *testing.T, id string, before func(a arrival)) *fakeReplica {
	var f *fakeReplica
	f = newReplica(t, id, func(a arrival) bool {
		parts := splitList(a.request.Header.Get(testParts))
		if !slices.Contains(parts[:len(parts)-1], "poison") {
			return whole(a)
		}
		_ = f.listener.Close()
		before(a)
		return false
	})
	return f
}

func countArrivals(replicas []*fakeReplica) int {
	count := 0
	for _, f := range replicas {
		count += f.count()
	}
	return count
}

// TestQuarantinedPartReachesNoReplica: after the third crash no replica gets a request with the part,
// neither in a first attempt nor in a retry or the continuation of a stream, whatever else it holds.
func TestQuarantinedPartReachesNoReplica(t *testing.T) {
	for _, way := range []struct {
		name     string
		kind     catalog.Kind
		attempts int
		before   func(a arrival)
		crashes  int
		// wait is the least time that the client is told to wait.
		wait time.Duration
	}{
		{"one try", catalog.Unsafe, 1, func(arrival) {}, quarantine.Threshold, 5 * time.Minute},
		// The crashes may be due to the content that was tried again and again.
		{"tries within a call", catalog.Safe, 5, func(arrival) {}, quarantine.Threshold, 5 * time.Second},
		{"a stream before its first event", catalog.Streaming, 2, func(a arrival) { a.head() }, quarantine.Threshold, 5 * time.Minute},
		// Responses began, so that the first trial comes sooner.
		{"a stream within its events", catalog.Streaming, 2, func(a arrival) { a.head(); a.event(1) }, quarantine.ServedThreshold, 30 * time.Second},
	} {
		t.Run(way.name, func(t *testing.T) {
			is := is.New(t)
			var replicas []*fakeReplica
			for i := range 8 {
				replicas = append(replicas, newPoisonedReplica(t, fmt.Sprint("r", i), way.before))
			}
			b := newBench(t, route(way.kind, way.attempts), replicas...)
			var last clientResponse
			for i := range 8 {
				last = b.do("POST", fmt.Sprint("ending-", i), fmt.Sprint("body ", i), fmt.Sprintf("%s: first-%d,poison,own-%d", testParts, i%2, i))
				b.awaitCrashChecks()
			}
			is.Equal(countArrivals(replicas), way.crashes)
			is.Equal(last.status, http.StatusTooManyRequests)
			wait, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > way.wait.Seconds()) // longer than the client waits
			is.Equal(b.do("POST", "other", "harmless", testParts+": first-3,own").status, http.StatusOK)
			is.Equal(b.do("POST", "last", "harmless", testParts+": first-3,poison").status, http.StatusOK) // its own part
			is.Equal(b.do("POST", "none", "harmless").status, http.StatusOK)
		})
	}
}

// TestQuarantinedPartStopsARequestThatWaited: the third crash comes while the request waits for a replica.
func TestQuarantinedPartStopsARequestThatWaited(t *testing.T) {
	is := is.New(t)
	f := newReplica(t, "a", whole)
	b := newBench(t, route(catalog.Safe, 2))
	parts := quarantine.PartKeys([]string{"first", "poison"})
	answered := make(chan clientResponse, 1)
	go func() { answered <- b.do("GET", "waits", "", testParts+": first,poison,own", testModel+": m") }()
	for b.handler.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range quarantine.Threshold {
		b.handler.noteCrash(time.Now(), replicaNamed(i), []quarantine.Request{{Content: quarantine.Content{Target: replicaNamed(i)}.Digest(), Parts: parts[1:]}}, "test")
	}
	b.register(f)
	got := <-answered
	is.True(got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable)
	is.Equal(f.count(), 0)
}

// TestASharedPartIsServedBesideAQuarantinedOne: each request that crashes a replica holds a part that
// other requests hold too.
func TestASharedPartIsServedBesideAQuarantinedOne(t *testing.T) {
	is := is.New(t)
	var replicas []*fakeReplica
	for i := range 8 {
		replicas = append(replicas, newPoisonedReplica(t, fmt.Sprint("r", i), func(arrival) {}))
	}
	b := newBench(t, route(catalog.Unsafe, 1), replicas...)
	for i := range 8 {
		is.Equal(b.do("POST", fmt.Sprint("sound-", i), "body", fmt.Sprintf("%s: shared,other,own-%d", testParts, i)).status, http.StatusOK)
		b.do("POST", fmt.Sprint("ending-", i), fmt.Sprint("body ", i), fmt.Sprintf("%s: shared,poison,own-%d", testParts, i))
		b.awaitCrashChecks()
	}
	is.Equal(countArrivals(replicas), 8+quarantine.Threshold)
}

// TestCrashIsLoggedWithParts: the line names the parts under way, each with the number of requests.
func TestCrashIsLoggedWithParts(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Unsafe, 1))
	ring := event.NewRing("test", 64, nil, time.Now)
	b.handler.options.Ring = ring
	requests := []quarantine.Request{
		{Content: quarantine.Content{Target: "/1"}.Digest(), Parts: quarantine.PartKeys([]string{"a", "b"})},
		{Content: quarantine.Content{Target: "/2"}.Digest(), Parts: quarantine.PartKeys([]string{"b", "c"})},
	}
	b.handler.noteCrash(time.Now(), "r", requests, "test")
	found, _ := ring.Since(0, "r")
	is.Equal(len(found), 1)
	is.True(strings.HasSuffix(found[0].Reason, "parts of their prompts: b (2) a (1) c (1)"))
}

// TestQuarantinedStreamIsNotContinuedAtBackup: the replica with the copy of the run must not crash
// as well once the content is quarantined.
func TestQuarantinedStreamIsNotContinuedAtBackup(t *testing.T) {
	is := is.New(t)
	first := newCrashingReplica(t, "first", func(a arrival) { a.head(); a.event(1) })
	second := newCrashingReplica(t, "second", func(a arrival) { a.head(); a.event(2) })
	b := newBench(t, route(catalog.Streaming, 1), first)
	document := catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Streaming, 1)}, Services: []catalog.Service{{Name: "s", ColdRate: 4, Engine: &catalog.Engine{Backups: true}}}}
	b.handler.SetTable(catalog.NewTable(document))
	b.register(first, second)
	content := quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte(crashBody)}.Digest()
	now := time.Now()
	b.handler.options.Tracker.AttributeFailure(now, "earlier-1", []quarantine.Request{{Content: content}})
	b.handler.options.Tracker.AttributeFailure(now, "earlier-2", []quarantine.Request{{Content: content}})
	result := b.do("POST", "stream", crashBody, testModel+": m", testTokens+": 500")
	is.True(result.err != nil) // the response is aborted
	is.Equal(first.count()+second.count(), 1)
}

// TestCommonContentIsNotQuarantined: content that recently ran without a crash is in flight at
// every replica that crashes. It is still served, however many replicas crash, and also at a
// gateway that did not see it run.
func TestCommonContentIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Safe, 2), newReplica(t, "a", whole))
	other := newBench(t, route(catalog.Safe, 2), newReplica(t, "b", whole))
	content := quarantine.Content{Method: "GET", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2"}.Digest()
	is.Equal(b.do("GET", "one", "").status, http.StatusOK)
	now := time.Now()
	for i := range 5 {
		b.handler.noteCrash(now, replicaNamed(i), []quarantine.Request{{Content: content}}, "test")
		other.handler.noteCrash(now, replicaNamed(i), []quarantine.Request{{Content: content}}, "test")
	}
	is.Equal(b.do("GET", "two", "").status, http.StatusOK)
	is.Equal(other.do("GET", "three", "").status, http.StatusTooManyRequests) // this gateway did not see the content run
	told, _ := other.handler.options.Tracker.OwnSince(now, 0)
	b.handler.options.Tracker.MergeFromControl(now, told)
	back, _ := b.handler.options.Tracker.OwnSince(now, 0)
	other.handler.options.Tracker.MergeFromControl(now, back)
	is.Equal(other.do("GET", "four", "").status, http.StatusOK)
}

// TestCrashIsLoggedWithRequestsInFlight: the line contains the evidence and the digests, but no
// body.
func TestCrashIsLoggedWithRequestsInFlight(t *testing.T) {
	is := is.New(t)
	f := newCrashingReplica(t, "a", func(arrival) {})
	b := newBench(t, route(catalog.Unsafe, 1), f)
	ring := event.NewRing("test", 64, nil, time.Now)
	b.handler.options.Ring = ring
	b.do("POST", "one", crashBody)
	b.awaitCrashChecks()
	found, _ := ring.Since(0, "a")
	content := quarantine.Content{Method: "POST", Host: "h.example", Target: "/p/x%2Fy?q=1&q=2", Body: []byte(crashBody)}.Digest()
	ends := 0
	for _, e := range found {
		if e.Kind != event.ReplicaEnded {
			continue
		}
		ends++
		is.Equal(e.Host, "a")
		is.True(strings.Contains(e.Reason, "a dial was refused; under way: "+content.String()))
		is.True(!strings.Contains(e.Reason, crashBody))
	}
	is.Equal(ends, 1)
}
