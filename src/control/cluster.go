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

// The cluster's times.
const (
	// tendMembersEvery is how often the membership is looked after.
	tendMembersEvery = 200 * time.Millisecond
	// leaderWait is how long a request waits for a leader to be found.
	leaderWait = 600 * time.Millisecond
	// leaderPoll is how often it looks.
	leaderPoll = 20 * time.Millisecond
	// forwardTimeout bounds a request that is passed on to the leader: callers
	// turn to another node after a second.
	forwardTimeout = 850 * time.Millisecond
	// changeTimeout bounds a change of the configuration instead: a caller that waits longer gets
	// its answer as soon as slow disks have it. A leader without a majority answers in its
	// lease's time, one that is gone is found out by its link.
	changeTimeout = 10 * time.Second
	// voterSilence is after how long without contact a caught-up learner takes a voter's place.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is after how long without contact a learner is forgotten: machines
	// that are replaced at other addresses must not add up. One that comes back asks to be
	// let in again, so it may be short; a minute is longer than restarts and cuts last.
	learnerSilence = time.Minute
	// voterContact is how lately the other voters must have followed for that.
	voterContact = time.Second
	// lonely is how long a node waits without a leader before it asks whether it is a member.
	lonely = 1200 * time.Millisecond
)

// ClusterOptions say how a node takes part.
type ClusterOptions struct {
	// ID is the identity of the node's data folder; its name is the node's address.
	ID raft.ID
	// Voters is the wanted number of voters.
	Voters int
	// Seeds are addresses at which other control nodes may be found.
	Seeds []string
	// ResendZoneOrders is for how long an operator sends an order about a zone again that got
	// no answer.
	ResendZoneOrders time.Duration
}

// Cluster is a control node whose peers are named by their addresses, found
// from seeds and replaced without an operator. It is safe for concurrent use.
type Cluster struct {
	node    *Node
	links   *Links
	options ClusterOptions
	ring    *event.Ring
	now     func() time.Time

	mu sync.Mutex
	// leaderAt is when this node last knew a leader.
	leaderAt time.Time
	// met are the addresses of control nodes that were ever heard of.
	met map[string]bool
	// quorum is what was logged of it last.
	quorum Quorum
	// joined and joinReason are what was logged last of asking to be let in, and when.
	joined       bool
	joinReason   string
	joinLoggedAt time.Time
}

// NewCluster returns the cluster side of a node.
func NewCluster(node *Node, links *Links, options ClusterOptions, ring *event.Ring, now func() time.Time) *Cluster {
	c := &Cluster{node: node, links: links, options: options, ring: ring, now: now, leaderAt: now(), met: map[string]bool{}}
	for _, seed := range options.Seeds {
		c.met[seed] = true
	}
	return c
}

// Register adds the cluster's methods to a mux.
func (c *Cluster) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodStep, rpc.Typed(c.step))
	mux.Handle(wire.MethodPutDocument, rpc.Typed(c.putDocument))
	mux.Handle(wire.MethodReadDocument, rpc.Typed(c.readDocument))
	mux.Handle(wire.MethodMembers, rpc.Typed(c.changeMembers))
	mux.Handle(wire.MethodZoneTicket, rpc.Typed(c.giveTicket))
	mux.Handle(wire.MethodZoneOrder, rpc.Typed(c.takeZoneOrder))
}

// Address returns the node's own address.
func (c *Cluster) Address() string { return nameOf(c.options.ID) }

// Leadership tells who leads, as this node sees it.
type Leadership struct {
	// Self is set while this node leads with a valid lease.
	Self bool
	// Address is the leader's, "" if none is known.
	Address string
	Term    uint64
	// Since is when this node was elected, zero while it does not lead.
	Since time.Time
	// Version is the newest accepted document's while Self is set, Extensions are the
	// recorded extensions of client accounts; they must not be changed.
	Version    uint64
	Extensions map[string]float64
}

// Leadership returns who leads now.
func (c *Cluster) Leadership() Leadership {
	known := c.node.known()
	return Leadership{
		Self:       known.sure(c.now()),
		Address:    nameOf(known.leader),
		Term:       known.term,
		Since:      known.ledSince,
		Version:    known.document.Version,
		Extensions: known.extensions,
	}
}

// Members returns the addresses of all control nodes that this one knows of.
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

func (c *Cluster) members() raft.Members { return c.node.known().members }

// Peers returns the addresses of the other members, or the seeds while there is none.
func (c *Cluster) Peers() []string {
	var peers []string
	for _, address := range c.Members() {
		if address != c.Address() {
			peers = append(peers, address)
		}
	}
	if len(peers) == 0 {
		return c.others()
	}
	return peers
}

