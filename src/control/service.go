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

// peerTimeout is the ping timeout of connections to other control nodes, and bounds short calls to
// them.
const peerTimeout = time.Second

// Service implements the control protocol of one control node. It is safe for concurrent use.
type Service struct {
	node    *Node
	ring    *event.Ring
	now     func() time.Time
	clients map[string]*rpc.Client
	// messages are the connections for consensus messages. Notifications on a connection are
	// handled in order, so on a shared one a vote would wait for other notifications.
	messages map[string]*rpc.Client
	nodes    *nodeTable
	deltas   *deltaCache
	// applyMu serializes the validation and proposal of configuration changes.
	applyMu sync.Mutex
	// notLeadingAt is when this node was last known not to lead.
	notLeadingAt time.Time
}

// NewService returns the service of a node. peers maps the names of the other control nodes to
// their addresses.
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
		s.clients[name] = rpc.NewClient(address, rpc.NewMux(), meter, cut, peerTimeout)
		s.messages[name] = rpc.NewClient(address, rpc.NewMux(), meter, cut, messagePingTimeout)
	}
	return s
}

// Register adds the service's RPC methods to a mux.
func (s *Service) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodStep, rpc.Typed(s.step))
	mux.Handle(wire.MethodApply, rpc.Typed(s.apply))
	mux.Handle(wire.MethodConfig, rpc.Typed(s.config))
	mux.Handle(wire.MethodWatchConfig, rpc.Typed(s.watch))
	mux.Handle(wire.MethodClaim, rpc.Typed(s.claim))
	mux.Handle(wire.MethodSettle, rpc.Typed(s.settle))
	mux.Handle(wire.MethodGrant, rpc.Typed(s.grant))
	mux.Handle(wire.MethodHeartbeat, rpc.Typed(s.heartbeat))
	mux.Handle(wire.MethodSeen, rpc.Typed(s.liveNodes))
	mux.Handle(wire.MethodMembers, rpc.Typed(s.members))
	mux.Handle(wire.MethodHeld, rpc.Typed(s.logIndex))
}

// nameOf returns the name part of an identity, which precedes the "#".
func nameOf(id raft.ID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

func (s *Service) step(_ context.Context, _ *rpc.Peer, m raft.Message) (wire.Empty, error) {
	s.node.Deliver(m)
	return wire.Empty{}, nil
}

// leaderInfo says whether this control node leads, and otherwise which one does.
type leaderInfo struct {
	self   bool
	leader string
}

func (s *Service) leaderInfo() leaderInfo {
	var l leaderInfo
	s.node.Do(func(time.Time) {
		core := s.node.replica.core
		l.self = core.Role() == raft.Leader
		l.leader = nameOf(core.Leader())
	})
	return l
}

// answerLost is the reason of an Unknown outcome when the leader gave no answer. The caller may send the
// request again: claims and settlements are recognized by their token, changes by their ID, a grant to the
// same holder renews it, and a membership change that was made changes nothing.
const answerLost = "the leader's answer was lost; it may have acted on the request"

// callLeader forwards a request to the leader. It returns false if no connection to a leader is
// configured: the request was not sent then, and its outcome is Unavailable.
func (s *Service) callLeader(ctx context.Context, leader, method string, request, reply any) (bool, error) {
	client := s.clients[leader]
	if client == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return true, client.Call(ctx, method, request, reply)
}

func (s *Service) claim(ctx context.Context, _ *rpc.Peer, request wire.ClaimRequest) (wire.ClaimReply, error) {
	lead := s.leaderInfo()
	if !lead.self {
		reply := wire.ClaimReply{Outcome: wire.Unavailable}
		reached, err := s.callLeader(ctx, lead.leader, wire.MethodClaim, request, &reply)
		if reached && err != nil {
			// The leader may have granted the claim; the caller may retry with the same token.
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
		reply.State = wire.ClaimUnknown
	}
	s.logClaim(request, reply)
	return reply, nil
}

func (s *Service) logClaim(request wire.ClaimRequest, reply wire.ClaimReply) {
	kind := event.ClaimRefused
	if reply.State == wire.ClaimAcquired {
		kind = event.ClaimGranted
	}
	s.ring.Add(event.Event{Kind: kind, Request: request.Token, Host: request.Holder, Reason: string(reply.State)})
}

// holderLost reports whether the process that claimed a key has been silent for so long that the
// claim will not be settled.
func (s *Service) holderLost(key string) bool {
	var holder string
	var leadingFor time.Duration
	s.node.Do(func(now time.Time) {
		claims := s.node.replica.state.claims
		known, found := claims.Keys[digestOf(key)]
		if found {
			holder = claims.Holders[known.Holder]
		}
		leadingFor = now.Sub(s.notLeadingAt)
	})
	return holder != "" && leadingFor > lostTimeout && s.nodes.silent(holder, s.now(), lostTimeout)
}

func (s *Service) settle(ctx context.Context, _ *rpc.Peer, request wire.SettleRequest) (wire.SettleReply, error) {
	lead := s.leaderInfo()
	if !lead.self {
		reply := wire.SettleReply{Outcome: wire.Unavailable}
		reached, err := s.callLeader(ctx, lead.leader, wire.MethodSettle, request, &reply)
		if reached && err != nil {
			return wire.SettleReply{Outcome: wire.Unknown}, nil
		}
		return reply, nil
	}
	cmd := command{At: s.now(), Settle: &settleCommand{Key: request.Key, Token: request.Token, State: request.State, Released: request.Released}}
	applied, err := s.node.propose(ctx, cmd)
	if err != nil {
		return wire.SettleReply{Outcome: wire.Unavailable}, nil
	}
	return wire.SettleReply{Outcome: applied.outcome}, nil
}

// Status returns this control node's section of the process status.
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

// Send returns a function that queues consensus messages for the other control nodes. Messages that
// can't be queued or delivered are dropped, which consensus tolerates.
func (s *Service) Send() func(raft.Message) {
	queues := map[string]chan raft.Message{}
	for name, client := range s.messages {
		queue := make(chan raft.Message, queueSize)
		queues[name] = queue
		go sendMessages(client, queue)
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

func sendMessages(client *rpc.Client, queue <-chan raft.Message) {
	for m := range queue {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		_ = client.Notify(ctx, wire.MethodStep, m)
		cancel()
	}
}
