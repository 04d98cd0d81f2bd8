package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The relay's times.
const (
	// lagTime is how long a node may know that others have applied a newer
	// configuration before it counts as detached: a change is committed and applied
	// within some tens of ms.
	lagTime = time.Second
	// uncertainAfter is for how long a node may not know that its configuration is the newest
	// before it says so: longer than elections, the longest of 300 took 1.49 s on virtual
	// time, and well below the seconds in which a configuration is to be in force.
	uncertainAfter = 2500 * time.Millisecond
	// attachEvery is how often the relay looks whether its node is detached or uncertain.
	attachEvery = 250 * time.Millisecond
	// joinPerGateway bounds what telling news costs, whatever the number of gateways: with a
	// wake-up and a write of some 50 microseconds for each, a tenth of a core at the most.
	// With 15 ms for any number, 295 gateways would take a whole one.
	joinPerGateway = 500 * time.Microsecond
)

// Relay passes on to gateways what a control node's follower learns from all control
// nodes, so that a gateway needs a single stream, from its own availability zone.
// Gateways that were told the same are sent the same bytes. It is safe for concurrent
// use.
type Relay struct {
	node     string
	zone     string
	follower *Follower
	cluster  Cluster
	now      func() time.Time
	gateways atomic.Int64
	slots    sendSlots
	// woken is raised when the quarantine has changed.
	woken wakeup.Flag

	mu sync.Mutex
	// subscribers are the gateways that follow this node, with whether each is being
	// told something beside its stream.
	subscribers map[*rpc.Peer]*atomic.Bool
	state       relayState
	changed     chan struct{}
	began       time.Time
	// borrowed is a configuration that another node has applied and this one lacked, and
	// borrowing is set while one is fetched.
	borrowed  wire.Document
	borrowing bool
	// lagsSince is since when others are known to have a newer configuration.
	lagsSince time.Time
	deltas    holdingsDelta
	// encoded are the updates that lead to the present state, by the round they lead from.
	encoded map[uint64]rpc.Notification
}

// relayState is what gateways are told as of one round; it does not change.
type relayState struct {
	// round grows with each state; 0 stands for a gateway that was told nothing.
	round    uint64
	stamp    uint64
	holdings *wire.Holdings
	members  []wire.Member
	version  uint64
	// quarantine is nil as long as no replica ended under a request.
	quarantine *wire.Quarantine
	// drains are the drained zones that this node or another has applied, whichever is newer.
	drains   *wire.ZoneDrains
	gateways int
	detached bool
	// uncertain is set while the node has not known for long that its configuration is the
	// newest, which it last knew at confirmedAt.
	uncertain   bool
	confirmedAt time.Time
}

// same reports whether a gateway learns nothing from another state but the number of
// gateways and the age of the configuration's confirmation.
func (s *relayState) same(other *relayState) bool {
	return s.stamp == other.stamp && s.holdings == other.holdings && s.version == other.version &&
		s.quarantine == other.quarantine && s.drains == other.drains && s.detached == other.detached && s.uncertain == other.uncertain && slices.Equal(s.members, other.members)
}

// NewRelay returns a relay of what a follower knows, for a node in an availability zone.
func NewRelay(node, zone string, follower *Follower, cluster Cluster, now func() time.Time) *Relay {
	return &Relay{
		node:     node,
		zone:     zone,
		follower: follower,
		cluster:  cluster,
		now:      now,
		began:    now(),
		slots:    newSendSlots(),
		woken:    wakeup.New(),
		state:    relayState{round: 1},
		changed:  make(chan struct{}),
		encoded:  map[uint64]rpc.Notification{},

		subscribers: map[*rpc.Peer]*atomic.Bool{},
	}
}

// Tell sends the same to every gateway that follows this node, but for those that have
// not taken what they were told before.
func (r *Relay) Tell(n rpc.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for peer, telling := range r.subscribers {
		if !telling.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer telling.Store(false)
			// A gateway that is not reached has lost its stream and asks for it anew.
			_ = r.slots.send(peer, n)
		}()
	}
}

// Gateways returns the number of gateways that follow this node.
func (r *Relay) Gateways() int { return int(r.gateways.Load()) }

// Wake says that the cluster's quarantine has changed.
func (r *Relay) Wake() { r.woken.Raise() }

// Run joins news into rounds until the context ends.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(attachEvery)
	defer ticker.Stop()
	for {
		news, committed := r.follower.Changed(), r.cluster.Changed()
		r.round(r.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			continue
		case <-news:
		case <-committed:
		case <-r.woken.Raised():
		}
		time.Sleep(r.Join())
	}
}

