package main

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
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

// TestAStopIsJudgedFromTheSendingOfItsSignal: neither the time before it nor that until the process learns of it counts.
func TestAStopIsJudgedFromTheSendingOfItsSignal(t *testing.T) {
	is := is.New(t)
	m := newCommandMember(t, `echo; exec sleep 60`)
	s := platformStop{limit: 10 * time.Second, pausedFrom: 100 * time.Millisecond, pausedUntil: 300 * time.Millisecond}
	in, began := &installation{}, time.Now()
	var toldAt time.Time
	in.stopByPlatform(m, s, func() { toldAt = time.Now() })
	is.Equal(len(in.strikes.byName[m.name]), 2)
	standstill, stop := in.strikes.byName[m.name][0], in.strikes.byName[m.name][1]
	is.True(standstill.standstill)
	is.True(!standstill.from.Before(began))
	is.True(!standstill.to.Before(toldAt.Add(s.pausedUntil)))
	is.True(stop.planned)
	is.True(!stop.from.Before(standstill.from.Add(s.pausedFrom)))
	is.True(!stop.from.After(toldAt))
	is.Equal(in.stops.String(), "stops 1, learned late 1 (0 by control nodes), killed at the limit 0")
}

// TestTheSignalsOfAStopComeInOrder: a process goes on at the limit at the latest.
func TestTheSignalsOfAStopComeInOrder(t *testing.T) {
	is := is.New(t)
	s := platformStop{limit: 6 * time.Second, pausedUntil: time.Second, laterHangups: []time.Duration{4 * time.Second, 500 * time.Millisecond}}
	is.Equal(s.later(), []timedSignal{{500 * time.Millisecond, syscall.SIGHUP}, {time.Second, syscall.SIGCONT}, {4 * time.Second, syscall.SIGHUP}})
	s = platformStop{limit: 6 * time.Second, pausedUntil: time.Minute}
	is.Equal(s.later(), []timedSignal{{6 * time.Second, syscall.SIGCONT}})
	is.Equal(len(platformStop{limit: 6 * time.Second}.later()), 0)
}

// TestDrawnStops checks what stops are drawn.
func TestDrawnStops(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	late, early, before, after, held := 0, 0, 0, 0, 0
	for range 1000 {
		s := drawPlatformStop(random, defaultStop.limit, true)
		is.Equal(s.limit, defaultStop.limit)
		is.True(s.pausedFrom <= maxPausedFrom && s.pausedUntil <= maxPausedUntil)
		is.True(s.isLate() || s.pausedFrom == 0)
		is.True(s.hangups <= maxHangups && len(s.laterHangups) <= maxLaterHangups)
		is.True(!s.heldSettings || s.hangups > 0)
		late, early = late+asNumber(s.isLate()), early+asNumber(s.pausedFrom > 0)
		before, after, held = before+asNumber(s.hangups > 0), after+asNumber(len(s.laterHangups) > 0), held+asNumber(s.heldSettings)
	}
	is.True(late > 600 && late < 730)
	is.True(early > 270 && early < 400)
	is.True(before > 270 && before < 400)
	is.True(after > 750 && after < 850)
	is.True(held > 50 && held < 120)
}

// TestAProcessThatDoesNotServeGetsNoHangup: it would end by itself.
func TestAProcessThatDoesNotServeGetsNoHangup(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		s := drawPlatformStop(random, defaultStop.limit, false)
		is.Equal(s.hangups+len(s.laterHangups), 0)
		is.True(!s.heldSettings)
	}
}

// TestRunsWithoutLateSignalsStopAsBefore checks the option that leaves them out.
func TestRunsWithoutLateSignalsStopAsBefore(t *testing.T) {
	is := is.New(t)
	long := 0
	for seed := range uint64(100) {
		is.Equal(drawPlannedStop(options{Seed: seed, NoLateSignals: true}), defaultStop)
		long += asNumber(drawPlannedStop(options{Seed: seed}).balancerLag == longBalancerLag)
	}
	is.True(long > 30 && long < 70)
}

// TestStopsBesideOtherFaultsLeaveAMajority: two strikes that are drawn at once must not meet two control nodes.
func TestStopsBesideOtherFaultsLeaveAMajority(t *testing.T) {
	is := is.New(t)
	in := &installation{}
	for range controlNodeCount {
		in.members = append(in.members, &member{control: true})
	}
	in.members = append(in.members, &member{}, &member{})
	begun := make(chan bool, len(in.members))
	for _, m := range in.members {
		go func() { begun <- in.tryBeginFault(m) }()
	}
	allowed := 0
	for range in.members {
		allowed += asNumber(<-begun)
	}
	is.Equal(allowed, 3) // one control node and both gateways
}
