//go:build soak

package clock

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// suspension is how far one SIGUSR2 moves the clock: longer than every lease of the soak.
const suspension = 3 * time.Second

var shifted atomic.Int64

// shift is for how long the process was told that its host was suspended.
func shift() time.Duration { return time.Duration(shifted.Load()) }

func init() {
	told := make(chan os.Signal, 4)
	signal.Notify(told, syscall.SIGUSR2)
	go func() {
		for range told {
			shifted.Add(int64(suspension))
		}
	}()
}
