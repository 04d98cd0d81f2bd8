package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/wire"
)

func unpacked(b *Backlog, now time.Time) map[uint64]time.Duration {
	all := map[uint64]time.Duration{}
	Unpack(b.Totals(now), func(key uint64, backlog time.Duration) { all[key] = backlog })
	return all
}

// TestBacklogIsSentTimeMinusElapsedTime checks the estimate for prompts from any gateway, reported
// directly or by another control node.
func TestBacklogIsSentTimeMinusElapsedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBacklog()
		now := baseTime
		left := map[string]time.Duration{}
		for range rapid.IntRange(1, 20).Draw(t, "sends") {
			pause := time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			now = now.Add(pause)
			for replica := range left {
				left[replica] = max(left[replica]-pause, 0)
			}
			replica := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "replica"))
			prompt := rapid.IntRange(0, 400).Draw(t, "prompt")
			b.Add(now, []wire.Sent{{Replica: replica, ReadMS: prompt}}, rapid.Bool().Draw(t, "own"))
			left[replica] = min(left[replica]+time.Duration(prompt)*time.Millisecond, maxBacklog)
		}
		got := unpacked(b, now)
		for replica, want := range left {
			if want < minBacklog {
				want = 0
			}
			if got[Key(replica)] != want {
				t.Fatalf("backlog of %s is %v, want %v", replica, got[Key(replica)], want)
			}
		}
	})
}

// TestOnlyOwnPromptsAreForwarded guards against control nodes forwarding prompts to each other
// endlessly.
func TestOnlyOwnPromptsAreForwarded(t *testing.T) {
	is := is.New(t)
	b := NewBacklog()
	b.Add(baseTime, []wire.Sent{{Replica: "other", ReadMS: 50}}, false)
	select {
	case <-b.Forwardable():
		t.Error("there is nothing to forward")
	default:
	}
	b.Add(baseTime, []wire.Sent{{Replica: "own", ReadMS: 60}}, true)
	<-b.Forwardable()
	is.Equal(b.TakeOwn(), []wire.Sent{{Replica: "own", ReadMS: 60}})
	is.Equal(len(b.TakeOwn()), 0)
	is.Equal(len(unpacked(b, baseTime)), 2)
}

// TestBacklogTrafficIsBounded checks that at the size expected in two years, with every replica
// reading prompts, the backlogs sent to a gateway take at most a quarter of a small host's link.
func TestBacklogTrafficIsBounded(t *testing.T) {
	const replicas, linkBytes = 780, 10_000_000 / 8
	perSecond := replicas * entryBytes * 4 / 3 * int(time.Second/BacklogInterval(340, replicas))
	is.New(t).True(perSecond <= linkBytes/4)
}
