package feed

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/closes"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The timing of a publisher.
const (
	// keepaliveInterval is how often a subscriber gets an update when nothing has changed.
	keepaliveInterval = 400 * time.Millisecond
	// sweepInterval is how often silent replicas are looked for.
	sweepInterval = 250 * time.Millisecond
	// saveInterval is how often changed replicas are saved; loaded models change every few seconds.
	saveInterval = 2 * time.Second
	// departureTimeout bounds the wait for other nodes to save that a replica is leaving.
	departureTimeout = 500 * time.Millisecond
)

// Cluster holds the functions of the control node that a publisher and a relay use.
type Cluster struct {
	// Version returns the version of the applied configuration, Document the configuration itself.
	Version  func() uint64
	Document func() wire.Document
	// Confirmed returns when the applied configuration was last known to be the newest, the zero
	// time if it never was.
	Confirmed func(now time.Time) time.Time
	// MajorityConfirmed returns when a majority of the voters was last known to have applied nothing
	// newer than a configuration and a revision of the drained zones, the zero time if it never was.
	MajorityConfirmed func(version, drains uint64) time.Time
	// Changed returns a channel that is closed when the applied configuration changes.
	Changed func() <-chan struct{}
	// Members returns the addresses of all control nodes, Peers those of the others.
	Members func() []string
	Peers   func() []string
	// Leading reports whether this node is the leader.
	Leading func() bool
	// Majority returns how many other nodes form a majority together with this one, if that is
	// known.
	Majority func() (others int, known bool)
	// SendDeparture sends the record of a leaving replica to another node.
	SendDeparture func(ctx context.Context, address string, record registry.Record) error
	// Quarantine returns the request contents that replicas were running when they ended, nil if
	// there never were any. Each change yields a new pointer.
	Quarantine func() *wire.Quarantine
	// ShortCloses returns the software that is known to close short. Each change yields a new pointer, nil if there never
	// was any.
	ShortCloses func() *[]closes.Entry
	// Drains returns the drained zones that this node has applied. Each change yields a new
	// pointer.
	Drains func() *wire.ZoneDrains
	// Starts returns the records of all starts of a replica that any control node knows.
	Starts func(name string) []registry.Record
	// Serves reports whether the configuration contains a service.
	Serves func(service string) bool
	// HeartbeatRefused is called with the name and the reason for each heartbeat that is rejected.
	HeartbeatRefused func(name, reason string)
	// Save stores the replicas for the next restart. It returns once they would survive a power
	// loss.
	Save func([]registry.Record) error
}

// Publisher holds what replicas reported to this node and streams it to the control nodes. It is
// safe for concurrent use.
type Publisher struct {
	node    string
	zone    string
	cluster Cluster
	now     func() time.Time

	mu       sync.Mutex
	table    *registry.Table
	holdings *wire.Holdings
	changed  chan struct{}
	// sweptAt is when silent replicas were last looked for.
	sweptAt time.Time
	// relay serves the gateways.
	relay *Relay
	// saveMu is held from before the replicas to save are read until they are saved, so that a save
	// can't overwrite newer replicas with older ones.
	saveMu sync.Mutex
	// savedStamp is the table's stamp as of the last save.
	savedStamp uint64
	// departures holds the leaving replicas that a majority has saved, by ID.
	departures map[string]departure
}

// departure is what a majority has saved of a replica's departure.
type departure struct {
	draining bool
	gone     bool
	at       time.Time
}

// NewPublisher returns a publisher for a node in an availability zone.
func NewPublisher(node, zone string, times registry.Times, cluster Cluster, now func() time.Time) *Publisher {
	return &Publisher{
		node:       node,
		zone:       zone,
		cluster:    cluster,
		now:        now,
		table:      registry.NewTable(times),
		changed:    make(chan struct{}),
		departures: map[string]departure{},
	}
}

// SetRelay sets the relay that serves gateways. It must be called before the node accepts calls.
func (p *Publisher) SetRelay(relay *Relay) { p.relay = relay }

// Register adds the publisher's RPC methods to a mux.
func (p *Publisher) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodWatchFeed, rpc.Typed(p.handleWatch))
	mux.Handle(wire.MethodFetchDocument, rpc.Typed(p.handleFetchDocument))
	mux.Handle(wire.MethodNote, rpc.Typed(p.handleNote))
	mux.Handle(wire.MethodGateway, rpc.Typed(p.handleGateway))
}

// Recall restores the replicas that this node knew before it was restarted.
func (p *Publisher) Recall(records []registry.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Recall(p.now(), records)
	p.savedStamp = p.table.Stamp()
}

// Run looks for silent replicas and saves changed ones periodically until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	go p.saveChanges(ctx)
	p.sweep()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
		}
	}
}

// sweep looks for silent replicas.
func (p *Publisher) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if late := now.Sub(p.sweptAt) - sweepInterval; late >= sweepInterval && !p.sweptAt.IsZero() {
		p.table.Excuse(now, late)
	}
	p.sweptAt = now
	if p.table.Sweep(now) {
		p.notifyChanged()
	}
	p.pruneDepartures()
}

// saveChanges saves changed replicas periodically. It has its own goroutine because a disk may
// hang.
func (p *Publisher) saveChanges(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		changed := p.table.Stamp() != p.savedStamp
		p.mu.Unlock()
		if changed {
			// Save logs a failure; the next round retries.
			_ = p.save()
		}
	}
}

// save saves the current replicas.
func (p *Publisher) save() error {
	p.saveMu.Lock()
	defer p.saveMu.Unlock()
	p.mu.Lock()
	records, stamp := p.table.Records(), p.table.Stamp()
	p.mu.Unlock()
	if err := p.cluster.Save(records); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedStamp = max(p.savedStamp, stamp)
	return nil
}

// pruneDepartures removes replicas that left more than forgetAfter ago. The caller holds the lock.
func (p *Publisher) pruneDepartures() {
	for id, departed := range p.departures {
		if p.now().Sub(departed.at) > forgetAfter {
			delete(p.departures, id)
		}
	}
}

// notifyChanged wakes the streams. The caller holds the lock.
func (p *Publisher) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHoldings replaces the holdings, the copies of models and adapters that subscribers learn of in
// addition to the replicas' own reports.
func (p *Publisher) SetHoldings(holdings *wire.Holdings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdings = holdings
	p.notifyChanged()
}

// Replicas returns the number of replicas that this node knows.
func (p *Publisher) Replicas() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len()
}

func (p *Publisher) handleFetchDocument(context.Context, *rpc.Peer, wire.Empty) (wire.Document, error) {
	return p.relay.Document(), nil
}
