package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

var times = registry.Times{Silence: time.Minute, Forget: time.Hour}

// testNode is a publisher behind a real listener.
type testNode struct {
	publisher *Publisher
	relay     *Relay
	follower  *Follower
	// cut keeps the node from reaching others.
	cut    *fault.Cut
	server *rpc.Server
	net    *testNet
	leads  atomic.Bool
	// slow is how long the node takes to give a configuration.
	slow  atomic.Int64
	usage atomic.Int64
	// outside lets the node know no members.
	outside atomic.Bool
	// unconfirmed lets the node not know whether its configuration is the newest.
	unconfirmed atomic.Bool
	// failing lets the node's disk refuse writes.
	failing atomic.Bool

	mu       sync.Mutex
	saved    []registry.Record
	document wire.Document
	changed  chan struct{}
}

// testNet is a few nodes that know each other.
type testNet struct {
	t       *testing.T
	nodes   []*testNode
	clients map[string]*rpc.Client
}

// errDisk is what a failing disk says.
var errDisk = errors.New("the disk is full")

func (n *testNode) save(records []registry.Record) error {
	if n.failing.Load() {
		return errDisk
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.saved = records
	return nil
}

// confirmedAt returns now, unless nobody confirms the node's configuration.
func (n *testNode) confirmedAt(now time.Time) time.Time {
	if n.unconfirmed.Load() {
		return time.Time{}
	}
	return now
}

// newTestNet returns nodes that are all in availability zone z.
func newTestNet(t *testing.T, count int) *testNet {
	return newZonedNet(t, slices.Repeat([]string{"z"}, count)...)
}

// newZonedNet returns a node in each of the availability zones.
func newZonedNet(t *testing.T, zones ...string) *testNet {
	n := &testNet{t: t, clients: map[string]*rpc.Client{}}
	count := len(zones)
	for i, zone := range zones {
		node := &testNode{net: n, changed: make(chan struct{}), cut: &fault.Cut{}}
		cluster := Cluster{
			Quarantine: func() *wire.Quarantine { return nil },
			Serves:     func(string) bool { return true },
			Misread:    func(string, string) {},
			Version:    func() uint64 { return node.held().Version },
			Document: func() wire.Document {
				time.Sleep(time.Duration(node.slow.Load()))
				return node.held()
			},
			Changed: node.wait,

			Confirmed: node.confirmedAt,

			Members: node.members,
			Peers:   func() []string { return n.others(node) },

			Majority: func() (int, bool) { return count / 2, !node.outside.Load() },
			Leading:  func() bool { return node.leads.Load() },
			Save:     node.save,
			Note: func(ctx context.Context, address string, record registry.Record) error {
				return n.clients[address].Call(ctx, wire.MethodNote, wire.NoteRequest{Record: record}, nil)
			},
		}
		name := string(rune('a' + i))
		node.publisher = NewPublisher(name, zone, times, cluster, time.Now)
		node.follower = NewFollower(Options{Node: name, Zone: zone}, Sink{Replicas: func(registry.Changes) {}}, &rpc.Meter{}, node.cut, nil, time.Now)
		node.relay = NewRelay(name, zone, node.follower, cluster, time.Now)
		node.publisher.SetRelay(node.relay)
		mux := rpc.NewMux()
		node.publisher.Register(mux)
		mux.Handle(wire.MethodUsage, rpc.Typed(func(context.Context, *rpc.Peer, wire.Usage) (wire.Empty, error) {
			node.usage.Add(1)
			return wire.Empty{}, nil
		}))
		server, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
		if err != nil {
			t.Fatal(err)
		}
		node.server = server
		n.nodes = append(n.nodes, node)
		n.clients[server.Address()] = rpc.NewClient(server.Address(), rpc.NewMux(), &rpc.Meter{}, nil, time.Second)
		t.Cleanup(server.Close)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, node := range n.nodes {
		go node.follower.Run(ctx)
		go node.relay.Run(ctx)
		node.follower.AddSeeds(n.addresses())
	}
	return n
}

func (n *testNet) addresses() []string {
	var list []string
	for _, node := range n.nodes {
		list = append(list, node.server.Address())
	}
	return list
}

// members returns the nodes that the node knows as members.
func (n *testNode) members() []string {
	if n.outside.Load() {
		return nil
	}
	return n.net.addresses()
}

func (n *testNet) others(self *testNode) []string {
	var list []string
	for _, node := range n.nodes {
		if node != self {
			list = append(list, node.server.Address())
		}
	}
	return list
}

func (n *testNode) held() wire.Document {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.document
}

func (n *testNode) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *testNode) put(version uint64, raw string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.document = wire.Document{Known: true, Version: version, Packed: []byte(raw)}
	close(n.changed)
	n.changed = make(chan struct{})
}

// seen is what a follower was told.
type seen struct {
	mu       sync.Mutex
	versions []uint64
	entries  map[string]registry.Entry
	gateways int
	holdings *wire.Holdings
	// refuse is how many configurations can't be taken in.
	refuse int
}

// errUnreadable is what a configuration that can't be read ends with.
var errUnreadable = errors.New("the configuration can't be read")

func (s *seen) take(changes registry.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[string]registry.Entry{}
	}
	for _, e := range changes.Entries {
		s.entries[e.Record.ID] = e
	}
	for _, id := range changes.Removed {
		delete(s.entries, id)
	}
}

