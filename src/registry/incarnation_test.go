package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// heartbeat returns a heartbeat of one start of a replica.
func heartbeat(name string, born int64, sequence uint64, address string) Record {
	incarnation := Incarnation{Name: name, StartedMS: born}
	return Record{ID: incarnation.ID(), Name: name, StartedMS: born, Service: "s", Address: address, Sequence: sequence}
}

// usableStarts returns the starts of a name that may get requests.
func usableStarts(d *Directory, name string) []int64 {
	var born []int64
	for _, e := range d.Entries() {
		if e.Record.ReplicaName() == name && e.Usable() {
			born = append(born, e.Record.StartedMS)
		}
	}
	return born
}

// TestOnlyTheLatestStartIsUsed checks that once the latest start of a replica is known, it alone
// gets requests, with the models that it reports itself. Heartbeats of earlier starts change that
// in no order and at no delay, and the drain or end of an earlier start takes the latest one out on
// no node.
func TestOnlyTheLatestStartIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := Times{Silence: 5 * time.Second, Forget: time.Minute}
		tables := []*Table{NewTable(times), NewTable(times)}
		control, gateway := NewDirectory(time.Minute), NewDirectory(time.Minute)
		now, sentStamp, stamps := testStart, uint64(0), make([]uint64, len(tables))
		spread := func() {
			for i, table := range tables {
				control.Apply(now, fmt.Sprint("node-", i), table.Since(stamps[i]))
				stamps[i] = table.Stamp()
			}
			gateway.Apply(now, "control", control.Since(sentStamp))
			sentStamp = control.Stamp()
		}
		latest := int64(rapid.IntRange(2, 4).Draw(t, "starts"))
		sequence := map[int64]uint64{}
		drained := map[int64]bool{}
		call := func(born int64, node int) {
			sequence[born]++
			address := fmt.Sprint("a:", born%2) // different starts share addresses
			record := heartbeat("i", born, sequence[born], address)
			record.Draining = drained[born]
			record.Models = []Held{{Name: fmt.Sprint("of-", born)}}
			tables[node].ApplyHeartbeat(now, record)
		}
		for born := int64(1); born <= latest; born++ {
			call(born, rapid.IntRange(0, 1).Draw(t, "first at"))
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				now = now.Add(100 * time.Millisecond)
				earlier := int64(rapid.IntRange(1, int(born)).Draw(t, "of"))
				node := rapid.IntRange(0, 1).Draw(t, "at")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					call(earlier, node)
				case 2:
					if earlier < latest {
						drained[earlier] = true
						call(earlier, node)
					}
				case 3:
					spread()
				}
			}
		}
		call(latest, 0)
		spread()
		for _, d := range []*Directory{control, gateway} {
			if born := usableStarts(d, "i"); len(born) != 1 || born[0] != latest {
				t.Fatalf("starts %v are usable, want %d alone", born, latest)
			}
			for _, e := range d.Entries() {
				if e.Record.StartedMS == latest && !e.Record.Holds(fmt.Sprint("of-", latest), "") {
					t.Fatalf("the latest start has the models %v", e.Record.Models)
				}
			}
		}
	})
}

// TestEndNoticeAppliesToTheDrainingStart covers notices that don't say when the replica started.
func TestEndNoticeAppliesToTheDrainingStart(t *testing.T) {
	is := is.New(t)
	table := NewTable(Times{Silence: 5 * time.Second, Forget: time.Minute})
	draining := heartbeat("i", 7, 4, "a:1")
	draining.Draining = true
	table.ApplyHeartbeat(testStart, draining)
	table.ApplyHeartbeat(testStart, heartbeat("i", 9, 1, "a:1"))
	leaver, found := table.EndingStart("i")
	is.True(found)
	is.Equal(leaver.StartedMS, int64(7)) // the late notice of the draining start
	table.ApplyForwarded(testStart, Record{ID: "i", Gone: true})
	is.True(table.Leaving("i@7"))
	is.True(!table.Leaving("i@9"))
	leaver, _ = table.EndingStart("i")
	is.Equal(leaver.StartedMS, int64(9)) // the next notice refers to the running start
	_, found = table.EndingStart("other")
	is.True(!found)
}

// TestStartWithClockSetBackIsUsedOnceTheOtherIsSilent covers a start that reports an earlier time
// than the previous one because the clock was set back, and that keeps sending heartbeats while the
// other does not.
func TestStartWithClockSetBackIsUsedOnceTheOtherIsSilent(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Apply(testStart, "node", []ReplicaStatus{{Record: heartbeat("i", 9, 7, "a:1")}})
	d.Apply(testStart, "node", []ReplicaStatus{{Record: heartbeat("i", 7, 1, "a:1")}})
	is.Equal(usableStarts(d, "i"), []int64{9})
	d.Apply(testStart, "node", []ReplicaStatus{{Record: heartbeat("i", 9, 7, "a:1"), Silent: true}})
	is.Equal(usableStarts(d, "i"), []int64{7})
	d.Apply(testStart, "node", []ReplicaStatus{{Record: heartbeat("i", 9, 8, "a:1")}})
	is.Equal(usableStarts(d, "i"), []int64{9}) // it was cut off and sends heartbeats again
}

// TestReplicaWithoutStartTimeIsIdentifiedByName covers replicas of versions that don't report
// starts.
func TestReplicaWithoutStartTimeIsIdentifiedByName(t *testing.T) {
	is := is.New(t)
	is.Equal(Incarnation{Name: "i"}.ID(), "i")
	is.Equal(Incarnation{Name: "i", StartedMS: 7}.ID(), "i@7")
	table := NewTable(Times{Silence: 5 * time.Second, Forget: time.Minute})
	table.ApplyHeartbeat(testStart, heartbeat("i", 0, 4, "a:1"))
	is.True(!table.ApplyHeartbeat(testStart, heartbeat("i", 0, 3, "a:2"))) // a late heartbeat
	d := NewDirectory(time.Minute)
	d.Apply(testStart, "node", []ReplicaStatus{{Record: heartbeat("i", 9, 1, "a:1")}, {Record: heartbeat("i", 0, 5, "a:2")}})
	is.Equal(usableStarts(d, "i"), []int64{9}) // a start with a time is preferred to one without
}
