package control

import (
	"context"
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of planner authority. A holder counts its lease from before it sent the request.
// Before a takeover the control nodes wait longer than the lease, to allow for clocks that run at
// different rates and for orders in flight when the lease ended.
const (
	AuthorityLease      = 4 * time.Second
	clockRateMargin     = AuthorityLease / 4
	inFlightOrderMargin = time.Second
	takeoverDelay       = AuthorityLease + clockRateMargin + inFlightOrderMargin
)

func (s *Service) grant(ctx context.Context, _ *rpc.Peer, request wire.GrantRequest) (wire.GrantReply, error) {
	lead := s.leaderInfo()
	if !lead.self {
		reply := wire.GrantReply{Outcome: wire.Unavailable, Reason: "no leader among the control nodes is in reach"}
		reached, err := s.callLeader(ctx, lead.leader, wire.MethodGrant, request, &reply)
		if reached && err != nil {
			return wire.GrantReply{Outcome: wire.Unknown, Reason: answerLost}, nil
		}
		return reply, nil
	}
	var cmd *grantCommand
	var reason string
	s.node.Do(func(now time.Time) { cmd, reason = s.node.replica.prepareGrant(now, request) })
	if cmd == nil {
		s.ring.Add(event.Event{Kind: event.AuthorityRefused, Zone: request.Zone, Host: request.Holder, Reason: reason})
		return wire.GrantReply{Outcome: wire.Refused, Reason: reason}, nil
	}
	applied, err := s.node.propose(ctx, command{At: s.now(), Grant: cmd})
	if err != nil {
		return wire.GrantReply{Outcome: wire.Unavailable, Reason: err.Error()}, nil
	}
	if applied.outcome != wire.Accepted {
		return wire.GrantReply{Outcome: applied.outcome, Epoch: applied.epoch, Reason: applied.reason}, nil
	}
	if cmd.Epoch != request.Epoch {
		s.ring.Add(event.Event{Kind: event.AuthorityGranted, Zone: request.Zone, Host: request.Holder, Reason: fmt.Sprintf("epoch %d", cmd.Epoch)})
	}
	return wire.GrantReply{Outcome: wire.Accepted, Epoch: applied.epoch, Lease: config.Duration(AuthorityLease)}, nil
}

// prepareGrant decides whether a planner may hold a zone's authority now. If not, it returns nil
// and the reason.
func (r *Replica) prepareGrant(now time.Time, request wire.GrantRequest) (*grantCommand, string) {
	cmd := &grantCommand{
		Zone:    request.Zone,
		Holder:  request.Holder,
		Address: request.Address,
		Epoch:   1,
		Renewed: r.state.Renewed(request.Zone),
	}
	held := r.state.Set().Authority(request.Zone)
	if held == nil {
		return cmd, ""
	}
	if held.Holder == request.Holder {
		cmd.Epoch = held.Epoch
		return cmd, ""
	}
	if waited := now.Sub(r.renewedAt[request.Zone]); waited < takeoverDelay {
		return nil, fmt.Sprintf("the lease of %s may run for another %s", held.Holder, (takeoverDelay - waited).Round(time.Millisecond))
	}
	cmd.Epoch = held.Epoch + 1
	return cmd, ""
}
