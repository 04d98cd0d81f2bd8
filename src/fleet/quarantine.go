package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The intervals of sharing the contents and parts of prompts that crash replicas. Nothing is sent while there
// are none.
const (
	// reportTimeout bounds one report of a gateway, reportRetry is the pause after one that no
	// control node accepted.
	reportTimeout = 500 * time.Millisecond
	reportRetry   = 100 * time.Millisecond
	// reportInterval and reportDuration set how often and how long a gateway repeats its own
	// observations: the control node that accepted a report may fail before it has forwarded it.
	reportInterval = time.Second
	reportDuration = 10 * time.Second
	// exchangeInterval is how often a control node sends all entries to another one, which may have
	// been restarted or disconnected.
	exchangeInterval = time.Second
	// collectInterval is the interval at which a control node that has started asks those others for
	// their entries that gave none yet, collectDuration how long it goes on.
	collectInterval = 200 * time.Millisecond
	collectDuration = time.Minute
	// minSharedEnds is the least number of crashes for which a content or part is sent to gateways and saved.
	minSharedEnds = 2
)

// newQuarantineTable returns a quarantine table that logs its changes.
func newQuarantineTable(ring *event.Ring) *quarantine.Table {
	return quarantine.NewTable(func(change quarantine.Change) {
		switch {
		case change.Held:
			ring.Add(event.Event{Kind: event.ContentQuarantined, Reason: fmt.Sprintf("%s for %s; ended under it: %s", change.Key, change.For, strings.Join(change.Failures, " "))})
		case len(change.Failures) > 0:
			ring.Add(event.Event{Kind: event.ContentReleased, Reason: fmt.Sprintf("%s: the quarantine expired, or the backend servers ended for another reason; ended under it: %s", change.Key, strings.Join(change.Failures, " "))})
		default:
			ring.Add(event.Event{Kind: event.ContentReleased, Reason: fmt.Sprintf("%s: a run succeeded, or an operator lifted the quarantine", change.Key)})
		}
	})
}

// shareEnds reports the contents that this gateway saw crash replicas, and those that it saw
// succeed, until a control node has accepted the report.
func (g *gateway) shareEnds(ctx context.Context) {
	var acknowledged uint64
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.tracker.Changed():
		case <-timer.C:
		}
		pause := reportInterval
		entries, stamp := g.tracker.OwnSince(time.Now(), acknowledged)
		switch {
		case len(entries) == 0:
			g.repeatEnds(ctx)
		case g.reportEnds(ctx, entries):
			acknowledged = stamp
		default:
			pause = reportRetry
		}
		timer.Reset(pause)
	}
}

// reportEnds sends entries and reports whether a control node has accepted them.
func (g *gateway) reportEnds(ctx context.Context, entries []quarantine.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := feed.CallHedged[wire.Empty](ctx, g.follower, wire.MethodQuarantine, wire.Quarantine{Entries: entries})
	return err == nil
}

// repeatEnds sends this gateway's recent observations to the nearest control node again.
func (g *gateway) repeatEnds(ctx context.Context) {
	if entries := g.tracker.OwnWithin(time.Now(), reportDuration); len(entries) > 0 {
		g.follower.NotifyBest(ctx, wire.MethodQuarantine, wire.Quarantine{Entries: entries})
	}
}

// handleQuarantine handles the entries of a gateway or another control node. Only a gateway's are
// forwarded: full tables evict different entries, and would make each other change endlessly.
func (c *controlNode) handleQuarantine(_ context.Context, _ *rpc.Peer, received wire.Quarantine) (wire.Empty, error) {
	if received.Forwarded {
		c.quarantine.Merge(time.Now(), received.Entries)
	} else {
		c.quarantine.MergeOwn(time.Now(), received.Entries)
	}
	return wire.Empty{}, nil
}

// listQuarantine returns all entries of this control node.
func (c *controlNode) listQuarantine(context.Context, *rpc.Peer, wire.Empty) (wire.Quarantine, error) {
	entries, _ := c.quarantine.Since(time.Now(), 0)
	return wire.Quarantine{Entries: entries}, nil
}

