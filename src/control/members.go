package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Errors that prevent a control node from starting.
var (
	// ErrRolledBack means that the disk is missing entries that this node had acknowledged.
	ErrRolledBack = errors.New("the data folder is older than what this control node confirmed before; empty it, and the control node will join anew")
	// ErrInstallationExists means that a node with an empty folder was told to found an
	// installation that already exists.
	ErrInstallationExists = errors.New("the installation already exists; start without --found to join it")
)

// serviceMembershipInterval is how often a Service checks the membership.
const serviceMembershipInterval = 300 * time.Millisecond

func (s *Service) members(ctx context.Context, _ *rpc.Peer, request wire.MembersRequest) (wire.MembersReply, error) {
	lead := s.leaderInfo()
	if !lead.self {
		reply := wire.MembersReply{Outcome: wire.Unavailable, Reason: "no leader among the control nodes is in reach"}
		reached, err := s.callLeader(ctx, lead.leader, wire.MethodMembers, request, &reply)
		if reached && err != nil {
			return wire.MembersReply{Outcome: wire.Unknown, Reason: answerLost}, nil
		}
		return reply, nil
	}
	var next raft.Members
	s.node.Do(func(time.Time) { next = membersAfter(s.node.replica.core.Members(), request) })
	return s.proposeMembers(ctx, next), nil
}

// membersAfter returns the membership after a request has been applied to it.
func membersAfter(members raft.Members, request wire.MembersRequest) raft.Members {
	if id := request.AddLearner; id != "" && !members.IsVoter(id) {
		for _, other := range members.Learners {
			if nameOf(other) == nameOf(id) {
				// This learner's folder was replaced again before it caught up.
				members = members.Without(other)
			}
		}
		members = members.WithLearner(id)
	}
	if request.Promote != "" {
		members = members.WithVoter(request.Promote)
	}
	if request.Remove != "" {
		members = members.Without(request.Remove)
	}
	return members
}

func (s *Service) proposeMembers(ctx context.Context, next raft.Members) wire.MembersReply {
	applied, err := s.node.await(ctx, func(now time.Time, done func(result, error)) {
		s.node.replica.ProposeMembers(now, next, done)
	})
	if err != nil {
		return wire.MembersReply{Outcome: wire.Refused, Reason: err.Error()}
	}
	return wire.MembersReply{Outcome: applied.outcome, Members: next, Reason: applied.reason}
}

func (s *Service) logIndex(_ context.Context, _ *rpc.Peer, request wire.HeldRequest) (wire.HeldReply, error) {
	var reply wire.HeldReply
	s.node.Do(func(time.Time) {
		core := s.node.replica.core
		members := core.Members()
		reply.Known = core.Role() == raft.Leader
		reply.Term = core.Term()
		reply.Index = core.Match(request.ID)
		reply.Member = members.IsVoter(request.ID) || members.IsLearner(request.ID)
		reply.Started = core.Commit() > 0
	})
	return reply, nil
}

// CheckDisk asks the other control nodes, before this one takes part, whether its disk still holds
// every entry it has acknowledged. Peers that do not reply before the context ends are ignored.
func (s *Service) CheckDisk(ctx context.Context, id raft.ID, last uint64, fresh bool) error {
	for _, client := range s.clients {
		var reply wire.HeldReply
		if err := client.Call(ctx, wire.MethodHeld, wire.HeldRequest{ID: id}, &reply); err != nil {
			continue
		}
		if fresh && reply.Started {
			return ErrInstallationExists
		}
		if reply.Known && reply.Index > last {
			return errors.Wrapf(ErrRolledBack, "the disk ends at entry %d, but entry %d was acknowledged", last, reply.Index)
		}
	}
	return nil
}

// MaintainMembership maintains the membership until the context ends. A control node with a new
// data folder asks to join, and the leader lets it replace its previous identity once it has caught
// up.
func (s *Service) MaintainMembership(ctx context.Context) {
	ticker := time.NewTicker(serviceMembershipInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.maintainOnce(ctx)
		if now := s.now(); now.Sub(reported) >= seenReportInterval {
			reported = now
			s.reportSeen(ctx)
		}
	}
}

func (s *Service) maintainOnce(ctx context.Context) {
	var next *raft.Members
	var join raft.ID
	s.node.Do(func(now time.Time) {
		core := s.node.replica.core
		if core.Role() != raft.Leader {
			s.notLeadingAt = now
			if members := core.Members(); !members.IsVoter(core.ID()) && !members.IsLearner(core.ID()) {
				join = core.ID()
			}
			return
		}
		next = nextMembers(core)
	})
	if join != "" {
		s.requestJoin(ctx, join)
	}
	if next != nil {
		s.proposeMembers(ctx, *next)
	}
}

// nextMembers returns the next single membership change towards replacing voters by caught-up
// learners of the same name, nil if there is none.
func nextMembers(core *raft.Core) *raft.Members {
	members := core.Members()
	for _, learner := range members.Learners {
		if core.Match(learner) < core.Commit() {
			continue
		}
		for _, voter := range members.Voters {
			if voter != learner && nameOf(voter) == nameOf(learner) {
				next := members.Without(voter)
				return &next
			}
		}
		next := members.WithVoter(learner)
		return &next
	}
	return nil
}

func (s *Service) requestJoin(ctx context.Context, id raft.ID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, client := range s.clients {
		var reply wire.MembersReply
		err := client.Call(ctx, wire.MethodMembers, wire.MembersRequest{AddLearner: id}, &reply)
		if err == nil && reply.Outcome == wire.Accepted {
			return
		}
	}
}

func (s *Service) reportSeen(ctx context.Context) {
	lead := s.leaderInfo()
	names := s.nodes.recentNames(s.now())
	client := s.clients[lead.leader]
	if lead.self || client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_ = client.Notify(ctx, wire.MethodSeen, wire.SeenReport{Nodes: names})
}

// TransferLeadership transfers leadership to another control node before a planned stop.
func (s *Service) TransferLeadership() {
	s.node.Do(func(now time.Time) { s.node.replica.core.Transfer(now) })
}
