package exchange

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/owner"
	"github.com/moorspool/moorspool/src/schedule"
	"github.com/moorspool/moorspool/src/wire"
	"github.com/moorspool/moorspool/src/work"
)

// Places gives requests their places at replicas with small batches while these are short of room.
type Places struct {
	// Request waits for a place. It is nil if no control node gives any.
	Request func(ctx context.Context, request wire.QueueRequest) (wire.QueueReply, error)
	// Release gives a place back, or withdraws a request that waits. It must not block.
	Release func(wire.QueuePlace)
}

const (
	// ownerRetryDelay is how long a gateway queues its requests by itself after a request for a place
	// that no control node answered.
	ownerRetryDelay = 500 * time.Millisecond
	// maxPlaceRequests is how often one attempt asks for a place: a replica may have been drained or
	// have asked for a backoff before the place was given.
	maxPlaceRequests = 3
	// placeReplyMargin is taken off the time that a request may wait, so that its refusal reaches the
	// client before it gives up.
	placeReplyMargin = 75 * time.Millisecond
	// grantHoldTime is how long a request that waits keeps what its account was granted, which is
	// lost if it is not spent within a tenth of a second or more. A request that waits for longer
	// gives it back and asks again once it has its place.
	grantHoldTime = 50 * time.Millisecond
	// maxCandidates bounds the replicas among which a request asks for a place. A model with more
	// copies than that has room at one of the best.
	maxCandidates = 12
)

// placeQueues is the state of a handler's requests for places. It is safe for concurrent use.
type placeQueues struct {
	// local queues requests that no control node answers. It runs from the first one on.
	local  *owner.Queues
	start  sync.Once
	lastID atomic.Uint64
	// retryAt is when a control node is asked again, in nanoseconds; 0 while they answer.
	retryAt atomic.Int64
	// waiting counts the requests that wait, so that no lock is taken while there are none.
	waiting atomic.Int64

	mu sync.Mutex
	// waitingByKey counts them by what they wait for.
	waitingByKey map[queueKey]int
}

func newPlaceQueues(f *Fleet, now func() time.Time) *placeQueues {
	p := &placeQueues{local: owner.NewQueues(owner.QueuesOptions{State: f.queueState, Now: now}), waitingByKey: map[queueKey]int{}}
	p.lastID.Store(rand.Uint64())
	return p
}

// enter counts a request that waits.
func (p *placeQueues) enter(key queueKey) {
	p.waiting.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingByKey[key]++
}

// leave counts a request that waits no longer.
func (p *placeQueues) leave(key queueKey) {
	p.waiting.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingByKey[key]--
	if p.waitingByKey[key] == 0 {
		delete(p.waitingByKey, key)
	}
}

// any reports whether requests of this gateway wait.
func (p *placeQueues) any(key queueKey) bool {
	if p.waiting.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitingByKey[key] > 0
}

// mayAsk reports whether a control node is to be asked. After one has not answered, one request at a
// time finds out whether they do again.
func (p *placeQueues) mayAsk(now time.Time) bool {
	retryAt := p.retryAt.Load()
	if retryAt == 0 {
		return true
	}
	return now.UnixNano() >= retryAt && p.retryAt.CompareAndSwap(retryAt, now.Add(ownerRetryDelay).UnixNano())
}

// heldPlace is the place of an attempt.
type heldPlace struct {
	wire.QueuePlace
	// local is set if the gateway itself gave the place.
	local bool
}

// placeCandidate is a replica that could serve a request.
type placeCandidate struct {
	peer    *Peer
	cost    float64
	prefill int
	// prefillTime is the time to read the prompt, work that in a slot.
	prefillTime time.Duration
	work        time.Duration
	estimate    loadEstimate
}

// needsPlace reports whether the request needs a place: no replica has a free slot, or others wait for
// one. Replicas that need a permit are asked for one instead.
func (c *call) needsPlace(choice *Choice) bool {
	if !choice.SmallBatch || c.placeRequests >= maxPlaceRequests || c.handler.options.Fleet.needsPermit(choice.Peer) {
		return false
	}
	return !choice.Free || c.handler.placeQueues.any(c.newQueueKey())
}

