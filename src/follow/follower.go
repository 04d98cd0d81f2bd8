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

// The timing of a follower.
const (
	// silenceLimit is the time after which a connection whose other side answers no ping is closed.
	silenceLimit = 2 * time.Second
	callTimeout  = 2 * time.Second
	// heartbeatInterval is how often a heartbeat is sent.
	heartbeatInterval = 3 * time.Second
	// retryDelay is the delay before another attempt when no control node could be reached.
	retryDelay = 300 * time.Millisecond
	// peerTimeout bounds a request to a peer while no control node is connected.
	peerTimeout = time.Second
)

// Follower holds the newest configuration that this process has received. It is safe for concurrent
// use.
type Follower struct {
	controlNodes []*rpc.Client
	meter        *rpc.Meter
	cut          *fault.Cut
	ring         *event.Ring
	heartbeat    func(config.Revision) wire.Heartbeat

	mu      sync.Mutex
	set     *config.Set
	changed chan struct{}
	synced  bool
	current *rpc.Client
	peers   map[string]*rpc.Client
}

// New returns a follower of the control nodes, those of the own zone first. heartbeat builds the
// heartbeats.
func New(controlNodes []option.Peer, zone string, meter *rpc.Meter, cut *fault.Cut, ring *event.Ring, heartbeat func(config.Revision) wire.Heartbeat) *Follower {
	f := &Follower{
		meter:     meter,
		cut:       cut,
		ring:      ring,
		heartbeat: heartbeat,
		set:       config.NewSet(config.Revision{}, nil),
		changed:   make(chan struct{}),
		peers:     map[string]*rpc.Client{},
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

// Register lets peers fetch this process's configuration.
func (f *Follower) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodConfig, rpc.Typed(f.handleConfig))
}

// Set returns the configuration in force in this process.
func (f *Follower) Set() *config.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// Changed returns a channel that is closed at the next change of the configuration.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ControlNode returns the connected control node, or the first one to try if there is none.
func (f *Follower) ControlNode() *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		return f.current
	}
	return f.controlNodes[0]
}

// Connected reports whether a control node is connected.
func (f *Follower) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil
}

// Call calls the connected control node, or the first one that can be reached. It tries another one
// only if the request was not sent.
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

// Peers returns clients of the running processes of the same role and zone.
func (f *Follower) Peers() []*rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var clients []*rpc.Client
	for _, client := range f.peers {
		clients = append(clients, client)
	}
	return clients
}

// Await waits until a control node or peer has delivered its newest configuration, at most for the
// duration limit. It reports whether that happened.
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
	f.apply(update)
	return wire.Empty{}, nil
}

// apply applies an update if it is newer than the current configuration.
func (f *Follower) apply(update config.Update) {
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

func (f *Follower) handleConfig(_ context.Context, _ *rpc.Peer, request wire.ConfigRequest) (config.Update, error) {
	set := f.Set()
	if !request.From.Before(set.Revision()) {
		return config.Update{From: request.From, To: request.From}, nil
	}
	return set.Full(), nil
}

// Run follows the control nodes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	go f.sendHeartbeats(ctx)
	for ctx.Err() == nil {
		for _, controlNode := range f.controlNodes {
			if f.subscribe(ctx, controlNode) {
				f.setCurrent(controlNode)
				waitDone(ctx, controlNode)
				f.setCurrent(nil)
			}
		}
		f.fetchFromPeers(ctx)
		sleep(ctx, retryDelay)
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// subscribe fetches the missing part of the configuration from a control node and opens its stream.
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
	f.apply(update)
	return true
}

// fetchFromPeers applies the configurations of peers in the zone while no control node is
// connected.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	for _, peer := range f.Peers() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		f.fetch(ctx, peer)
		cancel()
	}
}

func (f *Follower) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendHeartbeat(ctx)
		sleep(ctx, heartbeatInterval)
	}
}

func (f *Follower) sendHeartbeat(ctx context.Context) {
	f.mu.Lock()
	controlNode := f.current
	f.mu.Unlock()
	if controlNode == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.HeartbeatReply
	if err := controlNode.Call(ctx, wire.MethodHeartbeat, f.heartbeat(f.Set().Revision()), &reply); err != nil {
		return
	}
	f.setPeers(reply.Peers)
}

// setPeers replaces the peers by those that the control node listed. The last list is kept while no
// control node answers.
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
