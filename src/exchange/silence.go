package exchange

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/resume"
)

// Times of the checks of a peer that sends nothing.
const (
	// silenceTimeout is how long a peer may send nothing before the gateway looks for signs that it is lost,
	// and how often it looks from then on.
	silenceTimeout = time.Second
	// suspectAfter is how long a peer's host must have acknowledged nothing for a request that may be
	// repeated to go elsewhere. Probes are sent after a second, and a sound host answers within milliseconds.
	suspectAfter = silenceTimeout + 500*time.Millisecond
	// unansweredPause is the pause before the next check if a dial was not answered.
	unansweredPause = 300 * time.Millisecond
	// maxCheckDelay is how late the check for silence is at most in a process that runs. One that stood still has not
	// read yet what came meanwhile.
	maxCheckDelay = 100 * time.Millisecond
	// overduePollInterval is how often a request whose response is overdue looks for another peer.
	overduePollInterval = 250 * time.Millisecond
	// maxElsewhereDials is how many peers are dialed to learn whether one takes a request.
	maxElsewhereDials = 2
)

// decideEarlyEnd decides whether an attempt whose connection is open ends before its deadline: if its peer is
// proven to be lost, or if it may be and the request is taken elsewhere. If only its head is overdue, a second
// attempt is made beside it, which ends it once that one is answered (settle). Silence alone ends nothing, since a
// sound peer may pause, and meanwhile new connections to it may not be answered or may be reset.
func decideEarlyEnd(sign silenceSign, overdue bool, elsewhere func() bool) endCause {
	switch {
	case sign.proof != lossUnproven:
		return causeLoss
	case sign.suspected && elsewhere():
		return causeSilence
	case overdue && elsewhere():
		return causeOverdueHead
	}
	return causeNone
}

// attemptWatch ends an attempt before its deadline by decideEarlyEnd.
type attemptWatch struct {
	ctx  context.Context
	peer *Peer
	now  func() time.Time
	// acknowledgedNothing returns for how long the host of a connection has acknowledged nothing.
	acknowledgedNothing func(net.Conn) time.Duration
	// end closes the connection of the attempt.
	end func()
	// elsewhere returns where the request goes on, nil if it must not be sent again or nobody takes it; begun
	// tells that its client has a part of the stream.
	elsewhere atomic.Pointer[elsewhereFunc]
	// offered gets where a second attempt can be made as the head of the response is overdue.
	offered   chan *nextPeer
	startedAt time.Time
	// heard is when the peer last sent something, as the time since startedAt; 0 if it has not.
	heard atomic.Int64
	// checkDue is when the peer is to be checked for silence, as the time since startedAt.
	checkDue atomic.Int64
	raw      atomic.Pointer[net.Conn]
	// begun is set once the client has a part of the stream, unrepeatable if no other attempt can go on with
	// what it has.
	begun, unrepeatable atomic.Bool
	headRead            atomic.Bool
	// relaying is set while what the peer sent is passed on, so that it is not waited for.
	relaying      atomic.Bool
	silence, head *time.Timer
	// givenUp is why the attempt was ended, nil if it was not.
	givenUp atomic.Pointer[earlyEnd]

	mu sync.Mutex
	// stopped is set once nothing is prepared any more.
	stopped bool
}

// elsewhereFunc returns where a request goes on, nil if nowhere. A repeat is taken for it.
type elsewhereFunc func(now time.Time, begun bool) *nextPeer

