package feed

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// After a loss of all power a control node that lacked the newest configuration was up before the two that
// had it. Gateways that started with it put its older configuration into force and answered 404 for routes
// of the acknowledged one, for as long as the others were down.
func TestStartedGatewayWaitsForTheNewestConfiguration(t *testing.T) {
	n := newZonedNet(t, "x", "y", "z")
	lagging := n.nodes[2]
	others := n.addresses()[:2]
	lagging.cut.Set(others)
	lagging.unconfirmed.Store(true)
	lagging.setDocument(5, "five")
	n.nodes[0].setDocument(6, "six")
	n.nodes[1].setDocument(6, "six")
	cut := &fault.Cut{}
	cut.Set(others)
	sink := &recordingSink{}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, sink.sink(), &rpc.Meter{}, cut, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "the lagging node announces version 5", func() bool { return f.View().Version == 5 })
	cut.Set(nil)
	eventually(t, "version 6 is in force, and no other was", func() bool {
		sink.mu.Lock()
		defer sink.mu.Unlock()
		return slices.Equal(sink.versions, []uint64{6})
	})
}

// startedGateway returns a gateway with a manual clock, to which a control node has just announced version
// 5 with the time since its confirmation, 0 for never.
func startedGateway(t *testing.T, confirmed time.Duration) (f *Follower, advance func(time.Duration)) {
	t.Helper()
	members := fiveNodes[:2]
	f = newDisconnectedGateway(t, members...)
	var now atomic.Pointer[time.Time]
	start := time.Unix(1_800_000_000, 0)
	now.Store(&start)
	f.now = func() time.Time { return *now.Load() }
	s := f.sources[members[0].Address]
	s.stop = func() {}
	announce := func() {
		update := wire.FeedUpdate{Version: 5}
		if confirmed > 0 {
			update.ConfirmedMS = confirmed.Milliseconds()
		}
		f.handleUpdate(s, update)
	}
	announce()
	return f, func(d time.Duration) {
		next := now.Load().Add(d)
		now.Store(&next)
		if confirmed > 0 {
			confirmed += d
		}
		announce()
	}
}

func (f *Follower) isFetching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetching
}

// A zone that is cut off for long, or two of three control nodes that stay down, must not keep a gateway
// from serving what it can: it waits for a bounded time, and not at all for what its zone uses already.
func TestStartedGatewayServesWhatItCanInTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		confirmed time.Duration
		hold      time.Duration
	}{
		"confirmed lately":            {200 * time.Millisecond, 0},
		"confirmed before it was cut": {time.Minute, staleHold},
		"never confirmed":             {0, unconfirmedHold},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, advance := startedGateway(t, test.confirmed)
			if test.hold > 0 {
				is.True(!f.isFetching())
				advance(test.hold - time.Millisecond)
				is.True(!f.isFetching())
				advance(time.Millisecond)
			}
			is.True(f.isFetching())
		})
	}
}

// A gateway that has a configuration takes each newer one at once: what a control node has applied is
// committed, and to wait would only leave the older one in force.
func TestRunningGatewayTakesANewerConfigurationAtOnce(t *testing.T) {
	is := is.New(t)
	f, advance := startedGateway(t, 0)
	f.mu.Lock()
	f.version = 4
	f.mu.Unlock()
	advance(time.Millisecond)
	is.True(f.isFetching())
}

// What a gateway refuses for good has to rest on a configuration that was the newest a moment ago, not on
// one of a node that is cut off, and not on one older than what is announced.
func TestConfirmationOfTheConfigurationInForceExpires(t *testing.T) {
	is := is.New(t)
	f, advance := startedGateway(t, time.Second)
	is.True(!f.Confirmed()) // version 5 is not in force yet
	f.mu.Lock()
	f.version = 5
	f.mu.Unlock()
	is.True(f.Confirmed())
	advance(confirmationTrust - time.Second)
	is.True(f.Confirmed())
	advance(time.Millisecond)
	is.True(!f.Confirmed())

	f, _ = startedGateway(t, 0)
	f.mu.Lock()
	f.version = 5
	f.mu.Unlock()
	is.True(!f.Confirmed())
}

// A gateway that started with a node that lagged would send requests to zones that had been drained since. A
// confirmation covers the drained zones of the same update, which have to be known before a configuration
// that lets requests pass.
func TestStartedGatewayKnowsDrainsBeforeItsConfiguration(t *testing.T) {
	is := is.New(t)
	f := newDisconnectedGateway(t, fiveNodes[0])
	var drains *wire.ZoneDrains
	f.sink.Drains = func(d *wire.ZoneDrains) {
		is.True(!f.fetching)
		drains = d
	}
	s := f.sources[fiveNodes[0].Address]
	s.stop = func() {}
	f.handleUpdate(s, wire.FeedUpdate{Version: 5, ConfirmedMS: 1, Drains: &wire.ZoneDrains{Revision: 3, Zones: []string{"z"}}})
	is.True(f.isFetching())
	is.Equal(drains.Zones, []string{"z"})
}