// Majority returns how many other members make a majority together with this node; known
// is false while this node knows no members, as after the loss of its disk.
func (c *Cluster) Majority() (others int, known bool) {
	voters := len(c.members().Voters)
	return voters / 2, voters > 0
}

// Changed returns a channel that is closed when the document in force changes.
func (c *Cluster) Changed() <-chan struct{} { return c.node.Changed() }

// Document returns the document that this node has applied, which may be older
// than the newest accepted one.
func (c *Cluster) Document() wire.Document { return c.node.known().held() }

// Version returns the version of the applied document.
func (c *Cluster) Version() uint64 { return c.node.known().document.Version }

// Confirmed returns when the applied document was last known to be the newest accepted one,
// the zero time if it never was since this node began.
func (c *Cluster) Confirmed(now time.Time) time.Time { return c.node.known().confirmed(now) }

func (c *Cluster) step(_ context.Context, _ *rpc.Peer, m raft.Message) (wire.Empty, error) {
	if m.To == c.options.ID {
		c.node.Deliver(m)
		return wire.Empty{}, nil
	}
	// A message for an earlier folder at this address says only who sent it.
	c.Meet(nameOf(m.From))
	return wire.Empty{}, nil
}

// Put puts a document in force if its version is the highest; it returns once
// that is durable on a majority, or with an outcome that promises nothing.
func (c *Cluster) Put(ctx context.Context, request wire.DocumentRequest) wire.DocumentReply {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	if lead.Self {
		return c.putHere(ctx, request)
	}
	var reply wire.DocumentReply
	switch err := c.passOn(ctx, lead, wire.MethodPutDocument, request, &reply); {
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
	return c.putHere(ctx, request), nil
}

func (c *Cluster) putHere(ctx context.Context, request wire.DocumentRequest) wire.DocumentReply {
	applied, err := c.putSettled(ctx, request)
	if err != nil {
		return wire.DocumentReply{Outcome: wire.Unavailable, Reason: err.Error()}
	}
	return wire.DocumentReply{Outcome: applied.outcome, Version: applied.version, Reason: applied.reason}
}

// putSettled puts a document in force, or makes sure of one that is in force already: an
// earlier answer may have been lost before it was certain.
func (c *Cluster) putSettled(ctx context.Context, request wire.DocumentRequest) (result, error) {
	if held := c.readHere(); held.Known && held.Version >= request.Version {
		return c.node.settle(ctx, result{outcome: wire.Accepted, version: held.Version}, func(settled uint64) bool {
			return c.node.replica.changes.versionSettled(request.Version, settled)
		}), nil
	}
	document := &documentCommand{Version: request.Version, Packed: request.Packed}
	key := proposalKey{version: request.Version}
	return c.node.proposeSettled(ctx, command{At: c.now(), Document: document}, key)
}

// Read returns the newest accepted document; Known is false if this node and
// the leader can't be sure of it.
func (c *Cluster) Read(ctx context.Context) wire.Document {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	if lead.Self {
		return c.readHere()
	}
	var reply wire.Document
	if err := c.passOn(ctx, lead, wire.MethodReadDocument, wire.Empty{}, &reply); err != nil {
		// The caller is told that this node is not sure, and asks another one.
		return wire.Document{}
	}
	return reply
}

func (c *Cluster) readDocument(context.Context, *rpc.Peer, wire.Empty) (wire.Document, error) {
	return c.readHere(), nil
}

// readHere returns the document if this node leads and is sure of it.
func (c *Cluster) readHere() wire.Document {
	known := c.node.known()
	if !known.sure(c.now()) {
		return wire.Document{}
	}
	return known.held()
}

// RecordExtension records how much a client account may use at once beyond its rate, in
// units, 0 for nothing; it returns once that is durable on a majority.
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

// errNoLeader means that this node knows no other node that leads.
var errNoLeader = errors.New("no other control node is known to lead")

// CallLeader calls the node that leads, if this one knows it, without waiting for one.
func (c *Cluster) CallLeader(ctx context.Context, method string, params, result any) error {
	return c.passOn(ctx, c.Leadership(), method, params, result)
}

// passOn calls another node that leads.
func (c *Cluster) passOn(ctx context.Context, lead Leadership, method string, params, result any) error {
	if lead.Address == "" || lead.Address == c.Address() {
		return errNoLeader
	}
	return c.links.Client(lead.Address).Call(ctx, method, params, result)
}

// awaitLeader waits a while for a leader to be known.
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
		case <-time.After(leaderPoll):
		}
	}
}

// HandOver gives leadership to another node before a planned stop.
func (c *Cluster) HandOver() {
	c.node.Do(func(now time.Time) { c.node.replica.core.Transfer(now) })
}