// awaitPlace waits for a place at one of the replicas. It returns false if the replica of the place may
// not get the request any more.
func (c *call) awaitPlace(ctx context.Context, want *Requirements, choice Choice) (Choice, bool) {
	h := c.handler
	asked := h.options.Now()
	batch := h.options.Fleet.newBatchWork(asked, want)
	candidates := h.options.Fleet.placeCandidates(asked, want, &batch, c.excluded())
	if len(candidates) == 0 {
		return choice, true
	}
	key := c.newQueueKey()
	h.placeQueues.enter(key)
	defer h.placeQueues.leave(key)
	c.placeRequests++
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(-responseMargin))
	defer cancel()
	defer c.returnGrantLater()()
	reply := c.requestPlace(ctx, c.newPlaceRequest(asked, &batch, candidates, c.breaksIn(&choice)))
	waited := h.options.Now().Sub(asked)
	h.options.Metrics.PlaceWait.RecordDuration(waited)
	if reply.Replica == "" && c.breaksIn(&choice) && ctx.Err() == nil {
		choice.Reason += ", no place in time: " + reply.Reason
		return choice, true
	}
	if reply.Replica == "" {
		h.options.Metrics.PlacesRefused.Inc(1)
		c.retryIn = time.Duration(reply.RetryMS) * time.Millisecond
		return Choice{Verdict: NoRoom, Reason: reply.Reason}, true
	}
	at := slices.IndexFunc(candidates, func(p placeCandidate) bool { return p.peer.ID() == reply.Replica })
	peer := h.options.Fleet.Peer(reply.Replica)
	if at < 0 || peer == nil || !h.options.Fleet.acceptsWithoutPermit(peer) || !h.options.Fleet.mayServe(want, peer.zone(), peer) {
		c.releasePlace()
		return Choice{}, false
	}
	return candidates[at].choice(&batch, choice, "place after "+waited.String()+", "+reply.Reason), true
}

// returnGrantLater gives back what the account was granted once the request has waited for
// grantHoldTime, unless the returned function is called before. Nothing else may use the grant until
// then.
func (c *call) returnGrantLater() (stop func()) {
	returned := make(chan struct{})
	timer := time.AfterFunc(grantHoldTime, func() {
		defer close(returned)
		c.returnGrant()
	})
	return func() {
		if !timer.Stop() {
			<-returned
		}
	}
}

// requestPlace asks a control node for a place. If none answers, the request waits in a queue of this
// gateway.
func (c *call) requestPlace(ctx context.Context, request wire.QueueRequest) wire.QueueReply {
	h := c.handler
	queues := h.placeQueues
	asked := h.options.Now()
	if h.options.Places.Request != nil && queues.mayAsk(asked) {
		reply, err := h.options.Places.Request(ctx, request)
		if err == nil && reply.Known {
			queues.retryAt.Store(0)
			c.holdPlace(reply, heldPlace{QueuePlace: wire.QueuePlace{ID: request.ID, Owner: reply.Owner}})
			return reply
		}
		h.options.Places.Release(wire.QueuePlace{ID: request.ID})
		if ctx.Err() != nil {
			return wire.QueueReply{}
		}
		c.goAlone(err)
		request.Elapse(h.options.Now().Sub(asked))
	}
	queues.start.Do(func() { go queues.local.Run(context.Background()) })
	key := owner.Key{Service: request.Service, Model: request.Model}
	result, err := queues.local.Request(ctx, request.ID, key, owner.ToSchedule(request))
	if err != nil {
		return wire.QueueReply{}
	}
	reply := wire.QueueReply{Known: true, Replica: result.Replica, RetryMS: result.RetryAfter.Milliseconds(), Reason: result.Reason + ", by this gateway alone"}
	c.holdPlace(reply, heldPlace{QueuePlace: wire.QueuePlace{ID: request.ID}, local: true})
	return reply
}

// goAlone makes the gateway queue its requests by itself for a while.
func (c *call) goAlone(err error) {
	h := c.handler
	reason := "no control node gives places"
	if err != nil {
		reason = err.Error()
	}
	if h.placeQueues.retryAt.Swap(h.options.Now().Add(ownerRetryDelay).UnixNano()) == 0 {
		h.options.Metrics.PlacesAlone.Inc(1)
		h.options.Ring.Add(event.Event{Kind: event.QueueAlone, Reason: reason})
	}
}

