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

// Timeouts and limits of crash detection.
const (
	// crashCheckTimeout is how long a request whose connection broke waits for the result of the
	// crash check, so that its next attempt takes the result into account. A refused dial takes one
	// round trip, 1 to 2 ms within a region. The timeout is a tenth of the shortest target in use.
	crashCheckTimeout = 10 * time.Millisecond
	// probeInterval is the minimum time between dials to one replica, since some replicas reset
	// connections continuously. A crash during the interval is detected after it.
	probeInterval = 200 * time.Millisecond
	// suspectTTL is how long a request that lost its replica, or was cancelled, counts as in flight
	// there.
	suspectTTL = 2 * time.Second
	// unreachableSuspectTTL is the same for an unreachable replica. Only its next incarnation, some
	// seconds later, proves that it crashed and was not merely disconnected.
	unreachableSuspectTTL = 10 * time.Second
	// maxCrashCandidates allows for the replicas of a zone, maxSuspects for the requests that one
	// of them runs at once.
	maxCrashCandidates = 512
	maxSuspects        = 256
)

// dialResult is the result of dialing a replica.
type dialResult uint8

const (
	// dialAccepted means that something listens at the replica's address.
	dialAccepted dialResult = iota
	// dialRefused means that the host responds and nothing listens, so the process has ended.
	dialRefused
	// dialTimedOut means that there was no response. The replica may have crashed or be
	// disconnected.
	dialTimedOut
)

// crashFunc is called when a replica has crashed with requests in flight. It is called again for
// the same crash when further connections are found broken.
type crashFunc func(now time.Time, replica string, inFlight []quarantine.Request, evidence string)

// crashDetector finds out which replicas crashed and which requests were in flight there. A broken
// connection alone is no proof, since replicas reset connections, links fail and streams are
// corrupted. A refused dial is proof, and so is a later incarnation. It is safe for concurrent use.
type crashDetector struct {
	dialResult func(ctx context.Context, peer *Peer) dialResult
	onCrash    crashFunc
	now        func() time.Time
	after      func(d time.Duration, f func())

	mu         sync.Mutex
	candidates map[string]*crashCandidate
}

// crashCandidate is a replica that may have crashed.
type crashCandidate struct {
	suspects []suspect
	// confirmed is set once the crash is proven, evidence says by what.
	confirmed bool
	evidence  string
	// probe is closed when the current dial is over. It is nil if there is none.
	probe    chan struct{}
	probedAt time.Time
	touched  time.Time
}

// suspect is a request that was in flight.
type suspect struct {
	request quarantine.Request
	until   time.Time
}

func newCrashDetector(now func() time.Time, onCrash crashFunc) *crashDetector {
	return &crashDetector{dialResult: probeReplica, onCrash: onCrash, now: now, after: func(d time.Duration, f func()) { time.AfterFunc(d, f) }, candidates: map[string]*crashCandidate{}}
}

// probeReplica dials a replica.
func probeReplica(ctx context.Context, peer *Peer) dialResult {
	conn, err := peer.pool.connect(ctx, reachTimeout)
	switch {
	case err == nil:
		_ = conn.Close()
		return dialAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return dialRefused
	}
	return dialTimedOut
}

// connectionBroke records that a request's connection to a replica broke. The returned channel is
// closed once a dial has shown whether the replica crashed, as far as a dial can show it.
func (e *crashDetector) connectionBroke(now time.Time, peer *Peer, request quarantine.Request) <-chan struct{} {
	replica := peer.ID()
	checked := make(chan struct{})
	if peer.leaving() {
		// A replica that is leaving ends whatever it runs, so this is no crash.
		close(checked)
		return checked
	}
	e.mu.Lock()
	o := e.candidate(now, replica)
	if o == nil || o.confirmed {
		e.mu.Unlock()
		if o != nil {
			e.onCrash(now, replica, []quarantine.Request{request}, o.evidence)
		}
		close(checked)
		return checked
	}
	defer e.mu.Unlock()
	o.add(now, request)
	if o.probe == nil {
		o.probe = checked
		go e.checkReplica(peer, replica, o.probedAt.Add(probeInterval).Sub(now))
	}
	return o.probe
}

// addSuspect records that a request may be in flight at a replica although its response ended: it was
// cancelled, or the connection was closed in order, as the host of a crashed replica does.
func (e *crashDetector) addSuspect(now time.Time, peer *Peer, request quarantine.Request) {
	replica := peer.ID()
	if peer.leaving() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.candidate(now, replica); o != nil {
		o.add(now, request)
	}
}

// checkReplica dials a replica after a pause and records a crash if the dial is refused.
func (e *crashDetector) checkReplica(peer *Peer, replica string, pause time.Duration) {
	time.Sleep(pause)
	found := e.dialResult(context.Background(), peer)
	now := e.now()
	if found == dialRefused {
		e.confirm(now, replica, "a dial was refused")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.candidates[replica]
	if o == nil {
		return
	}
	if found == dialTimedOut {
		for i := range o.suspects {
			o.suspects[i].until = now.Add(unreachableSuspectTTL)
		}
	}
	close(o.probe)
	o.probe, o.probedAt = nil, now
}

// confirm records that a replica has crashed.
func (e *crashDetector) confirm(now time.Time, replica string, evidence string) {
	e.mu.Lock()
	o := e.candidates[replica]
	if o == nil || o.confirmed {
		e.mu.Unlock()
		return
	}
	o.confirmed, o.evidence, o.touched = true, evidence, now
	inFlight := o.inFlight(now)
	o.suspects = nil
	e.mu.Unlock()
	if len(inFlight) > 0 {
		e.onCrash(now, replica, inFlight, evidence)
	}
}

// crashed reports whether a replica is known to have crashed.
func (e *crashDetector) crashed(replica string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.candidates[replica]
	return o != nil && o.confirmed
}

// expire drops candidates that were not updated for so long that their suspects have expired.
func (e *crashDetector) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for replica, o := range e.candidates {
		if o.probe == nil && now.Sub(o.touched) > unreachableSuspectTTL {
			delete(e.candidates, replica)
		}
	}
}

// candidate returns the entry of a replica and creates it if needed. It returns nil if there are
// too many entries; the lock is held.
func (e *crashDetector) candidate(now time.Time, replica string) *crashCandidate {
	o := e.candidates[replica]
	if o == nil && len(e.candidates) < maxCrashCandidates {
		o = &crashCandidate{}
		e.candidates[replica] = o
	}
	if o != nil {
		o.touched = now
	}
	return o
}

func (o *crashCandidate) add(now time.Time, request quarantine.Request) {
	o.suspects = slices.DeleteFunc(o.suspects, func(s suspect) bool { return s.until.Before(now) })
	if len(o.suspects) < maxSuspects {
		o.suspects = append(o.suspects, suspect{request: request, until: now.Add(suspectTTL)})
	}
}

// inFlight returns the requests that count as in flight, one for each content.
func (o *crashCandidate) inFlight(now time.Time) []quarantine.Request {
	var inFlight []quarantine.Request
	for _, s := range o.suspects {
		known := func(r quarantine.Request) bool { return r.Content == s.request.Content }
		if !s.until.Before(now) && !slices.ContainsFunc(inFlight, known) {
			inFlight = append(inFlight, s.request)
		}
	}
	return inFlight
}
