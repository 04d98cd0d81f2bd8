package registry

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// The builds whose bytes are kept, by the commits that wrote them. Each folder under testdata holds
// one standing as a message and one record as on a disk.
var builds = []struct {
	commit string
	// starts is set where the build tells starts of one name apart.
	starts bool
}{
	{"0cfbef2", false},
	{"e11b305", false},
	{"595d13f", true},
}

// written is the record of all kept bytes; builds without starts left Name and Born out.
func written() Record {
	return Record{
		ID: "i-1@1800000000123", Name: "i-1", Born: 1_800_000_000_123, Service: "s", Address: "192.0.2.1:8080", Zone: "z", Version: "v1",
		Slots: 8, Sequence: 41, Draining: true, RemainingMS: 2000, ColdMS: 300, Stage: "both",
		Models: []Held{{Name: "m", Version: 2, Adapters: []string{"a1"}}}, InMemory: []string{"n"}, OnDisk: []string{"m", "n"},
	}
}

// TestBytesOfEarlierBuildsAreRead: an earlier build's message and disk name the same start, as far
// as that build knew it.
func TestBytesOfEarlierBuildsAreRead(t *testing.T) {
	for _, build := range builds {
		t.Run(build.commit, func(t *testing.T) {
			is := is.New(t)
			want := written()
			if !build.starts {
				want.ID, want.Name, want.Born = "i-1", "", 0
			}
			message, err := os.ReadFile(filepath.Join("testdata", "builds", build.commit, "standing.json"))
			is.NoErr(err)
			var standing Standing
			is.NoErr(json.Unmarshal(message, &standing))
			standing.Record.Resolve()
			is.Equal(standing, Standing{Record: want, Recalled: true})
			disk, err := os.ReadFile(filepath.Join("testdata", "builds", build.commit, "record.cbor"))
			is.NoErr(err)
			var record Record
			is.NoErr(cbor.Unmarshal(disk, &record))
			record.Resolve()
			is.Equal(record, want)
		})
	}
}

// olderRecord is a record as builds read it that knew no starts: they pass over what they don't
// know.
type olderRecord struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Sequence uint64 `json:"sequence"`
}

// laterRecord is a record as 595d13f reads it.
type laterRecord struct {
	ID   string `json:"id"`
	Name string `json:"name,omitempty"`
	Born int64  `json:"born,omitempty"`
}

// TestEarlierBuildsReadTodaysBytes: they find the name to which the replica answers, in a message
// and on a disk.
func TestEarlierBuildsReadTodaysBytes(t *testing.T) {
	is := is.New(t)
	message, err := json.Marshal(Standing{Record: written().Told()})
	is.NoErr(err)
	disk, err := cbor.Marshal(written().Told())
	is.NoErr(err)
	var older struct {
		Record olderRecord `json:"record"`
	}
	is.NoErr(json.Unmarshal(message, &older))
	want := olderRecord{ID: "i-1", Service: "s", Address: "192.0.2.1:8080", Sequence: 41}
	is.Equal(older.Record, want)
	var onDisk olderRecord
	is.NoErr(cbor.Unmarshal(disk, &onDisk))
	is.Equal(onDisk, want)
	var later struct {
		Record laterRecord `json:"record"`
	}
	is.NoErr(json.Unmarshal(message, &later))
	is.Equal(later.Record, laterRecord{ID: "i-1", Born: 1_800_000_000_123}) // it sends by the ID where there is no name
}

// TestARecordIsReadAsItWasWritten, with and without a start, in messages and on disks.
func TestARecordIsReadAsItWasWritten(t *testing.T) {
	for _, record := range []Record{written(), {ID: "i-2", Service: "s"}} {
		is := is.New(t)
		message, err := json.Marshal(record.Told())
		is.NoErr(err)
		var read Record
		is.NoErr(json.Unmarshal(message, &read))
		read.Resolve()
		is.Equal(read, record)
		disk, err := cbor.Marshal([]Record{record.Told()})
		is.NoErr(err)
		var list []Record
		is.NoErr(cbor.Unmarshal(disk, &list))
		list[0].Resolve()
		is.Equal(list, []Record{record})
	}
}

// BenchmarkStandings is what one message with 100 standings costs to write.
func BenchmarkStandings(b *testing.B) {
	standings := make([]Standing, 100)
	for i := range standings {
		standings[i].Record = written()
	}
	for b.Loop() {
		if _, err := json.Marshal(standings); err != nil {
			b.Fatal(err)
		}
	}
}