// watchAttempt returns a watch that calls end if the attempt is to end before its deadline. The head of the
// response is overdue from headDue on, the zero time for never.
func (c *call) watchAttempt(ctx context.Context, peer *Peer, now, headDue time.Time, elsewhere elsewhereFunc, end func()) *attemptWatch {
	w := &attemptWatch{ctx: ctx, peer: peer, now: c.handler.options.Now, acknowledgedNothing: c.handler.options.Fleet.unacknowledged, end: end, offered: make(chan *nextPeer, 1), startedAt: now}
	w.elsewhere.Store(&elsewhere)
	w.begun.Store(c.stream != nil && c.stream.started)
	w.unrepeatable.Store(c.origin.Unresolved())
	// A check may use its timer, so none starts before both are set.
	w.silence, w.head = time.AfterFunc(math.MaxInt64, w.checkSilence), time.AfterFunc(math.MaxInt64, w.checkHead)
	w.awaitSilence(silenceTimeout)
	if !headDue.IsZero() {
		w.head.Reset(headDue.Sub(now))
	}
	c.watch = w
	return w
}

// stop ends the checks and drops what was prepared for an attempt that is not made.
func (w *attemptWatch) stop() {
	w.silence.Stop()
	w.head.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if given := w.givenUp.Swap(nil); given != nil {
		given.next.drop(w.now())
	}
	select {
	case next := <-w.offered:
		next.drop(w.now())
	default:
	}
}

// setElsewhere changes where the request can go on. The head of the response counts as overdue from headDue on, the
// zero time for never.
func (w *attemptWatch) setElsewhere(elsewhere elsewhereFunc, now, headDue time.Time) {
	w.elsewhere.Store(&elsewhere)
	if headDue.IsZero() {
		w.head.Stop()
		return
	}
	w.head.Reset(max(headDue.Sub(now), overduePollInterval))
}

// dropNext drops what was prepared for the next attempt as this one was given up.
func (w *attemptWatch) dropNext() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if given := w.givenUp.Load(); given != nil {
		given.next.drop(w.now())
		without := *given
		without.next = nil
		w.givenUp.Store(&without)
	}
}

// gaveUp reports whether the attempt was ended. Its connection may stay open for a moment.
func (w *attemptWatch) gaveUp() bool { return w.givenUp.Load() != nil }

// noteSent records the connection on which the request is sent.
func (w *attemptWatch) noteSent(raw net.Conn) {
	w.raw.Store(&raw)
	w.awaitSilence(silenceTimeout)
}

// noteHead records that the head of a response has arrived, and watches its body.
func (w *attemptWatch) noteHead(response *http.Response) {
	w.headRead.Store(true)
	w.noteHeard()
	response.Body = &watchedBody{ReadCloser: response.Body, watch: w}
}

// noteHeard records that the peer has sent something.
func (w *attemptWatch) noteHeard() {
	w.heard.Store(int64(max(w.now().Sub(w.startedAt), 1)))
	w.awaitSilence(silenceTimeout)
}

// awaitSilence makes the peer be checked after a time.
func (w *attemptWatch) awaitSilence(wait time.Duration) {
	w.checkDue.Store(int64(w.now().Add(wait).Sub(w.startedAt)))
	w.silence.Reset(wait)
}

// stoodStill reports whether the process did not run as the peer was to be checked.
func (w *attemptWatch) stoodStill() bool {
	return w.now().Sub(w.startedAt)-time.Duration(w.checkDue.Load()) > maxCheckDelay
}

// noteBegun records that the client has a part of the response. unrepeatable tells that no other attempt can go
// on with it.
func (w *attemptWatch) noteBegun(unrepeatable bool) {
	w.unrepeatable.Store(unrepeatable)
	w.begun.Store(true)
}

// heardAt returns when the peer last sent something, the zero time if it has not.
func (w *attemptWatch) heardAt() time.Time {
	if heard := w.heard.Load(); heard > 0 {
		return w.startedAt.Add(time.Duration(heard))
	}
	return time.Time{}
}

