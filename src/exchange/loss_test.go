package exchange

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/moorspool/moorspool/src/registry"
)

// opError returns an error as the net package reports it.
func opError(errno syscall.Errno) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
}

func TestWhatProvesThatAReplicaIsLost(t *testing.T) {
	unanswered := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fails := func(errno syscall.Errno) dialFunc {
		return func(context.Context, string) (net.Conn, error) { return nil, opError(errno) }
	}
	accepted := func(context.Context, string) (net.Conn, error) {
		here, _ := net.Pipe()
		return here, nil
	}
	for _, c := range []struct {
		name     string
		dial     dialFunc
		brokenBy error
		restart  bool
		want     lossProof
	}{
		{"silence", accepted, nil, false, lossUnproven},
		{"a dial that is not answered", unanswered, nil, false, lossUnproven},
		{"a new connection that is reset", fails(syscall.ECONNRESET), nil, false, lossUnproven},
		{"no route to its host", fails(syscall.EHOSTUNREACH), nil, false, lossUnproven},
		{"a refused dial", fails(syscall.ECONNREFUSED), nil, false, lossByRefusal},
		{"an open connection that is reset", unanswered, opError(syscall.ECONNRESET), false, lossUnproven},
		{"a deadline that passed", unanswered, os.ErrDeadlineExceeded, false, lossUnproven},
		{"probes that are not acknowledged", unanswered, opError(syscall.ETIMEDOUT), false, lossOfHost},
		{"a later start", accepted, nil, true, lossByLaterStart},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet("z", c.dial, nil, time.Now, time.Now)
			earlier := registry.Record{ID: "x@1", Name: "x", StartedMS: 1, Service: "s", Address: "127.0.0.1:1", Slots: 1}
			f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: earlier}}})
			peer := f.Peer("x@1")
			if c.restart {
				later := earlier
				later.ID, later.StartedMS = "x@2", 2
				f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: later}, {Record: earlier, Replaced: true}}})
			}
			is.Equal(proveLoss(context.Background(), peer, c.brokenBy), c.want)
		})
	}
}

// breakableConn is a connection whose reads can be made to fail.
type breakableConn struct {
	net.Conn
	err *atomic.Pointer[error]
}

func (c *breakableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failure := c.err.Load(); failure != nil {
		return 0, *failure
	}
	return n, err
}

// lossSite is a crashSite whose connections can be made to fail.
type lossSite struct {
	*crashSite
	// dialErr and readErr are the errors of new and of open connections, nil for none.
	dialErr, readErr atomic.Pointer[error]
}

func newLossSite(t *testing.T, stop func(s *lossSite, a arrival) bool) *lossSite {
	s := &lossSite{}
	s.crashSite = newCrashSite(t, func(a arrival, _ *fakeReplica) bool { return stop(s, a) })
	for _, r := range s.replicas {
		s.fleet.Peer(r.id).pool.dial = s.dial
	}
	return s
}

func (s *lossSite) dial(ctx context.Context, address string) (net.Conn, error) {
	first := s.replicas[0]
	if s.isFirst(s.replicas[1]) {
		first = s.replicas[1]
	}
	failure := s.dialErr.Load()
	if failure != nil && address == first.listener.Addr().String() {
		return nil, *failure
	}
	raw, err := Dial(ctx, address)
	if err != nil || failure != nil {
		return raw, err
	}
	return &breakableConn{Conn: raw, err: &s.readErr}, nil
}

// isFirst reports whether a replica got the first request.
func (s *crashSite) isFirst(r *fakeReplica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first == r
}

