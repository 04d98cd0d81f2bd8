package signals

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestARequestOfAProcessThatPausesAgainAndAgainDoesNotWaitForSeconds: the wait counted the time in which the process ran.
func TestARequestOfAProcessThatPausesAgainAndAgainDoesNotWaitForSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const slowdown = 10 // the process runs for a tenth of the time
		began := time.Now()
		now := func() time.Time { return began.Add(slowdown * time.Since(began)) }
		w := New(ctx, nil, nil, now)
		time.Sleep(time.Second)
		from := now()
		w.AwaitSettled(ctx, from)
		is.True(now().Sub(from) > 0)
		is.True(now().Sub(from) <= deliveryTime+slowdown*settlePoll)
	})
}
