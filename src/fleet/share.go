package fleet

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/registry"
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

// handleSent handles a gateway's report on the prompts that it has sent and the loads that replicas
// told it.
func (c *controlNode) handleSent(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.addSent(report, true)
	return wire.Empty{}, nil
}

// handleSentSum handles the reports of the gateways of another control node.
func (c *controlNode) handleSentSum(_ context.Context, _ *rpc.Peer, report wire.SentReport) (wire.Empty, error) {
	c.addSent(report, false)
	return wire.Empty{}, nil
}

// addSent adds a report; own is set for those of this node's gateways.
func (c *controlNode) addSent(report wire.SentReport, own bool) {
	now := clock.Now()
	if len(report.Sent) > 0 {
		c.backlog.Add(now, report.Sent, own)
	}
	c.states.Add(now, report, own)
}

// forwardSent sends the reports of this node's gateways to the other control nodes.
func (c *controlNode) forwardSent(ctx context.Context) {
	node := reporterName(c.settings.Node, clock.Now())
	for awaitReports(ctx, c.backlog.Forwardable(), c.states.Forwardable()) {
		own := wire.SentReport{Sent: c.backlog.TakeOwn(), Replicas: c.states.TakeOwn(clock.Now())}
		if !stampReport(&own, node, clock.Now()) {
			continue
		}
		for _, address := range c.cluster.Peers() {
			go c.notify(ctx, address, wire.MethodSentSum, own)
		}
	}
}

// awaitReports waits until there is something to report and the time to collect more has passed. It
// returns false if the context has ended. Prompts wait for no loads: what others send within some
// milliseconds decides where the next prompt should go.
func awaitReports(ctx context.Context, prompts, loads <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-prompts:
	case <-loads:
		select {
		case <-ctx.Done():
			return false
		case <-time.After(loadview.ToldBatchDelay):
			return true
		case <-prompts:
		}
	}
	time.Sleep(loadview.BacklogBatchDelay)
	return true
}

// reporterName returns the name under which a process that has started at a time reports loads.
func reporterName(node string, started time.Time) string {
	return node + "@" + strconv.FormatInt(started.UnixMilli(), 10)
}

// stampReport sets the reporter and the time of a report on replicas. It reports whether there is
// anything to report.
func stampReport(report *wire.SentReport, node string, now time.Time) bool {
	if len(report.Replicas) > 0 {
		report.Node, report.AtMS = node, now.UnixMilli()
		return true
	}
	return len(report.Sent) > 0
}

// shareBacklog sends to this node's gateways how much of the prompts each replica has yet to
// process, and at longer intervals the states of the replicas of engines with small batches.
func (c *controlNode) shareBacklog(ctx context.Context) {
	var rounds loadview.StateRounds
	for {
		var due <-chan time.Time
		if wait, found := rounds.Wait(clock.Now(), c.states.Replicas()); found {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-c.states.Changed():
			rounds.Changed()
			continue
		case <-c.backlog.Changed():
		case <-due:
		}
		now := clock.Now()
		totals := c.backlog.Totals(now)
		if wait, found := rounds.Wait(now, c.states.Replicas()); found && wait == 0 {
			packed, busy := c.states.Packed(now)
			totals.States = packed
			rounds.Sent(now, busy)
		}
		notification, err := rpc.NewNotification(wire.MethodBacklogs, totals)
		if err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.UpdateNotEncoded, Reason: err.Error()})
		} else {
			c.relay.Broadcast(notification)
		}
		time.Sleep(c.sharePause(loadview.BacklogInterval(c.follower.Gateways(), c.publisher.Replicas())))
	}
}

// removeEnded drops the states of replicas that have ended.
func (c *controlNode) removeEnded(changes registry.Changes) {
	for i := range changes.Entries {
		if e := &changes.Entries[i]; e.Record.Gone || e.Replaced {
			c.states.Remove(e.Record.ID)
		}
	}
	for _, id := range changes.Removed {
		c.states.Remove(id)
	}
}
