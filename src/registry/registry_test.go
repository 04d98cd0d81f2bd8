package registry

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var baseTime = time.Unix(1_800_000_000, 0)

var times = Times{Silence: 5 * time.Second, Forget: time.Minute}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	is := is.New(t)
	table := NewTable(times)
	is.True(table.ApplyHeartbeat(baseTime, Record{ID: "a", Sequence: 5, Slots: 8}))
	is.True(!table.ApplyHeartbeat(baseTime, Record{ID: "a", Sequence: 4, Slots: 2}))
	record, _ := table.Record("a")
	is.Equal(record.Slots, 8)
}

func TestSilenceIsReportedOnceAndCleared(t *testing.T) {
	is := is.New(t)
	table := NewTable(times)
	table.ApplyHeartbeat(baseTime, Record{ID: "a", Sequence: 1})
	stamp := table.Stamp()
	is.True(!table.Sweep(baseTime.Add(4 * time.Second)))
	is.True(table.Sweep(baseTime.Add(6 * time.Second)))
	is.True(!table.Sweep(baseTime.Add(7 * time.Second)))
	is.True(table.Since(stamp)[0].Silent)
	is.True(table.ApplyHeartbeat(baseTime.Add(8*time.Second), Record{ID: "a", Sequence: 2}))
	is.True(!table.Since(stamp)[0].Silent)
	table.Sweep(baseTime.Add(3 * time.Minute))
	is.Equal(len(table.Since(0)), 0)
}

// TestAStandstillIsExcusedOnce: a replica that was heard at its end, and no more since, must not count as running for longer.
func TestAStandstillIsExcusedOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable(times)
	at := func(after time.Duration) time.Time { return baseTime.Add(after) }
	table.ApplyHeartbeat(at(0), Record{ID: "before", Sequence: 1})
	table.ApplyHeartbeat(at(10*time.Second), Record{ID: "after", Sequence: 1})
	table.Excuse(at(10*time.Second+time.Millisecond), 9*time.Second)
	silent := func(now time.Time) (ids []string) {
		table.Sweep(now)
		for _, status := range table.Since(0) {
			if status.Silent {
				ids = append(ids, status.Record.ID)
			}
		}
		return ids
	}
	is.Equal(silent(at(14*time.Second)), nil)
	is.Equal(silent(at(14*time.Second+1)), []string{"before"})
	is.Equal(silent(at(15*time.Second+2*time.Millisecond)), []string{"before", "after"})
}

func TestANewIncarnationTakesTheAddress(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "old", Address: "x"}}})
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "new", Address: "x"}}})
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "old", Address: "x", Sequence: 9}}})
	for _, e := range d.Entries() {
		is.Equal(e.Usable(), e.Record.ID == "new")
	}
}

func TestOneNodeThatHearsAReplicaIsEnough(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "a", Sequence: 1}, Silent: true}})
	is.True(!d.Entries()[0].Usable())
	d.Apply(baseTime, "m", []ReplicaStatus{{Record: Record{ID: "a", Sequence: 1}}})
	is.True(d.Entries()[0].Usable())
}

func TestLostNodesAreTrustedOnlyWhileNoOtherIsInReach(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "a", Sequence: 1}}})
	d.RemoveSource(baseTime, "n")
	d.Sweep(baseTime.Add(10*time.Second), 5*time.Second, false)
	is.True(d.Entries()[0].Usable())
	d.Sweep(baseTime.Add(10*time.Second), 5*time.Second, true)
	is.True(!d.Entries()[0].Usable())
}

// A replica whose heartbeats had once gone to another node counted as silent as soon as the node was lost that
// they go to now.
func TestALostNodeIsTrustedThoughAnotherNodeHeardTheReplicaBefore(t *testing.T) {
	for _, c := range []struct {
		name         string
		silentAtLost bool
		usable       bool
	}{{"the lost node heard it", false, true}, {"no node heard it", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory(time.Minute)
			d.Apply(baseTime, "n", []ReplicaStatus{{Record: Record{ID: "a", Sequence: 1}, Silent: true}})
			d.Apply(baseTime, "m", []ReplicaStatus{{Record: Record{ID: "a", Sequence: 2}, Silent: c.silentAtLost}})
			d.RemoveSource(baseTime, "m")
			is.Equal(d.Entries()[0].Usable(), c.usable)
			d.Sweep(baseTime.Add(5*time.Second), 5*time.Second, true)
			is.Equal(d.Entries()[0].Usable(), c.usable)
			d.Sweep(baseTime.Add(5*time.Second+1), 5*time.Second, true)
			is.True(!d.Entries()[0].Usable())
		})
	}
}

