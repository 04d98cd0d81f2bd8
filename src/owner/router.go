package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/schedule"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// probeInterval is how often a lost owner is asked whether it is back.
	probeInterval = 200 * time.Millisecond
	// Silence is how long a node may be silent before calls that wait there fail; with the ping that
	// follows, a lost owner costs a request twice this time.
	Silence = 150 * time.Millisecond
	// withdrawnTTL is how long the withdrawal of a request is remembered that arrived before it. Both
	// wait in the same connection while this node is suspended.
	withdrawnTTL = 5 * time.Second
)

// errNoPlaces means that a node has answered without a decision.
var errNoPlaces = errors.New("it gives no places")

// RouterOptions are the dependencies of a Router.
type RouterOptions struct {
	// Self is the address of this node, Members returns those of all control nodes.
	Self    string
	Members func() []string
	Queues  *Queues
	// Call asks the owner at an address for a place. It must fail soon after the owner was lost.
	Call func(ctx context.Context, address string, request wire.QueueRequest) (wire.QueueReply, error)
	// Release forwards places to the node that gave them. It may block for a while.
	Release func(address string, release wire.QueueRelease)
	// Probe reports whether the node at an address answers.
	Probe func(ctx context.Context, address string) error
	Now   func() time.Time
	// Lost and Found are called when an owner does not answer any more and when it does again.
	Lost  func(address string, err error)
	Found func(address string)
}

// Router gives a gateway's requests to the owner of their model. It is safe for concurrent use.
type Router struct {
	options RouterOptions

	mu sync.Mutex
	// lost holds the nodes that did not answer as owners.
	lost map[string]bool
	// asking holds the requests in progress by ID.
	asking map[uint64]context.CancelFunc
	// withdrawn holds when requests were withdrawn that have not arrived.
	withdrawn map[uint64]time.Time
}

// NewRouter returns a router to which all other nodes are in reach.
func NewRouter(options RouterOptions) *Router {
	return &Router{options: options, lost: map[string]bool{}, asking: map[uint64]context.CancelFunc{}, withdrawn: map[uint64]time.Time{}}
}

// Request waits for the place of a request at the owner of its model. If the owner is lost, the
// request waits in this node's own queue.
func (r *Router) Request(ctx context.Context, peer *rpc.Peer, request wire.QueueRequest) wire.QueueReply {
	ctx, done := r.begin(ctx, peer, request.ID)
	defer done()
	startedAt := r.options.Now()
	owner := r.Owner(Key{Service: request.Service, Model: request.Model})
	if owner != r.options.Self {
		reply, err := r.options.Call(ctx, owner, request)
		if err == nil && reply.Known {
			reply.Owner = owner
			return reply
		}
		// The owner may be alive and give the place later.
		go r.options.Release(owner, wire.QueueRelease{Places: []wire.QueuePlace{{ID: request.ID, Owner: owner}}})
		if ctx.Err() != nil {
			return wire.QueueReply{}
		}
		if err == nil {
			err = errNoPlaces
		}
		r.MarkLost(owner, err)
		request.Elapse(r.options.Now().Sub(startedAt))
	}
	return r.queueHere(ctx, request)
}

// RequestOwn waits for the place of a request that another node has forwarded to this one.
func (r *Router) RequestOwn(ctx context.Context, peer *rpc.Peer, request wire.QueueRequest) wire.QueueReply {
	ctx, done := r.begin(ctx, peer, request.ID)
	defer done()
	return r.queueHere(ctx, request)
}

// queueHere waits for a place in this node's queue.
func (r *Router) queueHere(ctx context.Context, request wire.QueueRequest) wire.QueueReply {
	key := Key{Service: request.Service, Model: request.Model}
	result, err := r.options.Queues.Request(ctx, request.ID, key, ToSchedule(request))
	if err != nil {
		return wire.QueueReply{}
	}
	return wire.QueueReply{Known: true, Replica: result.Replica, Owner: r.options.Self, RetryMS: result.RetryAfter.Milliseconds(), Reason: result.Reason}
}

// begin registers a request, which ends when it is released or its caller is lost.
func (r *Router) begin(ctx context.Context, peer *rpc.Peer, id uint64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.asking[id] = cancel
	if _, withdrawn := r.withdrawn[id]; withdrawn {
		cancel()
	}
	r.mu.Unlock()
	if peer != nil {
		go func() {
			select {
			case <-peer.Done():
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return ctx, func() {
		r.mu.Lock()
		delete(r.asking, id)
		r.mu.Unlock()
		cancel()
	}
}

// Release gives places back, or passes them on to the nodes that gave them.
func (r *Router) Release(release wire.QueueRelease) {
	others := map[string]wire.QueueRelease{}
	for _, p := range release.Places {
		if p.Owner != "" && p.Owner != r.options.Self {
			other := others[p.Owner]
			other.Places = append(other.Places, p)
			others[p.Owner] = other
			continue
		}
		asking := r.withdraw(p.ID)
		if placed := r.options.Queues.Release(p.ID); !asking && !placed {
			r.rememberWithdrawal(p.ID)
		}
	}
	for address, other := range others {
		go r.options.Release(address, other)
	}
}

// withdraw ends a request in progress, and reports whether there is one with the ID.
func (r *Router) withdraw(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel := r.asking[id]
	if cancel != nil {
		cancel()
	}
	return cancel != nil
}

// rememberWithdrawal keeps the withdrawal of a request that has not arrived yet.
func (r *Router) rememberWithdrawal(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for other, at := range r.withdrawn {
		if now.Sub(at) > withdrawnTTL {
			delete(r.withdrawn, other)
		}
	}
	r.withdrawn[id] = now
}

// Owner returns the address of the node that owns a key.
func (r *Router) Owner(key Key) string {
	members := r.options.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestRank := r.options.Self, rank(key, r.options.Self)
	for _, address := range members {
		if r.lost[address] || address == r.options.Self {
			continue
		}
		if other := rank(key, address); other > bestRank {
			best, bestRank = address, other
		}
	}
	return best
}

// MarkLost excludes a node from the owners until it answers again.
func (r *Router) MarkLost(address string, err error) {
	r.mu.Lock()
	known := r.lost[address]
	r.lost[address] = true
	r.mu.Unlock()
	if known {
		return
	}
	r.options.Lost(address, err)
	go r.awaitReturn(address)
}

// awaitReturn probes a lost node until it answers.
func (r *Router) awaitReturn(address string) {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
		err := r.options.Probe(ctx, address)
		cancel()
		if err == nil {
			r.options.Found(address)
			break
		}
		if !r.isMember(address) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lost, address)
}

// isMember reports whether an address is that of a control node.
func (r *Router) isMember(address string) bool {
	for _, member := range r.options.Members() {
		if member == address {
			return true
		}
	}
	return false
}

// ToSchedule converts a request for a queue.
func ToSchedule(request wire.QueueRequest) schedule.Request {
	converted := schedule.Request{
		Kind:          request.Kind,
		Account:       request.Account,
		AccountWeight: request.Weight,
		Priority:      request.Priority,
		Target:        time.Duration(request.TargetMS) * time.Millisecond,
		Deadline:      time.Duration(request.DeadlineMS) * time.Millisecond,
		Returned:      request.Returned,
		Candidates:    make([]schedule.Candidate, 0, len(request.Candidates)),
	}
	for _, c := range request.Candidates {
		converted.Candidates = append(converted.Candidates, schedule.Candidate{
			Replica: c.Replica,
			Prefill: time.Duration(c.PrefillMS) * time.Millisecond,
			Work:    time.Duration(c.WorkMS) * time.Millisecond,
		})
	}
	return converted
}
