package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The times at which a control node passes on what its gateways' requests ask for.
const (
	// usageEvery is how often the leader is told: its plans are as far apart.
	usageEvery = 250 * time.Millisecond
	// usageSoon is how long a report of missing copies waits for others like it.
	usageSoon = 10 * time.Millisecond
	// usageOthersEvery is how often those that do not lead are told, so that the next
	// leader does not begin with nothing.
	usageOthersEvery = 2 * time.Second
)

// takeUsage takes in a gateway's report.
func (c *controlNode) takeUsage(_ context.Context, _ *rpc.Peer, usage wire.Usage) (wire.Empty, error) {
	c.usage.Add(usage.Models)
	return wire.Empty{}, nil
}

// takeUsageSum takes in what the gateways of a control node, which may be this one, ask for.
func (c *controlNode) takeUsageSum(_ context.Context, _ *rpc.Peer, usage wire.Usage) (wire.Empty, error) {
	c.placer.TakeUsage(usage)
	return wire.Empty{}, nil
}

// passUsage tells the leader, which thus hears of each control node once and not of each
// gateway, and more rarely the others, what the gateways here ask for.
func (c *controlNode) passUsage(ctx context.Context) {
	kept := exchange.NewDemand()
	othersAt := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.usage.Asked():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageEvery):
		case <-c.usage.Urgent():
			time.Sleep(usageSoon)
		}
		models := c.usage.Drain()
		if len(models) == 0 {
			continue
		}
		c.follower.NotifyLeader(ctx, wire.MethodUsageSum, wire.Usage{Node: c.settings.Node, Models: models})
		kept.Add(withoutMissing(models))
		if now := clock.Now(); now.Sub(othersAt) >= usageOthersEvery {
			othersAt = now
			c.follower.NotifyOthers(ctx, wire.MethodUsageSum, wire.Usage{Node: c.settings.Node, Models: kept.Drain()})
		}
	}
}

// withoutMissing leaves out which copies are missing: who is told late can't help.
func withoutMissing(models []wire.Asked) []wire.Asked {
	told := make([]wire.Asked, 0, len(models))
	for _, asked := range models {
		asked.Missing = 0
		told = append(told, asked)
	}
	return told
}
