package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// saysLeaving responds that the replica is leaving, with further headers.
func saysLeaving(headers ...string) behaviour {
	return func(a arrival) bool {
		a.answer(http.StatusOK, "last", append(headers, testLeaving+": 1")...)
		return true
	}
}

// A replica had started again under its name and address and said in an answer that it leaves, before the
// gateway was told of the start. The word was kept for the start before, and the gateway sent a request more.
func TestAWordOfLeavingBindsTheStartThatSaidIt(t *testing.T) {
	for _, c := range []struct {
		name string
		// saidMS is the start at the address as the word comes, 5 is the one that is listed then.
		saidMS int64
		// said is what the start responds, then what happens before the later start is listed.
		said behaviour
		then func(running *fakeReplica)
		// late is set if the later start is listed before the word comes.
		late  bool
		binds bool
	}{
		{"the later start, before it is listed", 6, saysLeaving(), nil, false, true},
		{"the later start, to a request from before it was listed", 6, saysLeaving(), nil, true, true},
		{"the earlier start, which is still there", 5, saysLeaving(), nil, false, false},
		{"the earlier start, to a request from before the later one was listed", 5, saysLeaving(), nil, true, false},
		{"the earlier start, which ends", 5, saysLeaving(), func(r *fakeReplica) { r.setStart(6); _ = r.last().conn.Close() }, false, false},
		{"a start that can't be told, since the connection closes", 6, saysLeaving("Connection: close"), nil, false, false},
		{"a start that does not say when it began", 0, saysLeaving(), nil, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			running := newReplica(t, "a", whole)
			b := newBench(t, route(catalog.Unsafe, 1))
			b.startedReplica(running, 5, c.saidMS)
			list := func() { b.startedReplica(running, 6, running.reportedStart()) }
			running.setAct(func(a arrival) bool {
				if c.late {
					list()
				}
				return c.said(a)
			})
			is.Equal(b.do("POST", "said", "").status, http.StatusOK)
			b.awaitHandlers()
			running.setAct(whole)
			if c.then != nil {
				c.then(running)
			}
			if !c.late {
				list()
			}
			time.Sleep(50 * time.Millisecond) // the start can be asked for
			is.Equal(b.do("POST", "after", "").status == http.StatusServiceUnavailable, c.binds)
			is.Equal(running.count() == 1, c.binds)
		})
	}
}

func TestTheConnectionOfAWordOfLeavingIsNotKeptForLong(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(b *bench, running *fakeReplica)
	}{
		{"its time is over", func(b *bench, _ *fakeReplica) { b.fleet.Expire(time.Now().Add(maxIdleTime)) }},
		{"the replica is no longer listed", func(b *bench, _ *fakeReplica) { b.fleet.SetReplicas(registry.Changes{Removed: []string{"a@5"}}) }},
		{"the replica is listed as leaving", func(b *bench, running *fakeReplica) {
			b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "a@5", Name: "a", StartedMS: 5, Service: "s", Address: running.listener.Addr().String(), Zone: "z", Draining: true}}}})
		}},
		{"a later start is listed", func(b *bench, running *fakeReplica) { b.startedReplica(running, 6, 6) }},
		{"the replica is no longer listed as the word comes", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			running := newReplica(t, "a", saysLeaving())
			b := newBench(t, route(catalog.Unsafe, 1))
			b.startedReplica(running, 5, 5)
			if c.end == nil {
				running.setAct(func(a arrival) bool {
					b.fleet.SetReplicas(registry.Changes{Removed: []string{"a@5"}})
					return saysLeaving()(a)
				})
			}
			is.Equal(b.do("POST", "said", "").status, http.StatusOK)
			b.awaitHandlers()
			if c.end != nil {
				is.Equal(len(running.gone), 0)
				c.end(b, running)
			}
			select {
			case <-running.gone:
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}
