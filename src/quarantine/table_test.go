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

func contentNumber(i int) Digest { return Content{Target: fmt.Sprint("/", i)}.Digest() }

func quietTable() *Table { return NewTable(func(Change) {}) }

// endThrice quarantines a content.
func endThrice(t *Table, now time.Time, digest Digest) {
	for i := range Threshold {
		t.End(now, fmt.Sprint("r-", i), []Digest{digest})
	}
}

// TestAContentIsHeldAfterThreeEnds: ends of one replica count once, a good end clears them, and
// each change is reported once.
func TestAContentIsHeldAfterThreeEnds(t *testing.T) {
	is := is.New(t)
	var changes []Change
	table := NewTable(func(c Change) { changes = append(changes, c) })
	content := contentNumber(1)
	table.End(noon, "a", []Digest{content})
	table.End(noon, "a", []Digest{content}) // told by another request
	table.End(noon, "b", []Digest{content})
	_, held := table.Held(noon, content)
	is.True(!held)
	table.End(noon, "c", []Digest{content, contentNumber(2)})
	left, held := table.Held(noon, content)
	is.True(held)
	is.Equal(left, holds[0])
	_, held = table.Held(noon, contentNumber(2))
	is.True(!held)
	is.Equal(len(changes), 1)
	is.True(changes[0].Held)
	is.Equal(changes[0].Ends, []string{"a", "b", "c"})
	is.True(table.Clear(noon, content))
	is.True(!table.Clear(noon, content))
	_, held = table.Held(noon, content)
	is.True(!held)
	is.Equal(len(changes), 2)
	is.True(!changes[1].Held)
}

// TestAHoldThatIsOverLetsOneEndThrough: the next end holds the content again, and longer.
func TestAHoldThatIsOverLetsOneEndThrough(t *testing.T) {
	is := is.New(t)
	table := quietTable()
	content := contentNumber(1)
	endThrice(table, noon, content)
	now := noon
	for i, expected := range holds {
		left, held := table.Held(now, content)
		is.True(held)
		is.Equal(left, expected)
		now = now.Add(expected)
		table.Sweep(now)
		_, held = table.Held(now, content)
		is.True(!held) // it may show that it was condemned wrongly
		table.End(now, fmt.Sprint("later-", i), []Digest{content})
	}
	left, held := table.Held(now, content)
	is.True(held)
	is.Equal(left, holds[len(holds)-1])
}

// TestTheBoundKeepsWhatSaysMost: a flood of contents with one end drops neither those that are
// held nor those that are nearly so.
func TestTheBoundKeepsWhatSaysMost(t *testing.T) {
	is := is.New(t)
	table := quietTable()
	held, nearly := contentNumber(-1), contentNumber(-2)
	endThrice(table, noon, held)
	table.End(noon, "a", []Digest{nearly})
	table.End(noon, "b", []Digest{nearly})
	for i := range 4 * maxEntries {
		table.End(noon.Add(time.Duration(i)*time.Millisecond), "z", []Digest{contentNumber(i)})
	}
	entries, _ := table.Since(noon, 0)
	is.Equal(len(entries), maxEntries)
	_, isHeld := table.Held(noon, held)
	is.True(isHeld)
	is.True(table.Suspected(nearly))
	for i := range 2 * maxEntries {
		endThrice(table, noon.Add(time.Minute), contentNumber(-10-i))
	}
	_, isHeld = table.Held(noon.Add(time.Minute), held)
	is.True(isHeld) // with nothing but held ones a further one finds no room
	entries, _ = table.Since(noon, 0)
	is.Equal(len(entries), maxEntries)
	table.Sweep(noon.Add(30 * 24 * time.Hour))
	is.True(table.Empty())
}

// TestAnEntryComesOverTheWire: as other processes read it, with its age.
func TestAnEntryComesOverTheWire(t *testing.T) {
	is := is.New(t)
	table := quietTable()
	content := contentNumber(1)
	endThrice(table, noon, content)
	encoded, err := json.Marshal(table.Entries(noon.Add(time.Minute), 2))
	is.NoErr(err)
	var entries []Entry
	is.NoErr(json.Unmarshal(encoded, &entries))
	other := quietTable()
	is.Equal(other.Merge(noon, entries), []Digest{content})
	left, held := other.Held(noon, content)
	is.True(held)
	is.Equal(left, holds[0]-time.Minute)
	is.Equal(len(other.Merge(noon, entries)), 0) // nothing new
	for _, text := range []string{`"d"`, `{"d":"00"}`, `{"d":"zz000000000000000000000000000000"}`} {
		is.True(json.Unmarshal([]byte(`[`+text+`]`), &entries) != nil)
	}
}

// TestTablesMergeToTheSame: whatever processes saw, in whatever order and how often they tell
// each other, they agree in the end on what is held.
func TestTablesMergeToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "processes"))
		for i := range tables {
			tables[i] = quietTable()
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "at")]
			content := contentNumber(rapid.IntRange(0, 2).Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				table.End(noon, fmt.Sprint("r-", rapid.IntRange(0, 3).Draw(t, "replica")), []Digest{content})
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
			_, expected := tables[0].Held(noon, contentNumber(content))
			for _, table := range tables[1:] {
				if _, held := table.Held(noon, contentNumber(content)); held != expected {
					t.Fatalf("content %d is held %t here and %t there", content, expected, held)
				}
			}
		}
	})
}

// BenchmarkHeld is what each request pays at a gateway: before is a gateway that knows of no
// end, after one with a full table; the digest comes on top in the second.
func BenchmarkHeld(b *testing.B) {
	for _, entries := range []int{0, maxEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			guard := NewGuard(quietTable())
			for i := range entries {
				guard.End(noon, "a", []Digest{contentNumber(i)})
			}
			content := contentNumber(-1)
			b.ReportAllocs()
			for range b.N {
				if !guard.Empty() {
					guard.Held(noon, content)
				}
			}
		})
	}
}
