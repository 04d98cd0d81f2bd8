package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of a cluster node.
const (
	// membershipInterval is how often the membership is checked.
	membershipInterval = 200 * time.Millisecond
	// leaderWait is how long a request waits until a leader is known.
	leaderWait = 600 * time.Millisecond
	// leaderPollInterval is how often a waiting request checks for a leader.
	leaderPollInterval = 20 * time.Millisecond
	// forwardTimeout bounds a request that is forwarded to the leader. Callers switch to another
	// node after a second.
	forwardTimeout = 850 * time.Millisecond
	// changeTimeout bounds a configuration change, which waits longer so that its caller gets a
	// reply as soon as slow disks have stored it. A leader without a majority replies when its
	// lease ends; a leader that is gone is detected by its connection.
	changeTimeout = 10 * time.Second
	// voterReplaceAfter is how long a voter must be out of contact before a caught-up learner
	// replaces it.
	voterReplaceAfter = 2500 * time.Millisecond
	// learnerRemoveAfter is how long a learner must be out of contact before it is removed, so that
	// hosts replaced at new addresses do not accumulate. It may be short, because a learner that
	// comes back asks to join again; a minute outlasts restarts and network partitions.
	learnerRemoveAfter = time.Minute
	// contactTimeout is how recently a member must have responded to count as in contact.
	contactTimeout = time.Second
	// rejoinAfter is how long a node goes without a leader before it asks to join again, in case it
	// has been removed from the membership.
	rejoinAfter = 1200 * time.Millisecond
)

// ClusterOptions configures a Cluster.
type ClusterOptions struct {
	// ID is the identity of the node's data folder. The name in it is the node's address.
	ID raft.ID
	// Voters is the target number of voters.
	Voters int
	// Seeds are initial addresses at which other control nodes may be found.
	Seeds []string
	// FirstConfirmed is called when a majority has confirmed the node's state for the first time. It may be
	// nil.
	FirstConfirmed func()
	// ResendZoneOrders is how long an operator keeps resending a zone order that gets no reply.
	ResendZoneOrders time.Duration
}

// Cluster is a control node whose peers are identified by their addresses. It discovers them from
// seeds and replaces failed ones without an operator. It is safe for concurrent use.
type Cluster struct {
	node    *Node
	links   *Links
	options ClusterOptions
	ring    *event.Ring
	now     func() time.Time

	mu sync.Mutex
	// leaderKnownAt is when this node last knew a leader.
	leaderKnownAt time.Time
	// majorityState is the latest state that a majority of the voters confirmed.
	majorityState stateConfirmation
	// knownAddresses are the addresses of all control nodes this node has ever learned of.
	knownAddresses map[string]bool
	// loggedQuorum is the most recently logged quorum.
	loggedQuorum Quorum
	// joinAccepted and joinReason are the last logged outcome of a join request; joinLoggedAt is
	// when it was logged.
	joinAccepted bool
	joinReason   string
	joinLoggedAt time.Time
}

// NewCluster returns the cluster of a node.
func NewCluster(node *Node, links *Links, options ClusterOptions, ring *event.Ring, now func() time.Time) *Cluster {
	c := &Cluster{node: node, links: links, options: options, ring: ring, now: now, leaderKnownAt: now(), knownAddresses: map[string]bool{}}
	for _, seed := range options.Seeds {
		c.knownAddresses[seed] = true
	}
	return c
}

// Register adds the cluster's RPC methods to a mux.
func (c *Cluster) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodStep, rpc.Typed(c.step))
	mux.Handle(wire.MethodPutDocument, rpc.Typed(c.putDocument))
	mux.Handle(wire.MethodReadDocument, rpc.Typed(c.readDocument))
	mux.Handle(wire.MethodMembers, rpc.Typed(c.changeMembers))
	mux.Handle(wire.MethodApplied, rpc.Typed(c.handleApplied))
	mux.Handle(wire.MethodZoneTicket, rpc.Typed(c.zoneTicket))
	mux.Handle(wire.MethodZoneOrder, rpc.Typed(c.zoneOrder))
}

