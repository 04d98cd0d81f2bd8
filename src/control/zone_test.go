package control

import (
	"context"
	"encoding/hex"
	"sort"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// resendDuration is how long the operators in these tests resend an order.
const resendDuration = 5 * time.Second

// zoneSim is a simulated cluster with operators that send orders for one zone.
type zoneSim struct {
	*sim
	events []scheduledEvent
	// ordersByEntry maps the term and index of an entry to the order whose copy it carries.
	ordersByEntry map[[2]uint64]*operatorOrder
	orders        []*operatorOrder
}

// scheduledEvent is an action at a point in virtual time.
type scheduledEvent struct {
	at time.Time
	do func()
}

// operatorOrder is one order of an operator, including all its copies.
type operatorOrder struct {
	number      int
	drain       bool
	firstSentAt time.Time
	ackedAt     time.Time
	changes     int
}

func newZoneSim(t reporter, seed uint64) *zoneSim {
	w := &zoneSim{sim: newSim(t, seed, "a", "b", "c"), ordersByEntry: map[[2]uint64]*operatorOrder{}}
	w.entryLimit = 1 << 30
	for _, n := range w.nodes {
		n.replica.entryLimit = w.entryLimit
	}
	return w
}

func (w *zoneSim) schedule(d time.Duration, do func()) {
	w.events = append(w.events, scheduledEvent{at: w.now.Add(d), do: do})
}

// runScheduled advances virtual time and runs the scheduled events.
func (w *zoneSim) runScheduled(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(simStep)
		sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at.Before(w.events[j].at) })
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			next := w.events[0]
			w.events = w.events[1:]
			next.do()
		}
	}
}

// order sends an operator's order and resends it until it is acknowledged or resendDuration has
// passed. delay returns the transit time of each copy to the leader.
func (w *zoneSim) order(drain bool, delay func() time.Duration) *operatorOrder {
	c := &operatorOrder{number: len(w.orders), drain: drain, firstSentAt: w.now}
	w.orders = append(w.orders, c)
	var send func()
	send = func() {
		if !c.ackedAt.IsZero() || w.now.Sub(c.firstSentAt) > resendDuration {
			return
		}
		w.sendCopy(c, delay())
		w.schedule(time.Duration(200+w.random.IntN(700))*time.Millisecond, send)
	}
	send()
	return c
}

// sendCopy sends one copy, like a control node that forwards it to the leader.
func (w *zoneSim) sendCopy(c *operatorOrder, delay time.Duration) {
	n := w.leader()
	if n == nil || n.replica == nil || w.now.Before(n.frozenUntil) {
		return
	}
	now := w.clock(n)
	ticket := wire.ZoneTicket{Known: true, Term: n.replica.core.Term(), Revision: n.replica.state.zones["z"].Revision, IssuedMS: now.UnixMilli()}
	w.schedule(delay, func() { w.arrive(n, c, wire.ZoneOrder{Zone: "z", Drain: c.drain, Ticket: ticket}) })
}

func (w *zoneSim) arrive(n *simNode, c *operatorOrder, order wire.ZoneOrder) {
	if n.replica == nil {
		return
	}
	if w.now.Before(n.frozenUntil) {
		w.schedule(n.frozenUntil.Sub(w.now)+simStep, func() { w.arrive(n, c, order) })
		return
	}
	now, r := w.clock(n), n.replica
	if r.deferral(now, &order, resendDuration).reason != "" {
		return
	}
	lost := w.random.IntN(2) == 0
	last := r.core.LastIndex()
	r.proposeZone(now, &order, func(got result, err error) {
		if err == nil && got.outcome == wire.Accepted && !lost && c.ackedAt.IsZero() {
			c.ackedAt = w.now
		}
	})
	if r.core.LastIndex() > last {
		// A former leader rejects the order, and its last entry belongs to another one.
		w.ordersByEntry[[2]uint64{r.core.Term(), r.core.LastIndex()}] = c
	}
}