// TestLeavingIsNeverRevoked checks that a replica once reported as leaving stays so, whatever the
// order and the nodes through which its heartbeats arrive.
func TestLeavingIsNeverRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Table{NewTable(times), NewTable(times), NewTable(times)}
		d := NewDirectory(time.Hour)
		stamps := make([]uint64, len(nodes))
		now := baseTime
		wasLeaving := false
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 7).Draw(t, "pause")) * time.Second)
			n := rapid.IntRange(0, 2).Draw(t, "node")
			record := Record{ID: "a", Address: "x", Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence"))}
			record.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
			record.Gone = rapid.IntRange(0, 9).Draw(t, "gone") == 0
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				nodes[n].ApplyForwarded(now, record)
			case 1:
				nodes[n].Sweep(now)
			case 2:
				d.RemoveSource(now, fmt.Sprint(n))
				stamps[n] = 0
			default:
				nodes[n].ApplyHeartbeat(now, record)
			}
			d.Apply(now, fmt.Sprint(n), nodes[n].Since(stamps[n]))
			stamps[n] = nodes[n].Stamp()
			d.Sweep(now, 5*time.Second, true)
			entries := d.Entries()
			leaving := len(entries) > 0 && entries[0].Record.Leaving()
			if wasLeaving && !leaving {
				t.Fatalf("step %d: the replica is no longer leaving", i)
			}
			wasLeaving = wasLeaving || leaving
		}
	})
}

// TestChangesAndStatusesAgree checks that applying every change and following by stamps at
// arbitrary times both end with the directory's state.
func TestChangesAndStatusesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, follower := NewDirectory(time.Hour), NewDirectory(time.Hour)
		kept := map[string]Entry{}
		now, stamp := baseTime, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "pause")) * time.Second)
			source := rapid.SampledFrom([]string{"n", "m"}).Draw(t, "source")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				d.RemoveSource(now, source)
			case 1:
				d.Sweep(now, 5*time.Second, rapid.Bool().Draw(t, "in reach"))
			default:
				d.Apply(now, source, []ReplicaStatus{drawStanding(t)})
			}
			changes := d.Changes()
			for _, e := range changes.Entries {
				kept[e.Record.ID] = e
			}
			for _, id := range changes.Removed {
				delete(kept, id)
			}
			if rapid.Bool().Draw(t, "the follower is told") {
				follower.Apply(now, "relay", d.Since(stamp))
				stamp = d.Stamp()
			}
		}
		follower.Apply(now, "relay", d.Since(stamp))
		entries := d.Entries()
		if len(kept) != len(entries) {
			t.Fatalf("%d replicas from changes, want %d", len(kept), len(entries))
		}
		for _, e := range entries {
			if got := kept[e.Record.ID]; got.Usable() != e.Usable() || got.Record.Sequence != e.Record.Sequence {
				t.Fatalf("from changes: %+v, want %+v", got, e)
			}
		}
		if got, want := usable(follower), usable(d); !maps.Equal(got, want) {
			t.Fatalf("usable for the follower: %v, want %v", got, want)
		}
	})
}

// drawStanding draws a standing of one of three replicas, two of which had the same address one
// after the other. An incarnation keeps its address.
func drawStanding(t *rapid.T) ReplicaStatus {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "replica")
	return ReplicaStatus{
		Record: Record{
			ID:       id,
			Address:  map[string]string{"a": "x", "b": "x", "c": "y"}[id],
			Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence")),
			Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
		},
		Silent:   rapid.IntRange(0, 3).Draw(t, "silent") == 0,
		Recalled: rapid.IntRange(0, 5).Draw(t, "recalled") == 0,
	}
}

// TestLateHeartbeatOfDeadIncarnationLosesTheAddress covers a process that has just started
// to receive updates and processes the dead incarnation's heartbeat last. The running incarnation
// must get its address back once the other one is silent.
func TestLateHeartbeatOfDeadIncarnationLosesTheAddress(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	alive, dead := Record{ID: "i-new", Address: "10.0.0.1:80"}, Record{ID: "i-old", Address: "10.0.0.1:80"}
	d.Apply(baseTime, "a", []ReplicaStatus{{Record: alive}})
	d.Apply(baseTime, "b", []ReplicaStatus{{Record: dead}})
	is.Equal(usable(d), map[string]bool{"i-old": true}) // it is not known yet which one is running
	d.Apply(baseTime.Add(5*time.Second), "b", []ReplicaStatus{{Record: dead, Silent: true}})
	is.Equal(usable(d), map[string]bool{"i-new": true})
	is.Equal(len(d.Since(d.Stamp()-1)), 1) // and gateways are sent the change
}

// TestBecomingColdAgainIsAChange checks that subscribers learn of a replica that becomes cold again,
// and are not sent one that only warms up.
func TestBecomingColdAgainIsAChange(t *testing.T) {
	is := is.New(t)
	table := NewTable(Times{Silence: time.Minute, Forget: time.Hour})
	directory := NewDirectory(time.Hour)
	now := time.Unix(1_800_000_000, 0)
	send := func(sequence uint64, coldMS int64) (news bool) {
		news = table.ApplyHeartbeat(now, Record{ID: "r", Sequence: sequence, ColdMS: coldMS})
		stamp := directory.Stamp()
		directory.Apply(now, "a", table.Since(0))
		is.Equal(directory.Stamp() != stamp, news)
		return news
	}
	is.True(send(1, 3000))
	is.True(!send(2, 1800))
	is.True(!send(3, 0))
	is.True(send(4, 3000))
	is.Equal(directory.Since(0)[0].Record.ColdMS, int64(3000))
	is.True(!send(5, 1000))
	is.True(send(6, 2500)) // cold again before it was warm
}
