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

// maxRaces bounds how often a change is checked again because another entry
// moved the configuration meanwhile.
const maxRaces = 8

func (s *Service) apply(ctx context.Context, _ *rpc.Peer, request wire.ApplyRequest) (wire.ApplyReply, error) {
	if request.Change.ID == "" {
		return wire.ApplyReply{Outcome: wire.Refused, Reason: "the change has no id"}, nil
	}
	lead := s.leading()
	if lead.self {
		return s.applyHere(ctx, request), nil
	}
	reply := wire.ApplyReply{Outcome: wire.Unavailable, Reason: "no leader among the control nodes is in reach"}
	reached, err := s.toLeader(ctx, lead.leader, wire.MethodApply, request, &reply)
	if reached && err != nil {
		return wire.ApplyReply{Outcome: wire.Unknown, Reason: "the leader's answer was lost; send the change again with the same id"}, nil
	}
	return reply, nil
}

func (s *Service) applyHere(ctx context.Context, request wire.ApplyRequest) wire.ApplyReply {
	s.changes.Lock()
	defer s.changes.Unlock()
	for i := 0; i < maxRaces; i++ {
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
		s.noteChange(request.Change, reply)
		return reply
	}
	return wire.ApplyReply{Outcome: wire.Unavailable, Reason: "other changes kept coming between; try again"}
}

// settled makes sure of a change that was accepted before: its first answer may have been
// lost before it was certain.
func (s *Service) settled(ctx context.Context, reply wire.ApplyReply) wire.ApplyReply {
	if reply.Outcome != wire.Accepted {
		return reply
	}
	certain := s.node.settle(ctx, result{outcome: wire.Accepted}, func(settled uint64) bool {
		return reply.Revision.Index <= settled
	})
	if certain.outcome != wire.Accepted {
		return wire.ApplyReply{Outcome: wire.Unknown, Reason: certain.reason}
	}
	return reply
}

// prepare checks a change against the configuration in force. It returns no
// command if the answer is already clear.
func (s *Service) prepare(change config.Change) (*changeCommand, wire.ApplyReply) {
	var set *config.Set
	var reply *wire.ApplyReply
	alive := s.node.Do(func(time.Time) {
		state := s.node.replica.state
		set = state.Set()
		if revision, again := state.Answered(change.ID); again {
			reply = &wire.ApplyReply{Outcome: wire.Accepted, Revision: revision}
		} else if conflicts := state.Conflicts(change); len(conflicts) > 0 {
			reply = &wire.ApplyReply{Outcome: wire.Conflicted, Conflicts: conflicts}
		}
	})
	if !alive {
		return nil, wire.ApplyReply{Outcome: wire.Unavailable, Reason: "the control node is stopping"}
	}
	if reply != nil {
		s.noteChange(change, *reply)
		return nil, *reply
	}
	next := set.With(change.Put, change.Delete)
	findings := checkWritable(change)
	if len(findings) == 0 {
		findings = config.Check(next, nil)
	}
	if len(findings) > 0 {
		refused := wire.ApplyReply{Outcome: wire.Refused, Findings: findings, Reason: strconv.Itoa(len(findings)) + " findings"}
		s.noteChange(change, refused)
		return nil, refused
	}
	assign, unassign := place.Assign(next)
	prepared := &changeCommand{Change: change, Checked: set.Revision(), Assign: assign, Unassign: unassign}
	return prepared, wire.ApplyReply{Outcome: wire.Accepted, Revision: set.Revision()}
}

// checkWritable refuses objects that only the system itself writes, or that lack their content.
func checkWritable(change config.Change) config.Findings {
	var findings config.Findings
	for _, key := range change.Keys() {
		if !key.Kind.Written() {
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

func (s *Service) noteChange(change config.Change, reply wire.ApplyReply) {
	kind := event.ConfigAccepted
	switch reply.Outcome {
	case wire.Refused:
		kind = event.ConfigRefused
	case wire.Conflicted:
		kind = event.ConfigConflict
	}
	s.ring.Add(event.Event{Kind: kind, Request: change.ID, Reason: change.By + " " + string(reply.Outcome)})
}