// countChanges counts how often each order changed the zone, from the log of a node that has all
// entries.
func (w *zoneSim) countChanges() *State {
	var log []raft.Entry
	for _, n := range w.nodes {
		if n.replica != nil && len(n.disk.start.Entries) > len(log) && n.replica.core.Commit() >= uint64(len(n.disk.start.Entries)) {
			log = n.disk.start.Entries
		}
	}
	state := NewState()
	for _, entry := range log {
		before := state.drains.Revision
		state.Apply(entry)
		if state.drains.Revision != before {
			w.ordersByEntry[[2]uint64{entry.Term, entry.Index}].changes++
		}
	}
	return state
}

// Whatever is lost, delayed or repeated in transit, each order changes the zone at most once, and a
// late copy never reverses the opposite order.
func TestACopyOfAZoneOrderChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newZoneSim(rt, rapid.Uint64().Draw(rt, "seed"))
		w.runScheduled(time.Second)
		delay := func() time.Duration {
			if w.random.IntN(3) > 0 {
				return time.Duration(w.random.IntN(20)) * time.Millisecond
			}
			return time.Duration(w.random.IntN(12000)) * time.Millisecond
		}
		for range rapid.IntRange(2, 8).Draw(rt, "orders") {
			w.order(rapid.Bool().Draw(rt, "drain"), delay)
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				if n := w.leader(); n != nil {
					name := nameOf(n.id)
					w.kill(name)
					w.schedule(time.Duration(rapid.IntRange(50, 2000).Draw(rt, "away"))*time.Millisecond, func() { w.boot(name) })
				}
			case 1:
				if n := w.leader(); n != nil {
					n.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(rt, "frozen")) * time.Millisecond)
				}
			}
			w.runScheduled(time.Duration(rapid.IntRange(50, 6000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.runScheduled(20 * time.Second)
		w.countChanges()
		for _, c := range w.orders {
			if c.changes > 1 {
				rt.Fatalf("order %d (drain %v) changed the zone %d times", c.number, c.drain, c.changes)
			}
		}
	})
}

// The first copy changes the zone even if its reply is lost. A later order of the same kind, after
// the opposite one, is deferred at most until no copy of the first order is sent any more.
func TestZoneOrderTakesEffectDespiteLostReplies(t *testing.T) {
	is := is.New(t)
	w := newZoneSim(t, 3)
	at := func() time.Duration { return time.Millisecond }
	w.runScheduled(time.Second)
	w.order(true, at)
	w.runScheduled(resendDuration)
	w.order(false, at)
	w.runScheduled(resendDuration + time.Second)
	again := w.order(true, at)
	w.runScheduled(resendDuration + time.Second)
	is.True(!again.ackedAt.IsZero())
	is.Equal(w.countChanges().drains.Zones, []string{"z"})
}

// The operator drained a zone, did not get the reply, and ended the drain. A copy of the drain
// order that arrives later must not drain the zone, neither through the same leader nor through a
// new one.
func TestALateCopyOfAZoneOrder(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		is := is.New(t)
		w := newZoneSim(t, 5)
		w.runScheduled(time.Second)
		drained := w.order(true, func() time.Duration { return time.Millisecond })
		w.runScheduled(100 * time.Millisecond)
		w.order(false, func() time.Duration { return time.Millisecond })
		w.runScheduled(time.Second)
		if newLeader {
			name := nameOf(w.leader().id)
			w.kill(name)
			w.runScheduled(2 * time.Second)
			w.boot(name)
		}
		drained.ackedAt = time.Time{}
		w.sendCopy(drained, time.Millisecond)
		w.runScheduled(time.Second)
		is.Equal(len(w.countChanges().drains.Zones), 0)
	}
}

// A drain is settled before it is acknowledged, like a configuration.
func TestDrainIsKnownAfterPowerLossWithoutALeader(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 3)
	first := tc.nodes[tc.seeds[0]]
	tc.put(first, 5, "five")
	for _, zone := range []string{"x", "y"} {
		tc.drain(first, zone)
	}
	is.True(len(tc.drainedAfterPowerLoss("x", "y")) >= 2)
}

