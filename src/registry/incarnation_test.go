package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var dawn = time.Unix(1_800_000_000, 0)

// said is a replica's call of one start.
func said(name string, born int64, sequence uint64, address string) Record {
	incarnation := Incarnation{Name: name, Born: born}
	return Record{ID: incarnation.ID(), Name: name, Born: born, Service: "s", Address: address, Sequence: sequence}
}

// usedStarts returns the starts of a name that may get requests.
func usedStarts(d *Directory, name string) []int64 {
	var born []int64
	for _, e := range d.Entries() {
		if e.Record.ReplicaName() == name && e.Usable() {
			born = append(born, e.Record.Born)
		}
	}
	return born
}

// TestOnlyTheLatestStartIsUsed: whatever nodes hear of earlier starts, in whatever order and
// however late: once the latest start of a replica was heard of, it alone gets requests, with what
// it says itself; and that an earlier one drained or ended takes it out on no node.
func TestOnlyTheLatestStartIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := Times{Silence: 5 * time.Second, Forget: time.Minute}
		tables := []*Table{NewTable(times), NewTable(times)}
		control, gateway := NewDirectory(time.Minute), NewDirectory(time.Minute)
		now, told, stamps := dawn, uint64(0), make([]uint64, len(tables))
		spread := func() {
			for i, table := range tables {
				control.Take(now, fmt.Sprint("node-", i), table.Since(stamps[i]))
				stamps[i] = table.Stamp()
			}
			gateway.Take(now, "control", control.Since(told))
			told = control.Stamp()
		}
		latest := int64(rapid.IntRange(2, 4).Draw(t, "starts"))
		sequence := map[int64]uint64{}
		drained := map[int64]bool{}
		call := func(born int64, node int) {
			sequence[born]++
			address := fmt.Sprint("a:", born%2) // starts share addresses
			record := said("i", born, sequence[born], address)
			record.Draining = drained[born]
			record.Models = []Held{{Name: fmt.Sprint("of-", born)}}
			tables[node].Hear(now, record)
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
			if born := usedStarts(d, "i"); len(born) != 1 || born[0] != latest {
				t.Fatalf("starts %v are used and not %d alone", born, latest)
			}
			for _, e := range d.Entries() {
				if e.Record.Born == latest && !e.Record.Holds(fmt.Sprint("of-", latest), "") {
					t.Fatalf("the latest start is believed to hold %v", e.Record.Models)
				}
			}
		}
	})
}

// TestAWordOfAnEndIsAboutTheStartThatLeaves: it does not say when the replica started.
func TestAWordOfAnEndIsAboutTheStartThatLeaves(t *testing.T) {
	is := is.New(t)
	table := NewTable(Times{Silence: 5 * time.Second, Forget: time.Minute})
	draining := said("i", 7, 4, "a:1")
	draining.Draining = true
	table.Hear(dawn, draining)
	table.Hear(dawn, said("i", 9, 1, "a:1"))
	leaver, found := table.Leaver("i")
	is.True(found)
	is.Equal(leaver.Born, int64(7)) // the late word of the start that drained
	table.Note(dawn, Record{ID: "i", Gone: true})
	is.True(table.Leaving("i@7"))
	is.True(!table.Leaving("i@9"))
	leaver, _ = table.Leaver("i")
	is.Equal(leaver.Born, int64(9)) // the next one is about the start that is there
	_, found = table.Leaver("other")
	is.True(!found)
}

// TestAStartWhoseClockWasSetBackIsUsedOnceTheEarlierIsSilent: it says that it is the earlier one,
// and goes on calling while the other does not.
func TestAStartWhoseClockWasSetBackIsUsedOnceTheEarlierIsSilent(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(time.Minute)
	d.Take(dawn, "node", []Standing{{Record: said("i", 9, 7, "a:1")}})
	d.Take(dawn, "node", []Standing{{Record: said("i", 7, 1, "a:1")}})
	is.Equal(usedStarts(d, "i"), []int64{9})
	d.Take(dawn, "node", []Standing{{Record: said("i", 9, 7, "a:1"), Silent: true}})
	is.Equal(usedStarts(d, "i"), []int64{7})
	d.Take(dawn, "node", []Standing{{Record: said("i", 9, 8, "a:1")}})
	is.Equal(usedStarts(d, "i"), []int64{9}) // it was cut off and is heard again
}

// TestAReplicaThatDoesNotSayItsStartIsKnownByItsName: as before there were starts.
func TestAReplicaThatDoesNotSayItsStartIsKnownByItsName(t *testing.T) {
	is := is.New(t)
	is.Equal(Incarnation{Name: "i"}.ID(), "i")
	is.Equal(Incarnation{Name: "i", Born: 7}.ID(), "i@7")
	table := NewTable(Times{Silence: 5 * time.Second, Forget: time.Minute})
	table.Hear(dawn, said("i", 0, 4, "a:1"))
	is.True(!table.Hear(dawn, said("i", 0, 3, "a:2"))) // a late call
	d := NewDirectory(time.Minute)
	d.Take(dawn, "node", []Standing{{Record: said("i", 9, 1, "a:1")}, {Record: said("i", 0, 5, "a:2")}})
	is.Equal(usedStarts(d, "i"), []int64{9}) // one that says its start goes before one that does not
}
