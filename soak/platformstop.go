package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// hangupPause is the pause between two signals of a burst of SIGHUPs. Those that a process has not been given yet
	// become one.
	hangupPause = 250 * time.Microsecond
	// maxPauseEffect bounds the wait until all threads of a process stand still.
	maxPauseEffect = time.Second
	// exitTime is how long a killed process may take to exit.
	exitTime = 5 * time.Second
	// maxPausedFrom is how long before a signal a process begins to stand still, at the most, minPausedUntil and
	// maxPausedUntil bound how long after it the process goes on.
	maxPausedFrom  = time.Second
	minPausedUntil = 50 * time.Millisecond
	maxPausedUntil = 1200 * time.Millisecond
	// maxHangups is how many SIGHUPs a burst has, maxLaterHangups how many come during a stop, at the most.
	maxHangups      = 40
	maxLaterHangups = 4
	// minStopPause and maxStopPause bound the pause between two stops beside the other faults.
	minStopPause = 500 * time.Millisecond
	maxStopPause = 3 * time.Second
	// longBalancerLag is how long clients go on to use a gateway that stops, in half of the runs.
	longBalancerLag = 3 * time.Second
)

// platformStop is how the platform stops a process: by SIGTERM, and by SIGKILL at the limit after it was sent.
type platformStop struct {
	limit time.Duration
	// pausedFrom is how long before the signal the process begins to stand still, pausedUntil how long after it the
	// process goes on. It does not stand still if pausedUntil is 0.
	pausedFrom, pausedUntil time.Duration
	// hangups is how many SIGHUPs come right before the signal, laterHangups when others come after it.
	hangups      int
	laterHangups []time.Duration
	// heldSettings is set if the settings file can't be read until the process has ended.
	heldSettings bool
}

// drawPlatformStop draws how a process is stopped: two in three learn of their signal late, and SIGHUPs come before it,
// after it or both if the process serves; before that they would end it.
func drawPlatformStop(random *rand.Rand, limit time.Duration, serves bool) platformStop {
	s := platformStop{limit: limit}
	if random.IntN(3) > 0 {
		s.pausedUntil = drawBetween(random, minPausedUntil, maxPausedUntil)
		if random.IntN(2) == 0 {
			s.pausedFrom = drawBetween(random, 0, maxPausedFrom)
		}
	}
	if !serves {
		return s
	}
	if random.IntN(3) == 0 {
		s.hangups, s.heldSettings = 1+random.IntN(maxHangups), random.IntN(4) == 0
	}
	for range random.IntN(maxLaterHangups + 1) {
		// Half of them come while a process that learns late stands still.
		latest := []time.Duration{limit, maxPausedUntil}[random.IntN(2)]
		s.laterHangups = append(s.laterHangups, drawBetween(random, 0, latest))
	}
	return s
}

// drawPlannedStop draws how the gateways of a run stop.
func drawPlannedStop(o options) plannedStop {
	stop := defaultStop
	if random := rand.New(rand.NewPCG(o.Seed, 21)); !o.NoLateSignals && random.IntN(2) == 0 {
		stop.balancerLag = longBalancerLag
	}
	return stop
}

// isLate reports whether the process learns of the signal late.
func (s platformStop) isLate() bool { return s.pausedUntil > 0 }

// String describes the stop.
func (s platformStop) String() string {
	parts := []string{fmt.Sprintf("killed %s after the signal", s.limit)}
	if s.isLate() {
		parts = append(parts, fmt.Sprintf("stands still from %s before it to %s after it", s.pausedFrom, s.pausedUntil))
	}
	if s.hangups > 0 {
		parts = append(parts, fmt.Sprintf("%d SIGHUPs before it", s.hangups))
	}
	if s.heldSettings {
		parts = append(parts, "settings can't be read")
	}
	if len(s.laterHangups) > 0 {
		parts = append(parts, fmt.Sprintf("SIGHUPs %s after it", s.laterHangups))
	}
	return strings.Join(parts, ", ")
}

// timedSignal is a signal that is sent some time after the one to stop.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// later returns the signals that follow the one to stop, in order.
func (s platformStop) later() []timedSignal {
	var signals []timedSignal
	if s.isLate() {
		signals = append(signals, timedSignal{min(s.pausedUntil, s.limit), syscall.SIGCONT})
	}
	for _, after := range s.laterHangups {
		signals = append(signals, timedSignal{after, syscall.SIGHUP})
	}
	slices.SortFunc(signals, func(a, b timedSignal) int { return cmp.Compare(a.after, b.after) })
	return signals
}

