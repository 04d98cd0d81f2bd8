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
	{latestBuild, true},
}

// latestBuild is the one whose bytes today's are the same as.
const latestBuild = "595d13f"

// written is the record of all kept bytes; builds without starts left Name and Born out.
func written() Record {
	return Record{
		ID: "i-1@1800000000123", Name: "i-1", Born: 1_800_000_000_123, Service: "s", Address: "192.0.2.1:8080", Zone: "z", Version: "v1",
		Slots: 8, Sequence: 41, Draining: true, RemainingMS: 2000, ColdMS: 300, Stage: "both",
		Models: []Held{{Name: "m", Version: 2, Adapters: []string{"a1"}}}, InMemory: []string{"n"}, OnDisk: []string{"m", "n"},
	}
}

// bytesOf returns what a build wrote.
func bytesOf(t *testing.T, commit, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "builds", commit, file))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestBytesOfEarlierBuildsAreRead: an earlier build's message and disk name the same replica, and
// its start as far as that build knew it.
func TestBytesOfEarlierBuildsAreRead(t *testing.T) {
	for _, build := range builds {
		t.Run(build.commit, func(t *testing.T) {
			is := is.New(t)
			want := written()
			if !build.starts {
				want.ID, want.Name, want.Born = "i-1", "", 0
			}
			var standing Standing
			is.NoErr(json.Unmarshal(bytesOf(t, build.commit, "standing.json"), &standing))
			is.Equal(standing, Standing{Record: want, Recalled: true})
			var record Record
			is.NoErr(cbor.Unmarshal(bytesOf(t, build.commit, "record.cbor"), &record))
			is.Equal(record, want)
		})
	}
}

// TestTodaysBytesAreThoseOfTheLatestBuild, so that it reads them as its own: a field that is
// renamed, renumbered or added shows here, and wants a thought of what older builds do with it.
func TestTodaysBytesAreThoseOfTheLatestBuild(t *testing.T) {
	is := is.New(t)
	message, err := json.Marshal(Standing{Record: written(), Recalled: true})
	is.NoErr(err)
	is.Equal(string(message), string(bytesOf(t, latestBuild, "standing.json")))
	disk, err := cbor.Marshal(written())
	is.NoErr(err)
	is.Equal(disk, bytesOf(t, latestBuild, "record.cbor"))
}
