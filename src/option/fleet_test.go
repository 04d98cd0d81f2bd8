package option

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validControl = `node: c-1
zone: z
address: 10.0.0.4
peerPort: 7380
seeds: ["10.0.0.4:8144", "10.0.0.5:8144"]
calls: 10.0.0.4:8144
folder: /data/c
found: true
lease: 3000ms
`

func writeFleet(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestSeededSettings(t *testing.T) {
	is := is.New(t)
	s, err := LoadFleetControl(writeFleet(t, validControl))
	is.NoErr(err)
	is.Equal(s.Peer(), "10.0.0.4:7380")
	is.Equal(s.SeedPeers(), []string{"10.0.0.4:7380", "10.0.0.5:7380"}) // with the peer port in place of the seeds' ports
	is.Equal(s.Lease.Std(), 3*time.Second)
	is.Equal(s.Common().Control, "10.0.0.4:7380")
	s, err = LoadFleetControl(writeFleet(t, validControl+"listen: 127.0.0.9\n"))
	is.NoErr(err)
	is.Equal(s.Peer(), "10.0.0.4:7380")
	is.Equal(s.Common().Control, "127.0.0.9:7380")
	is.Equal(s.Common().Admin, "127.0.0.9:7399")
}

func TestInvalidSeededSettingsAreReportedWithTheirPosition(t *testing.T) {
	faults := map[string][2]string{
		"address":   {"address: 10.0.0.4", "address: here"},
		"peerPort":  {"peerPort: 7380", "peerPort: 0"},
		"seeds[1]":  {`"10.0.0.5:8144"`, `"nowhere"`},
		"calls":     {"calls: 10.0.0.4:8144", "calls: 8144"},
		"folder":    {"folder: /data/c\n", ""},
		"lease":     {"lease: 3000ms", "lease: 0ms"},
		"listen":    {"found: true", "found: true\nlisten: there"},
		"unknown":   {"found: true", "found: true\nunknown: 1"},
		"tolerance": {"found: true", "found: true\ntolerance: -1"},
	}
	for name, change := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := LoadFleetControl(writeFleet(t, strings.Replace(validControl, change[0], change[1], 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), strings.Trim(name, "[1]")))
			is.True(strings.Contains(err.Error(), "settings.yaml"))
		})
	}
	_, err := LoadFleetGateway(writeFleet(t, "node: g\n"))
	if err == nil || !strings.Contains(err.Error(), "clients") {
		t.Errorf("a gateway without an address for clients: got error %v", err)
	}
}
