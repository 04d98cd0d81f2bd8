package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A replica ends, starts again under its name and address with software that is not told of yet, begins a
// stream and ends once more before it can be asked for its start.
func TestAStreamBegunAfterARefusedDialDoesNotGoOnAtTheListedVersion(t *testing.T) {
	for _, c := range []struct {
		name      string
		runningMS int64
		goesOn    bool
	}{{"a later start", 6, false}, {"the listed start accepts again", 5, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listed := versionedReplica(t, "a", "v2", whole)
			b, _ := newOriginBench(t, resumable(3))
			b.startedReplica(listed, 5, 5)
			_ = listed.listener.Close()
			is.True(b.do("POST", "refused", "").status != http.StatusOK)

			other := versionedReplica(t, "b", "v2", streaming(4))
			running := newReplicaAt(t, "a", listed.listener.Addr().String(), streaming(4))
			running.startedMS = c.runningMS
			for b.do("POST", "avoided", "").status != http.StatusOK {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // the replica can be asked for its start
			running.setAct(func(a arrival) bool {
				_ = running.listener.Close()
				b.register(other)
				return breaking(2)(a)
			})
			got := b.do("POST", "begun", "")
			is.Equal(got.err == nil, c.goesOn)
			is.Equal(other.count() == 1, c.goesOn)
			back := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
			is.Equal(back.status == http.StatusOK, c.goesOn)
		})
	}
}
