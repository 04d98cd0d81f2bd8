package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// usable returns the IDs of the replicas that may get requests.
func usable(d *Directory) map[string]bool {
	ids := map[string]bool{}
	for _, e := range d.Entries() {
		if e.Usable() {
			ids[e.Record.ID] = true
		}
	}
	return ids
}

func TestARecalledReplicaIsThereForAShortWhile(t *testing.T) {
	is := is.New(t)
	before := NewTable(times)
	before.Hear(noon, Record{ID: "a", Address: "x", Sequence: 7})
	before.Hear(noon, Record{ID: "b", Address: "y", Sequence: 7})
	before.Hear(noon, Record{ID: "leaves", Address: "z", Sequence: 7, Draining: true})
	table := NewTable(times)
	table.Recall(noon, before.Records())
	d := NewDirectory(time.Minute)
	d.Take(noon, "n", table.Since(0))
	is.Equal(usable(d), map[string]bool{"a": true, "b": true})
	stamp := table.Stamp()
	is.True(table.Hear(noon.Add(time.Second), Record{ID: "a", Address: "x", Sequence: 8}))
	table.Sweep(noon.Add(recallTime + time.Second))
	d.Take(noon, "n", table.Since(stamp))
	is.Equal(usable(d), map[string]bool{"a": true})
}

func TestSilentReplicasAreNotRecalled(t *testing.T) {
	is := is.New(t)
	table := NewTable(times)
	table.Hear(noon, Record{ID: "a", Sequence: 1})
	table.Sweep(noon.Add(times.Silence + 1))
	is.Equal(len(table.Records()), 0)
}

// TestARecalledReplicaDoesNotTakeAnAddressBack: another node heard its successor.
func TestARecalledReplicaDoesNotTakeAnAddressBack(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Take(noon, "n", []Standing{{Record: Record{ID: "new", Address: "x"}}})
	d.Take(noon, "m", []Standing{{Record: Record{ID: "old", Address: "x"}, Recalled: true}})
	is.Equal(usable(d), map[string]bool{"new": true})
}

// TestASubscriberThatComesLateKnowsWhoHasAnAddress: whatever the number of
// incarnations and their order, the one that registered last is the usable one.
func TestASubscriberThatComesLateKnowsWhoHasAnAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(times)
		count := rapid.IntRange(2, 8).Draw(t, "incarnations")
		for i := range count {
			table.Hear(noon, Record{ID: fmt.Sprint("i", 9-i), Address: "x", Sequence: 1})
			if rapid.Bool().Draw(t, "an earlier one calls again") {
				table.Hear(noon, Record{ID: fmt.Sprint("i", 9-rapid.IntRange(0, i).Draw(t, "which")), Address: "x", Sequence: 2, Slots: i + 1})
			}
		}
		if rapid.Bool().Draw(t, "the node was restarted") {
			before := table
			table = NewTable(times)
			table.Recall(noon, before.Records())
		}
		d := NewDirectory(time.Minute)
		d.Take(noon, "n", table.Since(0))
		last := fmt.Sprint("i", 9-(count-1))
		if got := usable(d); len(got) != 1 || !got[last] {
			t.Fatalf("usable are %v, not %s", got, last)
		}
	})
}

// TestAReplacedIncarnationKeepsNoAddress: who follows a directory after a restart is told
// of the earlier incarnation as heard of, and of the later one as recalled. The later one
// has the address there too.
func TestAReplacedIncarnationKeepsNoAddress(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Take(noon, "n", []Standing{{Record: Record{ID: "earlier", Address: "x"}, Recalled: true}})
	d.Take(noon, "n", []Standing{{Record: Record{ID: "later", Address: "x"}, Recalled: true}})
	d.Take(noon, "m", []Standing{{Record: Record{ID: "earlier", Address: "x"}}})
	follower := NewDirectory(time.Minute)
	follower.Take(noon, "relay", d.Since(0))
	is.Equal(usable(d), map[string]bool{"later": true})
	is.Equal(usable(follower), map[string]bool{"later": true})
}
