package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// ticketLifetime is how long after issuing a ticket the leader accepts an order that carries it. An
// order that was delayed for longer must not take effect: its operator may have given up or sent
// the opposite order. The lifetime exceeds the duration of any call to the leader.
const ticketLifetime = 2 * time.Second

// Drains returns the drained zones that this node has applied. The result must not be modified.
func (c *Cluster) Drains() *wire.ZoneDrains { return c.node.currentView().drains }

// OrderZone drains an availability zone or ends its drain. It returns Accepted once that is durable
// on a majority; any other outcome guarantees nothing. An order for the zone's current state
// changes nothing.
//
// Operators resend an order until it is acknowledged, and nothing distinguishes a resent order from
// a new one. A copy that arrives after the opposite order must not be applied. An order that may be
// such a copy is therefore deferred until its operator has stopped resending it.
func (c *Cluster) OrderZone(ctx context.Context, zone string, drain bool) wire.ZoneReply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	var ticket wire.ZoneTicket
	if err := c.callLeaderOrSelf(ctx, lead, wire.MethodZoneTicket, wire.ZoneTicketRequest{Zone: zone}, &ticket); err != nil {
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	}
	if !ticket.Known {
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: errNoLeader.Error()}
	}
	var reply wire.ZoneReply
	switch err := c.callLeaderOrSelf(ctx, lead, wire.MethodZoneOrder, wire.ZoneOrder{Zone: zone, Drain: drain, Ticket: ticket}, &reply); {
	case errors.Is(err, errNoLeader):
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	case err != nil:
		return wire.ZoneReply{Outcome: wire.Unknown, Reason: "the leader gave no answer: " + err.Error()}
	}
	return reply
}

// callLeaderOrSelf calls a zone method on the leader, which may be this node.
func (c *Cluster) callLeaderOrSelf(ctx context.Context, lead Leadership, method string, params, reply any) error {
	if !lead.Self {
		return c.forwardToLeader(ctx, lead, method, params, reply)
	}
	switch request := params.(type) {
	case wire.ZoneTicketRequest:
		*reply.(*wire.ZoneTicket) = c.ticket(request.Zone)
	case wire.ZoneOrder:
		*reply.(*wire.ZoneReply) = c.orderAsLeader(ctx, request)
	}
	return nil
}

func (c *Cluster) zoneTicket(_ context.Context, _ *rpc.Peer, request wire.ZoneTicketRequest) (wire.ZoneTicket, error) {
	return c.ticket(request.Zone), nil
}

// ticket returns the ticket that an order for a zone must carry if it is sent now.
func (c *Cluster) ticket(zone string) wire.ZoneTicket {
	var ticket wire.ZoneTicket
	c.node.Do(func(now time.Time) {
		r := c.node.replica
		ticket = wire.ZoneTicket{
			Known:    viewOf(r, now).hasReadLease(now),
			Term:     r.core.Term(),
			Revision: r.state.zones[zone].Revision,
			IssuedMS: now.UnixMilli(),
		}
	})
	return ticket
}

func (c *Cluster) zoneOrder(ctx context.Context, _ *rpc.Peer, order wire.ZoneOrder) (wire.ZoneReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return c.orderAsLeader(ctx, order), nil
}

// orderAsLeader carries out an order on the leader.
func (c *Cluster) orderAsLeader(ctx context.Context, order wire.ZoneOrder) wire.ZoneReply {
	var deferred zoneDeferral
	applied, err := c.node.await(ctx, func(now time.Time, done func(result, error)) {
		if c.node.replica.zoneInState(now, &order) {
			done(result{outcome: wire.Accepted}, nil)
			return
		}
		if deferred = c.node.replica.deferral(now, &order, c.options.ResendZoneOrders); deferred.reason != "" {
			done(result{outcome: wire.Unavailable, reason: deferred.reason}, nil)
			return
		}
		c.node.replica.proposeZone(now, &order, done)
	})
	if err == nil && applied.outcome == wire.Accepted {
		applied = c.node.settle(ctx, applied, func(settled uint64) bool {
			return c.node.replica.changeIndex.zoneSettled(order.Zone, settled)
		})
	}
	switch {
	case err != nil:
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	case applied.raced:
		// Nothing was changed; the operator resends the order if it still applies.
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: applied.reason}
	case applied.outcome == wire.Unavailable:
		return wire.ZoneReply{Outcome: applied.outcome, Reason: applied.reason, RetryMS: deferred.wait.Milliseconds()}
	}
	return wire.ZoneReply{Outcome: applied.outcome, Reason: applied.reason}
}

// zoneInState reports whether a zone is known to be in the state that an order requests, so that no
// proposal is needed.
func (r *Replica) zoneInState(now time.Time, order *wire.ZoneOrder) bool {
	return r.core.HasReadLease(now) && r.state.zones[order.Zone].Drained == order.Drain
}

// zoneDeferral says why an order is not carried out now, and how long to wait.
type zoneDeferral struct {
	reason string
	wait   time.Duration
}

// deferral returns why an order must not be carried out now. Its reason is "" if the order may be
// carried out.
func (r *Replica) deferral(now time.Time, order *wire.ZoneOrder, resend time.Duration) zoneDeferral {
	if order.Ticket.Term != r.core.Term() || now.Sub(time.UnixMilli(order.Ticket.IssuedMS)) > ticketLifetime {
		return zoneDeferral{reason: "the order was on its way for too long"}
	}
	if r.state.zones[order.Zone].Drained == order.Drain {
		return zoneDeferral{}
	}
	lastOrdered, known := r.orderedAt[zoneCommand{Zone: order.Zone, Drain: order.Drain}]
	if wait := lastOrdered.Add(resend).Sub(now); known && wait > 0 {
		return zoneDeferral{reason: fmt.Sprintf("it may be a copy of an order that was carried out and then withdrawn; it is carried out if it is sent after %s", wait), wait: wait}
	}
	return zoneDeferral{}
}

// proposeZone proposes an order to consensus.
func (r *Replica) proposeZone(now time.Time, order *wire.ZoneOrder, done func(result, error)) {
	cmd := command{At: now, Zone: &zoneCommand{Zone: order.Zone, Drain: order.Drain, Base: order.Ticket.Revision}}
	data, err := cmd.encode()
	if err != nil {
		done(result{}, err)
		return
	}
	r.proposeOnce(now, proposalKey{zone: order.Zone, drain: order.Drain}, data, done)
}
