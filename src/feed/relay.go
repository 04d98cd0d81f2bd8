package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/closes"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of a relay.
const (
	// lagLimit is how long a node may lack a newer configuration that others have applied before it
	// counts as detached. A change is normally committed and applied within some tens of ms.
	lagLimit = time.Second
	// uncertainAfter is how long a node may be unable to confirm that its configuration is the
	// newest before it reports so. It is longer than elections, the longest of 300 taking 1.49 s in
	// virtual time, and well below the seconds within which a configuration must be in force.
	uncertainAfter = 2500 * time.Millisecond
	// statusInterval is how often the relay checks whether its node is detached or uncertain.
	statusInterval = 250 * time.Millisecond
	// batchDelayPerGateway bounds the cost of sending updates regardless of the number of gateways:
	// at some 50 microseconds for a wake-up and a write per gateway, a tenth of a core. With 15 ms
	// for any number, 295 gateways would take a whole core.
	batchDelayPerGateway = 500 * time.Microsecond
)

// Relay passes the merged view of a control node's follower on to gateways, so that a gateway needs
// only one stream, from its own availability zone. Gateways in the same state are sent the same
// encoded bytes. A Relay is safe for concurrent use.
type Relay struct {
	node     string
	zone     string
	follower *Follower
	cluster  Cluster
	now      func() time.Time
	gateways atomic.Int64
	slots    sendSlots
	// stateChanged is raised when the quarantine or the software that closes short has changed or the configuration was confirmed.
	stateChanged wakeup.Flag

	mu sync.Mutex
	// subscribers are the gateways that follow this node.
	subscribers map[*rpc.Peer]*subscriber
	// listed are the subscribers that accept forwarded requests. Each change yields a new pointer.
	listed    *wire.GatewayList
	state     relayState
	changed   chan struct{}
	startedAt time.Time
	// peerDocument is a configuration fetched from another node that this one had not applied yet,
	// and fetchingFromPeer is set during such a fetch.
	peerDocument     wire.Document
	fetchingFromPeer bool
	// laggingSince is since when others are known to have a newer configuration, or zero.
	laggingSince time.Time
	deltas       deltaCache
	// encoded holds the encoded updates that lead to the current state, by what they start from.
	encoded map[sentState]encodedUpdate
}

// encodedUpdate is an update and when it was encoded, as of which it says how old the confirmation is.
type encodedUpdate struct {
	rpc.Notification
	at time.Time
}

// sentState identifies what a gateway was sent.
type sentState struct {
	round uint64
	peers *wire.GatewayList
}

// subscriber is a gateway that follows a node.
type subscriber struct {
	// sending is set while Broadcast is sending to the gateway.
	sending atomic.Bool
	// peer is the gateway's state for other gateways, nil if it accepts no forwarded requests.
	peer *wire.GatewayPeer
}

// relayState is the state sent to gateways as of one round. It is immutable but for the fields that
// refreshKeepalive sets.
type relayState struct {
	// round increases with each state; 0 stands for a gateway that was sent nothing yet.
	round    uint64
	stamp    uint64
	holdings *wire.Holdings
	members  []wire.Member
	version  uint64
	// quarantine is nil until a replica first ends while it runs a request.
	quarantine *wire.Quarantine
	// shortCloses is nil until software is first seen to close short.
	shortCloses *[]closes.Entry
	// drains are the drained zones that this node or another has applied, whichever are newer.
	drains   *wire.ZoneDrains
	gateways int
	// peers lists gateways that requests can be forwarded to.
	peers    *wire.GatewayList
	detached bool
	// uncertain is set while the node has been unable to confirm for uncertainAfter that its
	// configuration is the newest; confirmedAt is the last time that it could.
	uncertain   bool
	confirmedAt time.Time
}

// drainsRevision returns the revision of the drained zones.
func (s *relayState) drainsRevision() uint64 {
	if s.drains == nil {
		return 0
	}
	return s.drains.Revision
}

