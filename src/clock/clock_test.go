package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestASuspensionCounts: the time since the host's start goes on while the steady clock stands
// still, and times compare by it alone.
func TestASuspensionCounts(t *testing.T) {
	is := is.New(t)
	boot := 5 * time.Second
	c, err := New(time.Now(), func() (time.Duration, error) { return boot, nil })
	is.NoErr(err)
	leased := c.Now()
	until := leased.Add(3 * time.Second)
	boot += 2 * time.Second
	is.True(c.Now().Before(until))
	boot += 8 * time.Second // suspended
	is.True(c.Now().After(until))
	is.Equal(c.Now().Sub(leased), 10*time.Second)
}

// TestAClockThatFailsLetsEveryLeaseLapse, and one that never worked is none.
func TestAClockThatFailsLetsEveryLeaseLapse(t *testing.T) {
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

// TestTheProcessClockGoesOn with the time of package time as long as nothing is suspended or set.
func TestTheProcessClockGoesOn(t *testing.T) {
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
