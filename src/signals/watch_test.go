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
		delivered := make(chan os.Signal, 4)
		w := New(ctx, delivered, time.Now)
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