// equivalent reports whether two states differ at most in the gateways and in when the
// configuration was confirmed. Whether it ever was makes a difference: started gateways wait for that.
func (s *relayState) equivalent(other *relayState) bool {
	return s.confirmedAt.IsZero() == other.confirmedAt.IsZero() && s.stamp == other.stamp && s.holdings == other.holdings && s.version == other.version &&
		s.quarantine == other.quarantine && s.shortCloses == other.shortCloses && s.drains == other.drains && s.detached == other.detached && s.uncertain == other.uncertain && slices.Equal(s.members, other.members)
}

// NewRelay returns a relay of a follower's view, for a node in an availability zone.
func NewRelay(node, zone string, follower *Follower, cluster Cluster, now func() time.Time) *Relay {
	return &Relay{
		node:         node,
		zone:         zone,
		follower:     follower,
		cluster:      cluster,
		now:          now,
		startedAt:    now(),
		slots:        newSendSlots(),
		stateChanged: wakeup.New(),
		state:        relayState{round: 1},
		changed:      make(chan struct{}),
		encoded:      map[sentState]encodedUpdate{},

		subscribers: map[*rpc.Peer]*subscriber{},
	}
}

// Broadcast sends a notification to every gateway that follows this node, except those to which the
// previous one is still being sent.
func (r *Relay) Broadcast(n rpc.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for peer, s := range r.subscribers {
		if !s.sending.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer s.sending.Store(false)
			// A gateway that can't be reached has lost its stream and will reopen it.
			_ = r.slots.send(peer, n)
		}()
	}
}

// Gateways returns the number of gateways that follow this node.
func (r *Relay) Gateways() int { return int(r.gateways.Load()) }

// StateChanged signals that the cluster's quarantine or software that closes short has changed, or that its configuration was confirmed for
// the first time.
func (r *Relay) StateChanged() { r.stateChanged.Raise() }

// Run batches changes into rounds until the context ends.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		followerChanged, configChanged := r.follower.Changed(), r.cluster.Changed()
		r.round(r.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			continue
		case <-followerChanged:
		case <-configChanged:
		case <-r.stateChanged.Raised():
		}
		time.Sleep(r.BatchDelay())
	}
}

// BatchDelay returns how long changes are batched before they are sent to all gateways.
func (r *Relay) BatchDelay() time.Duration {
	return max(batchDelay, time.Duration(r.Gateways())*batchDelayPerGateway)
}

