package fleet

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/wire"
)

// peerStateInterval is how often a gateway checks whether what it tells other gateways has changed.
const peerStateInterval = 100 * time.Millisecond

// peerListLag is how long other gateways may still forward requests to one that has said that it leaves:
// two keepalives of control nodes, and the pause before it said so.
const peerListLag = 1200 * time.Millisecond

// A server for forwarded requests counts as idle if none was in progress at endPolls checks in a row.
const (
	endPollInterval = 20 * time.Millisecond
	endPolls        = 3
)

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

// forwardServer takes the requests that other gateways forward.
type forwardServer struct {
	listener net.Listener
	server   *http.Server
	// running returns the number of requests in progress.
	running func() int
}

// stop ends the server once no request is in progress. Shutdown of the HTTP library would drop requests
// that are being read unanswered, and their gateways could not know that they have not run.
func (s *forwardServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for idle := 0; idle < endPolls; idle++ {
		select {
		case <-ctx.Done():
			_ = s.server.Close()
			return
		case <-ticker.C:
		}
		if s.running() > 0 {
			idle = 0
		}
	}
	_ = s.server.Close()
}

// listenForwarded starts the server for requests that other gateways forward.
func (g *gateway) listenForwarded() (*forwardServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(g.settings.ListenAddress(), strconv.Itoa(g.settings.ForwardPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listening for forwarded requests")
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "listening for forwarded requests")
	}
	g.peer.state = wire.GatewayPeer{
		Node: g.settings.Node, Zone: g.settings.Zone, Address: net.JoinHostPort(g.settings.Address, port), Change: time.Now().UnixMicro(),
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(g.handler.ServeForwarded),
		ConnContext:       exchange.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	return &forwardServer{listener: listener, server: server, running: g.handler.ForwardedRunning}, nil
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