// Address returns the node's own address.
func (c *Cluster) Address() string { return nameOf(c.options.ID) }

// Leadership describes the current leader as seen by this node.
type Leadership struct {
	// Self is set while this node leads with a valid lease.
	Self bool
	// Address is the leader's address, "" if no leader is known.
	Address string
	Term    uint64
	// Since is when this node was elected, zero while it does not lead.
	Since time.Time
	// Version is the version of the newest accepted document while Self is set. Extensions are the
	// recorded extensions of client accounts; they must not be modified.
	Version    uint64
	Extensions map[string]float64
}

// Leadership returns the current leader as seen by this node.
func (c *Cluster) Leadership() Leadership {
	currentView := c.node.currentView()
	return Leadership{
		Self:       currentView.hasReadLease(c.now()),
		Address:    nameOf(currentView.leader),
		Term:       currentView.term,
		Since:      currentView.ledSince,
		Version:    currentView.document.Version,
		Extensions: currentView.extensions,
	}
}

// Members returns the addresses of all members that this node knows.
func (c *Cluster) Members() []string {
	addresses := map[string]bool{}
	for _, id := range c.members().All() {
		addresses[nameOf(id)] = true
	}
	list := make([]string, 0, len(addresses))
	for address := range addresses {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

func (c *Cluster) members() raft.Members { return c.node.currentView().members }

// Peers returns the addresses of the other members. If it knows no other member, it returns all
// other addresses that the node has learned of, which include the seeds.
func (c *Cluster) Peers() []string {
	var peers []string
	for _, address := range c.Members() {
		if address != c.Address() {
			peers = append(peers, address)
		}
	}
	if len(peers) == 0 {
		return c.otherAddresses()
	}
	return peers
}

// Majority returns how many other members form a majority together with this node. known is false
// while this node knows no members, for example after it has lost its disk.
func (c *Cluster) Majority() (others int, known bool) {
	voters := len(c.members().Voters)
	return voters / 2, voters > 0
}

// Changed returns a channel that is closed when the configuration or the drained zones next change.
func (c *Cluster) Changed() <-chan struct{} { return c.node.Changed() }

// Document returns the document that this node has applied, which may be older than the newest
// accepted one.
func (c *Cluster) Document() wire.Document { return c.node.currentView().appliedDocument() }

// Version returns the version of the applied document.
func (c *Cluster) Version() uint64 { return c.node.currentView().document.Version }

// Confirmed returns when the applied document was last known to be the newest accepted one. It is
// the zero time if that has not happened since this node started.
func (c *Cluster) Confirmed(now time.Time) time.Time { return c.node.currentView().confirmed(now) }

func (c *Cluster) step(_ context.Context, _ *rpc.Peer, m raft.Message) (wire.Empty, error) {
	if m.To == c.options.ID {
		c.node.Deliver(m)
		return wire.Empty{}, nil
	}
	// A message for an earlier identity at this address only reveals its sender.
	c.AddKnownAddresses(nameOf(m.From))
	return wire.Empty{}, nil
}

// Put replaces the document if the new version is higher. It returns Accepted once that is durable
// on a majority; any other outcome guarantees nothing.
func (c *Cluster) Put(ctx context.Context, request wire.DocumentRequest) wire.DocumentReply {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	if lead.Self {
		return c.putAsLeader(ctx, request)
	}
	var reply wire.DocumentReply
	switch err := c.forwardToLeader(ctx, lead, wire.MethodPutDocument, request, &reply); {
	case errors.Is(err, errNoLeader):
		return wire.DocumentReply{Outcome: wire.Unavailable, Reason: err.Error()}
	case err != nil:
		return wire.DocumentReply{Outcome: wire.Unknown, Reason: "the leader gave no answer: " + err.Error()}
	}
	return reply
}

func (c *Cluster) putDocument(ctx context.Context, _ *rpc.Peer, request wire.DocumentRequest) (wire.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !c.Leadership().Self {
		return wire.DocumentReply{Outcome: wire.Unavailable, Reason: "this node does not lead"}, nil
	}
	return c.putAsLeader(ctx, request), nil
}

func (c *Cluster) putAsLeader(ctx context.Context, request wire.DocumentRequest) wire.DocumentReply {
	applied, err := c.putSettled(ctx, request)
	if err != nil {
		return wire.DocumentReply{Outcome: wire.Unavailable, Reason: err.Error()}
	}
	return wire.DocumentReply{Outcome: applied.outcome, Version: applied.version, Reason: applied.reason}
}

// putSettled replaces the document and waits until that is settled. If the version is already in
// force it only waits, because an earlier reply may have been lost before it was settled.
func (c *Cluster) putSettled(ctx context.Context, request wire.DocumentRequest) (result, error) {
	if current := c.readAsLeader(); current.Known && current.Version >= request.Version {
		return c.node.settle(ctx, result{outcome: wire.Accepted, version: current.Version}, func(settled uint64) bool {
			return c.node.replica.changeIndex.versionSettled(request.Version, settled)
		}), nil
	}
	document := &documentCommand{Version: request.Version, Packed: request.Packed}
	key := proposalKey{version: request.Version}
	return c.node.proposeSettled(ctx, command{At: c.now(), Document: document}, key)
}

// Read returns the newest accepted document. Known is false if neither this node nor the leader can
// guarantee that it is the newest.
func (c *Cluster) Read(ctx context.Context) wire.Document {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	if lead.Self {
		return c.readAsLeader()
	}
	var reply wire.Document
	if err := c.forwardToLeader(ctx, lead, wire.MethodReadDocument, wire.Empty{}, &reply); err != nil {
		// The caller sees that the document is not known and asks another node.
		return wire.Document{}
	}
	return reply
}

func (c *Cluster) readDocument(context.Context, *rpc.Peer, wire.Empty) (wire.Document, error) {
	return c.readAsLeader(), nil
}

// readAsLeader returns the document if this node leads and holds a read lease.
func (c *Cluster) readAsLeader() wire.Document {
	currentView := c.node.currentView()
	if !currentView.hasReadLease(c.now()) {
		return wire.Document{}
	}
	return currentView.appliedDocument()
}

// RecordExtension records the units that a client account may use at once beyond its rate, 0 for
// none. It returns once that is durable on a majority.
func (c *Cluster) RecordExtension(ctx context.Context, account string, units float64) error {
	applied, err := c.node.propose(ctx, command{At: c.now(), Extension: &extensionCommand{Account: account, Units: units}})
	if err != nil {
		return err
	}
	if applied.outcome != wire.Accepted {
		return errors.New("the extension may not be recorded: " + applied.reason)
	}
	return nil
}

// errNoLeader means that this node knows of no other node that leads.
var errNoLeader = errors.New("no other control node is known to lead")

// CallLeader calls the leader if this node knows one; it does not wait for one.
func (c *Cluster) CallLeader(ctx context.Context, method string, params, result any) error {
	return c.forwardToLeader(ctx, c.Leadership(), method, params, result)
}

// forwardToLeader calls the leader, which must be another node.
func (c *Cluster) forwardToLeader(ctx context.Context, lead Leadership, method string, params, result any) error {
	if lead.Address == "" || lead.Address == c.Address() {
		return errNoLeader
	}
	return c.links.Client(lead.Address).Call(ctx, method, params, result)
}

// awaitLeader waits up to leaderWait for a leader to be known.
func (c *Cluster) awaitLeader(ctx context.Context) Leadership {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		lead := c.Leadership()
		if lead.Self || lead.Address != "" && lead.Address != c.Address() {
			return lead
		}
		select {
		case <-ctx.Done():
			return lead
		case <-time.After(leaderPollInterval):
		}
	}
}

// TransferLeadership transfers leadership to another node before a planned stop.
func (c *Cluster) TransferLeadership() {
	c.node.Do(func(now time.Time) { c.node.replica.core.Transfer(now) })
}
