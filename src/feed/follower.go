package feed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The follower's times.
const (
	// feedSilence is after how long without a sign a stream is tried with a
	// ping; the ping has as long again.
	feedSilence = 600 * time.Millisecond
	// resubscribe is the pause before a lost stream is asked for again.
	resubscribe = 150 * time.Millisecond
	// resubscribeUrgent is that pause while no control node is in reach.
	resubscribeUrgent = 20 * time.Millisecond
	// callTimeout bounds each call to a control node.
	callTimeout = time.Second
	// farDelay lets a control node of the own availability zone come first when
	// a new configuration is fetched: bytes between zones are dear.
	farDelay = 150 * time.Millisecond
	// refusalCounts is how long a node that gave no configuration comes after others.
	refusalCounts = 2 * time.Second
	// trustLost is how long the word of a lost control node counts while others are in reach.
	trustLost = 6 * time.Second
	// forgetAfter is how long a replica that left is remembered.
	forgetAfter = 2 * time.Minute
)

// Sink is what a follower does with the news; the functions are called one at a time.
type Sink struct {
	// Document takes in a newer configuration.
	Document func(wire.Document)
	// Replicas takes in the merged replicas.
	Replicas func([]registry.Entry)
	// Holdings takes in newer holdings; nil if they are of no use here.
	Holdings func(*wire.Holdings)
	// Gateways takes in the number of gateways; nil if it is of no use here.
	Gateways func(int)
	// Loads takes in what all gateways have under way; nil if it is of no use here.
	Loads func(wire.LoadReport)
}

// Options say who follows.
type Options struct {
	Node    string
	Zone    string
	Gateway bool
	Seeds   []string
}

// Follower follows every control node it learns of; it is safe for concurrent use.
type Follower struct {
	options Options
	sink    Sink
	meter   *rpc.Meter
	cut     *fault.Cut
	ring    *event.Ring
	now     func() time.Time

	mu        sync.Mutex
	sources   map[string]*source
	directory *registry.Directory
	version   uint64
	holdings  wire.Holdings
	fetching  bool
	context   context.Context
}

// source is one control node that is followed.
type source struct {
	address string
	client  *rpc.Client
	zone    string
	version uint64
	live    bool
	leading bool
	lostAt  time.Time
	// refusedAt is when it last gave no configuration.
	refusedAt time.Time
	// holdings are the whole holdings that it told of last.
	holdings *wire.Holdings
}

// NewFollower returns a follower of the control nodes that the seeds lead to.
func NewFollower(options Options, sink Sink, meter *rpc.Meter, cut *fault.Cut, ring *event.Ring, now func() time.Time) *Follower {
	return &Follower{
		options:   options,
		sink:      sink,
		meter:     meter,
		cut:       cut,
		ring:      ring,
		now:       now,
		sources:   map[string]*source{},
		directory: registry.NewDirectory(forgetAfter),
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.context = ctx
	f.mu.Unlock()
	f.follow(f.options.Seeds)
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.sweep()
		}
	}
}

// AddSeeds follows further addresses.
func (f *Follower) AddSeeds(addresses []string) { f.follow(addresses) }

// Live returns how many control nodes are in reach.
func (f *Follower) Live() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live()
}

// alone reports whether no control node is in reach.
func (f *Follower) alone() bool { return f.Live() == 0 }

func (f *Follower) live() int {
	live := 0
	for _, s := range f.sources {
		if s.live {
			live++
		}
	}
	return live
}

func (f *Follower) takeLoads(_ context.Context, _ *rpc.Peer, totals wire.LoadReport) (wire.Empty, error) {
	if f.sink.Loads != nil {
		f.sink.Loads(totals)
	}
	return wire.Empty{}, nil
}

func (f *Follower) sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.directory.Version()
	f.directory.Sweep(f.now(), trustLost, f.live() > 0)
	if f.directory.Version() != before {
		f.sink.Replicas(f.directory.Entries())
	}
}

// follow starts to follow the addresses that are not followed yet.
func (f *Follower) follow(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if f.sources[address] != nil {
			continue
		}
		s := &source{address: address}
		mux := rpc.NewMux()
		mux.Handle(wire.MethodFeed, func(_ context.Context, _ *rpc.Peer, raw json.RawMessage) (any, error) {
			var update wire.FeedUpdate
			if err := json.Unmarshal(raw, &update); err != nil {
				return nil, err
			}
			f.take(s, update)
			return wire.Empty{}, nil
		})
		mux.Handle(wire.MethodLoadTotals, rpc.Typed(f.takeLoads))
		s.client = rpc.NewClient(address, mux, f.meter, f.cut, feedSilence)
		s.client.SetUrgent(f.alone)
		f.sources[address] = s
		go f.run(f.context, s)
	}
}

// run keeps a stream to one control node.
func (f *Follower) run(ctx context.Context, s *source) {
	request := wire.FeedRequest{Node: f.options.Node, Zone: f.options.Zone, Gateway: f.options.Gateway}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.client.Call(call, wire.MethodWatchFeed, request, nil)
		cancel()
		if err == nil {
			select {
			case <-s.client.Done():
			case <-ctx.Done():
				return
			}
			f.lose(s)
		}
		pause := resubscribe
		if f.alone() {
			pause = resubscribeUrgent
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) lose(s *source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.live {
		return
	}
	s.live = false
	s.lostAt = f.now()
	f.directory.Lose(f.now(), s.address)
	f.ring.Add(event.Event{Kind: event.ControlLost, Host: s.address, Zone: s.zone})
	f.sink.Replicas(f.directory.Entries())
}

func (f *Follower) take(s *source, update wire.FeedUpdate) {
	f.follow(update.Members)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.live {
		s.live = true
		f.ring.Add(event.Event{Kind: event.ControlFound, Host: s.address, Zone: update.Zone})
	}
	if update.Full {
		s.zone = update.Zone
		s.holdings = nil
	}
	s.version = update.Version
	s.leading = update.Leading
	if len(update.Standings) > 0 {
		f.directory.Take(f.now(), s.address, update.Standings)
		f.sink.Replicas(f.directory.Entries())
	}
	f.takeHoldings(s, update.Holdings)
	if f.sink.Gateways != nil {
		f.sink.Gateways(update.Gateways)
	}
	f.fetch()
}

func (f *Follower) takeHoldings(s *source, h *wire.Holdings) {
	if h == nil || f.sink.Holdings == nil {
		return
	}
	if h.Base != 0 {
		whole, fits := &wire.Holdings{}, false
		if s.holdings != nil {
			whole, fits = s.holdings.With(h)
		}
		if !fits {
			return
		}
		h = whole
	}
	s.holdings = h
	if h.Term < f.holdings.Term || h.Term == f.holdings.Term && h.Version <= f.holdings.Version {
		return
	}
	f.holdings = *h
	f.sink.Holdings(h)
}
