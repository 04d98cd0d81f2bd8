package fleet

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/closes"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// The sharing of software that closes short. Nothing is sent while none is known.
const (
	// closesTimeout bounds one report of a gateway. minClosesRetry is the pause after one that no control node accepted; it
	// doubles up to maxClosesRetry, as control nodes of earlier builds accept none.
	closesTimeout  = 500 * time.Millisecond
	minClosesRetry = 100 * time.Millisecond
	maxClosesRetry = 2 * time.Second
	// closesInterval is how often a control node tells the others, which may have been restarted or cut off.
	closesInterval = time.Second
)

// gatewayCloses is the software that a gateway knows to close short. It is safe for concurrent use.
type gatewayCloses struct {
	table *closes.Table
	// toTell is raised when control nodes may lack some of it.
	toTell wakeup.Flag
	ring   *event.Ring
}

func newGatewayCloses(ring *event.Ring) *gatewayCloses {
	return &gatewayCloses{table: closes.NewTable(wire.MaxShortCloses), toTell: wakeup.New(), ring: ring}
}

// options returns what the handler asks and tells.
func (g *gatewayCloses) options() exchange.ShortCloses {
	return exchange.ShortCloses{
		Known: func(now time.Time, service, softwareVersion string) bool {
			return g.table.Known(now, closes.Software{Service: service, Version: softwareVersion})
		},
		Note: g.note,
	}
}

// note records that software was seen to close short.
func (g *gatewayCloses) note(now time.Time, service, softwareVersion string) {
	seen := closes.Entry{Software: closes.Software{Service: service, Version: softwareVersion}, SeenAt: now}
	if g.table.Renews(now, seen) {
		g.table.Merge(now, seen)
		g.toTell.Raise()
	}
}

// setTold merges what a control node knows, nil for nothing, and has it told what it lacks.
func (g *gatewayCloses) setTold(now time.Time, told *wire.ShortCloses) {
	if told == nil {
		told = &wire.ShortCloses{}
	}
	entries, err := mergeShortCloses(now, g.table, g.ring, told)
	if err != nil {
		return
	}
	known := closes.NewTable(wire.MaxShortCloses)
	known.Merge(now, entries...)
	if slices.ContainsFunc(g.table.Entries(now), func(own closes.Entry) bool { return known.Renews(now, own) }) {
		g.toTell.Raise()
	}
}

// tell tells control nodes what they may lack, until the context ends. report reports whether one has accepted a list.
func (g *gatewayCloses) tell(ctx context.Context, report func(context.Context, wire.ShortCloses) bool) {
	retry := time.NewTimer(0)
	retry.Stop()
	pause := minClosesRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.toTell.Raised():
		case <-retry.C:
		}
		now := time.Now()
		list := wire.NewShortCloses(now, g.table.Entries(now))
		if len(list.Software) == 0 || report(ctx, list) {
			pause = minClosesRetry
			continue
		}
		retry.Reset(pause)
		pause = min(2*pause, maxClosesRetry)
	}
}

// reportShortCloses tells several control nodes at a time, as one may be lost before it has told others, and reports
// whether any has accepted the list.
func (g *gateway) reportShortCloses(ctx context.Context, list wire.ShortCloses) bool {
	ctx, cancel := context.WithTimeout(ctx, closesTimeout)
	defer cancel()
	return feed.CallEach(ctx, g.follower, wire.MethodShortCloses, list) > 0
}

// mergeShortCloses merges a list that another process has told, and returns its entries. It logs software that was not
// known, and a malformed list, which it refuses.
func mergeShortCloses(now time.Time, table *closes.Table, ring *event.Ring, told *wire.ShortCloses) ([]closes.Entry, error) {
	entries, err := told.Entries(now)
	if err != nil {
		ring.Add(event.Event{Kind: event.ClosesRefused, Reason: err.Error()})
		return nil, errors.Wrap(err, "a list of software that closes short")
	}
	newer := slices.DeleteFunc(slices.Clone(entries), func(e closes.Entry) bool { return !table.Renews(now, e) })
	for _, added := range table.Merge(now, newer...) {
		ring.Add(event.Event{Kind: event.ClosesShort, Reason: "service " + added.Service + ", software " + strconv.Quote(added.Version) + ": told by another process; its closes end no stream from now on"})
	}
	return entries, nil
}

// registerCloses registers the method for software that closes short.
func (c *controlNode) registerCloses() {
	c.closes = closes.NewTable(wire.MaxShortCloses)
	c.proc.Mux().Handle(wire.MethodShortCloses, rpc.Typed(c.handleShortCloses))
}

// handleShortCloses handles the list of a gateway or another control node.
func (c *controlNode) handleShortCloses(_ context.Context, _ *rpc.Peer, told wire.ShortCloses) (wire.Empty, error) {
	_, err := mergeShortCloses(clock.Now(), c.closes, c.proc.Ring(), &told)
	return wire.Empty{}, err
}

// shareCloses tells this node's gateways what it knows once that has changed, and the other control nodes at an interval.
func (c *controlNode) shareCloses(ctx context.Context) {
	interval := time.NewTicker(closesInterval)
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closes.Changed():
			known := c.closes.Entries(clock.Now())
			c.sharedCloses.Store(&known)
			c.relay.StateChanged()
		case <-interval.C:
			now := clock.Now()
			list := wire.NewShortCloses(now, c.closes.Entries(now))
			if len(list.Software) == 0 {
				continue
			}
			for _, address := range c.cluster.Peers() {
				go c.notify(ctx, address, wire.MethodShortCloses, list)
			}
		}
	}
}
