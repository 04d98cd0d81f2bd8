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

func TestRecalledReplicaExpiresWithoutHeartbeat(t *testing.T) {
	is := is.New(t)
	before := NewTable(times)
	before.ApplyHeartbeat(baseTime, Record{ID: "a", Address: "x", Sequence: 7})
	before.ApplyHeartbeat(baseTime, Record{ID: "b", Address: "y", Sequence: 7})
	before.ApplyHeartbeat(baseTime, Record{ID: "leaves", Address: "z", Sequence: 7, Draining: true})
	table := NewTable(times)
	table.Recall(baseTime, before.Records())
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", table.Since(0))
	is.Equal(usable(d), map[string]bool{"a": true, "b": true})
	stamp := table.Stamp()
	is.True(table.ApplyHeartbeat(baseTime.Add(time.Second), Record{ID: "a", Address: "x", Sequence: 8}))
	table.Sweep(baseTime.Add(recallGrace + time.Second))
	d.Apply(baseTime, "n", table.Since(stamp))
	is.Equal(usable(d), map[string]bool{"a": true})
}

func TestSilentReplicasAreNotRecalled(t *testing.T) {
	is := is.New(t)
	table := NewTable(times)
	table.ApplyHeartbeat(baseTime, Record{ID: "a", Sequence: 1})
	table.Sweep(baseTime.Add(times.Silence + 1))
	is.Equal(len(table.Records()), 0)
}

// TestARecalledReplicaDoesNotTakeAnAddressBack covers a successor that sent its heartbeat to
// another node.
func TestARecalledReplicaDoesNotTakeAnAddressBack(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "new", Address: "x"}}})
	d.Apply(baseTime, "m", []ReplicaStatus{{Record: Record{ID: "old", Address: "x"}, Recalled: true}})
	is.Equal(usable(d), map[string]bool{"new": true})
}

// TestLateSubscriberSeesTheLatestOwner checks that, whatever the number of incarnations and the
// order of their heartbeats, the one that registered last owns the address.
func TestLateSubscriberSeesTheLatestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(times)
		count := rapid.IntRange(2, 8).Draw(t, "incarnations")
		for i := range count {
			table.ApplyHeartbeat(baseTime, Record{ID: fmt.Sprint("i", 9-i), Address: "x", Sequence: 1})
			if rapid.Bool().Draw(t, "an earlier one calls again") {
				table.ApplyHeartbeat(baseTime, Record{ID: fmt.Sprint("i", 9-rapid.IntRange(0, i).Draw(t, "which")), Address: "x", Sequence: 2, Slots: i + 1})
			}
		}
		if rapid.Bool().Draw(t, "the node was restarted") {
			before := table
			table = NewTable(times)
			table.Recall(baseTime, before.Records())
		}
		d := NewDirectory(time.Minute)
		d.Apply(baseTime, "n", table.Since(0))
		last := fmt.Sprint("i", 9-(count-1))
		if got := usable(d); len(got) != 1 || !got[last] {
			t.Fatalf("usable: %v, want %s", got, last)
		}
	})
}

// TestAReplacedIncarnationKeepsNoAddress covers a subscriber after a restart that is sent the
// earlier incarnation as confirmed and the later one as recalled: the later one must own the
// address there too.
func TestAReplacedIncarnationKeepsNoAddress(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "earlier", Address: "x"}, Recalled: true}})
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "later", Address: "x"}, Recalled: true}})
	d.Apply(baseTime, "m", []ReplicaStatus{{Record: Record{ID: "earlier", Address: "x"}}})
	follower := NewDirectory(time.Minute)
	follower.Apply(baseTime, "relay", d.Since(0))
	is.Equal(usable(d), map[string]bool{"later": true})
	is.Equal(usable(follower), map[string]bool{"later": true})
}