// holdPlace keeps the place that a reply gives until it is released.
func (c *call) holdPlace(reply wire.QueueReply, place heldPlace) {
	if reply.Replica != "" {
		c.heldPlace = place
	}
}

// releasePlace gives the place of an attempt back, if it has one.
func (c *call) releasePlace() {
	place := c.heldPlace
	c.heldPlace = heldPlace{}
	switch {
	case place.ID == 0:
	case place.local:
		c.handler.placeQueues.local.Release(place.ID)
	default:
		c.handler.options.Places.Release(place.QueuePlace)
	}
}

// firstEventMargin multiplies the expected time from a place to the first event, beside the prompt: a
// replica with all slots taken takes longer than the mean.
const firstEventMargin = 2.0

// breakInDivisor divides the time for which a request that breaks into a full batch waits for a place. What
// is left of it is for the wait at the replica until the stream that it preempts has made way.
const breakInDivisor = 4

// newPlaceRequest returns the request for a place at one of the candidates. Its target is that of the
// first event, less the time that the replica needs for it apart from the prompt. A request that breaks
// into a full batch waits for a part of that.
func (c *call) newPlaceRequest(now time.Time, batch *batchWork, candidates []placeCandidate, breaksIn bool) wire.QueueRequest {
	overhead := work.Scale(batch.overhead, candidates[0].estimate.slowness()*firstEventMargin)
	request := wire.QueueRequest{
		ID:         c.handler.placeQueues.lastID.Add(1),
		Service:    c.service,
		Model:      c.requestInfo.Model,
		Kind:       c.route.Name,
		Account:    c.accountName(),
		Weight:     1,
		Priority:   c.priority(),
		TargetMS:   (c.firstByteDue().Sub(now) - overhead).Milliseconds(),
		DeadlineMS: (c.deadline.Sub(now) - placeReplyMargin).Milliseconds(),
		Candidates: make([]wire.QueueCandidate, 0, len(candidates)),
	}
	if breaksIn {
		request.TargetMS /= breakInDivisor
		request.DeadlineMS = min(request.DeadlineMS, request.TargetMS)
	}
	for i := range candidates {
		request.Candidates = append(request.Candidates, wire.QueueCandidate{
			Replica:   candidates[i].peer.ID(),
			PrefillMS: candidates[i].prefillTime.Milliseconds(),
			WorkMS:    candidates[i].work.Milliseconds(),
		})
	}
	return request
}

// choice returns the choice of the candidate instead of another replica.
func (p *placeCandidate) choice(batch *batchWork, other Choice, reason string) Choice {
	other.Peer, other.PrefillTokens, other.Backlog, other.Reason = p.peer, p.prefill, p.estimate.backlog, reason
	batch.complete(&other, &p.estimate)
	return other
}

// placeCandidates returns the replicas that could serve a request now, best first.
func (f *Fleet) placeCandidates(now time.Time, want *Requirements, batch *batchWork, tried []*Peer) []placeCandidate {
	held := copyKey{model: want.Model, adapter: want.Adapter}
	var candidates []placeCandidate
	for _, c := range f.index.lookup(want.Service, held) {
		if !f.mayServe(want, c.zone, c.peer) || !f.acceptsWithoutPermit(c.peer) || wasTried(tried, c.peer) || c.peer.lacksCopy(now, held) {
			continue
		}
		p := placeCandidate{peer: c.peer, estimate: c.peer.loadEstimate(now)}
		p.cost, p.prefill, _ = f.batchCost(c, want, batch, &p.estimate)
		p.prefillTime = work.Scale(batch.room.prefill, p.estimate.slowness())
		p.work = p.prefillTime + work.Scale(batch.decode, p.estimate.usualFactor())
		candidates = append(candidates, p)
	}
	slices.SortFunc(candidates, func(a, b placeCandidate) int { return cmp.Compare(a.cost, b.cost) })
	return candidates[:min(len(candidates), maxCandidates)]
}

// queueState returns the load of a replica for the queues of this gateway.
func (f *Fleet) queueState(now time.Time, replica string) (schedule.State, bool) {
	peer := f.Peer(replica)
	if peer == nil || !f.acceptsWithoutPermit(peer) {
		return schedule.State{}, false
	}
	estimate := peer.loadEstimate(now)
	return schedule.State{Slots: estimate.slots, Running: estimate.running, Waiting: estimate.waiting, Backlog: estimate.backlog}, true
}
