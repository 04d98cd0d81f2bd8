package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The publisher's times.
const (
	// signEvery is how often a subscriber hears from a node that has no news.
	signEvery = 400 * time.Millisecond
	// sweepEvery is how often silent replicas are looked for.
	sweepEvery = 250 * time.Millisecond
	// saveEvery is how often changed replicas are saved: models move every few seconds.
	saveEvery = 2 * time.Second
	// noteTimeout bounds the wait for the other nodes to learn that a replica leaves.
	noteTimeout = 500 * time.Millisecond
)

// Cluster is what a publisher needs of its control node.
type Cluster struct {
	// Version returns the applied configuration's version, Document the whole of it.
	Version  func() uint64
	Document func() wire.Document
	// Changed is closed when the applied configuration changes.
	Changed func() <-chan struct{}
	// Members are the control nodes' addresses; Peers those of the others.
	Members func() []string
	Peers   func() []string
	// Leading reports whether this node leads.
	Leading func() bool
	// Majority is how many others make a majority with this node.
	Majority func() int
	// Note tells another node of a replica that leaves.
	Note func(ctx context.Context, address string, record registry.Record) error
	// Save keeps the replicas for the time after a restart; it returns once they
	// would survive a loss of power.
	Save func([]registry.Record) error
}

// Publisher holds what replicas told this node and streams it to subscribers;
// it is safe for concurrent use.
type Publisher struct {
	node    string
	zone    string
	cluster Cluster
	now     func() time.Time

	mu       sync.Mutex
	table    *registry.Table
	holdings *wire.Holdings
	// delta is the difference that was sent last.
	delta    *wire.Holdings
	changed  chan struct{}
	gateways map[string]int
	// saved is the table's stamp when the replicas were saved last.
	saved uint64
	// spreadTo holds the leaving replicas that a majority knows of.
	spreadTo map[string]leaving
}

// leaving is how far a replica's leaving is known to a majority.
type leaving struct {
	draining bool
	gone     bool
	at       time.Time
}

// NewPublisher returns a publisher for a node in an availability zone.
func NewPublisher(node, zone string, times registry.Times, cluster Cluster, now func() time.Time) *Publisher {
	return &Publisher{
		node:     node,
		zone:     zone,
		cluster:  cluster,
		now:      now,
		table:    registry.NewTable(times),
		changed:  make(chan struct{}),
		gateways: map[string]int{},
		spreadTo: map[string]leaving{},
	}
}

// Register adds the publisher's methods to a mux.
func (p *Publisher) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodWatchFeed, rpc.Typed(p.watch))
	mux.Handle(wire.MethodFetchDocument, rpc.Typed(p.document))
	mux.Handle(wire.MethodNote, rpc.Typed(p.note))
}

// Recall takes in the replicas that this node knew before it was restarted.
func (p *Publisher) Recall(records []registry.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Recall(p.now(), records)
	p.saved = p.table.Stamp()
}

// Run looks for silent replicas, and saves those that there are now and then,
// until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	go p.saveChanges(ctx)
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		if p.table.Sweep(p.now()) {
			p.wake()
		}
		p.forgetLeft()
		p.mu.Unlock()
	}
}

// saveChanges saves the replicas now and then, apart from Run's other work, since a
// disk may hang.
func (p *Publisher) saveChanges(ctx context.Context) {
	ticker := time.NewTicker(saveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		changed := p.table.Stamp() != p.saved
		p.mu.Unlock()
		if changed {
			// A failure is in the log; the next round tries again.
			_ = p.save()
		}
	}
}

// save saves the replicas as they are known now.
func (p *Publisher) save() error {
	p.mu.Lock()
	records, stamp := p.table.Records(), p.table.Stamp()
	p.mu.Unlock()
	if err := p.cluster.Save(records); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = max(p.saved, stamp)
	return nil
}

// forgetLeft drops replicas that left long ago; the lock is held.
func (p *Publisher) forgetLeft() {
	for id, left := range p.spreadTo {
		if p.now().Sub(left.at) > forgetAfter {
			delete(p.spreadTo, id)
		}
	}
}

// wake tells the streams that there is news; the lock is held.
func (p *Publisher) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Hear takes in a replica's call. It reports whether the call may be
// acknowledged: a replica that leaves must be known to a majority first, so
// that a gateway learns of it whatever becomes of this node.
func (p *Publisher) Hear(ctx context.Context, record registry.Record) bool {
	p.mu.Lock()
	if p.table.Hear(p.now(), record) {
		p.wake()
	}
	known := p.spreadTo[record.ID]
	p.mu.Unlock()
	if !record.Leaving() || known.gone || known.draining && !record.Gone {
		return true
	}
	if !p.spread(ctx, record) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spreadTo[record.ID] = leaving{draining: true, gone: record.Gone, at: p.now()}
	return true
}

