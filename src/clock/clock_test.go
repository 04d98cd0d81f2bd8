package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClockAdvancesDuringSuspension: the clock must advance during a suspension, in which the monotonic
// clock of package time stands still, and its times must be compared without monotonic readings.
func TestClockAdvancesDuringSuspension(t *testing.T) {
	is := is.New(t)
	boot := 5 * time.Second
	c, err := New(time.Now(), func() (time.Duration, error) { return boot, nil })
	is.NoErr(err)
	start := c.Now()
	until := start.Add(3 * time.Second)
	boot += 2 * time.Second
	is.True(c.Now().Before(until))
	boot += 8 * time.Second // during a suspension
	is.True(c.Now().After(until))
	is.Equal(c.Now().Sub(start), 10*time.Second)
}

// TestFailingClockExpiresLeases: a read error must not keep a lease valid. New returns the error of the
// first read.
func TestFailingClockExpiresLeases(t *testing.T) {
	is := is.New(t)
	var fault error
	boot := func() (time.Duration, error) { return time.Minute, fault }
	c, err := New(time.Now(), boot)
	is.NoErr(err)
	until := c.Now().Add(time.Hour)
	fault = errors.New("no clock")
	is.True(c.Now().After(until))
	_, err = New(time.Now(), boot)
	is.True(err != nil)
}

// TestProcessClockDoesNotGoBack guards against a missing process clock and against decreasing times.
func TestProcessClockDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	is.True(process != nil)
	first := Now()
	is.True(!Now().Before(first))
}

func BenchmarkNow(b *testing.B) {
	b.Run("time", func(b *testing.B) {
		for range b.N {
			_ = time.Now()
		}
	})
	b.Run("clock", func(b *testing.B) {
		for range b.N {
			_ = Now()
		}
	})
}
