package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The intervals at which a control node forwards its gateways' usage reports.
const (
	// usageInterval is the interval of reports to the leader, the same as that of its planning.
	usageInterval = 250 * time.Millisecond
	// usageBatchDelay is how long a report of missing copies waits for further ones.
	usageBatchDelay = 10 * time.Millisecond
	// usageFollowerInterval is the interval of reports to control nodes that do not lead; the next
	// leader starts with them.
	usageFollowerInterval = 2 * time.Second
)

// handleUsage handles a gateway's report.
func (c *controlNode) handleUsage(_ context.Context, _ *rpc.Peer, usage wire.Usage) (wire.Empty, error) {
	c.usage.Add(usage.Models)
	return wire.Empty{}, nil
}

// handleUsageSum handles the sum of a control node's gateways; it may come from this node.
func (c *controlNode) handleUsageSum(_ context.Context, _ *rpc.Peer, usage wire.Usage) (wire.Empty, error) {
	c.placer.RecordUsage(usage)
	return wire.Empty{}, nil
}

// forwardUsage sends the sum of this node's gateways to the leader, so that the leader gets one report
// per control node rather than per gateway, and less often to the other control nodes.
func (c *controlNode) forwardUsage(ctx context.Context) {
	forFollowers := exchange.NewDemand()
	followersToldAt := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.usage.Changed():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageInterval):
		case <-c.usage.MissingCopy():
			time.Sleep(usageBatchDelay)
		}
		models := c.usage.Drain()
		if len(models) == 0 {
			continue
		}
		c.follower.NotifyLeader(ctx, wire.MethodUsageSum, wire.Usage{Node: c.settings.Node, Zone: c.settings.Zone, Models: models})
		forFollowers.Add(withoutMissing(models))
		if now := clock.Now(); now.Sub(followersToldAt) >= usageFollowerInterval {
			followersToldAt = now
			c.follower.NotifyOthers(ctx, wire.MethodUsageSum, wire.Usage{Node: c.settings.Node, Zone: c.settings.Zone, Models: forFollowers.Drain()})
		}
	}
}

// withoutMissing removes the counts of missing copies, on which only the leader acts.
func withoutMissing(models []wire.Asked) []wire.Asked {
	reduced := make([]wire.Asked, 0, len(models))
	for _, asked := range models {
		asked.Missing = 0
		reduced = append(reduced, asked)
	}
	return reduced
}
