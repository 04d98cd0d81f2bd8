package registry

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// builds are the builds whose encodings are kept, by the commits that wrote them. Each folder under
// testdata holds a standing as sent in a message and a record as stored on disk.
var builds = []struct {
	commit string
	// starts is set if the build distinguishes starts of one name.
	starts bool
}{
	{"0cfbef2", false},
	{"e11b305", false},
	{latestBuild, true},
}

// latestBuild is the build whose encoding equals the current one.
const latestBuild = "595d13f"

// storedRecord returns the record in all kept files. Builds without incarnations leave out Name and
// StartedMS.
func storedRecord() Record {
	return Record{
		ID: "i-1@1800000000123", Name: "i-1", StartedMS: 1_800_000_000_123, Service: "s", Address: "192.0.2.1:8080", Zone: "z", SoftwareVersion: "v1",
		Slots: 8, Sequence: 41, Draining: true, RemainingMS: 2000, ColdMS: 300, Stage: "both",
		Models: []Held{{Name: "m", WeightsVersion: 2, Adapters: []string{"a1"}}}, InMemory: []string{"n"}, OnDisk: []string{"m", "n"},
	}
}

// readBuildFile returns a file that a build wrote.
func readBuildFile(t *testing.T, commit, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "builds", commit, file))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestEncodingsOfEarlierBuildsAreRead checks that messages and stored records of earlier builds
// decode to the same replica, with its start as far as the build knew it.
func TestEncodingsOfEarlierBuildsAreRead(t *testing.T) {
	for _, build := range builds {
		t.Run(build.commit, func(t *testing.T) {
			is := is.New(t)
			want := storedRecord()
			if !build.starts {
				want.ID, want.Name, want.StartedMS = "i-1", "", 0
			}
			var standing ReplicaStatus
			is.NoErr(json.Unmarshal(readBuildFile(t, build.commit, "standing.json"), &standing))
			is.Equal(standing, ReplicaStatus{Record: want, Recalled: true})
			var record Record
			is.NoErr(cbor.Unmarshal(readBuildFile(t, build.commit, "record.cbor"), &record))
			is.Equal(record, want)
		})
	}
}

// TestEncodingMatchesTheLatestBuild shows when a field is renamed, renumbered or added; then check
// what older builds do with the new encoding.
func TestEncodingMatchesTheLatestBuild(t *testing.T) {
	is := is.New(t)
	message, err := json.Marshal(ReplicaStatus{Record: storedRecord(), Recalled: true})
	is.NoErr(err)
	is.Equal(string(message), string(readBuildFile(t, latestBuild, "standing.json")))
	disk, err := cbor.Marshal(storedRecord())
	is.NoErr(err)
	is.Equal(disk, readBuildFile(t, latestBuild, "record.cbor"))
}
