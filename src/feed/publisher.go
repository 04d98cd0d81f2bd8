package feed

import (
	"context"
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
	// Confirmed returns when the applied configuration was last known to be the newest, the
	// zero time if it never was.
	Confirmed func(now time.Time) time.Time
	// Changed is closed when the applied configuration changes.
	Changed func() <-chan struct{}
	// Members are the control nodes' addresses; Peers those of the others.
	Members func() []string
	Peers   func() []string
	// Leading reports whether this node leads.
	Leading func() bool
	// Majority returns how many others make a majority with this node, if that is known.
	Majority func() (others int, known bool)
	// Note tells another node of a replica that leaves.
	Note func(ctx context.Context, address string, record registry.Record) error
	// Quarantine returns what is known of contents under which replicas ended, nil if nothing
	// ever was; the pointer changes with what it points to.
	Quarantine func() *wire.Quarantine
	// Drains returns the drained zones that this node has applied; the pointer changes with what
	// it points to.
	Drains func() *wire.ZoneDrains
	// Serves reports whether the configuration names a service.
	Serves func(service string) bool
	// Misread learns of a replica's call that is refused, with the reason.
	Misread func(name, reason string)
	// Save keeps the replicas for the time after a restart; it returns once they
	// would survive a loss of power.
	Save func([]registry.Record) error
}

// Publisher holds what replicas told this node and streams it to the control nodes;
// it is safe for concurrent use.
type Publisher struct {
	node    string
	zone    string
	cluster Cluster
	now     func() time.Time

	mu       sync.Mutex
	table    *registry.Table
	holdings *wire.Holdings
	changed  chan struct{}
	// relay serves the gateways.
	relay *Relay
	// saving is held while the replicas are saved, from before they are read: a save
	// must not put older ones in the place of newer ones.
	saving sync.Mutex
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
		spreadTo: map[string]leaving{},
	}
}

// SetRelay sets what serves the gateways; it is called before the node serves.
func (p *Publisher) SetRelay(relay *Relay) { p.relay = relay }

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
	p.saving.Lock()
	defer p.saving.Unlock()
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

func (p *Publisher) document(context.Context, *rpc.Peer, wire.Empty) (wire.Document, error) {
	return p.relay.Document(), nil
}