// Remove takes in that a replica has ended or is about to.
func (p *Publisher) Remove(ctx context.Context, id string) bool {
	p.mu.Lock()
	record, found := p.table.Record(id)
	p.mu.Unlock()
	if !found {
		record = registry.Record{ID: id}
	}
	record.Gone = true
	return p.Hear(ctx, record)
}

// spread tells the other nodes of a replica that leaves and waits until a majority,
// this one included, has saved it: after a restart none of them may take the
// replica for one that stays.
func (p *Publisher) spread(ctx context.Context, record registry.Record) bool {
	peers := p.cluster.Peers()
	needed := p.cluster.Majority() + 1
	answers := make(chan error, len(peers)+1)
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	go func() { answers <- p.save() }()
	for _, address := range peers {
		go func() { answers <- p.cluster.Note(ctx, address, record) }()
	}
	told := 0
	for range len(peers) + 1 {
		if err := p.answer(ctx, answers); err == nil {
			told++
		}
		if told >= needed {
			break
		}
	}
	if told >= needed {
		// The slower ones still learn of it.
		time.AfterFunc(noteTimeout, cancel)
		return true
	}
	cancel()
	return false
}

// answer waits for the next answer or the end of the context.
func (p *Publisher) answer(ctx context.Context, answers <-chan error) error {
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Publisher) note(_ context.Context, _ *rpc.Peer, request wire.NoteRequest) (wire.Empty, error) {
	p.mu.Lock()
	if p.table.Note(p.now(), request.Record) {
		p.wake()
	}
	p.mu.Unlock()
	return wire.Empty{}, p.save()
}

// SetHoldings replaces what subscribers are told of copies beyond the replicas' own words.
func (p *Publisher) SetHoldings(holdings *wire.Holdings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdings = holdings
	p.wake()
}

// Replicas returns the number of replicas that this node was told of.
func (p *Publisher) Replicas() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len()
}

// Gateways returns the number of gateways that follow this node.
func (p *Publisher) Gateways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.gateways)
}

func (p *Publisher) document(context.Context, *rpc.Peer, wire.Empty) (wire.Document, error) {
	return p.cluster.Document(), nil
}

func (p *Publisher) watch(_ context.Context, peer *rpc.Peer, request wire.FeedRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	go p.stream(peer, request)
	return wire.Empty{}, nil
}

func (p *Publisher) stream(peer *rpc.Peer, request wire.FeedRequest) {
	if request.Gateway {
		p.count(request.Node, 1)
		defer p.count(request.Node, -1)
	}
	ticker := time.NewTicker(signEvery)
	defer ticker.Stop()
	stream := feedStream{publisher: p, first: true}
	for {
		committed := p.cluster.Changed()
		update, changed := stream.next()
		if err := peer.Notify(context.Background(), wire.MethodFeed, update); err != nil {
			return
		}
		select {
		case <-changed:
		case <-committed:
		case <-ticker.C:
		case <-peer.Done():
			return
		}
	}
}

func (p *Publisher) count(node string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[node] += by
	if p.gateways[node] <= 0 {
		delete(p.gateways, node)
	}
}

// holdingsSince returns the holdings for a subscriber that was told some before:
// what changed, if they are of the same term. Most subscribers were told the same,
// so the latest difference is kept. The lock is held.
func (p *Publisher) holdingsSince(told *wire.Holdings) *wire.Holdings {
	if told == nil || p.holdings == nil || told.Term != p.holdings.Term {
		return p.holdings
	}
	if p.delta == nil || p.delta.Base != told.Version || p.delta.Version != p.holdings.Version || p.delta.Term != told.Term {
		p.delta = p.holdings.Since(told)
	}
	return p.delta
}

// feedStream is what one subscriber was told already.
type feedStream struct {
	publisher *Publisher
	first     bool
	stamp     uint64
	holdings  *wire.Holdings
	members   []string
}

// next returns what the subscriber does not know yet, and a channel that is
// closed when there is more.
func (s *feedStream) next() (wire.FeedUpdate, <-chan struct{}) {
	p := s.publisher
	update := wire.FeedUpdate{Version: p.cluster.Version(), Leading: p.cluster.Leading()}
	if s.first {
		update.Node, update.Zone = p.node, p.zone
	}
	if members := p.cluster.Members(); s.first || !slices.Equal(members, s.members) {
		s.members = members
		update.Members = members
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	update.Full = s.first
	update.Standings = p.table.Since(s.stamp)
	update.Gateways = len(p.gateways)
	if s.holdings != p.holdings {
		update.Holdings = p.holdingsSince(s.holdings)
	}
	s.first = false
	s.stamp = p.table.Stamp()
	s.holdings = p.holdings
	return update, p.changed
}
