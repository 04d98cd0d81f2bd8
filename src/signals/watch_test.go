package signals

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAStopSaysSinceWhenItsSignalMayHaveBeenSent: a stop had only the time at which its signal was learned of.
func TestAStopSaysSinceWhenItsSignalMayHaveBeenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		delivered := make(chan os.Signal, 1)
		w := New(ctx, delivered, nil, time.Now)
		time.Sleep(1010 * time.Millisecond)
		sent := time.Now()
		delivered <- syscall.SIGTERM
		stop := <-w.Stop()
		is.Equal(stop.Learned, sent)
		is.Equal(stop.Delay(), 60*time.Millisecond)
		delivered <- syscall.SIGTERM
		delivered <- syscall.SIGTERM
		synctest.Wait()
		is.Equal(len(w.Stop()), 1) // only one more is kept, and nobody waits for it
	})
}

// TestABurstOfReloadsLeavesRoomForAStop: all signals shared a channel of four, and os/signal drops what does not fit.
func TestABurstOfReloadsLeavesRoomForAStop(t *testing.T) {
	is := is.New(t)
	w := Notify()
	hung := make(chan struct{})
	defer close(hung)
	go w.HandleReloads(context.Background(), func() { <-hung })
	for range 40 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case <-w.Stop():
	case <-time.After(5 * time.Second):
		t.Error("the signal to stop was dropped")
	}
}