func (s *seen) sink() Sink {
	return Sink{
		Document: s.takeDocument,
		Replicas: s.take,
		Holdings: func(h *wire.Holdings) { s.with(func() { s.holdings = h }) },
		Gateways: func(n int) { s.with(func() { s.gateways = n }) },
	}
}

// takeDocument refuses as many configurations as it is told to.
func (s *seen) takeDocument(_ string, d wire.Document) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse > 0 {
		s.refuse--
		return errUnreadable
	}
	s.versions = append(s.versions, d.Version)
	return nil
}

func (s *seen) with(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *seen) usable(id string) (known, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	return known, known && e.Usable()
}

func (n *testNet) follow(seeds ...string) *seen {
	s := &seen{}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: seeds}, s.sink(), &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	n.t.Cleanup(cancel)
	go f.Run(ctx)
	return s
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for range 1500 {
		if met() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("it never came about that %s", what)
}

func TestAFollowerFindsEveryNodeFromOneSeed(t *testing.T) {
	n := newTestNet(t, 3)
	s := n.follow("127.0.0.1:1", n.nodes[1].server.Address())
	for i, node := range n.nodes {
		id := string(rune('p' + i))
		node.publisher.Hear(context.Background(), registry.Record{ID: id, Sequence: 1})
		eventually(t, "the replica that called node "+node.publisher.node+" is known", func() bool {
			_, usable := s.usable(id)
			return usable
		})
	}
	eventually(t, "the gateway is counted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gateways == 1
	})
}