// TestStreamOfASilentReplicaIsNotContinuedElsewhere: a stream that must not be repeated went on at a second replica
// while the first one, silent for 1.4 s with a full queue of new connections, was still at work on it.
func TestStreamOfASilentReplicaIsNotContinuedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name string
		// dialed is the result of dials while the replica is silent.
		dialed error
	}{
		{"dials are not answered", context.DeadlineExceeded},
		{"new connections are reset", opError(syscall.ECONNRESET)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newLossSite(t, func(s *lossSite, a arrival) bool {
				s.dialErr.Store(&c.dialed)
				time.Sleep(silenceTimeout + 400*time.Millisecond)
				a.event(3)
				a.event(4)
				a.endStream()
				return true
			})
			got := s.ask()
			is.NoErr(got.err)
			is.Equal(events(got.body), []string{"1", "2", "3", "4"})
			is.Equal(s.other().count(), 0)
		})
	}
}

// TestStreamGoesOnOnceItsHostAcknowledgesNothing: a host without power closes no connection; the keep-alive probes
// end it.
func TestStreamGoesOnOnceItsHostAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	s := newLossSite(t, func(s *lossSite, _ arrival) bool {
		unanswered, timedOut := error(context.DeadlineExceeded), opError(syscall.ETIMEDOUT)
		s.dialErr.Store(&unanswered)
		time.Sleep(silenceTimeout + 400*time.Millisecond)
		s.readErr.Store(&timedOut)
		return false
	})
	got := s.ask()
	is.NoErr(got.err)
	is.Equal(events(got.body), []string{"1", "2", "3", "4"})
	is.Equal(s.other().count(), 1)
}

func TestWhatShowsThatASilentPeerIsLost(t *testing.T) {
	dials := func(err error) dialFunc {
		return func(context.Context, string) (net.Conn, error) {
			here, _ := net.Pipe()
			return here, err
		}
	}
	accepted, refused, reset := dials(nil), dials(opError(syscall.ECONNREFUSED)), dials(opError(syscall.ECONNRESET))
	unanswered := dials(context.DeadlineExceeded)
	replica := registry.Record{ID: "x@1", Name: "x", StartedMS: 1, Service: "s", Address: "127.0.0.1:1", Slots: 1}
	leaving := replica
	leaving.Draining = true
	gateway := registry.Record{ID: "g1", Address: "127.0.0.1:1"}
	for _, c := range []struct {
		name           string
		peer           registry.Record
		dial           dialFunc
		unacknowledged time.Duration
		restarted      bool
		want           silenceSign
	}{
		{name: "its host takes connections", peer: replica, dial: accepted},
		{name: "its host takes connections and acknowledges nothing on the open one", peer: replica, dial: accepted, unacknowledged: time.Minute},
		{name: "a dial is not answered", peer: replica, dial: unanswered, want: silenceSign{unanswered: true}},
		{name: "a new connection is reset", peer: replica, dial: reset, unacknowledged: suspectAfter - 1, want: silenceSign{unanswered: true}},
		{name: "its host acknowledges nothing", peer: replica, dial: unanswered, unacknowledged: suspectAfter, want: silenceSign{unanswered: true, suspected: true}},
		{name: "its host refuses connections", peer: replica, dial: refused, want: silenceSign{proof: lossByRefusal}},
		{name: "it leaves and refuses connections", peer: leaving, dial: refused},
		{name: "it has started again", peer: replica, dial: accepted, restarted: true},
		{name: "a gateway refuses connections", peer: gateway, dial: refused},
		{name: "the host of a gateway acknowledges nothing", peer: gateway, dial: unanswered, unacknowledged: suspectAfter, want: silenceSign{unanswered: true, suspected: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			peer := newPeer(c.peer, c.dial)
			if c.restarted {
				peer.noteReplacement(newPeer(replica, c.dial))
			}
			got := examineSilence(peer, func() time.Duration { return c.unacknowledged })
			is.Equal(got.evidence != "", c.want.proof != lossUnproven || c.want.suspected)
			got.evidence = ""
			is.Equal(got, c.want)
		})
	}
}

func TestSilentRequestsOfOnePeerShareADial(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	peer := newPeer(registry.Record{ID: "x", Service: "s", Address: "127.0.0.1:1"}, func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() { examineSilence(peer, func() time.Duration { return 0 }) })
	}
	all.Wait()
	is.Equal(dials.Load(), int64(reachTimeout/dialAttempt))
}