// round collects the current state and wakes the streams if it has changed.
func (r *Relay) round(now time.Time) {
	known := r.follower.View()
	next := relayState{
		stamp:    known.Stamp,
		holdings: known.Holdings,
		members:  known.members(r.cluster.Members()),
		version:  r.cluster.Version(),
		gateways: known.Gateways,
		peers:    known.Peers,

		quarantine:  r.cluster.Quarantine(),
		shortCloses: r.cluster.ShortCloses(),
		drains:      r.cluster.Drains().Newer(known.Drains),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next.version = max(next.version, r.peerDocument.Version)
	next.detached = withoutMajority(known.ConnectedNodes, len(next.members)) || r.lagging(now, next.version, known.Version)
	r.fetchFromPeerIfDue(now)
	next.confirmedAt = later(r.cluster.Confirmed(now), r.cluster.MajorityConfirmed(next.version, next.drainsRevision()))
	next.uncertain = now.Sub(later(r.startedAt, next.confirmedAt)) > uncertainAfter
	if next.equivalent(&r.state) {
		r.refreshKeepalive(next)
		return
	}
	next.round = r.state.round + 1
	r.state = next
	clear(r.encoded)
	close(r.changed)
	r.changed = make(chan struct{})
}

// refreshKeepalive sets the gateways and the time of the configuration's confirmation,
// which go out with the next keepalives. If they were sent at once, each gateway that connects to
// any node would cause an update for all others. The caller holds the lock.
func (r *Relay) refreshKeepalive(next relayState) {
	r.state.gateways = next.gateways
	r.state.peers = next.peers
	r.state.confirmedAt = next.confirmedAt
	clear(r.encoded)
}

// MajorityConfirmed returns the version that gateways are sent and when a majority of the voters was last
// known to have nothing newer, the zero time if never. A node that lags sends what another one has applied.
func (r *Relay) MajorityConfirmed() (version uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.version, r.cluster.MajorityConfirmed(r.state.version, r.state.drainsRevision())
}

// withoutMajority reports whether a node reaches no majority of the members. A node that knows no
// members reaches none: it has lost its disk and has not been readmitted yet.
func withoutMajority(reach, members int) bool { return members == 0 || reach*2 <= members }

// lagging reports whether others have had a newer configuration for more than lagLimit. The caller
// holds the lock.
func (r *Relay) lagging(now time.Time, own, newest uint64) bool {
	if own >= newest {
		r.laggingSince = time.Time{}
		return false
	}
	if r.laggingSince.IsZero() {
		r.laggingSince = now
	}
	return now.Sub(r.laggingSince) > lagLimit
}

// stream sends updates to a gateway until it disconnects.
func (r *Relay) stream(peer *rpc.Peer, state *wire.GatewayPeer) {
	r.subscribe(peer, state)
	defer r.unsubscribe(peer)
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	var sent relayState
	for {
		update, state, changed, err := r.next(sent)
		if err == nil {
			err = r.slots.send(peer, update)
		}
		if err != nil {
			return
		}
		sent = state
		select {
		case <-changed:
		case <-ticker.C:
		case <-peer.Done():
			return
		}
	}
}

func (r *Relay) subscribe(peer *rpc.Peer, state *wire.GatewayPeer) {
	r.gateways.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[peer] = &subscriber{peer: state}
	r.listFollowers()
}

func (r *Relay) unsubscribe(peer *rpc.Peer) {
	r.gateways.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, peer)
	r.listFollowers()
}

// next returns the encoded update for a gateway that was sent a state, the state that the update
// leads to, and a channel that is closed when there is a newer one.
func (r *Relay) next(sent relayState) (rpc.Notification, relayState, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key, now := sentState{sent.round, sent.peers}, r.now()
	update, found := r.encoded[key]
	// Rounds discard them sooner, unless this node stood still.
	if !found || now.Sub(update.at) > statusInterval {
		encoded, err := rpc.NewNotification(wire.MethodFeed, r.update(&sent))
		if err != nil {
			return rpc.Notification{}, sent, nil, err
		}
		update = encodedUpdate{Notification: encoded, at: now}
		r.encoded[key] = update
	}
	return update.Notification, r.state, r.changed, nil
}

// update returns the difference between the current state and the one that a gateway was sent. The
// caller holds the lock.
func (r *Relay) update(sent *relayState) wire.FeedUpdate {
	s := &r.state
	update := wire.FeedUpdate{Version: s.version, Gateways: s.gateways, Detached: s.detached, Uncertain: s.uncertain}
	if !s.confirmedAt.IsZero() {
		update.ConfirmedMS = max(r.now().Sub(s.confirmedAt).Milliseconds(), 1)
	}
	if sent.round == 0 {
		update.Node, update.Zone, update.Full = r.node, r.zone, true
	}
	if !slices.Equal(sent.members, s.members) {
		update.Members = s.members
	}
	if sent.peers != s.peers {
		update.Peers = s.peers
	}
	if sent.stamp != s.stamp {
		update.Standings = r.follower.Standings(sent.stamp)
	}
	if sent.quarantine != s.quarantine {
		update.Quarantine = s.quarantine
	}
	if sent.shortCloses != s.shortCloses {
		list := wire.NewShortCloses(r.now(), *s.shortCloses)
		update.ShortCloses = &list
	}
	if sent.drains != s.drains {
		update.Drains = s.drains
	}
	if sent.holdings != s.holdings {
		update.Holdings = r.deltas.since(sent.holdings, s.holdings)
	}
	return update
}
