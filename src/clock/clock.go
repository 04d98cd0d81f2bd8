package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since a moment at the process's start; it is safe for concurrent use.
type Clock struct {
	start time.Time
	began time.Duration
	boot  func() (time.Duration, error)
}

// New returns a clock that starts at a time of day and reads the time since the host was started,
// suspensions counted.
func New(start time.Time, boot func() (time.Duration, error)) (*Clock, error) {
	began, err := boot()
	if err != nil {
		return nil, err
	}
	// Without its steady reading a time is compared by what this clock says.
	return &Clock{start: start.Round(0), began: began, boot: boot}, nil
}

// Now returns the present time. Times of this clock are compared with one another only: those of
// package time may differ from them by as much as the time of day was set since the start.
func (c *Clock) Now() time.Time {
	now, err := c.boot()
	if err != nil {
		// The system read this clock at the start and has no reason to fail now; the zero
		// duration makes every lease look as young as at the start, the largest one as lapsed.
		return c.start.Add(1<<62 - c.began)
	}
	return c.start.Add(now - c.began)
}

// sinceBoot reads the time since the host was started, suspensions counted.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()) + shift(), nil
}

// process is the process's clock, nil on a system that does not have one.
var process, _ = New(time.Now(), sinceBoot)

// Now returns the present time of the process's clock.
func Now() time.Time {
	if process == nil {
		return time.Now()
	}
	return process.Now()
}
