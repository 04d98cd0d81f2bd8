package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// load takes in a gateway's report; the next round of totals goes there too.
func (c *controlNode) load(_ context.Context, peer *rpc.Peer, report wire.LoadReport) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	c.board.Report(time.Now(), report, func(totals wire.LoadReport) {
		// A gateway that is not reached has lost its connection and reports anew.
		_ = peer.Notify(context.Background(), wire.MethodLoadTotals, totals)
	})
	return wire.Empty{}, nil
}

func (c *controlNode) loadSum(_ context.Context, _ *rpc.Peer, sum wire.LoadReport) (wire.Empty, error) {
	c.board.TakeSum(time.Now(), sum)
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
		totals, sum, tell := c.board.Round(time.Now())
		for _, send := range tell {
			go send(totals)
		}
		if sums.Due(time.Now(), sum.Loads) {
			sum.Node = c.settings.Node
			for _, address := range c.cluster.Peers() {
				go c.tellSum(ctx, address, sum)
			}
		}
		time.Sleep(loadview.Pause(c.follower.Gateways(), c.publisher.Replicas()))
	}
}

// tellSum sends a sum to one node; a lost one is made good by the next.
func (c *controlNode) tellSum(ctx context.Context, address string, sum wire.LoadReport) {
	ctx, cancel := context.WithTimeout(ctx, noteWait)
	defer cancel()
	_ = c.links.Client(address).Notify(ctx, wire.MethodLoadSum, sum)
}
