package exchange

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/quarantine"
)

// The times and bounds of finding out that a replica has ended.
const (
	// proofWait is how long a request whose connection broke waits to learn whether its
	// replica has ended, so that its own further try knows: a refused dial takes one round
	// trip, 1 to 2 ms in a region. It is a tenth of the shortest target of the users' work.
	proofWait = 10 * time.Millisecond
	// probePause keeps dials to one replica apart, since some replicas reset connections all
	// the time; an end that falls into the pause is seen after it.
	probePause = 200 * time.Millisecond
	// suspectFor is how long a request that lost its replica, or left it, counts as under way
	// there when the end is proved.
	suspectFor = 2 * time.Second
	// unreachableFor is that time where the replica can't be reached: only its next start,
	// some seconds later, proves that it ended and was not merely cut off.
	unreachableFor = 10 * time.Second
	// maxEndings and maxSuspects bound what is remembered: a zone's replicas, and what
	// one runs at once.
	maxEndings  = 512
	maxSuspects = 256
)

// reach says what a dial to a replica found.
type reach uint8

const (
	// accepted means that something listens at the replica's address.
	accepted reach = iota
	// refused means that the host is there and nothing listens: the process has ended.
	refused
	// silent means that nobody answered; the replica may have ended or be cut off.
	silent
)

// endingFunc takes in that a replica has ended with requests under way; more may be told of one
// end, as connections are seen to have broken.
type endingFunc func(now time.Time, replica string, under []quarantine.Digest, witness string)

// endings finds out which replicas ended, and which requests were under way there. A broken
// connection alone proves nothing: replicas reset connections, links are cut, streams are
// spoiled. A refused dial proves it, and so does a later start. It is safe for concurrent use.
type endings struct {
	reach func(ctx context.Context, peer *Peer) reach
	ended endingFunc
	now   func() time.Time

	mu   sync.Mutex
	open map[string]*ending
}

// ending is what is known of one replica that may have ended.
type ending struct {
	suspects []suspect
	// proved is set once the replica is known to have ended, with the witness.
	proved  bool
	witness string
	// probe is closed when the present dial is over; nil if there is none.
	probe    chan struct{}
	probedAt time.Time
	touched  time.Time
}

// suspect is a request that was under way.
type suspect struct {
	digest quarantine.Digest
	until  time.Time
}

func newEndings(now func() time.Time, ended endingFunc) *endings {
	return &endings{reach: reachOf, ended: ended, now: now, open: map[string]*ending{}}
}

// reachOf dials a replica.
func reachOf(ctx context.Context, peer *Peer) reach {
	conn, err := peer.pool.connect(ctx, reachWithin)
	switch {
	case err == nil:
		_ = conn.Close()
		return accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused
	}
	return silent
}

// broke takes in that a request's connection to a replica broke. The channel is closed once
// it is known, as far as a dial tells, whether the replica has ended.
func (e *endings) broke(now time.Time, peer *Peer, digest quarantine.Digest) <-chan struct{} {
	life := peer.ID()
	over := make(chan struct{})
	if peer.leaving() {
		// A replica that said that it leaves ends whatever it runs.
		close(over)
		return over
	}
	e.mu.Lock()
	o := e.of(now, life)
	if o == nil || o.proved {
		e.mu.Unlock()
		if o != nil {
			e.ended(now, life, []quarantine.Digest{digest}, o.witness)
		}
		close(over)
		return over
	}
	defer e.mu.Unlock()
	o.add(now, digest)
	if o.probe == nil {
		o.probe = over
		go e.dial(peer, life, o.probedAt.Add(probePause).Sub(now))
	}
	return o.probe
}

// left takes in that a request was given up while it was under way at a replica.
func (e *endings) left(now time.Time, peer *Peer, digest quarantine.Digest) {
	life := peer.ID()
	if peer.leaving() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.of(now, life); o != nil {
		o.add(now, digest)
	}
}

// dial looks after a pause whether the replica has ended.
func (e *endings) dial(peer *Peer, life string, pause time.Duration) {
	time.Sleep(pause)
	found := e.reach(context.Background(), peer)
	now := e.now()
	if found == refused {
		e.prove(now, life, "a dial was refused")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.open[life]
	if o == nil {
		return
	}
	if found == silent {
		for i := range o.suspects {
			o.suspects[i].until = now.Add(unreachableFor)
		}
	}
	close(o.probe)
	o.probe, o.probedAt = nil, now
}

// prove takes in that a replica has ended.
func (e *endings) prove(now time.Time, life string, witness string) {
	e.mu.Lock()
	o := e.open[life]
	if o == nil || o.proved {
		e.mu.Unlock()
		return
	}
	o.proved, o.witness, o.touched = true, witness, now
	under := o.under(now)
	o.suspects = nil
	e.mu.Unlock()
	if len(under) > 0 {
		e.ended(now, life, under, witness)
	}
}

// sweep forgets what proves nothing any more.
func (e *endings) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for life, o := range e.open {
		if o.probe == nil && now.Sub(o.touched) > unreachableFor {
			delete(e.open, life)
		}
	}
}

// of returns what is known of a replica, nil if that is of too many already; the lock is held.
func (e *endings) of(now time.Time, life string) *ending {
	o := e.open[life]
	if o == nil && len(e.open) < maxEndings {
		o = &ending{}
		e.open[life] = o
	}
	if o != nil {
		o.touched = now
	}
	return o
}

func (o *ending) add(now time.Time, digest quarantine.Digest) {
	o.suspects = slices.DeleteFunc(o.suspects, func(s suspect) bool { return s.until.Before(now) })
	if len(o.suspects) < maxSuspects {
		o.suspects = append(o.suspects, suspect{digest: digest, until: now.Add(suspectFor)})
	}
}

// under returns the requests that count as under way, each once.
func (o *ending) under(now time.Time) []quarantine.Digest {
	var under []quarantine.Digest
	for _, s := range o.suspects {
		if !s.until.Before(now) && !slices.Contains(under, s.digest) {
			under = append(under, s.digest)
		}
	}
	return under
}
