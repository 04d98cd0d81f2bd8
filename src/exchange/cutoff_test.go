package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// TestAnAnswerThatItsReplicaHasEndedIsNotCutOff: the end of a stop closed connections in which the rest of an answer waited.
func TestAnAnswerThatItsReplicaHasEndedIsNotCutOff(t *testing.T) {
	for _, c := range []struct {
		name string
		kind catalog.Kind
		// begin and end are what the replica sends before and after the end of the stop.
		begin, end func(a arrival)
		want       string
	}{
		{"a stream", catalog.Streaming, func(a arrival) { a.head(); a.event(1) }, func(a arrival) { a.event(2); a.endStream() }, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"},
		{"a whole answer", catalog.Unsafe, func(a arrival) { a.head(); a.chunk("first ") }, func(a arrival) { a.chunk("last"); a.endStream() }, "first last"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun, cut := make(chan struct{}), make(chan struct{})
			b := newBench(t, route(c.kind, 1), newReplica(t, "x", func(a arrival) bool {
				c.begin(a)
				close(begun)
				<-cut
				c.end(a)
				return true
			}))
			go func() {
				<-begun
				time.Sleep(10 * time.Millisecond) // until the head is read
				b.handler.Stop()
				b.handler.CutOff()
				close(cut)
			}()
			got := b.do("POST", "one", "body")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, c.want)
		})
	}
}

// TestAReplicaThatGoesOnIsCutOff: what its answer may still take is short.
func TestAReplicaThatGoesOnIsCutOff(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "x", func(a arrival) bool {
		a.head()
		a.event(1)
		close(begun)
		for id := 2; id < 1000; id++ {
			a.event(id)
			time.Sleep(5 * time.Millisecond)
		}
		return false
	}))
	go func() {
		<-begun
		time.Sleep(10 * time.Millisecond)
		b.handler.Stop()
		b.handler.CutOff()
	}()
	began := time.Now()
	got := b.do("POST", "one", "body")
	is.True(got.err != nil)
	is.True(time.Since(began) < time.Second)
}