// checkSilence looks for signs that the peer is lost. The time in which this process stood still is no silence.
func (w *attemptWatch) checkSilence() {
	if w.ctx.Err() != nil {
		return
	}
	if w.stoodStill() {
		w.awaitSilence(silenceTimeout)
		return
	}
	pause := silenceTimeout
	if heard := w.heard.Load(); !w.relaying.Load() {
		sign := examineSilence(w.peer, w.unacknowledged)
		if w.endIf(sign, false, heard) {
			return
		}
		if sign.unanswered {
			pause = unansweredPause
		}
	}
	w.awaitSilence(pause)
}

// checkHead offers a second attempt if the head of the response is overdue and another peer takes the request.
func (w *attemptWatch) checkHead() {
	heard := w.heard.Load()
	if w.ctx.Err() != nil || w.headRead.Load() || w.endIf(silenceSign{}, true, heard) {
		return
	}
	w.head.Reset(overduePollInterval)
}

// endIf ends the attempt if it is to end early, or offers a second one, and reports whether it has. What the peer
// has sent since the check began, at heard, shows that it is not lost.
func (w *attemptWatch) endIf(sign silenceSign, overdue bool, heard int64) bool {
	var next *nextPeer
	cause := decideEarlyEnd(sign, overdue, func() bool {
		if !w.unrepeatable.Load() {
			next = (*w.elsewhere.Load())(w.now(), w.begun.Load())
		}
		return next != nil
	})
	if cause == causeNone {
		return false
	}
	if w.heard.Load() != heard || w.ctx.Err() != nil {
		next.drop(w.now())
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		next.drop(w.now())
	case cause == causeOverdueHead:
		w.offer(next)
	default:
		w.givenUp.Store(&earlyEnd{cause: cause, evidence: sign.evidence, proof: sign.proof, next: next})
		w.end()
	}
	return true
}

// offer offers a second attempt beside this one; the lock is held.
func (w *attemptWatch) offer(next *nextPeer) {
	select {
	case w.offered <- next:
	default:
		next.drop(w.now())
	}
}

// unacknowledged returns for how long the peer's host has acknowledged nothing, 0 if that is not known. An idle
// time before the request was sent does not count.
func (w *attemptWatch) unacknowledged() time.Duration {
	raw := w.raw.Load()
	if raw == nil {
		return 0
	}
	since := w.startedAt.Add(time.Duration(w.heard.Load()))
	return min(w.acknowledgedNothing(*raw), w.now().Sub(since))
}

// watchedBody is the body of a response whose attempt is watched.
type watchedBody struct {
	io.ReadCloser
	watch *attemptWatch
}

// Read tells the watch for how long the peer is waited for, and when it has sent something.
func (b *watchedBody) Read(p []byte) (int, error) {
	if b.watch.relaying.CompareAndSwap(true, false) {
		b.watch.awaitSilence(silenceTimeout)
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.relaying.Store(true)
		b.watch.noteHeard()
	}
	return n, err
}

// nextPeer is a peer that takes a request whose attempt is given up. conn is a connection that it has accepted,
// nil if the next attempt makes its own. A repeat was taken from the budget.
type nextPeer struct {
	peer    *Peer
	conn    *conn
	budget  *Budget
	takenAt time.Time
}

// drop gives back what was taken for an attempt that is not made.
func (n *nextPeer) drop(now time.Time) {
	if n == nil {
		return
	}
	n.budget.GiveBack(n.takenAt)
	if n.conn != nil {
		n.peer.pool.putUnused(now, n.conn)
	}
}

// nowhere is the answer of a request that must not be sent again.
func nowhere(time.Time, bool) *nextPeer { return nil }

// replicaElsewhere returns a function that tells where the request goes on if its attempt at the last one of the tried
// peers ends now. It may be called by another goroutine.
func (c *call) replicaElsewhere() elsewhereFunc {
	if !c.mayRunAgain() {
		return nowhere
	}
	fleet, want, tried, take := c.handler.options.Fleet, c.requirements(), slices.Clone(c.tried), c.repeatTaker()
	return func(now time.Time, begun bool) *nextPeer {
		if !begun && c.timeAloneOver(now) {
			return nil
		}
		want := want
		if begun {
			want.Origin.Bind(now, tried[len(tried)-1].origin(), resume.Written)
		}
		return take(now, func() *nextPeer { return fleet.connectToOther(now, &want, tried) })
	}
}

