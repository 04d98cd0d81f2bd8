package fleet

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/wire"
)

// peerStateInterval is how often a gateway checks whether what it tells other gateways has changed.
const peerStateInterval = 100 * time.Millisecond

// peerListLag is how long other gateways may still forward requests to one that has said that it leaves:
// two keepalives of control nodes, and the pause before it said so.
const peerListLag = 1200 * time.Millisecond

// peerState is what a gateway tells other gateways of itself. It is safe for concurrent use.
type peerState struct {
	mu    sync.Mutex
	state wire.GatewayPeer
}

// get returns the current state.
func (p *peerState) get() wire.GatewayPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// update sets what changes over time and reports whether anything did.
func (p *peerState) update(now time.Time, unreachable []string, leaving bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Leaving == leaving && slices.Equal(p.state.Unreachable, unreachable) {
		return false
	}
	p.state.Unreachable, p.state.Leaving, p.state.Change = unreachable, leaving, now.UnixMicro()
	return true
}

// listenForwarded starts the server for requests that other gateways forward.
func (g *gateway) listenForwarded() (*server, error) {
	address := net.JoinHostPort(g.settings.ListenAddress(), strconv.Itoa(g.settings.ForwardPort))
	s, err := listen(address, http.HandlerFunc(g.handler.ServeForwarded))
	if err != nil {
		return nil, errors.Wrap(err, "forwarded requests")
	}
	port := s.listener.Addr().(*net.TCPAddr).Port
	g.peer.state = wire.GatewayPeer{
		Node: g.settings.Node, Zone: g.settings.Zone, Address: net.JoinHostPort(g.settings.Address, strconv.Itoa(port)), Change: time.Now().UnixMicro(),
	}
	return s, nil
}

// sharePeerState tells the control nodes what other gateways need to know of this one when it changes.
func (g *gateway) sharePeerState(ctx context.Context) {
	every(ctx, peerStateInterval, func() { g.notifyPeerState(ctx) })
}

func (g *gateway) notifyPeerState(ctx context.Context) {
	if g.peer.update(time.Now(), g.fleet.Unreachable(), g.stopping.Load()) {
		g.follower.NotifyConnected(ctx, wire.MethodGateway, g.peer.get())
	}
}
