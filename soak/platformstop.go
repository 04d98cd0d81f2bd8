package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopHangup is the pause between two signals of a burst of SIGHUPs. Those that a process has not been given yet
	// become one.
	stopHangup = 250 * time.Microsecond
	// pauseEffect is how long it may take until all threads of a process stand still.
	pauseEffect = 5 * time.Millisecond
	// exitTime is how long a killed process may take to exit.
	exitTime = 5 * time.Second
)

// platformStop is how the platform stops a process: by SIGTERM, and by SIGKILL at the limit after it was sent.
type platformStop struct {
	limit time.Duration
	// pausedFrom is how long before the signal the process begins to stand still, pausedUntil how long after it the
	// process goes on. It does not stand still if pausedUntil is 0.
	pausedFrom, pausedUntil time.Duration
	// hangups is how many SIGHUPs come right before the signal.
	hangups int
	// heldSettings is set if the settings file can't be read until the process has ended.
	heldSettings bool
}

// isLate reports whether the process learns of the signal late.
func (s platformStop) isLate() bool { return s.pausedUntil > 0 }

// stopByPlatform stops a member's process; told is called as the signal is sent. It reports whether the process was killed.
func (in *installation) stopByPlatform(m *member, s platformStop, told func()) (killed bool) {
	if s.heldSettings {
		restore, err := m.holdSettings()
		if err != nil {
			fmt.Fprintln(m.log, "soak: settings:", err)
		}
		defer restore()
	}
	if s.isLate() {
		m.signal(syscall.SIGSTOP)
		time.Sleep(max(s.pausedFrom, pauseEffect))
	}
	for range s.hangups {
		m.signal(syscall.SIGHUP)
		time.Sleep(stopHangup)
	}
	sentAt := time.Now()
	told()
	m.signal(syscall.SIGTERM)
	if s.isLate() {
		time.Sleep(time.Until(sentAt.Add(min(s.pausedUntil, s.limit))))
		m.signal(syscall.SIGCONT)
	}
	if m.waitForExit(time.Until(sentAt.Add(s.limit))) {
		return false
	}
	m.signal(syscall.SIGKILL)
	m.waitForExit(exitTime)
	return true
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