// TestANodeWithoutMembersAcknowledgesNoLeaving: alone it is no majority, whatever it saves.
func TestANodeWithoutMembersAcknowledgesNoLeaving(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[0].outside.Store(true)
	is.True(n.nodes[0].publisher.Hear(context.Background(), registry.Record{ID: "r", Sequence: 1}))
	is.True(!n.nodes[0].publisher.Hear(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
	is.True(n.nodes[1].publisher.Hear(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
}

func TestAnAcknowledgedDrainOutlivesTheNodeThatAcknowledgedIt(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	for _, node := range n.nodes {
		node.publisher.Hear(context.Background(), registry.Record{ID: "r", Sequence: 1})
	}
	is.True(n.nodes[0].publisher.Hear(context.Background(), registry.Record{ID: "r", Sequence: 2, Draining: true}))
	n.nodes[0].server.Close()
	s := n.follow(n.nodes[1].server.Address(), n.nodes[2].server.Address())
	eventually(t, "a gateway that starts afterwards does not use the replica", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestALeavingReplicaIsNotAcknowledgedWithoutAMajority(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[1].server.Close()
	n.nodes[2].server.Close()
	alone := n.nodes[0].publisher
	s := n.follow(n.nodes[0].server.Address())
	ctx := context.Background()
	is.True(alone.Hear(ctx, registry.Record{ID: "r", Sequence: 1}))
	is.True(!alone.Hear(ctx, registry.Record{ID: "r", Sequence: 2, Draining: true}))
	is.True(!alone.Hear(ctx, registry.Record{ID: "r", Sequence: 2, Draining: true})) // nor when sent again
	is.True(!alone.Remove(ctx, "r"))
	eventually(t, "gateways learn of it all the same", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestRemovingAnUnknownReplicaIsRemembered(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	is.True(p.Remove(context.Background(), "r"))
	p.Hear(context.Background(), registry.Record{ID: "r", Sequence: 9})
	s := n.follow(n.nodes[0].server.Address())
	eventually(t, "a late call does not bring it back", func() bool {
		known, usable := s.usable("r")
		return known && !usable
	})
}

func TestConfigurationsOnlyGrow(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	n.nodes[0].put(4, "four")
	s := n.follow(n.addresses()...)
	has := func(version uint64) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.versions) > 0 && s.versions[len(s.versions)-1] == version
		}
	}
	eventually(t, "version 4 is in force", has(4))
	n.nodes[1].put(3, "three")
	n.nodes[2].put(7, "seven")
	eventually(t, "version 7 is in force", has(7))
	n.nodes[0].put(5, "five")
	n.nodes[0].put(8, "eight")
	eventually(t, "version 8 is in force", has(8))
	for i := 1; i < len(s.versions); i++ {
		is.True(s.versions[i] > s.versions[i-1])
	}
}

// TestAConfigurationThatCouldNotBeTakenInIsFetchedAgain: the version was moved before the
// configuration was read, so that one that failed once was never fetched again and the
// gateway acted on the one before for good.
func TestAConfigurationThatCouldNotBeTakenInIsFetchedAgain(t *testing.T) {
	n := newTestNet(t, 1)
	n.nodes[0].put(4, "four")
	s := &seen{refuse: 2}
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, s.sink(), &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "version 4 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1 && s.versions[0] == 4
	})
}

// TestFailedFetchesAreAskedAgainMoreAndMoreSeldom: a control node that is short of time is
// not asked without end.
func TestFailedFetchesAreAskedAgainMoreAndMoreSeldom(t *testing.T) {
	is := is.New(t)
	is.Equal(refetchPause(0), refetchAfter)
	is.Equal(refetchPause(1), 2*refetchAfter)
	is.Equal(refetchPause(100), refetchLongest)
}

func TestOnlyTheLeaderIsToldWhatRequestsAskFor(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 3)
	f := NewFollower(Options{Node: "a", Zone: "z", Seeds: n.addresses()}, (&seen{}).sink(), &rpc.Meter{}, nil, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "all nodes are followed", func() bool { return f.Live() == 3 })
	f.NotifyLeader(ctx, wire.MethodUsage, wire.Usage{})
	eventually(t, "without a leader everyone is told", func() bool {
		return n.nodes[0].usage.Load() == 1 && n.nodes[1].usage.Load() == 1 && n.nodes[2].usage.Load() == 1
	})
	n.nodes[1].leads.Store(true)
	eventually(t, "the leader is known", func() bool { leaders, _ := f.leaders(); return len(leaders) == 1 })
	for range 5 {
		f.NotifyLeader(ctx, wire.MethodUsage, wire.Usage{})
	}
	eventually(t, "the leader is told", func() bool { return n.nodes[1].usage.Load() == 6 })
	is.Equal(n.nodes[0].usage.Load(), int64(1))
	is.Equal(n.nodes[2].usage.Load(), int64(1))
	f.NotifyOthers(ctx, wire.MethodUsage, wire.Usage{})
	eventually(t, "the others are told apart", func() bool { return n.nodes[0].usage.Load() == 2 && n.nodes[2].usage.Load() == 2 })
	is.Equal(n.nodes[1].usage.Load(), int64(6))
}

// TestASlowFetchIsNoLostNode: a configuration that takes its time comes into force,
// and the node that gives it counts as in reach all the while.
func TestASlowFetchIsNoLostNode(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	n.nodes[0].slow.Store(int64(700 * time.Millisecond))
	n.nodes[0].put(5, "five")
	s := &seen{}
	ring := event.NewRing("g", 64, nil, time.Now)
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true, Seeds: n.addresses()}, s.sink(), &rpc.Meter{}, nil, ring, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "version 5 is in force", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.versions) == 1
	})
	events, _ := ring.Since(0, "")
	for _, e := range events {
		is.True(e.Kind != event.ControlLost)
	}
}

