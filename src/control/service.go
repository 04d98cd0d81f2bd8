package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// silenceLimit is how long a control node's connection may stay without an answer.
const silenceLimit = time.Second

// Service answers the control protocol for one control node; it is safe for concurrent use.
type Service struct {
	node    *Node
	ring    *event.Ring
	now     func() time.Time
	clients map[string]*rpc.Client
	// messages are the connections for consensus messages: behind other notifications, which
	// are handled in order, a vote would wait.
	messages map[string]*rpc.Client
	nodes    *nodeTable
	deltas   *deltaCache
	// changes lets one change at a time be checked and proposed.
	changes sync.Mutex
	ledSeen time.Time
}

// NewService returns the service of a node; peers gives the other control nodes' addresses by name.
func NewService(node *Node, peers map[string]string, ring *event.Ring, meter *rpc.Meter, cut *fault.Cut, now func() time.Time) *Service {
	s := &Service{
		node:    node,
		ring:    ring,
		now:     now,
		clients: map[string]*rpc.Client{},
		nodes:   newNodeTable(),
		deltas:  &deltaCache{},

		messages: map[string]*rpc.Client{},
	}
	for name, address := range peers {
		s.clients[name] = rpc.NewClient(address, rpc.NewMux(), meter, cut, silenceLimit)
		s.messages[name] = rpc.NewClient(address, rpc.NewMux(), meter, cut, messageSilence)
	}
	return s
}

// Register adds the service's methods to a mux.
func (s *Service) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodStep, rpc.Typed(s.step))
	mux.Handle(wire.MethodApply, rpc.Typed(s.apply))
	mux.Handle(wire.MethodConfig, rpc.Typed(s.config))
	mux.Handle(wire.MethodWatchConfig, rpc.Typed(s.watch))
	mux.Handle(wire.MethodClaim, rpc.Typed(s.claim))
	mux.Handle(wire.MethodSettle, rpc.Typed(s.settle))
	mux.Handle(wire.MethodGrant, rpc.Typed(s.grant))
	mux.Handle(wire.MethodHeartbeat, rpc.Typed(s.heartbeat))
	mux.Handle(wire.MethodSeen, rpc.Typed(s.seen))
	mux.Handle(wire.MethodMembers, rpc.Typed(s.members))
	mux.Handle(wire.MethodHeld, rpc.Typed(s.held))
}

// nameOf returns the control node's name in an id.
func nameOf(id raft.ID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

func (s *Service) step(_ context.Context, _ *rpc.Peer, m raft.Message) (wire.Empty, error) {
	s.node.Deliver(m)
	return wire.Empty{}, nil
}

// leading tells whether this control node leads, else who does.
type leading struct {
	self   bool
	leader string
}

func (s *Service) leading() leading {
	var l leading
	s.node.Do(func(time.Time) {
		core := s.node.replica.core
		l.self = core.Role() == raft.Leader
		l.leader = nameOf(core.Leader())
	})
	return l
}

// toLeader sends a request on to the leader; it reports false if there is none in reach.
func (s *Service) toLeader(ctx context.Context, leader, method string, request, reply any) (bool, error) {
	client := s.clients[leader]
	if client == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return true, client.Call(ctx, method, request, reply)
}

func (s *Service) claim(ctx context.Context, _ *rpc.Peer, request wire.ClaimRequest) (wire.ClaimReply, error) {
	lead := s.leading()
	if !lead.self {
		reply := wire.ClaimReply{Outcome: wire.Unavailable}
		reached, err := s.toLeader(ctx, lead.leader, wire.MethodClaim, request, &reply)
		if reached && err != nil {
			// The leader may have granted it; the asker may ask again with its token.
			return wire.ClaimReply{Outcome: wire.Unknown}, nil
		}
		return reply, nil
	}
	cmd := command{At: s.now(), Claim: &claimCommand{Key: request.Key, Token: request.Token, Holder: request.Holder, Expiry: request.Expiry.Std()}}
	applied, err := s.node.propose(ctx, cmd)
	if err != nil {
		return wire.ClaimReply{Outcome: wire.Unavailable}, nil
	}
	reply := wire.ClaimReply{Outcome: applied.outcome, State: applied.claim}
	if reply.State == wire.ClaimRunning && s.holderLost(request.Key) {
		reply.State = wire.ClaimLost
	}
	s.noteClaim(request, reply)
	return reply, nil
}

func (s *Service) noteClaim(request wire.ClaimRequest, reply wire.ClaimReply) {
	kind := event.ClaimRefused
	if reply.State == wire.ClaimYours {
		kind = event.ClaimGranted
	}
	s.ring.Add(event.Event{Kind: kind, Request: request.Token, Host: request.Holder, Reason: string(reply.State)})
}

// holderLost reports whether the process that claimed a key has been silent so
// long that nobody will ever settle the claim.
func (s *Service) holderLost(key string) bool {
	var holder string
	var led time.Duration
	s.node.Do(func(now time.Time) {
		claims := s.node.replica.state.claims
		known, found := claims.Keys[digestOf(key)]
		if found {
			holder = claims.Holders[known.Holder]
		}
		led = now.Sub(s.ledSeen)
	})
	return holder != "" && led > lostAfter && s.nodes.silent(holder, s.now(), lostAfter)
}

func (s *Service) settle(ctx context.Context, _ *rpc.Peer, request wire.SettleRequest) (wire.SettleReply, error) {
	lead := s.leading()
	if !lead.self {
		reply := wire.SettleReply{Outcome: wire.Unavailable}
		_, err := s.toLeader(ctx, lead.leader, wire.MethodSettle, request, &reply)
		return reply, err
	}
	cmd := command{At: s.now(), Settle: &settleCommand{Key: request.Key, Token: request.Token, State: request.State, Released: request.Released}}
	applied, err := s.node.propose(ctx, cmd)
	if err != nil {
		return wire.SettleReply{Outcome: wire.Unavailable}, nil
	}
	return wire.SettleReply{Outcome: applied.outcome}, nil
}

// Status returns the control node's part of a status.
func (s *Service) Status() *wire.ControlNodeStatus {
	status := &wire.ControlNodeStatus{Nodes: s.nodes.list()}
	s.node.Do(func(now time.Time) {
		core := s.node.replica.core
		status.ID = core.ID()
		status.Role = core.Role().String()
		status.Term = core.Term()
		status.Leader = core.Leader()
		status.Commit = core.Commit()
		status.Last = core.LastIndex()
		status.Members = core.Members()
		status.Claims = s.node.replica.state.Claims()
		status.CaughtUp = core.Members().IsVoter(core.ID()) && core.Leader() != "" && core.Commit() == core.LastIndex()
		status.WriteMS = core.WriteAge(now).Milliseconds()
	})
	return status
}

// Send returns the function that carries consensus messages to the other
// control nodes; messages to a control node that can't be reached are lost, as consensus allows.
func (s *Service) Send() func(raft.Message) {
	queues := map[string]chan raft.Message{}
	for name, client := range s.messages {
		queue := make(chan raft.Message, inboxSize)
		queues[name] = queue
		go forward(client, queue)
	}
	return func(m raft.Message) {
		queue := queues[nameOf(m.To)]
		if queue == nil {
			return
		}
		select {
		case queue <- m:
		default:
		}
	}
}

func forward(client *rpc.Client, queue <-chan raft.Message) {
	for m := range queue {
		ctx, cancel := context.WithTimeout(context.Background(), silenceLimit)
		_ = client.Notify(ctx, wire.MethodStep, m)
		cancel()
	}
}
