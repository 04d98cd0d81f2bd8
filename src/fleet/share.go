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

// load takes in a gateway's report; the next round of totals goes there too.
func (c *controlNode) load(_ context.Context, peer *rpc.Peer, report wire.LoadReport) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	c.board.Report(clock.Now(), report, func(totals wire.LoadReport) {
		// A gateway that is not reached has lost its connection and reports anew.
		_ = peer.Notify(wire.MethodLoadTotals, totals)
	})
	return wire.Empty{}, nil
}

func (c *controlNode) loadSum(_ context.Context, _ *rpc.Peer, sum wire.LoadReport) (wire.Empty, error) {
	c.board.TakeSum(clock.Now(), sum)
	return wire.Empty{}, nil
}

// shareLoad tells the gateways here what all have under way, and the other control
// nodes what the gateways here have.
func (c *controlNode) shareLoad(ctx context.Context) {
	var sums loadview.Sums
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.board.Changed():
		}
		totals, sum, tell := c.board.Round(clock.Now())
		for _, send := range tell {
			go send(totals)
		}
		if sums.Due(clock.Now(), sum.Loads) {
			sum.Node = c.settings.Node
			for _, address := range c.cluster.Peers() {
				go c.tell(ctx, address, wire.MethodLoadSum, sum)
			}
		}
		time.Sleep(c.tellPause(loadview.Pause(c.follower.Gateways(), c.publisher.Replicas())))
	}
}

// tellPause returns the pause after gateways were told something, which is no shorter than
// what telling all of them may cost: a node that has just started knows of few replicas and
// has all gateways.
func (c *controlNode) tellPause(pause time.Duration) time.Duration { return max(pause, c.relay.Join()) }

// tell sends a notification to one control node; a lost one is made good by the next.
func (c *controlNode) tell(ctx context.Context, address, method string, params any) {
	ctx, cancel := context.WithTimeout(ctx, noteWait)
	defer cancel()
	_ = c.links.Client(address).Notify(ctx, method, params)
}

// sent takes in which prompts a gateway has sent.
func (c *controlNode) sent(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.backlog.Add(clock.Now(), report.Sent, true)
	return wire.Empty{}, nil
}

// sentSum takes in which prompts the gateways of another control node have sent.
func (c *controlNode) sentSum(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.backlog.Add(clock.Now(), report.Sent, false)
	return wire.Empty{}, nil
}

// passSent tells the other control nodes which prompts the gateways here have sent.
func (c *controlNode) passSent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.backlog.Passable():
		}
		time.Sleep(loadview.BacklogJoin)
		own := wire.SentReport{Sent: c.backlog.Own()}
		for _, address := range c.cluster.Peers() {
			go c.tell(ctx, address, wire.MethodSentSum, own)
		}
	}
}

// shareBacklog tells the gateways here what replicas have still to read.
func (c *controlNode) shareBacklog(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.backlog.Changed():
		}
		totals, err := rpc.NewNotification(wire.MethodBacklogs, c.backlog.Totals(clock.Now()))
		if err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.NewsNotSent, Reason: err.Error()})
		} else {
			c.relay.Tell(totals)
		}
		time.Sleep(c.tellPause(loadview.BacklogPause(c.follower.Gateways(), c.publisher.Replicas())))
	}
}
