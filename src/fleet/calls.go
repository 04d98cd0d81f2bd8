package fleet

import (
	"context"
	"strconv"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// calls returns the functions that handle requests of operators and replicas.
func (c *controlNode) calls() Calls {
	return Calls{
		Put:  c.put,
		Read: c.read,
		ConfigurationRefused: func(reason string) {
			c.proc.Ring().Add(event.Event{Kind: event.ConfigRefused, Reason: reason})
		},
		OrderZone:        c.orderZone,
		ApplyHeartbeat:   c.publisher.ApplyHeartbeat,
		HeartbeatRefused: c.heartbeatRefused,
		UnknownFields:    c.unknown.record,
		HandleEnd:        c.publisher.HandleEnd,
	}
}

// heartbeatRefused records a malformed heartbeat; it changes nothing of the replica.
func (c *controlNode) heartbeatRefused(name, reason string) {
	c.proc.Metrics().Count("replica_calls_refused_total").Inc(1)
	c.proc.Ring().Add(event.Event{Kind: event.HeartbeatRefused, Host: name, Reason: reason})
}

// put commits a configuration and reports whether that is certain.
func (c *controlNode) put(ctx context.Context, version uint64, raw []byte) bool {
	reply := c.cluster.Put(ctx, wire.DocumentRequest{Version: version, Packed: wire.Pack(raw)})
	kind := event.ConfigAccepted
	if reply.Outcome != wire.Accepted {
		kind = event.ConfigUncertain
	}
	c.proc.Ring().Add(event.Event{Kind: kind, Reason: "version " + strconv.FormatUint(version, 10) + ", in force " + strconv.FormatUint(reply.Version, 10) + " " + reply.Reason})
	return reply.Outcome == wire.Accepted
}

// read returns the latest accepted configuration.
func (c *controlNode) read(ctx context.Context) ([]byte, bool) {
	held := c.cluster.Read(ctx)
	if !held.Known {
		return nil, false
	}
	raw, err := wire.Unpack(held.Packed)
	return raw, err == nil
}
