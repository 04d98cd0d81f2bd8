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

// TestASignalThatFindsTheWatchBusyIsNotLost: os/signal drops what its channel does not take at once.
func TestASignalThatFindsTheWatchBusyIsNotLost(t *testing.T) {
	is := is.New(t)
	w := Notify()
	w.mu.Lock()
	time.Sleep(3 * tickInterval) // the next tick waits for the lock
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(2 * tickInterval)
	w.mu.Unlock()
	select {
	case <-w.Stop():
	case <-time.After(5 * time.Second):
		t.Error("the signal to stop was lost")
	}
}

// TestAnInterruptStopsAServerInOrder: it ends a process that does not handle it, with all its requests.
func TestAnInterruptStopsAServerInOrder(t *testing.T) {
	is := is.New(t)
	w := Notify()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGINT))
	select {
	case <-w.Stop():
	case <-time.After(5 * time.Second):
		t.Error("no stop")
	}
}

// TestASignalBeforeTheFirstTickCountsFromTheStart: without a tick, a stop would count from a time long before the process.
func TestASignalBeforeTheFirstTickCountsFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		terminate := make(chan os.Signal, 1)
		w := New(t.Context(), terminate, nil, time.Now)
		time.Sleep(10 * time.Millisecond)
		terminate <- syscall.SIGTERM
		stop := <-w.Stop()
		is.Equal(stop.Delay(), 10*time.Millisecond)
	})
}

// TestARequestWhoseClientLeavesDoesNotWaitOn: its handler would hold up a stop.
func TestARequestWhoseClientLeavesDoesNotWaitOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(t.Context(), nil, nil, time.Now)
		time.Sleep(time.Second)
		ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer leave()
		began := time.Now()
		w.AwaitSettled(ctx, began.Add(time.Hour)) // as if no tick had come for an hour
		is.Equal(time.Since(began), 30*time.Millisecond)
	})
}
