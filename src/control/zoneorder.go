package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// ticketLife is for how long a leader takes an order on a ticket that it gave: an order that was
// held up on its way, while its operator has given up or ordered the opposite, changes nothing.
// It is longer than any call to the leader may take.
const ticketLife = 2 * time.Second

// Drains returns the drained zones that this node has applied; they must not be changed.
func (c *Cluster) Drains() *wire.ZoneDrains { return c.node.known().drains }

// OrderZone drains an availability zone, or ends that; it returns once that is durable on a
// majority, or with an outcome that promises nothing. An order that is as the zone stands changes
// nothing.
//
// Operators send an order again until it is answered, and name nothing that tells a copy from a new
// order. So a copy that comes after the opposite order must not be carried out, and what may be
// one is put off until no operator sends it again.
func (c *Cluster) OrderZone(ctx context.Context, zone string, drain bool) wire.ZoneReply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.awaitLeader(ctx)
	var ticket wire.ZoneTicket
	if err := c.askLeader(ctx, lead, wire.MethodZoneTicket, wire.ZoneTicketRequest{Zone: zone}, &ticket); err != nil {
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	}
	if !ticket.Known {
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: errNoLeader.Error()}
	}
	var reply wire.ZoneReply
	switch err := c.askLeader(ctx, lead, wire.MethodZoneOrder, wire.ZoneOrder{Zone: zone, Drain: drain, Ticket: ticket}, &reply); {
	case errors.Is(err, errNoLeader):
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	case err != nil:
		return wire.ZoneReply{Outcome: wire.Unknown, Reason: "the leader gave no answer: " + err.Error()}
	}
	return reply
}

// askLeader calls the leader's part of a zone order, which may be this node's own.
func (c *Cluster) askLeader(ctx context.Context, lead Leadership, method string, params, reply any) error {
	if !lead.Self {
		return c.passOn(ctx, lead, method, params, reply)
	}
	switch request := params.(type) {
	case wire.ZoneTicketRequest:
		*reply.(*wire.ZoneTicket) = c.ticket(request.Zone)
	case wire.ZoneOrder:
		*reply.(*wire.ZoneReply) = c.orderHere(ctx, request)
	}
	return nil
}

func (c *Cluster) giveTicket(_ context.Context, _ *rpc.Peer, request wire.ZoneTicketRequest) (wire.ZoneTicket, error) {
	return c.ticket(request.Zone), nil
}

// ticket returns what an order about a zone has to name now.
func (c *Cluster) ticket(zone string) wire.ZoneTicket {
	var ticket wire.ZoneTicket
	c.node.Do(func(now time.Time) {
		r := c.node.replica
		ticket = wire.ZoneTicket{
			Known:    viewOf(r, now).sure(now),
			Term:     r.core.Term(),
			Revision: r.state.zones[zone].Revision,
			IssuedMS: now.UnixMilli(),
		}
	})
	return ticket
}

func (c *Cluster) takeZoneOrder(ctx context.Context, _ *rpc.Peer, order wire.ZoneOrder) (wire.ZoneReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return c.orderHere(ctx, order), nil
}

// orderHere carries an order out if this node leads.
func (c *Cluster) orderHere(ctx context.Context, order wire.ZoneOrder) wire.ZoneReply {
	var held zoneHold
	applied, err := c.node.await(ctx, func(now time.Time, done func(result, error)) {
		if c.node.replica.stands(now, &order) {
			done(result{outcome: wire.Accepted}, nil)
			return
		}
		if held = c.node.replica.holdsBack(now, &order, c.options.ResendZoneOrders); held.reason != "" {
			done(result{outcome: wire.Unavailable, reason: held.reason}, nil)
			return
		}
		c.node.replica.proposeZone(now, &order, done)
	})
	if err == nil && applied.outcome == wire.Accepted {
		applied = c.node.settle(ctx, applied, func(settled uint64) bool {
			return c.node.replica.changes.zoneSettled(order.Zone, settled)
		})
	}
	switch {
	case err != nil:
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: err.Error()}
	case applied.raced:
		// Nothing was done; the operator, if it still is there, sends it again.
		return wire.ZoneReply{Outcome: wire.Unavailable, Reason: applied.reason}
	case applied.outcome == wire.Unavailable:
		return wire.ZoneReply{Outcome: applied.outcome, Reason: applied.reason, RetryMS: held.wait.Milliseconds()}
	}
	return wire.ZoneReply{Outcome: applied.outcome, Reason: applied.reason}
}

// stands reports whether a zone is known to be as an order wants it, so that nothing has to be
// proposed.
func (r *Replica) stands(now time.Time, order *wire.ZoneOrder) bool {
	return r.core.ReadSafe(now) && r.state.zones[order.Zone].Drained == order.Drain
}

// zoneHold says why an order is not carried out now, and for how long.
type zoneHold struct {
	reason string
	wait   time.Duration
}

// holdsBack returns why an order must not be carried out now; its reason is "" if it may be.
func (r *Replica) holdsBack(now time.Time, order *wire.ZoneOrder, resend time.Duration) zoneHold {
	if order.Ticket.Term != r.core.Term() || now.Sub(time.UnixMilli(order.Ticket.IssuedMS)) > ticketLife {
		return zoneHold{reason: "the order was on its way for too long"}
	}
	if r.state.zones[order.Zone].Drained == order.Drain {
		return zoneHold{}
	}
	given, known := r.orderedAt[zoneCommand{Zone: order.Zone, Drain: order.Drain}]
	if wait := given.Add(resend).Sub(now); known && wait > 0 {
		return zoneHold{reason: fmt.Sprintf("it may be a copy of an order that was carried out and then withdrawn; it is carried out if it is sent after %s", wait), wait: wait}
	}
	return zoneHold{}
}

// proposeZone hands an order to consensus.
func (r *Replica) proposeZone(now time.Time, order *wire.ZoneOrder, done func(result, error)) {
	cmd := command{At: now, Zone: &zoneCommand{Zone: order.Zone, Drain: order.Drain, Base: order.Ticket.Revision}}
	data, err := cmd.encode()
	if err != nil {
		done(result{}, err)
		return
	}
	r.proposeOnce(now, proposalKey{zone: order.Zone, drain: order.Drain}, data, done)
}
