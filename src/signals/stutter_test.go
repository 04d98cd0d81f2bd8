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

// TestASignalThatTookSeveralPausesIsNotTakenForANewerOne: only the time in which the process ran can have delivered it.
func TestASignalThatTookSeveralPausesIsNotTakenForANewerOne(t *testing.T) {
	const ms = time.Millisecond
	// 100 ms of each 500 ms; the signal was sent in the first of two pauses.
	ticks := append(every(tickInterval, 0, 2000*ms), 2400*ms, 2450*ms, 2900*ms)
	sent := 2100 * ms
	at := ranAt(ticks...).withoutSignalAt(start.Add(2901 * ms)).Sub(start)
	is.New(t).True(at <= sent)
}
