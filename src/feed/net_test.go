package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
	// drains are the drained zones that the node has applied.
	drains atomic.Pointer[wire.ZoneDrains]
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
			Drains:     node.drains.Load,
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

// drain lets the node apply an order about zones.
func (n *testNode) drain(revision uint64, zones ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drains.Store(&wire.ZoneDrains{Revision: revision, Zones: zones})
	close(n.changed)
	n.changed = make(chan struct{})
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
	drains   *wire.ZoneDrains
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
		Drains:   func(d *wire.ZoneDrains) { s.with(func() { s.drains = d }) },
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