// gatewayElsewhere is replicaElsewhere for a request that is forwarded to a gateway, which may have announced further runs.
func (c *call) gatewayElsewhere(s *sentAttempt) elsewhereFunc {
	if !c.mayRunAgain() {
		return nowhere
	}
	gateways, service, want, tried, take := c.handler.gatewayList, c.service, c.requirements(), slices.Clone(c.tried), c.repeatTaker()
	fleet := c.handler.options.Fleet
	allowed := func(zone string) bool { return fleet.residencyAllows(&want, zone) }
	left := c.route.Attempts - c.possibleRuns
	return func(now time.Time, _ bool) *nextPeer {
		if s.runs() >= left {
			return nil
		}
		return take(now, func() *nextPeer {
			to := gateways.pick(now, service, tried, allowed)
			if to == nil || to.probe() != dialAccepted {
				return nil
			}
			return &nextPeer{peer: to}
		})
	}
}

// elsewhere returns where the request goes on if an attempt at the last one of the tried peers ends now.
func (c *call) elsewhere(s *sentAttempt) elsewhereFunc {
	if s.forwarded {
		return c.gatewayElsewhere(s)
	}
	return c.replicaElsewhere()
}

// mayRunAgain reports whether the request may be sent to a further peer after the attempt that begins. At most two
// are under way at once.
func (c *call) mayRunAgain() bool {
	return !c.beside && c.route.Idempotent() && c.possibleRuns+1 < c.route.Attempts
}

// repeatTaker returns a function that takes a repeat from the retry budget for a peer that takes the request.
func (c *call) repeatTaker() func(now time.Time, find func() *nextPeer) *nextPeer {
	budget, h := c.handler.budgets.get(c.service), c.handler
	return func(now time.Time, find func() *nextPeer) *nextPeer {
		if !budget.Take(now, h.Gateways()) {
			return nil
		}
		next := find()
		if next == nil {
			budget.GiveBack(now)
			return nil
		}
		next.budget, next.takenAt = budget, now
		return next
	}
}

// connectToOther connects to a replica that was not tried and takes the request. It returns nil if none accepts a
// connection.
func (f *Fleet) connectToOther(now time.Time, want *Requirements, tried []*Peer) *nextPeer {
	var others []*Peer
	for _, c := range f.index.lookup(want.Service, copyKey{model: want.Model, adapter: want.Adapter}) {
		if f.mayKeepCopy(now, want, c, tried) && !c.peer.loadEstimate(now).ejected {
			others = append(others, c.peer)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, peer := range others[:min(len(others), maxElsewhereDials)] {
		if raw, err := peer.pool.connect(context.Background(), reachTimeout); err == nil {
			return &nextPeer{peer: peer, conn: newConn(raw)}
		}
	}
	return nil
}

// takeNext takes over what was prepared for the next attempt as the current one was given up.
func (c *call) takeNext() {
	given := c.watch.givenUp.Swap(nil)
	if given == nil || given.next == nil {
		return
	}
	c.repeatTaken = true
	if given.next.conn != nil {
		c.next = given.next
	}
}

// dropNext leaves the choice to the request again.
func (c *call) dropNext(now time.Time) {
	if c.next != nil {
		c.next.peer.pool.putUnused(now, c.next.conn)
		c.next = nil
	}
}

// readyConn returns the connection that a peer has accepted for the request, nil if there is none.
func (c *call) readyConn(now time.Time, peer *Peer) *conn {
	next := c.next
	if next == nil || next.peer != peer || !openAndSilent(next.conn) {
		c.dropNext(now)
		return nil
	}
	c.next = nil
	return next.conn
}
