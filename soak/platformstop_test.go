package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newCommandMember returns a member whose process is a shell command, which runs until the end of the test.
func newCommandMember(t *testing.T, command string) *member {
	t.Helper()
	is := is.New(t)
	process := exec.Command("sh", "-c", command)
	out, err := process.StdoutPipe()
	is.NoErr(err)
	is.NoErr(process.Start())
	_, err = out.Read(make([]byte, 1)) // the command has begun
	is.NoErr(err)
	m := &member{name: "gateway-1", process: process, ended: make(chan struct{})}
	go func() {
		_ = process.Wait()
		close(m.ended)
	}()
	t.Cleanup(func() {
		_ = process.Process.Kill()
		<-m.ended
	})
	return m
}

// TestTheLimitOfAStopCountsFromTheSendingOfItsSignal guards against giving a process that learns late more time.
func TestTheLimitOfAStopCountsFromTheSendingOfItsSignal(t *testing.T) {
	for _, test := range []struct {
		name    string
		command string
		stop    platformStop
		killed  bool
		// shortest and longest bound the time from the signal to the end.
		shortest, longest time.Duration
	}{
		{"a process that does not end", `trap "" TERM; echo; exec sleep 60`, platformStop{limit: time.Second}, true, time.Second, 10 * time.Second},
		{"the same, learned late", `trap "" TERM; echo; exec sleep 60`, platformStop{limit: time.Second, pausedUntil: 900 * time.Millisecond}, true, time.Second, 1800 * time.Millisecond},
		{"standing still at the limit", `echo; exec sleep 60`, platformStop{limit: 100 * time.Millisecond, pausedUntil: time.Minute}, true, 100 * time.Millisecond, 10 * time.Second},
		{"a process that ends", `echo; exec sleep 60`, platformStop{limit: 10 * time.Second}, false, 0, 10 * time.Second},
		{"the same, learned late", `echo; exec sleep 60`, platformStop{limit: 10 * time.Second, pausedFrom: 50 * time.Millisecond, pausedUntil: 200 * time.Millisecond}, false, 200 * time.Millisecond, 10 * time.Second},
		{"after a burst", `trap "" HUP; echo; exec sleep 60`, platformStop{limit: 10 * time.Second, hangups: 40}, false, 0, 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := newCommandMember(t, test.command)
			var toldAt time.Time
			killed := (&installation{}).stopByPlatform(m, test.stop, func() { toldAt = time.Now() })
			took := time.Since(toldAt)
			is.Equal(killed, test.killed)
			is.True(took >= test.shortest)
			is.True(took < test.longest)
		})
	}
}

// TestHeldSettingsComeBack: the next start of the process must find its settings.
func TestHeldSettingsComeBack(t *testing.T) {
	is := is.New(t)
	m := newCommandMember(t, `echo; exec sleep 60`)
	m.settingsFile = filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(m.settingsFile, []byte("node: gateway-1\n"), 0o600))
	(&installation{}).stopByPlatform(m, platformStop{limit: 10 * time.Second, heldSettings: true}, func() {
		info, err := os.Stat(m.settingsFile)
		is.NoErr(err)
		is.Equal(info.Mode().Type(), os.ModeNamedPipe)
	})
	text, err := os.ReadFile(m.settingsFile)
	is.NoErr(err)
	is.Equal(string(text), "node: gateway-1\n")
}
