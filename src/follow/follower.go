package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The follower's times.
const (
	// silenceLimit ends a connection whose other side answers no ping.
	silenceLimit = 2 * time.Second
	callTimeout  = 2 * time.Second
	// beatEvery is how often a heartbeat is sent.
	beatEvery = 3 * time.Second
	// retryEvery is the pause after no control node was in reach.
	retryEvery = 300 * time.Millisecond
	// peerEvery is how often peers are asked while no control node is in reach.
	peerEvery = time.Second
)

// Follower holds the newest configuration that this process has seen. It is
// safe for concurrent use.
type Follower struct {
	controlNodes []*rpc.Client
	meter        *rpc.Meter
	cut          *fault.Cut
	ring         *event.Ring
	beat         func(config.Revision) wire.Heartbeat

	mu      sync.Mutex
	set     *config.Set
	changed chan struct{}
	synced  bool
	current *rpc.Client
	peers   map[string]*rpc.Client
}

// New returns a follower of control nodes, those of the own zone first; beat makes the heartbeats.
func New(controlNodes []option.Peer, zone string, meter *rpc.Meter, cut *fault.Cut, ring *event.Ring, beat func(config.Revision) wire.Heartbeat) *Follower {
	f := &Follower{
		meter:   meter,
		cut:     cut,
		ring:    ring,
		beat:    beat,
		set:     config.NewSet(config.Revision{}, nil),
		changed: make(chan struct{}),
		peers:   map[string]*rpc.Client{},
	}
	mux := rpc.NewMux()
	mux.Handle(wire.MethodUpdate, rpc.Typed(f.update))
	for _, near := range []bool{true, false} {
		for _, controlNode := range controlNodes {
			if (controlNode.Zone == zone) == near {
				f.controlNodes = append(f.controlNodes, rpc.NewClient(controlNode.Address, mux, meter, cut, silenceLimit))
			}
		}
	}
	return f
}

// Register lets peers ask this process for its configuration.
func (f *Follower) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodConfig, rpc.Typed(f.answer))
}

// Set returns the configuration in force in this process.
func (f *Follower) Set() *config.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// Changed returns a channel that is closed when the configuration next moves.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ControlNode returns the control node in use, or the first to try.
func (f *Follower) ControlNode() *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		return f.current
	}
	return f.controlNodes[0]
}

// Connected reports whether a control node is in reach.
func (f *Follower) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil
}

// Call asks the control node in use, or the first one that can be reached. It goes on
// to another only while no request was sent.
func (f *Follower) Call(ctx context.Context, method string, params, result any) error {
	err := f.ControlNode().Call(ctx, method, params, result)
	if !errors.Is(err, rpc.ErrUnreachable) {
		return err
	}
	for _, controlNode := range f.controlNodes {
		err = controlNode.Call(ctx, method, params, result)
		if !errors.Is(err, rpc.ErrUnreachable) {
			return err
		}
	}
	return err
}

// Peers returns clients of live processes of the same role and zone.
func (f *Follower) Peers() []*rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var clients []*rpc.Client
	for _, client := range f.peers {
		clients = append(clients, client)
	}
	return clients
}

// Await waits until a control node or peer has given the newest configuration it has,
// at most for limit; it reports whether that happened.
func (f *Follower) Await(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		f.mu.Lock()
		synced, changed := f.synced, f.changed
		f.mu.Unlock()
		if synced {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (f *Follower) update(_ context.Context, _ *rpc.Peer, update config.Update) (wire.Empty, error) {
	f.take(update)
	return wire.Empty{}, nil
}

// take moves forward by an update; it never moves back.
func (f *Follower) take(update config.Update) {
	f.mu.Lock()
	next, moved := f.set.Apply(update)
	f.set = next
	first := !f.synced
	f.synced = true
	if moved || first {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	if moved {
		f.ring.Add(event.Event{Kind: event.ConfigInForce, Reason: fmt.Sprintf("term %d index %d", update.To.Term, update.To.Index)})
	}
}

func (f *Follower) answer(_ context.Context, _ *rpc.Peer, request wire.ConfigRequest) (config.Update, error) {
	set := f.Set()
	if !request.From.Before(set.Revision()) {
		return config.Update{From: request.From, To: request.From}, nil
	}
	return set.Full(), nil
}

// Run follows the control nodes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	go f.sendBeats(ctx)
	for ctx.Err() == nil {
		for _, controlNode := range f.controlNodes {
			if f.subscribe(ctx, controlNode) {
				f.setCurrent(controlNode)
				waitDone(ctx, controlNode)
				f.setCurrent(nil)
			}
		}
		f.askPeers(ctx)
		pause(ctx, retryEvery)
	}
}

func (f *Follower) setCurrent(controlNode *rpc.Client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = controlNode
}

func waitDone(ctx context.Context, controlNode *rpc.Client) {
	select {
	case <-controlNode.Done():
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// subscribe gets what is missing from a control node and starts its stream.
func (f *Follower) subscribe(ctx context.Context, controlNode *rpc.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !f.fetch(ctx, controlNode) {
		return false
	}
	return controlNode.Call(ctx, wire.MethodWatchConfig, wire.ConfigRequest{From: f.Set().Revision()}, nil) == nil
}

func (f *Follower) fetch(ctx context.Context, from *rpc.Client) bool {
	var raw json.RawMessage
	if err := from.Call(ctx, wire.MethodConfig, wire.ConfigRequest{From: f.Set().Revision()}, &raw); err != nil {
		return false
	}
	var update config.Update
	if err := json.Unmarshal(raw, &update); err != nil {
		return false
	}
	f.take(update)
	return true
}

// askPeers takes what peers in the zone have while no control node is in reach.
func (f *Follower) askPeers(ctx context.Context) {
	for _, peer := range f.Peers() {
		ctx, cancel := context.WithTimeout(ctx, peerEvery)
		f.fetch(ctx, peer)
		cancel()
	}
}

func (f *Follower) sendBeats(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendBeat(ctx)
		pause(ctx, beatEvery)
	}
}

func (f *Follower) sendBeat(ctx context.Context) {
	f.mu.Lock()
	controlNode := f.current
	f.mu.Unlock()
	if controlNode == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.HeartbeatReply
	if err := controlNode.Call(ctx, wire.MethodHeartbeat, f.beat(f.Set().Revision()), &reply); err != nil {
		return
	}
	f.setPeers(reply.Peers)
}

// setPeers remembers the peers that the control node named. While no control node answers
// the last ones named stay.
func (f *Follower) setPeers(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]*rpc.Client, len(addresses))
	for _, address := range addresses {
		client := f.peers[address]
		if client == nil {
			client = rpc.NewClient(address, rpc.NewMux(), f.meter, f.cut, silenceLimit)
		}
		next[address] = client
	}
	for address, client := range f.peers {
		if next[address] == nil {
			client.Close()
		}
	}
	f.peers = next
}
