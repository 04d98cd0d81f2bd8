package exchange

import (
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// crashSite has two replicas of a model whose runs can be backed up. The first one to get a request
// stops after its second event, in the way given by the test.
type crashSite struct {
	*bench
	replicas []*fakeReplica
	mu       sync.Mutex
	first    *fakeReplica
	stop     func(a arrival, r *fakeReplica) bool
}

func newCrashSite(t *testing.T, stop func(a arrival, r *fakeReplica) bool) *crashSite {
	s := &crashSite{stop: stop}
	for _, id := range []string{"x", "y"} {
		var r *fakeReplica
		r = newReplica(t, id, func(a arrival) bool { return s.serve(a, r) })
		s.replicas = append(s.replicas, r)
	}
	rt := route(catalog.Streaming, 1)
	s.bench = newBench(t, rt, s.replicas...)
	s.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{rt},
		Services: []catalog.Service{{Name: "s", ColdRate: 4, Engine: &catalog.Engine{Backups: true, Models: []catalog.Model{{Name: "m"}}}}}}))
	return s
}

func (s *crashSite) serve(a arrival, r *fakeReplica) bool {
	a.head()
	s.mu.Lock()
	crashes := s.first == nil
	if crashes {
		s.first = r
	}
	s.mu.Unlock()
	if crashes {
		a.event(1)
		a.event(2)
		return s.stop(a, r)
	}
	after, _ := strconv.Atoi(a.request.Header.Get(testAfter))
	for id := after + 1; id <= 4; id++ {
		a.event(id)
	}
	a.endStream()
	return true
}

func (s *crashSite) ask() clientResponse {
	return s.do("POST", "one", "x", testModel+": m", testTokens+": 500")
}

func (s *crashSite) other() *fakeReplica {
	if s.first == s.replicas[0] {
		return s.replicas[1]
	}
	return s.replicas[0]
}

// TestAStreamGoesOnFromTheCopyOfItsRun: after a crash the stream is continued even if its route
// does not allow repeats.
func TestAStreamGoesOnFromTheCopyOfItsRun(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, func(_ arrival, r *fakeReplica) bool {
		_ = r.listener.Close()
		return false
	})
	got := s.ask()
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2", "3", "4"})
	other := s.other()
	is.Equal(s.first.last().request.Header.Get(testBackup), other.listener.Addr().String())
	is.Equal(other.last().request.Header.Get(testContinue), other.listener.Addr().String())
	is.Equal(other.last().request.Header.Get(testAfter), "2")
	is.Equal(got.header.Get(testStamp), s.first.id+".one")
}

// TestStreamOfReachableReplicaIsNotContinued: the replica may still be running the request.
func TestStreamOfReachableReplicaIsNotContinued(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, func(arrival, *fakeReplica) bool { return false })
	is.True(s.ask().err != nil)
	is.Equal(s.other().count(), 0)
}

// TestSilentUnreachableReplicaIsDetected: a power loss closes no connection.
func TestSilentUnreachableReplicaIsDetected(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, func(_ arrival, r *fakeReplica) bool {
		_ = r.listener.Close()
		return true
	})
	got := s.ask()
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2", "3", "4"})
}

// TestShortStreamsAreNotBackedUp: short streams mostly end before their replica fails.
func TestShortStreamsAreNotBackedUp(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, func(arrival, *fakeReplica) bool { return false })
	_ = s.do("POST", "one", "x", testModel+": m", testTokens+": 24")
	is.Equal(s.first.last().request.Header.Get(testBackup), "")
}
