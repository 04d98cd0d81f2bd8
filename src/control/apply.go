package control

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// maxApplyAttempts limits how often a change is validated again after a concurrent entry changed
// the configuration.
const maxApplyAttempts = 8

func (s *Service) apply(ctx context.Context, _ *rpc.Peer, request wire.ApplyRequest) (wire.ApplyReply, error) {
	if request.Change.ID == "" {
		return wire.ApplyReply{Outcome: wire.Refused, Reason: "the change has no id"}, nil
	}
	lead := s.leaderInfo()
	if lead.self {
		return s.applyAsLeader(ctx, request), nil
	}
	reply := wire.ApplyReply{Outcome: wire.Unavailable, Reason: "no leader among the control nodes is in reach"}
	reached, err := s.callLeader(ctx, lead.leader, wire.MethodApply, request, &reply)
	if reached && err != nil {
		return wire.ApplyReply{Outcome: wire.Unknown, Reason: "the leader's answer was lost; send the change again with the same id"}, nil
	}
	return reply, nil
}

func (s *Service) applyAsLeader(ctx context.Context, request wire.ApplyRequest) wire.ApplyReply {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	for i := 0; i < maxApplyAttempts; i++ {
		prepared, reply := s.prepare(request.Change)
		if request.DryRun {
			return reply
		}
		if prepared == nil {
			return s.settled(ctx, reply)
		}
		applied, err := s.node.proposeSettled(ctx, command{At: s.now(), Change: prepared}, proposalKey{})
		if err != nil {
			return wire.ApplyReply{Outcome: wire.Unavailable, Reason: err.Error()}
		}
		if applied.raced {
			continue
		}
		reply = wire.ApplyReply{Outcome: applied.outcome, Revision: applied.revision, Conflicts: applied.conflicts, Reason: applied.reason}
		s.logChange(request.Change, reply)
		return reply
	}
	return wire.ApplyReply{Outcome: wire.Unavailable, Reason: "other changes kept coming between; try again"}
}

// settled waits until a previously accepted change is settled. Its first reply may have been lost
// before that.
func (s *Service) settled(ctx context.Context, reply wire.ApplyReply) wire.ApplyReply {
	if reply.Outcome != wire.Accepted {
		return reply
	}
	confirmed := s.node.settle(ctx, result{outcome: wire.Accepted}, func(settled uint64) bool {
		return reply.Revision.Index <= settled
	})
	if confirmed.outcome != wire.Accepted {
		return wire.ApplyReply{Outcome: wire.Unknown, Reason: confirmed.reason}
	}
	return reply
}

// prepare validates a change against the current configuration. It returns a nil command if the
// reply is already final.
func (s *Service) prepare(change config.Change) (*changeCommand, wire.ApplyReply) {
	var set *config.Set
	var reply *wire.ApplyReply
	alive := s.node.Do(func(time.Time) {
		state := s.node.replica.state
		set = state.Set()
		if revision, again := state.AcceptedRevision(change.ID); again {
			reply = &wire.ApplyReply{Outcome: wire.Accepted, Revision: revision}
		} else if conflicts := state.Conflicts(change); len(conflicts) > 0 {
			reply = &wire.ApplyReply{Outcome: wire.Conflicted, Conflicts: conflicts}
		}
	})
	if !alive {
		return nil, wire.ApplyReply{Outcome: wire.Unavailable, Reason: "the control node is stopping"}
	}
	if reply != nil {
		s.logChange(change, *reply)
		return nil, *reply
	}
	next := set.WithChanges(change.Put, change.Delete)
	findings := checkWritable(change)
	if len(findings) == 0 {
		findings = config.Check(next, nil)
	}
	if len(findings) > 0 {
		refused := wire.ApplyReply{Outcome: wire.Refused, Findings: findings, Reason: strconv.Itoa(len(findings)) + " findings"}
		s.logChange(change, refused)
		return nil, refused
	}
	assign, unassign := place.Assign(next)
	prepared := &changeCommand{Change: change, Checked: set.Revision(), Assign: assign, Unassign: unassign}
	return prepared, wire.ApplyReply{Outcome: wire.Accepted, Revision: set.Revision()}
}

// checkWritable reports objects that only the system may write and objects without the content
// required by their kind.
func checkWritable(change config.Change) config.Findings {
	var findings config.Findings
	for _, key := range change.Keys() {
		if !key.Kind.WrittenByOperators() {
			findings = append(findings, config.Finding{File: key.String(), Message: "objects of this kind are kept by the system"})
		}
	}
	for i := range change.Put {
		if !change.Put[i].Complete() {
			findings = append(findings, config.Finding{File: change.Put[i].Key.String(), Message: "the object lacks the content of its kind"})
		}
	}
	return findings
}

func (s *Service) logChange(change config.Change, reply wire.ApplyReply) {
	kind := event.ConfigAccepted
	switch reply.Outcome {
	case wire.Refused:
		kind = event.ConfigRefused
	case wire.Conflicted:
		kind = event.ConfigConflict
	}
	s.ring.Add(event.Event{Kind: kind, Request: change.ID, Reason: change.By + " " + string(reply.Outcome)})
}
