package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOneRequestAtATimeIsSentOnTrial: many requests with a part come when its hold ends, and each would
// crash a replica.
func TestOneRequestAtATimeIsSentOnTrial(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	g.trials.delay = 0.5
	for i := range Threshold {
		recordCrash(g, noon, fmt.Sprint("r-", i), "poison")
	}
	request := Request{Content: testDigest(9), Parts: []Key{partKey("poison")}}
	now := noon.Add(partHoldDurations[0])
	_, left, isBlocked := g.Blocked(now, request, &Trial{})
	is.True(isBlocked) // other gateways begin earlier
	now = now.Add(left)
	var first, second Trial
	_, _, isBlocked = g.Blocked(now, request, &first)
	is.True(!isBlocked)
	_, _, isBlocked = g.Blocked(now, request, &first)
	is.True(!isBlocked) // the same request, asked for again before it is sent
	_, left, isBlocked = g.Blocked(now, request, &second)
	is.True(isBlocked)
	is.Equal(left, trialTimeout)
	recordCrash(g, now, "r-trial", "poison")
	_, left, isBlocked = g.Blocked(now, request, &first)
	is.True(isBlocked) // not even the one that had leave
	is.True(left >= partHoldDurations[1])
	now = now.Add(2 * partHoldDurations[1])
	var third Trial
	_, _, isBlocked = g.Blocked(now, request, &third)
	is.True(!isBlocked)
	g.RecordPartSuccess(now, request.Parts)
	_, _, isBlocked = g.Blocked(now, request, &second)
	is.True(!isBlocked)
}

// BenchmarkBlocked measures the cost before a send with a prompt of four parts, at a gateway without
// entries and at one with 512 held parts. The digest of the content is not part of it.
func BenchmarkBlocked(b *testing.B) {
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	for _, entries := range []int{0, 512} {
		g := NewTracker(newTestTable())
		for i := range entries {
			for crash := range Threshold {
				recordCrash(g, noon, fmt.Sprint("r-", i, "-", crash), fmt.Sprint("part-", i))
			}
		}
		request := Request{Parts: PartKeys(ids)}
		var trial Trial
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if !g.Empty() {
					g.Blocked(noon, request, &trial)
				}
			}
		})
	}
	b.Run("keys, once a request", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_ = PartKeys(ids)
		}
	})
}

// TestABurstOfFailuresDoesNotLengthenTheHold: several requests with a part crash their replicas before its
// quarantine is known everywhere. Only a failed trial lengthens it.
func TestABurstOfFailuresDoesNotLengthenTheHold(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	for i := range 2 * maxFailures {
		recordCrash(g, noon, fmt.Sprint("r-", i), "poison")
	}
	left, held := g.Held(noon, partKey("poison").Digest)
	is.True(held)
	is.Equal(left, partHoldDurations[0])
	now := noon.Add(left)
	recordCrash(g, now, "r-trial", "poison")
	left, held = g.Held(now, partKey("poison").Digest)
	is.True(held)
	is.Equal(left, partHoldDurations[1])
	other := newTestTable()
	other.Merge(now, g.Entries(now, 2))
	left, _ = other.Held(now, partKey("poison").Digest)
	is.Equal(left, partHoldDurations[1])
}

// TestACommonPartIsServedSoonAfterAnOutage: all replicas crash for half a minute for another reason, so that
// nothing is served and a part of most requests has the most failures.
func TestACommonPartIsServedSoonAfterAnOutage(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	g.RecordPartSuccess(noon.Add(-successTTL), []Key{partKey("common")})
	now := noon
	for i := range 60 {
		now = now.Add(500 * time.Millisecond)
		recordCrash(g, now, fmt.Sprint("r-", i), "common", fmt.Sprint("rare-", i))
	}
	_, left, blocked := g.Blocked(now, Request{Parts: []Key{partKey("common")}}, &Trial{})
	is.True(blocked)
	is.True(left <= 2*time.Minute)
	now = now.Add(left)
	_, _, blocked = g.Blocked(now, Request{Parts: []Key{partKey("common")}}, &Trial{})
	is.True(!blocked)
	g.RecordPartSuccess(now, []Key{partKey("common")})
	_, _, blocked = g.Blocked(now, Request{Parts: []Key{partKey("common")}}, &Trial{})
	is.True(!blocked)
}