// liftQuarantine lifts the quarantine of contents and parts of prompts for an operator.
func (c *controlNode) liftQuarantine(_ context.Context, _ *rpc.Peer, request wire.LiftRequest) (wire.LiftReply, error) {
	now := time.Now()
	entries, _ := c.quarantine.Since(now, 0)
	var reply wire.LiftReply
	for _, entry := range entries {
		if !entry.Digest.HasPrefix(request.Digest) && !entry.IsPart(request.Digest) {
			continue
		}
		if c.quarantine.Clear(now, entry.Digest) {
			reply.Lifted = append(reply.Lifted, entry.Digest)
			c.proc.Ring().Add(event.Event{Kind: event.ContentReleased, Reason: fmt.Sprintf("%s: lifted by %s", entry.Key(), request.By)})
		}
	}
	return reply, nil
}

// forwardQuarantine sends new entries to gateways and the other control nodes.
func (c *controlNode) forwardQuarantine(ctx context.Context) {
	var forwarded uint64
	fullSync := time.NewTicker(exchangeInterval)
	defer fullSync.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fullSync.C:
			c.quarantine.Sweep(time.Now())
			c.notifyRandomPeer(ctx)
			continue
		case <-c.quarantine.Changed():
		}
		now := time.Now()
		entries, stamp := c.quarantine.OwnSince(now, forwarded)
		forwarded = stamp
		if len(entries) > 0 {
			for _, address := range c.cluster.Peers() {
				go c.notify(ctx, address, wire.MethodQuarantine, wire.Quarantine{Entries: entries, Forwarded: true})
			}
		}
		c.sharedQuarantine.Store(&wire.Quarantine{Entries: c.quarantine.Entries(now, minSharedEnds)})
		c.relay.StateChanged()
		c.toSave.Raise()
	}
}

// collectQuarantine gets the entries of each other control node once after a start. What others forwarded
// while this node was down is lost, and the exchange may take seconds to reach it: a gateway that follows
// this node would send a quarantined content to further backend servers until then.
func (c *controlNode) collectQuarantine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, collectDuration)
	defer cancel()
	collectFromAll(ctx, c.cluster.Peers, func(ctx context.Context, address string) bool {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var known wire.Quarantine
		if err := c.links.Client(address).Call(ctx, wire.MethodQuarantineList, wire.Empty{}, &known); err != nil {
			return false
		}
		c.quarantine.Merge(time.Now(), known.Entries)
		return true
	})
}

// collectFromAll calls collect for each peer until it has returned true once for all present peers, or the
// context ends.
func collectFromAll(ctx context.Context, peers func() []string, collect func(ctx context.Context, address string) bool) {
	collected := map[string]bool{}
	for ctx.Err() == nil {
		missing := slices.DeleteFunc(slices.Clone(peers()), func(address string) bool { return collected[address] })
		if len(missing) == 0 {
			return
		}
		answered := make([]bool, len(missing))
		var calls sync.WaitGroup
		for i, address := range missing {
			calls.Go(func() { answered[i] = collect(ctx, address) })
		}
		calls.Wait()
		for i, address := range missing {
			collected[address] = answered[i]
		}
		admission.Sleep(ctx, collectInterval)
	}
}

// notifyRandomPeer sends all entries to one other control node.
func (c *controlNode) notifyRandomPeer(ctx context.Context) {
	peers := c.cluster.Peers()
	entries, _ := c.quarantine.Since(time.Now(), 0)
	if len(entries) == 0 || len(peers) == 0 {
		return
	}
	go c.notify(ctx, peers[rand.IntN(len(peers))], wire.MethodQuarantine, wire.Quarantine{Entries: entries, Forwarded: true})
}

// saveQuarantine saves what gateways are sent. It runs apart from the sending, since a disk may
// hang.
func (c *controlNode) saveQuarantine(ctx context.Context) {
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.toSave.Raised():
		case <-retry.C:
		}
		known := c.sharedQuarantine.Load()
		if known == nil || len(known.Entries) == 0 {
			continue
		}
		if err := c.quarantineFile.Save(known.Entries); err != nil {
			c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the quarantine was not saved: " + err.Error()})
			retry.Reset(storageRetry)
		}
	}
}

// restoreQuarantine loads the entries saved before a restart.
func (c *controlNode) restoreQuarantine() {
	entries, err := c.quarantineFile.Load()
	if err != nil {
		c.proc.Ring().Add(event.Event{Kind: event.StorageFailed, Reason: "the quarantine saved before the restart was not restored: " + err.Error()})
		return
	}
	c.quarantine.Merge(time.Now(), entries)
}
