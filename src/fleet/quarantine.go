package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The times of spreading what is known of contents under which replicas ended. With nothing
// known nothing is sent.
const (
	// reportWithin bounds one report of a gateway, reportAgain is the pause after one that no
	// control node took.
	reportWithin = 500 * time.Millisecond
	reportAgain  = 100 * time.Millisecond
	// reportEvery and reportFor repeat what a gateway saw itself: the control node that took
	// the report may be lost before it has passed it on.
	reportEvery = time.Second
	reportFor   = 10 * time.Second
	// exchangeEvery is how often a control node tells another one all that it knows, for one
	// that was restarted or cut off.
	exchangeEvery = time.Second
	// tellGateways is from how many ends on a content is told to gateways and saved.
	tellGateways = 2
)

// newTable returns a table whose changes are logged.
func newTable(ring *event.Ring) *quarantine.Table {
	return quarantine.NewTable(func(change quarantine.Change) {
		switch {
		case change.Held:
			ring.Add(event.Event{Kind: event.ContentHeld, Reason: fmt.Sprintf("content %s for %s; ended under it: %s", change.Digest, change.For, strings.Join(change.Ends, " "))})
		case len(change.Ends) > 0:
			ring.Add(event.Event{Kind: event.ContentFreed, Reason: fmt.Sprintf("content %s: its time is over; ended under it: %s", change.Digest, strings.Join(change.Ends, " "))})
		default:
			ring.Add(event.Event{Kind: event.ContentFreed, Reason: fmt.Sprintf("content %s: a run came to a good end, or an operator lifted it", change.Digest)})
		}
	})
}

// shareEnds tells control nodes under which contents this gateway saw replicas end, and which
// of them it saw come to a good end, until one has taken it.
func (g *gateway) shareEnds(ctx context.Context) {
	var told uint64
	again := time.NewTimer(reportEvery)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.guard.Changed():
		case <-again.C:
		}
		pause := reportEvery
		entries, stamp := g.guard.OwnSince(time.Now(), told)
		switch {
		case len(entries) == 0:
			g.repeatEnds(ctx)
		case g.reportEnds(ctx, entries):
			told = stamp
		default:
			pause = reportAgain
		}
		again.Reset(pause)
	}
}

// reportEnds reports whether a control node has taken the entries.
func (g *gateway) reportEnds(ctx context.Context, entries []quarantine.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, reportWithin)
	defer cancel()
	_, err := feed.Ask[wire.Empty](ctx, g.follower, wire.MethodQuarantine, wire.Quarantine{Entries: entries})
	return err == nil
}

// repeatEnds tells the nearest control node again what this gateway saw lately.
func (g *gateway) repeatEnds(ctx context.Context) {
	if entries := g.guard.OwnWithin(time.Now(), reportFor); len(entries) > 0 {
		g.follower.NotifyNearest(ctx, wire.MethodQuarantine, wire.Quarantine{Entries: entries})
	}
}

// takeQuarantine takes in what a gateway or another control node knows.
func (c *controlNode) takeQuarantine(_ context.Context, _ *rpc.Peer, told wire.Quarantine) (wire.Empty, error) {
	c.quarantine.Merge(time.Now(), told.Entries)
	return wire.Empty{}, nil
}

// listQuarantine returns all that this control node knows.
func (c *controlNode) listQuarantine(context.Context, *rpc.Peer, wire.Empty) (wire.Quarantine, error) {
	entries, _ := c.quarantine.Since(time.Now(), 0)
	return wire.Quarantine{Entries: entries}, nil
}

// liftQuarantine lets contents through again by an operator's word.
func (c *controlNode) liftQuarantine(_ context.Context, _ *rpc.Peer, request wire.LiftRequest) (wire.LiftReply, error) {
	now := time.Now()
	entries, _ := c.quarantine.Since(now, 0)
	var reply wire.LiftReply
	for _, entry := range entries {
		if !entry.Digest.Begins(request.Digest) {
			continue
		}
		if c.quarantine.Clear(now, entry.Digest) {
			reply.Lifted = append(reply.Lifted, entry.Digest)
			c.proc.Ring().Add(event.Event{Kind: event.ContentFreed, Reason: fmt.Sprintf("content %s: lifted by %s", entry.Digest, request.By)})
		}
	}
	return reply, nil
}

// passQuarantine tells gateways and the other control nodes what is new.
func (c *controlNode) passQuarantine(ctx context.Context) {
	var passed uint64
	all := time.NewTicker(exchangeEvery)
	defer all.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-all.C:
			c.quarantine.Sweep(time.Now())
			c.tellOneAll(ctx)
			continue
		case <-c.quarantine.Changed():
		}
		now := time.Now()
		entries, stamp := c.quarantine.Since(now, passed)
		passed = stamp
		for _, address := range c.cluster.Peers() {
			go c.tell(ctx, address, wire.MethodQuarantine, wire.Quarantine{Entries: entries})
		}
		c.toldQuarantine.Store(&wire.Quarantine{Entries: c.quarantine.Entries(now, tellGateways)})
		c.relay.Wake()
		c.toSave.Raise()
	}
}

// tellOneAll tells one other control node all that is known.
func (c *controlNode) tellOneAll(ctx context.Context) {
	peers := c.cluster.Peers()
	entries, _ := c.quarantine.Since(time.Now(), 0)
	if len(entries) == 0 || len(peers) == 0 {
		return
	}
	go c.tell(ctx, peers[rand.IntN(len(peers))], wire.MethodQuarantine, wire.Quarantine{Entries: entries})
}

// keepQuarantine keeps on the disk what gateways are told, apart from the telling, since a disk
// may hang.
func (c *controlNode) keepQuarantine(ctx context.Context) {
	again := time.NewTimer(time.Hour)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.toSave.Raised():
		case <-again.C:
		}
		known := c.toldQuarantine.Load()
		if known == nil || len(known.Entries) == 0 {
			continue
		}
		if err := c.quarantineFile.Save(known.Entries); err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the quarantine was not saved: " + err.Error()})
			again.Reset(storageRetry)
		}
	}
}

// recallQuarantine takes in what was known before a restart.
func (c *controlNode) recallQuarantine() {
	entries, err := c.quarantineFile.Load()
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the quarantine known before is not recalled: " + err.Error()})
		return
	}
	c.quarantine.Merge(time.Now(), entries)
}
