package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

func applyExtension(t *testing.T, s *State, account string, units float64) {
	t.Helper()
	data, err := command{At: time.Unix(1, 0), Extension: &extensionCommand{Account: account, Units: units}}.encode()
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Apply(raft.Entry{Kind: raft.EntryCommand, Data: data}); got.outcome != wire.Accepted {
		t.Fatalf("applying the entry: outcome %q, reason %s", got.outcome, got.reason)
	}
}

// A leader elected after a restart must know how much each account used beyond its rate.
func TestExtensionsSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	s := NewState()
	applyExtension(t, s, "a", 300)
	applyExtension(t, s, "b", 20)
	seen := s.extensions
	applyExtension(t, s, "b", 0)
	is.Equal(seen, map[string]float64{"a": 300, "b": 20}) // a map handed out earlier does not change
	data, err := s.Save()
	is.NoErr(err)
	restored, err := RestoreState(data)
	is.NoErr(err)
	is.Equal(restored.extensions, map[string]float64{"a": 300})
}
