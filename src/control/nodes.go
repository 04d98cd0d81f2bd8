package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Timing of what is known about other processes.
const (
	// lostTimeout is how long a process must be silent to be considered lost.
	lostTimeout = 10 * time.Second
	// forgetTimeout is how long a silent process is kept in the status.
	forgetTimeout = 10 * time.Minute
	// heartbeatInterval is how often processes are expected to send heartbeats.
	heartbeatInterval = 3 * time.Second
	// seenReportInterval is how often a control node reports to the leader which processes it
	// hears.
	seenReportInterval = 2 * time.Second
)

// maxPeers limits the number of peers in a heartbeat reply.
const maxPeers = 4

// nodeTable holds what a control node has heard from other processes. It is kept in memory only.
type nodeTable struct {
	mu    sync.Mutex
	nodes map[string]wire.NodeStatus
	// lastHeard is when each process was last heard by any control node.
	lastHeard map[string]time.Time
}

func newNodeTable() *nodeTable {
	return &nodeTable{nodes: map[string]wire.NodeStatus{}, lastHeard: map[string]time.Time{}}
}

func (t *nodeTable) record(beat wire.Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[beat.Node] = wire.NodeStatus{Heartbeat: beat, SeenAt: now}
	t.lastHeard[beat.Node] = now
}

func (t *nodeTable) recordHeard(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.lastHeard[name] = now
	}
}

func (t *nodeTable) silent(name string, now time.Time, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastHeard[name]) > limit
}

func (t *nodeTable) list() []wire.NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]wire.NodeStatus, 0, len(t.nodes))
	for _, node := range t.nodes {
		all = append(all, node)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node < all[j].Node })
	return all
}

// recentNames returns the names of the processes heard recently and removes those silent for longer
// than forgetTimeout.
func (t *nodeTable) recentNames(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, node := range t.nodes {
		age := now.Sub(node.SeenAt)
		if age > forgetTimeout {
			delete(t.nodes, name)
			delete(t.lastHeard, name)
			continue
		}
		if age < 2*heartbeatInterval {
			names = append(names, name)
		}
	}
	return names
}

// peers returns the addresses of up to maxPeers live processes with the same role and zone as the
// sender of the heartbeat.
func (t *nodeTable) peers(beat wire.Heartbeat, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for _, node := range t.nodes {
		same := node.Role == beat.Role && node.Zone == beat.Zone && node.Node != beat.Node
		if same && !node.Leaving && now.Sub(node.SeenAt) < lostTimeout && len(addresses) < maxPeers {
			addresses = append(addresses, node.Address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

func (s *Service) heartbeat(_ context.Context, _ *rpc.Peer, beat wire.Heartbeat) (wire.HeartbeatReply, error) {
	now := s.now()
	s.nodes.record(beat, now)
	return wire.HeartbeatReply{Peers: s.nodes.peers(beat, now)}, nil
}

func (s *Service) liveNodes(_ context.Context, _ *rpc.Peer, report wire.SeenReport) (wire.Empty, error) {
	s.nodes.recordHeard(report.Nodes, s.now())
	return wire.Empty{}, nil
}
