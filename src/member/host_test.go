package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/testseed"
)

func init() { testseed.Fix() }

var noon = time.Unix(1_800_000_000, 0)

func TestAHostIsLiveOnceItAnswers(t *testing.T) {
	is := is.New(t)
	h := New(noon)
	is.Equal(h.State(), Joining)
	h.Answered(false, noon)
	is.Equal(h.State(), Live)
	h.Tick(noon.Add(SuspectAfter + 1))
	is.Equal(h.State(), Suspect)
	h.Answered(false, noon.Add(2*SuspectAfter)) // falsely suspected: back without harm
	is.Equal(h.State(), Live)
}

func TestTheEarliestWordThatAHostLeavesCounts(t *testing.T) {
	is := is.New(t)
	own := New(noon)
	own.Answered(false, noon)
	own.Answered(true, noon) // its own word, while the list still has it live
	is.Equal(own.State(), Leaving)
	own.Listed(false, noon) // the lagging list can't bring it back
	is.Equal(own.State(), Leaving)
	listed := New(noon)
	listed.Answered(false, noon)
	listed.Listed(true, noon)
	listed.Answered(false, noon)
	is.Equal(listed.State(), Leaving)
}

func TestAListWithoutAHostThatAnswersIsNotBelieved(t *testing.T) {
	is := is.New(t)
	h := New(noon)
	h.Answered(false, noon)
	h.Unlisted(noon)
	is.Equal(h.State(), Live)
	h.Tick(noon.Add(GoneAfter + 1))
	is.Equal(h.State(), Gone)
}

// TestLeavingIsNeverLive feeds any order of words: as long as one of them says
// that the host leaves, it is never live, and no order of words is an error.
func TestLeavingIsNeverLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := New(noon), noon
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
				h.Tick(now)
			case 4:
				ownLeaving = true
				h.SaidLeaving(now)
			}
			if (listedLeaving || ownLeaving) && h.State() == Live {
				t.Fatal("a leaving host is live")
			}
		}
	})
}