// The nodes that acknowledged a drain know it after a power loss, whichever node was isolated
// before or after the first change; only the isolated node may know nothing. A run of
// TestDrainIsKnownAfterPowerLossWithoutALeader under load once timed out waiting for one of the
// three nodes to apply a version. That node lagged behind and had acknowledged nothing: here the
// node isolated before the first change never applies one, and the other two always know both
// orders.
func TestMajorityThatAcknowledgedADrainKnowsIt(t *testing.T) {
	for cut := range 3 {
		for _, late := range []bool{false, true} {
			is := is.New(t)
			tc := newTestCluster(t, 3)
			first := tc.nodes[tc.seeds[(cut+1)%3]]
			if late {
				tc.put(first, 5, "five")
				tc.drain(first, "x")
			}
			tc.cutOff(tc.seeds[cut])
			if !late {
				tc.put(first, 5, "five")
				tc.drain(first, "x")
			}
			tc.drain(first, "y")
			know := tc.drainedAfterPowerLoss("x", "y")
			is.True(know[tc.seeds[(cut+1)%3]])
			is.True(know[tc.seeds[(cut+2)%3]])
		}
	}
}

// drain sends an order to a node until it is acknowledged.
func (tc *testCluster) drain(n *clusterNode, zone string) {
	tc.t.Helper()
	tc.eventually("the order is acknowledged", func() bool {
		return n.cluster.OrderZone(context.Background(), zone, true).Outcome == wire.Accepted
	})
}

// cutOff cuts a node off from the others in both directions.
func (tc *testCluster) cutOff(address string) {
	var others []string
	for _, n := range tc.nodes {
		if n.address != address {
			others = append(others, n.address)
			n.cut.Set([]string{address})
		}
	}
	tc.nodes[address].cut.Set(others)
}

// drainedAfterPowerLoss stops all nodes, restarts each in isolation and returns the addresses of
// those that know all given zones to be drained without a leader.
func (tc *testCluster) drainedAfterPowerLoss(zones ...string) map[string]bool {
	tc.t.Helper()
	know := map[string]bool{}
	tc.restartEachAlone(func(n *clusterNode) {
		drains := n.cluster.Drains()
		all := true
		for _, zone := range zones {
			all = all && drains.Drained(zone)
		}
		if all {
			know[n.address] = true
		}
	})
	return know
}

// Drains are part of a snapshot, and snapshots without drains remain readable.
func TestDrainsSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for i, drain := range []bool{true, false, true} {
		data, err := command{Zone: &zoneCommand{Zone: "x", Drain: drain, Base: uint64(i)}}.encode()
		is.NoErr(err)
		is.Equal(s.Apply(raft.Entry{Kind: raft.EntryCommand, Data: data}).outcome, wire.Accepted)
	}
	data, err := s.Save()
	is.NoErr(err)
	restored, err := RestoreState(data)
	is.NoErr(err)
	is.Equal(restored.drains, &wire.ZoneDrains{Revision: 3, Zones: []string{"x"}})
	is.Equal(restored.zones, s.zones)
	earlier, err := cbor.Marshal(map[int]any{})
	is.NoErr(err)
	restored, err = RestoreState(earlier)
	is.NoErr(err)
	is.Equal(restored.drains.Revision, uint64(0))
}

// Later builds read the logs and snapshots of this one, and control nodes of both versions run side
// by side.
func TestEncodingOfOrdersAndSnapshotsIsStable(t *testing.T) {
	is := is.New(t)
	order, err := command{At: time.Unix(1_800_000_000, 0).UTC(), Zone: &zoneCommand{Zone: "x", Drain: true, Base: 3}}.encode()
	is.NoErr(err)
	is.Equal(hex.EncodeToString(order), "a2011a6b49d20008a301617802f50303")
	s := NewState()
	s.zones = zoneStates{"x": {Drained: true, Revision: 3, Changes: 3}, "y": {Revision: 2, Changes: 2}}
	saved, err := stateEncMode.Marshal(map[int]any{10: s.zones})
	is.NoErr(err)
	is.Equal(hex.EncodeToString(saved), "a10aa26178a301f5020303036179a301f402020302")
	restored, err := RestoreState(saved)
	is.NoErr(err)
	is.Equal(restored.zones, s.zones)
}
