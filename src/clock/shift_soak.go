//go:build soak

package clock

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// suspension is how far one SIGUSR2 advances the clock: longer than every lease in the soak test.
const suspension = 3 * time.Second

var totalShift atomic.Int64

// shift returns the total length of the simulated suspensions.
func shift() time.Duration { return time.Duration(totalShift.Load()) }

func init() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() {
		for range signals {
			totalShift.Add(int64(suspension))
		}
	}()
}
