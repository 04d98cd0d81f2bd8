package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.SetFixedSeed() }

var baseTime = time.Unix(1_800_000_000, 0)

func TestAHostIsLiveOnceItAnswers(t *testing.T) {
	is := is.New(t)
	h := New(baseTime)
	is.Equal(h.State(), Joining)
	h.Answered(false, baseTime)
	is.Equal(h.State(), Live)
	h.Update(baseTime.Add(SuspectAfter + 1))
	is.Equal(h.State(), Suspect)
	h.Answered(false, baseTime.Add(2*SuspectAfter)) // wrongly suspected, live again
	is.Equal(h.State(), Live)
}

func TestEitherSourceCanMarkAHostLeaving(t *testing.T) {
	is := is.New(t)
	own := New(baseTime)
	own.Answered(false, baseTime)
	own.Answered(true, baseTime) // announced by the host while the list shows it as running
	is.Equal(own.State(), Leaving)
	own.Listed(false, baseTime) // the outdated list can't make it live again
	is.Equal(own.State(), Leaving)
	listed := New(baseTime)
	listed.Answered(false, baseTime)
	listed.Listed(true, baseTime)
	listed.Answered(false, baseTime)
	is.Equal(listed.State(), Leaving)
}

func TestUnlistedHostThatAnswersStaysLive(t *testing.T) {
	is := is.New(t)
	h := New(baseTime)
	h.Answered(false, baseTime)
	h.Unlisted(baseTime)
	is.Equal(h.State(), Live)
	h.Update(baseTime.Add(GoneAfter + 1))
	is.Equal(h.State(), Gone)
}

// TestLeavingIsNeverLive applies events in any order: a host is never live while the list or the
// host itself says that it is leaving, and no order causes an error.
func TestLeavingIsNeverLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := New(baseTime), baseTime
		listedLeaving, ownLeaving := false, false
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			leaving := rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 4).Draw(t, "word") {
			case 0:
				listedLeaving = leaving
				h.Listed(leaving, now)
			case 1:
				ownLeaving = leaving
				h.Answered(leaving, now)
			case 2:
				h.Unlisted(now)
			case 3:
				h.Update(now)
			case 4:
				ownLeaving = true
				h.AnnouncedLeaving(now)
			}
			if (listedLeaving || ownLeaving) && h.State() == Live {
				t.Fatal("a leaving host is live")
			}
		}
	})
}