func TestHoldingsOfALaterTermReplaceThoseOfAnEarlier(t *testing.T) {
	n := newTestNet(t, 2)
	s := n.follow(n.addresses()...)
	term := func() uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.holdings == nil {
			return 0
		}
		return s.holdings.Term
	}
	n.nodes[0].publisher.SetHoldings(&wire.Holdings{Term: 3, Version: 9})
	eventually(t, "term 3 is known", func() bool { return term() == 3 })
	n.nodes[1].publisher.SetHoldings(&wire.Holdings{Term: 4, Version: 1})
	eventually(t, "term 4 is known", func() bool { return term() == 4 })
	n.nodes[0].publisher.SetHoldings(&wire.Holdings{Term: 3, Version: 10})
	n.nodes[1].publisher.SetHoldings(&wire.Holdings{Term: 4, Version: 2})
	eventually(t, "the later holder's word counts", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.holdings.Version == 2
	})
}

// TestHoldingsTravelAsDifferences: with hundreds of gateways the whole would be
// sent hundreds of times for each adapter that moves.
func TestHoldingsTravelAsDifferences(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	whole := func(version uint64, copies int) *wire.Holdings {
		h := &wire.Holdings{Term: 1, Version: version}
		for i := range copies {
			h.Copies = append(h.Copies, wire.Holding{Replica: "r", Model: "m", Adapter: "a" + string(rune('a'+i))})
		}
		return h
	}
	stream := feedStream{publisher: p, first: true}
	p.SetHoldings(whole(1, 20))
	update, _ := stream.next()
	is.Equal(len(update.Holdings.Copies), 20)
	p.SetHoldings(whole(2, 21))
	update, _ = stream.next()
	is.Equal(update.Holdings.Base, uint64(1))
	is.Equal(len(update.Holdings.Copies), 1)
	p.SetHoldings(whole(3, 20))
	update, _ = stream.next()
	is.Equal(len(update.Holdings.Copies), 0)
	is.Equal(len(update.Holdings.Gone), 1)
	p.SetHoldings(&wire.Holdings{Term: 2, Version: 1, Copies: whole(1, 20).Copies})
	update, _ = stream.next()
	is.Equal(len(update.Holdings.Copies), 20) // a new holder's are whole
}

// TestAFollowerKeepsUpWithHoldings through changes and a lost stream.
func TestAFollowerKeepsUpWithHoldings(t *testing.T) {
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	var held atomic.Pointer[wire.Holdings]
	sink := Sink{Replicas: func(registry.Changes) {}, Holdings: func(h *wire.Holdings) { held.Store(h) }}
	cut := &fault.Cut{}
	f := NewFollower(Options{Node: "g", Gateway: true, Seeds: n.addresses()}, sink, &rpc.Meter{}, cut, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	for version := uint64(1); version <= 12; version++ {
		h := &wire.Holdings{Term: 1, Version: version}
		for i := range 5 {
			h.Copies = append(h.Copies, wire.Holding{Replica: "r", Model: "m", Adapter: "a" + string(rune('a'+i+int(version)%3))})
		}
		p.SetHoldings(h)
		if version == 6 {
			cut.Set([]string{"127.0.0.1"})
			eventually(t, "the stream is lost", func() bool { return f.Live() == 0 })
			cut.Set(nil)
		}
		eventually(t, "the newest holdings arrive", func() bool {
			got := held.Load()
			if got == nil || got.Version != version || len(got.Copies) != 5 {
				return false
			}
			for _, c := range got.Copies {
				if !slices.Contains(h.Copies, c) {
					return false
				}
			}
			return true
		})
	}
}