// Join is how long news waits for more before all gateways are told.
func (r *Relay) Join() time.Duration {
	return max(newsJoin, time.Duration(r.Gateways())*joinPerGateway)
}

// round takes in what is new and wakes the streams if there is anything.
func (r *Relay) round(now time.Time) {
	known := r.follower.Known()
	next := relayState{
		stamp:    known.Stamp,
		holdings: known.Holdings,
		members:  known.members(r.cluster.Members()),
		version:  r.cluster.Version(),
		gateways: known.Gateways,

		quarantine: r.cluster.Quarantine(),
		drains:     r.cluster.Drains().Newer(known.Drains),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next.version = max(next.version, r.borrowed.Version)
	next.detached = apart(known.Reach, len(next.members)) || r.lags(now, next.version, known.Version)
	r.borrowIfDue(now)
	next.confirmedAt = r.cluster.Confirmed(now)
	next.uncertain = now.Sub(later(r.began, next.confirmedAt)) > uncertainAfter
	if next.same(&r.state) {
		r.refresh(next)
		return
	}
	next.round = r.state.round + 1
	r.state = next
	clear(r.encoded)
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh takes in what the next signs of life tell: another number of gateways, which
// told at once would make each gateway that begins to follow any node news for all others,
// and how old the configuration's confirmation is. The lock is held.
func (r *Relay) refresh(next relayState) {
	r.state.gateways = next.gateways
	r.state.confirmedAt = next.confirmedAt
	clear(r.encoded)
}

// apart reports whether a node reaches no majority of the members, or knows none: one that
// lost its disk is outside until it is let in.
func apart(reach, members int) bool { return members == 0 || reach*2 <= members }

// lags reports whether others have had a newer configuration for too long; the lock is
// held.
func (r *Relay) lags(now time.Time, own, newest uint64) bool {
	if own >= newest {
		r.lagsSince = time.Time{}
		return false
	}
	if r.lagsSince.IsZero() {
		r.lagsSince = now
	}
	return now.Sub(r.lagsSince) > lagTime
}

// stream tells a gateway what is new until it is gone.
func (r *Relay) stream(peer *rpc.Peer) {
	r.subscribe(peer)
	defer r.unsubscribe(peer)
	ticker := time.NewTicker(signEvery)
	defer ticker.Stop()
	var told relayState
	for {
		update, state, changed, err := r.next(told)
		if err == nil {
			err = r.slots.send(peer, update)
		}
		if err != nil {
			return
		}
		told = state
		select {
		case <-changed:
		case <-ticker.C:
		case <-peer.Done():
			return
		}
	}
}

func (r *Relay) subscribe(peer *rpc.Peer) {
	r.gateways.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[peer] = &atomic.Bool{}
}

func (r *Relay) unsubscribe(peer *rpc.Peer) {
	r.gateways.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, peer)
}

// next returns the encoded update for a gateway that was told a state, the state that
// it leads to, and a channel that is closed when there is more.
func (r *Relay) next(told relayState) (rpc.Notification, relayState, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update, found := r.encoded[told.round]
	if !found {
		var err error
		if update, err = rpc.NewNotification(wire.MethodFeed, r.update(&told)); err != nil {
			return rpc.Notification{}, told, nil, err
		}
		r.encoded[told.round] = update
	}
	return update, r.state, r.changed, nil
}

// update returns what a gateway that was told a state does not know; the lock is held.
func (r *Relay) update(told *relayState) wire.FeedUpdate {
	s := &r.state
	update := wire.FeedUpdate{Version: s.version, Gateways: s.gateways, Detached: s.detached, Uncertain: s.uncertain}
	if !s.confirmedAt.IsZero() {
		update.ConfirmedMS = max(r.now().Sub(s.confirmedAt).Milliseconds(), 1)
	}
	if told.round == 0 {
		update.Node, update.Zone, update.Full = r.node, r.zone, true
	}
	if !slices.Equal(told.members, s.members) {
		update.Members = s.members
	}
	if told.stamp != s.stamp {
		update.Standings = r.follower.Standings(told.stamp)
	}
	if told.quarantine != s.quarantine {
		update.Quarantine = s.quarantine
	}
	if told.drains != s.drains {
		update.Drains = s.drains
	}
	if told.holdings != s.holdings {
		update.Holdings = r.deltas.since(told.holdings, s.holdings)
	}
	return update
}
