package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// handleLoad handles a gateway's load report; the next totals are sent to this gateway too.
func (c *controlNode) handleLoad(_ context.Context, peer *rpc.Peer, report wire.LoadReport) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	c.board.Report(clock.Now(), report, func(totals wire.LoadReport) {
		// An unreachable gateway has lost its connection and will report again.
		_ = peer.Notify(wire.MethodLoadTotals, totals)
	})
	return wire.Empty{}, nil
}

// handleLoadSum handles the sum of another control node's gateways.
func (c *controlNode) handleLoadSum(_ context.Context, _ *rpc.Peer, sum wire.LoadReport) (wire.Empty, error) {
	c.board.RecordSum(clock.Now(), sum)
	return wire.Empty{}, nil
}

// shareLoad sends the total load to this node's gateways, and the sum of these gateways to the
// other control nodes.
func (c *controlNode) shareLoad(ctx context.Context) {
	var sums loadview.Sums
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.board.Changed():
		}
		totals, sum, notify := c.board.Totals(clock.Now())
		for _, send := range notify {
			go send(totals)
		}
		if sums.Due(clock.Now(), sum.Loads) {
			sum.Node = c.settings.Node
			for _, address := range c.cluster.Peers() {
				go c.notify(ctx, address, wire.MethodLoadSum, sum)
			}
		}
		time.Sleep(c.sharePause(loadview.RoundInterval(c.follower.Gateways(), c.publisher.Replicas())))
	}
}

// sharePause returns the pause after gateways were sent something. It is no shorter than the time
// that sending to all of them may take: a node that has just started knows few replicas but has all
// its gateways.
func (c *controlNode) sharePause(pause time.Duration) time.Duration {
	return max(pause, c.relay.BatchDelay())
}

// notify sends a notification to one control node; a lost one is corrected by the next.
func (c *controlNode) notify(ctx context.Context, address, method string, params any) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	_ = c.links.Client(address).Notify(ctx, method, params)
}

// handleSent handles a gateway's report on the prompts that it has sent.
func (c *controlNode) handleSent(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.backlog.Add(clock.Now(), report.Sent, true)
	return wire.Empty{}, nil
}

// handleSentSum handles the prompts sent by the gateways of another control node.
func (c *controlNode) handleSentSum(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.backlog.Add(clock.Now(), report.Sent, false)
	return wire.Empty{}, nil
}

// forwardSent sends the prompts of this node's gateways to the other control nodes.
func (c *controlNode) forwardSent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.backlog.Forwardable():
		}
		time.Sleep(loadview.BacklogBatchDelay)
		own := wire.SentReport{Sent: c.backlog.TakeOwn()}
		for _, address := range c.cluster.Peers() {
			go c.notify(ctx, address, wire.MethodSentSum, own)
		}
	}
}

// shareBacklog sends to this node's gateways how much of the prompts each replica has yet to
// process.
func (c *controlNode) shareBacklog(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.backlog.Changed():
		}
		totals, err := rpc.NewNotification(wire.MethodBacklogs, c.backlog.Totals(clock.Now()))
		if err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.UpdateNotEncoded, Reason: err.Error()})
		} else {
			c.relay.Broadcast(totals)
		}
		time.Sleep(c.sharePause(loadview.BacklogInterval(c.follower.Gateways(), c.publisher.Replicas())))
	}
}
