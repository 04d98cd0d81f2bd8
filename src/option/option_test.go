package option

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

const validGateway = `cluster: c
node: e1
zone: a
control: 127.0.0.1:1
admin: 127.0.0.1:2
clients: 127.0.0.1:3
controlNodes: [{name: k1, address: "127.0.0.1:4", zone: a}]
`

func TestDefaultsOfOptionalSettings(t *testing.T) {
	is := is.New(t)
	s, err := LoadGateway(write(t, validGateway))
	is.NoErr(err)
	is.Equal(s.Limits.Attempts, DefaultAttempts)
	is.Equal(s.BalancerLag.Std(), DefaultBalancerLag)
}

func TestInvalidSettingsAreReportedTogetherWithTheirPositions(t *testing.T) {
	text := strings.Replace(validGateway, "127.0.0.1:1", "localhost:1", 1) + "limits: {queue: 0, retryShare: 2}\nlog: {level: loud}\n"
	_, err := LoadGateway(write(t, text))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{"s.yaml:4:10: control is", "s.yaml:8:17: limits.queue must", "limits.retryShare must be between", "s.yaml:9:14: log.level must"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding contains %q in:\n%s", want, err)
		}
	}
	_, err = LoadGateway(write(t, validGateway+"colour: red\n"))
	if err == nil || !strings.Contains(err.Error(), `s.yaml:8:1: unknown field "colour"`) {
		t.Errorf("an unknown key: got error %v", err)
	}
}
