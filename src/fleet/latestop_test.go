package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/signals"
)

// TestOtherGatewaysHaveTimeToLearnOfAStopThatIsLearnedLate: they know of it from when this gateway does.
func TestOtherGatewaysHaveTimeToLearnOfAStopThatIsLearnedLate(t *testing.T) {
	is := is.New(t)
	learned := time.Now()
	times := newStopTimes(signals.Stop{Learned: learned, SentAfter: learned.Add(-600 * time.Millisecond)}, 0, 8*time.Second)
	is.Equal(times.closeForwarded.Sub(learned), peerListLag)
}

// TestAStopWaitsForOtherGatewaysWithinItsLimitOnly: the platform would kill a process that still waits for them.
func TestAStopWaitsForOtherGatewaysWithinItsLimitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		record := &stopRecord{began: time.Now()}
		stopSteps{
			notReady:    func() {},
			requests:    record,
			tellLeaving: func(context.Context) {},
			clients:     recordedServer{"clients", record, 0},
			forwarded:   recordedServer{"forwarded", record, 0},
			end:         func() {},
		}.run(newStopTimes(signals.Stop{Learned: record.began, SentAfter: record.began}, 0, peerListLag))
		is.Equal(time.Since(record.began), peerListLag-stopMargin)
	})
}

// TestAStopThatIsLearnedVeryLateGivesRequestsTime: after a pause of any length the signal may have been sent just then.
func TestAStopThatIsLearnedVeryLateGivesRequestsTime(t *testing.T) {
	is := is.New(t)
	learned := time.Now()
	for _, late := range []time.Duration{0, time.Second, 7 * time.Second, time.Hour} {
		times := newStopTimes(signals.Stop{Learned: learned, SentAfter: learned.Add(-late)}, 3*time.Second, 8*time.Second)
		is.True(times.end.Sub(learned) > 6*time.Second)
		is.True(!times.closeClients.After(times.end))
		is.True(times.mark.Before(learned.Add(3 * time.Second)))
		is.True(!times.lastEnd.After(learned.Add(-late).Add(8 * time.Second)))
	}
}
