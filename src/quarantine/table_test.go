package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var noon = time.Unix(1_800_000_000, 0)

func testDigest(i int) Digest { return Content{Target: fmt.Sprint("/", i)}.Digest() }

func newTestTable() *Table { return NewTable(func(Change) {}) }

// quarantineDigest quarantines a content.
func quarantineDigest(t *Table, now time.Time, digest Digest) {
	for i := range Threshold {
		t.RecordFailure(now, fmt.Sprint("r-", i), []Key{{Digest: digest}})
	}
}

// Failures of one replica count once, a completed request clears them, and each change is reported
// once.
func TestContentIsQuarantinedAfterThreeFailures(t *testing.T) {
	is := is.New(t)
	var changes []Change
	table := NewTable(func(c Change) { changes = append(changes, c) })
	content := testDigest(1)
	table.RecordFailure(noon, "a", []Key{{Digest: content}})
	table.RecordFailure(noon, "a", []Key{{Digest: content}}) // reported for another request
	table.RecordFailure(noon, "b", []Key{{Digest: content}})
	_, held := table.Held(noon, content)
	is.True(!held)
	table.RecordFailure(noon, "c", []Key{{Digest: content}, {Digest: testDigest(2)}})
	left, held := table.Held(noon, content)
	is.True(held)
	is.Equal(left, holdDurations[0])
	_, held = table.Held(noon, testDigest(2))
	is.True(!held)
	is.Equal(len(changes), 1)
	is.True(changes[0].Held)
	is.Equal(changes[0].Failures, []string{"a", "b", "c"})
	is.True(table.Clear(noon, content))
	is.True(!table.Clear(noon, content))
	_, held = table.Held(noon, content)
	is.True(!held)
	is.Equal(len(changes), 2)
	is.True(!changes[1].Held)
}

// The next failure quarantines the content again, for a longer time.
func TestAnExpiredQuarantineAllowsOneMoreFailure(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	content := testDigest(1)
	quarantineDigest(table, noon, content)
	now := noon
	for i, expected := range holdDurations {
		left, held := table.Held(now, content)
		is.True(held)
		is.Equal(left, expected)
		now = now.Add(expected)
		table.Sweep(now)
		_, held = table.Held(now, content)
		is.True(!held) // it may clear itself if it was quarantined by mistake
		table.RecordFailure(now, fmt.Sprint("later-", i), []Key{{Digest: content}})
	}
	left, held := table.Held(now, content)
	is.True(held)
	is.Equal(left, holdDurations[len(holdDurations)-1])
}

// Many contents with one failure evict neither quarantined ones nor those close to the threshold.
func TestEvictionKeepsEntriesWithTheMostFailures(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	held, almostHeld := testDigest(-1), testDigest(-2)
	quarantineDigest(table, noon, held)
	table.RecordFailure(noon, "a", []Key{{Digest: almostHeld}})
	table.RecordFailure(noon, "b", []Key{{Digest: almostHeld}})
	for i := range 4 * maxEntries {
		table.RecordFailure(noon.Add(time.Duration(i)*time.Millisecond), "z", []Key{{Digest: testDigest(i)}})
	}
	entries, _ := table.Since(noon, 0)
	is.Equal(len(entries), maxEntries)
	_, isHeld := table.Held(noon, held)
	is.True(isHeld)
	is.True(table.Suspected(almostHeld))
	for i := range 2 * maxEntries {
		quarantineDigest(table, noon.Add(time.Minute), testDigest(-10-i))
	}
	_, isHeld = table.Held(noon.Add(time.Minute), held)
	is.True(isHeld) // with only quarantined entries there is no room for another
	entries, _ = table.Since(noon, 0)
	is.Equal(len(entries), maxEntries)
	table.Sweep(noon.Add(30 * 24 * time.Hour))
	is.True(table.Empty())
}

// A process that receives an encoded entry holds the content for the rest of the time.
func TestAnEntrySurvivesEncoding(t *testing.T) {
	is := is.New(t)
	table := newTestTable()
	content := testDigest(1)
	quarantineDigest(table, noon, content)
	encoded, err := json.Marshal(table.Entries(noon.Add(time.Minute), 2))
	is.NoErr(err)
	var entries []Entry
	is.NoErr(json.Unmarshal(encoded, &entries))
	other := newTestTable()
	is.Equal(other.Merge(noon, entries), []Digest{content})
	left, held := other.Held(noon, content)
	is.True(held)
	is.Equal(left, holdDurations[0]-time.Minute)
	is.Equal(len(other.Merge(noon, entries)), 0) // nothing new
	for _, text := range []string{`"d"`, `{"d":"00"}`, `{"d":"zz000000000000000000000000000000"}`} {
		is.True(json.Unmarshal([]byte(`[`+text+`]`), &entries) != nil)
	}
}

// Processes agree on what is held, whatever they observed and in whatever order they exchange
// entries.
func TestMergedTablesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "processes"))
		for i := range tables {
			tables[i] = newTestTable()
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "at")]
			content := testDigest(rapid.IntRange(0, 2).Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				table.RecordFailure(noon, fmt.Sprint("r-", rapid.IntRange(0, 3).Draw(t, "replica")), []Key{{Digest: content}})
			case 2:
				table.Clear(noon, content)
			case 3:
				from := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "from")]
				entries, _ := from.Since(noon, 0)
				table.Merge(noon, entries)
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
		for content := range 3 {
			_, expected := tables[0].Held(noon, testDigest(content))
			for _, table := range tables[1:] {
				if _, held := table.Held(noon, testDigest(content)); held != expected {
					t.Fatalf("content %d is held %t here and %t there", content, expected, held)
				}
			}
		}
	})
}

// BenchmarkHeld measures the cost for each request at a gateway without entries and with a full
// table. In the second case the cost of the digest comes on top.
func BenchmarkHeld(b *testing.B) {
	for _, entries := range []int{0, maxEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			guard := NewTracker(newTestTable())
			for i := range entries {
				guard.RecordFailure(noon, "a", []Key{{Digest: testDigest(i)}})
			}
			content := testDigest(-1)
			b.ReportAllocs()
			for range b.N {
				if !guard.Empty() {
					guard.Held(noon, content)
				}
			}
		})
	}
}

// TestForwardingEndsWhileTablesAreFull guards against control nodes with full tables forwarding
// endlessly: each evicts other entries than those that it is told, and knows these as younger than
// the one that told them.
func TestForwardingEndsWhileTablesAreFull(t *testing.T) {
	is := is.New(t)
	nodes := []*Table{newTestTable(), newTestTable(), newTestTable()}
	for from, node := range nodes {
		var reported []Entry
		for i := range maxEntries {
			reported = append(reported, Entry{Digest: testDigest(from*maxEntries + i), Failures: []string{"r"}})
		}
		node.MergeOwn(noon, reported)
	}
	const rounds = 20
	sent := make([]uint64, len(nodes))
	messages := 0
	for round := range rounds {
		now := noon.Add(time.Duration(round) * 5 * time.Millisecond)
		forwarded := make([][]Entry, len(nodes))
		for from, node := range nodes {
			forwarded[from], sent[from] = node.OwnSince(now, sent[from])
		}
		for from, entries := range forwarded {
			if len(entries) == 0 {
				continue
			}
			messages++
			for to, other := range nodes {
				if to != from {
					other.Merge(now.Add(5*time.Millisecond), entries)
				}
			}
		}
	}
	is.True(messages <= len(nodes))
	for _, node := range nodes {
		is.Equal(len(node.Entries(noon, 1)), maxEntries)
	}
}
