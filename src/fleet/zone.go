package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// hangUpWait is how long a zone order, or an assigned slot, waits for its caller's connection to turn out closed: after a
// suspension or a network outage, an order that its caller gave up long ago arrives together with
// the end of its connection. Reading both takes less than 1 ms.
const hangUpWait = 20 * time.Millisecond

// orderZone starts or ends the drain of an availability zone.
func (c *controlNode) orderZone(ctx context.Context, zone string, drain bool) ZoneOrderResult {
	return c.orderZoneBy(ctx, zone, drain, "a call")
}

// orderZoneBy is orderZone with the origin of the order for the log.
func (c *controlNode) orderZoneBy(ctx context.Context, zone string, drain bool, by string) ZoneOrderResult {
	logOrder := func(kind event.Kind, reason string) {
		c.proc.Ring().Add(event.Event{Kind: kind, Zone: zone, Reason: describeOrder(drain, by, reason)})
	}
	if _, known := c.settings.Zones[zone]; !known && len(c.settings.Zones) > 0 {
		reason := fmt.Sprintf("there is no availability zone %q", zone)
		logOrder(event.ZoneOrderRefused, reason)
		return ZoneOrderResult{UnknownZone: true, Reason: reason}
	}
	select {
	case <-ctx.Done():
		logOrder(event.ZoneOrderRefused, "the caller has hung up")
		return ZoneOrderResult{Reason: "the caller has hung up"}
	case <-time.After(hangUpWait):
	}
	reply := c.cluster.OrderZone(ctx, zone, drain)
	if reply.Outcome != wire.Accepted {
		logOrder(event.ZoneOrderRefused, string(reply.Outcome)+": "+reply.Reason)
		return ZoneOrderResult{Reason: reply.Reason, RetryAfter: time.Duration(reply.RetryMS) * time.Millisecond}
	}
	logOrder(event.ZoneOrdered, "")
	return ZoneOrderResult{Done: true}
}

// describeOrder describes a zone order for the log: the action, its origin and why it was refused.
func describeOrder(drain bool, by, reason string) string {
	what := "drain"
	if !drain {
		what = "end the drain"
	}
	what += ", by " + by
	if reason != "" {
		what += ": " + reason
	}
	return what
}

// setDrains stops new placements in drained zones.
func (c *controlNode) setDrains(drains *wire.ZoneDrains) {
	c.placer.SetDrains(drains)
	c.dispatchers.SetDrains(drains)
	c.replicas.SetDrains(drains)
}

// registerZones registers the operator's methods of moorspool's own API.
func (c *controlNode) registerZones() {
	c.proc.Mux().Handle(wire.MethodZoneDrain, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.ZoneDrainRequest) (wire.ZoneReply, error) {
		got := c.orderZoneBy(ctx, request.Zone, request.Drain, request.By)
		reply := wire.ZoneReply{Outcome: wire.Accepted, Reason: got.Reason, RetryMS: got.RetryAfter.Milliseconds()}
		switch {
		case got.UnknownZone:
			reply.Outcome = wire.Refused
		case !got.Done:
			reply.Outcome = wire.Unavailable
		}
		return reply, nil
	}))
	c.proc.Mux().Handle(wire.MethodZoneDrains, rpc.Typed(func(context.Context, *rpc.Peer, wire.Empty) (wire.ZoneDrains, error) {
		return *c.cluster.Drains(), nil
	}))
}
