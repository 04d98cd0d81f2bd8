package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since process start, including host suspensions. It is safe for concurrent
// use.
type Clock struct {
	start       time.Time
	bootAtStart time.Duration
	boot        func() (time.Duration, error)
}

// New returns a clock that starts at the wall time start. boot reads the time since the host was booted,
// including suspensions.
func New(start time.Time, boot func() (time.Duration, error)) (*Clock, error) {
	bootAtStart, err := boot()
	if err != nil {
		return nil, err
	}
	// Round(0) strips the monotonic reading, so that times are compared by this clock's readings.
	return &Clock{start: start.Round(0), bootAtStart: bootAtStart, boot: boot}, nil
}

// Now returns the current time. Compare it only with other times of this clock: the wall time of
// package time may differ by any amount it was adjusted since process start.
func (c *Clock) Now() time.Time {
	now, err := c.boot()
	if err != nil {
		// This should not happen, since the same read succeeded at startup. Return a time in the far future
		// so that every lease counts as expired; with a zero duration every lease would look new.
		return c.start.Add(1<<62 - c.bootAtStart)
	}
	return c.start.Add(now - c.bootAtStart)
}

// sinceBoot returns the time since the host was booted, including suspensions.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()) + shift(), nil
}

// process is the clock of this process, or nil on a system without CLOCK_BOOTTIME.
var process, _ = New(time.Now(), sinceBoot)

// Now returns the current time of the process's clock.
func Now() time.Time {
	if process == nil {
		return time.Now()
	}
	return process.Now()
}