// stopCounts counts the stops of a run. It is safe for concurrent use.
type stopCounts struct {
	mu                  sync.Mutex
	stops, late, killed int
	// controls counts those of late that were stops of control nodes.
	controls int
}

func (c *stopCounts) add(s platformStop, control, killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops++
	c.late += asNumber(s.isLate())
	c.killed += asNumber(killed)
	c.controls += asNumber(s.isLate() && control)
}

// String describes the counts.
func (c *stopCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("stops %d, learned late %d (%d by control nodes), killed at the limit %d", c.stops, c.late, c.controls, c.killed)
}

// stopByPlatform stops a member's process; told is called as the signal is sent. It reports whether the process was
// killed.
func (in *installation) stopByPlatform(m *member, s platformStop, told func()) (killed bool) {
	if s.heldSettings {
		restore, err := m.holdSettings()
		if err != nil {
			fmt.Fprintln(m.log, "soak: settings:", err)
		}
		defer restore()
	}
	goesOn := func() {}
	if s.isLate() {
		goesOn = sync.OnceFunc(in.strikes.beginStandstill(m.name))
		defer goesOn()
		m.signal(syscall.SIGSTOP)
		pausedAt := time.Now()
		m.awaitStandstill()
		time.Sleep(s.pausedFrom - time.Since(pausedAt))
	}
	for range s.hangups {
		m.signal(syscall.SIGHUP)
		time.Sleep(hangupPause)
	}
	sentAt := time.Now()
	defer in.strikes.begin(m.name, "stop", true)(0)
	told()
	m.signal(syscall.SIGTERM)
	for _, next := range s.later() {
		m.waitForExit(time.Until(sentAt.Add(next.after)))
		m.signal(next.signal)
		if next.signal == syscall.SIGCONT {
			goesOn()
		}
	}
	killed = !m.waitForExit(time.Until(sentAt.Add(s.limit)))
	if killed {
		m.signal(syscall.SIGKILL)
		m.waitForExit(exitTime)
	}
	in.stops.add(s, m.control, killed)
	return killed
}

// startStops begins to stop gateways, and control nodes one of three times, from time to time beside the other faults; the
// returned group ends after ctx.
func (in *installation) startStops(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var work sync.WaitGroup
	if in.options.NoLateSignals {
		return &work
	}
	work.Go(func() {
		for {
			sleep(ctx, drawBetween(random, minStopPause, maxStopPause))
			if ctx.Err() != nil {
				return
			}
			group := [][]*member{in.controlNodes(), in.gatewayNodes(), in.gatewayNodes()}[random.IntN(3)]
			m, own := group[random.IntN(len(group))], rand.New(rand.NewPCG(random.Uint64(), 5))
			work.Go(func() { in.strikeMember(m, "stop", own) })
		}
	})
	return &work
}

// stopAndStart stops a member as the platform does and starts it again after a pause.
func (in *installation) stopAndStart(m *member, pause time.Duration, random *rand.Rand) {
	how := platformStop{limit: in.stop.limit}
	if !in.options.NoLateSignals {
		how = drawPlatformStop(random, in.stop.limit, m.serves())
	}
	fmt.Fprintf(m.log, "soak: %s stop: %s\n", time.Now().Format(time.RFC3339Nano), how)
	killed := in.stopByPlatform(m, how, func() {
		if in.besideStop != nil && how.isLate() && !m.control {
			in.besideStop(m, random)
		}
	})
	fmt.Fprintf(m.log, "soak: %s stopped, killed %v\n", time.Now().Format(time.RFC3339Nano), killed)
	in.startAfter(m, pause)
}

// holdSettings puts a pipe that nobody writes to in the place of a member's settings; restore puts them back.
func (m *member) holdSettings() (restore func(), err error) {
	aside := m.settingsFile + ".aside"
	if err := os.Rename(m.settingsFile, aside); err != nil {
		return func() {}, errors.Wrap(err, "settings of "+m.name)
	}
	restore = func() { _ = os.Rename(aside, m.settingsFile) }
	return restore, errors.Wrap(syscall.Mkfifo(m.settingsFile, 0o600), "pipe of "+m.name)
}
