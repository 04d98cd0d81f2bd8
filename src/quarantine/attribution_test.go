package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func partKey(id string) Key { return PartKeys([]string{id})[0] }

// recordCrash records that a replica ended while one request with the parts was under way.
func recordCrash(g *Tracker, now time.Time, replica string, parts ...string) {
	g.AttributeFailure(now, replica, []Request{{Content: Content{Target: replica}.Digest(), Parts: PartKeys(parts)}})
}

func isHeld(t *Table, now time.Time, id string) bool {
	_, held := t.Held(now, partKey(id).Digest)
	return held
}

// TestAPartIsQuarantinedAfterThreeFailures: the requests that failed have no content in common, and other
// parts of their prompts are served on.
func TestAPartIsQuarantinedAfterThreeFailures(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	for i := range Threshold {
		is.True(!isHeld(g.Table, noon, "poison"))
		recordCrash(g, noon, fmt.Sprint("r-", i), fmt.Sprint("other-", i), "poison")
	}
	left, held := g.Held(noon, partKey("poison").Digest)
	is.True(held)
	is.Equal(left, partHoldDurations[0])
	for i := range Threshold {
		is.True(!isHeld(g.Table, noon, fmt.Sprint("other-", i)))
	}
}

// TestPartsBesideAPoisonousOneAreNotQuarantined: one part stands in each prompt that crashed a replica,
// but also in others.
func TestPartsBesideAPoisonousOneAreNotQuarantined(t *testing.T) {
	const crashes = 8
	for _, way := range []struct {
		name    string
		served  time.Duration // how long before the crashes a request with the part was served, 0 for never
		parts   []string
		others  bool
		release time.Duration
	}{
		{"served shortly before", successTTL / 2, []string{"beside", "poison"}, false, 0},
		{"served long before", servedTTL / 2, []string{"beside", "poison"}, false, 0},
		{"served long before, behind it", servedTTL / 2, []string{"poison", "beside"}, false, 0},
		{"never served, before it", 0, []string{"beside", "poison"}, true, ambiguousHold},
	} {
		t.Run(way.name, func(t *testing.T) {
			is := is.New(t)
			g := NewTracker(newTestTable())
			if way.served > 0 {
				g.RecordPartSuccess(noon.Add(-way.served), []Key{partKey("beside")})
			}
			for i := range crashes {
				recordCrash(g, noon, fmt.Sprint("r-", i), way.parts...)
			}
			is.True(isHeld(g.Table, noon, "poison"))
			is.True(!isHeld(g.Table, noon.Add(way.release), "beside"))
		})
	}
}

// TestABegunResponseCountsForItsParts: a client had the beginning of the response before the replica
// crashed, so that the part needs more failures than one that no response ever began with.
func TestABegunResponseCountsForItsParts(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	for i := range ServedThreshold {
		is.True(!isHeld(g.Table, noon, "begun"))
		g.AttributeFailure(noon, fmt.Sprint("r-", i), []Request{{Content: testDigest(i), Parts: []Key{partKey("begun")}, Begun: true}})
	}
	is.True(isHeld(g.Table, noon, "begun"))
}

// TestACrashingContentDoesNotQuarantineItsParts: the same request is repeated.
func TestACrashingContentDoesNotQuarantineItsParts(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	content := testDigest(1)
	for i := range Threshold {
		g.AttributeFailure(noon, fmt.Sprint("r-", i), []Request{{Content: content, Parts: PartKeys([]string{"a", "b"})}})
	}
	_, held := g.Held(noon, content)
	is.True(held)
	after := noon.Add(ambiguousHold)
	is.True(!isHeld(g.Table, after, "a"))
	is.True(!isHeld(g.Table, after, "b"))
	recordCrash(g, after, "r-other", "c", "b") // another content with the part
	is.True(isHeld(g.Table, after, "b"))
	is.Equal(g.Table.entries[partKey("b").Digest].status, quarantined)
}

// TestTwoPoisonousPartsAreBothQuarantined: both are under way at the same replicas at first, so that the
// failures of the second one have another explanation until it fails alone.
func TestTwoPoisonousPartsAreBothQuarantined(t *testing.T) {
	is := is.New(t)
	g := NewTracker(newTestTable())
	for i := range Threshold {
		recordCrash(g, noon, fmt.Sprint("both-", i), "one", "two")
	}
	is.True(isHeld(g.Table, noon, "one") && isHeld(g.Table, noon, "two")) // one of them in doubt
	now := noon
	for i := range Threshold {
		now = now.Add(2 * ambiguousHold)
		recordCrash(g, now, fmt.Sprint("one-", i), "one")
		recordCrash(g, now, fmt.Sprint("two-", i), "two")
	}
	for _, id := range []string{"one", "two"} {
		is.Equal(g.Table.entries[partKey(id).Digest].status, quarantined)
	}
}

// TestPartsAreLearnedFromOtherGateways: what one gateway knows to be served is told to those that saw its
// failures only.
func TestPartsAreLearnedFromOtherGateways(t *testing.T) {
	is := is.New(t)
	failed, served := NewTracker(newTestTable()), NewTracker(newTestTable())
	served.RecordPartSuccess(noon.Add(-servedTTL/2), []Key{partKey("known")})
	served.RecordPartSuccess(noon.Add(-successTTL/2), []Key{partKey("common")})
	for i := range Threshold {
		recordCrash(failed, noon, fmt.Sprint("r-", i), "known")
		recordCrash(failed, noon, fmt.Sprint("s-", i), "common")
	}
	is.True(isHeld(failed.Table, noon, "known") && isHeld(failed.Table, noon, "common"))
	told, _ := failed.OwnSince(noon, 0)
	served.MergeFromControl(noon, told)
	back, _ := served.OwnSince(noon, 0)
	failed.MergeFromControl(noon, back)
	for _, g := range []*Tracker{failed, served} {
		is.True(!isHeld(g.Table, noon, "known"))
		is.True(!isHeld(g.Table, noon, "common"))
	}
}

// TestMergedTablesAttributeFailuresAlikeInAnyOrder: processes agree on what is held, whatever they observed and in
// whatever order they exchange entries.
func TestMergedTablesAttributeFailuresAlikeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 4).Draw(t, "processes"))
		for i := range tables {
			tables[i] = newTestTable()
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "at")]
			id := fmt.Sprint("part-", rapid.IntRange(0, 3).Draw(t, "part"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				replica := fmt.Sprint("r-", rapid.IntRange(0, 7).Draw(t, "replica"))
				keys := PartKeys([]string{id, fmt.Sprint("part-", rapid.IntRange(0, 3).Draw(t, "other"))})
				table.RecordFailure(noon, replica, keys)
			case 3:
				table.ClearServed(noon, partKey(id).Digest)
			case 4:
				table.MarkServed(noon, partKey(id).Digest)
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		for range 2 * len(tables) {
			for _, i := range random.Perm(len(tables)) {
				entries, _ := tables[i].Since(noon, 0)
				for _, table := range tables {
					table.Merge(noon, entries)
				}
			}
		}
		for i := range 4 {
			id := fmt.Sprint("part-", i)
			for _, table := range tables[1:] {
				if isHeld(table, noon, id) != isHeld(tables[0], noon, id) {
					t.Fatalf("%s is held at one process alone", id)
				}
			}
		}
	})
}
