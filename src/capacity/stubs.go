package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/emulator"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Sizes of the stubs. A stub host has as many accelerators as a host of the target
// installation.
const (
	accelerators    = 8
	modelsPerHost   = 10
	stubPort        = 9000
	requestsPerSize = 1000
	clients         = 8
	// settleAttempts limits the wait for a planner that keeps loading models.
	settleAttempts = 8
)

// measurePlanner measures the planner by the number of hosts in its zone.
func (m *Meter) measurePlanner(ctx context.Context) error {
	ln, err := net.Listen("tcp", m.target.Platform)
	if err != nil {
		return errors.Wrap(err, "listening as the platform")
	}
	list := emulator.NewPlatform(nil, 0)
	list.Serve(ln)
	var hosts []discovery.Host
	for _, size := range hostSizes {
		for len(hosts) < size {
			host, err := m.startEngine(len(hosts))
			if err != nil {
				return err
			}
			hosts = append(hosts, host)
		}
		list.SetHosts(hosts)
		if err := m.settlePlanner(ctx); err != nil {
			return err
		}
		if err := m.measureIdle(ctx, m.target.Planner, size, "planner: processor share", "planner: anonymous memory", "planner: control traffic"); err != nil {
			return err
		}
	}
	return nil
}

// settlePlanner waits until the planner starts no more loads.
func (m *Meter) settlePlanner(ctx context.Context) error {
	var loads uint64
	for tries := 0; tries < settleAttempts; tries++ {
		time.Sleep(2 * settleTime)
		status, err := m.status(ctx, m.target.Planner)
		if err != nil {
			return err
		}
		if status.Planner.Loads == loads && loads > 0 {
			return nil
		}
		loads = status.Planner.Loads
	}
	return nil
}

func (m *Meter) startEngine(n int) (discovery.Host, error) {
	name := fmt.Sprint("stub-host-", n)
	address := fmt.Sprintf("%s%d.%d:%d", m.target.Prefix, 100+n/200, 1+n%200, stubPort)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return discovery.Host{}, errors.Wrap(err, "listening as an engine")
	}
	options := emulator.EngineOptions{Host: name, Slots: 64, Checks: true}
	for i := 0; i < accelerators; i++ {
		options.Capacity = append(options.Capacity, 80*config.GiB)
	}
	emulator.NewEngine(options).Serve(ln)
	return discovery.Host{Name: name, Pool: "load-pool", Zone: m.target.Zone, Address: address}, nil
}

// measureIdle measures an idle process for idleTime.
func (m *Meter) measureIdle(ctx context.Context, address string, size int, cpu, memory, traffic string) error {
	before, err := m.status(ctx, address)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(idleTime)
	after, err := m.status(ctx, address)
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	m.addSample(cpu, size, 100*(after.Control.CPU-before.Control.CPU).Std().Seconds()/elapsed)
	m.addSample(memory, size, mib(after.Control.Anonymous))
	bytes := after.Control.BytesIn + after.Control.BytesOut - before.Control.BytesIn - before.Control.BytesOut
	m.addSample(traffic, size, float64(bytes)/elapsed)
	return nil
}

// stubPlanner replaces the planner of another zone and sends gateways the routes
// of hosts that do not exist.
type stubPlanner struct {
	mu    sync.Mutex
	peers []*rpc.Peer
	seq   uint64
	hosts []wire.HostRoute
	zone  string
}

func (p *stubPlanner) mux() *rpc.Mux {
	mux := rpc.NewMux()
	mux.Handle(wire.MethodWatchRoutes, rpc.Typed(p.watch))
	mux.Handle(wire.MethodDemand, rpc.Typed(func(context.Context, *rpc.Peer, wire.DemandReport) (wire.Empty, error) { return wire.Empty{}, nil }))
	return mux
}

func (p *stubPlanner) watch(ctx context.Context, peer *rpc.Peer, _ wire.RoutesRequest) (wire.Empty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = append(p.peers, peer)
	return wire.Empty{}, peer.Notify(wire.MethodRoutes, p.update())
}

func (p *stubPlanner) update() wire.RoutesUpdate {
	return wire.RoutesUpdate{Zone: p.zone, Epoch: 1, Seq: p.seq, Full: true, Hosts: p.hosts}
}

// announceHosts sends all gateways the routes of size hosts, with the models spread
// over them.
func (p *stubPlanner) announceHosts(ctx context.Context, size int, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.hosts = nil
	for n := 0; n < size; n++ {
		route := wire.HostRoute{Host: fmt.Sprint("far-", n), Pool: "load-pool", Zone: p.zone, Address: address, State: wire.HostLive, Slots: 64}
		for i := 0; i < modelsPerHost; i++ {
			name := fmt.Sprint("load-", (n*modelsPerHost+i)%modelSizes[len(modelSizes)-1])
			route.Models = append(route.Models, wire.ModelRoute{Model: name, Version: "v1", Adapters: []string{name + "-a"}})
		}
		p.hosts = append(p.hosts, route)
	}
	for _, peer := range p.peers {
		_ = peer.Notify(wire.MethodRoutes, p.update())
	}
}

// measureIdleGateway measures an idle gateway by the number of hosts in its routing table.
func (m *Meter) measureIdleGateway(ctx context.Context) error {
	other := m.target.Zones[len(m.target.Zones)-1]
	m.stub = &stubPlanner{zone: other}
	if _, err := rpc.Listen(m.target.StubPlanner, m.stub.mux(), m.cost); err != nil {
		return errors.Wrap(err, "listening as a planner")
	}
	var reply wire.GrantReply
	request := wire.GrantRequest{Zone: other, Holder: "capacity", Address: m.target.StubPlanner}
	if err := m.controlNodes[0].Call(ctx, wire.MethodGrant, request, &reply); err != nil {
		return err
	}
	for _, size := range routeSizes {
		m.stub.announceHosts(ctx, size, "127.0.0.1:1")
		time.Sleep(2 * settleTime)
		if err := m.measureIdle(ctx, m.target.Gateway, size, "gateway: processor share, idle", "gateway: anonymous memory, idle", "gateway: control traffic, idle"); err != nil {
			return err
		}
	}
	return nil
}

// measureGatewayRequests measures the processor time of requests by their number of
// tokens. The intercept of the fitted line is the cost of a request, the slope that
// of a token.
func (m *Meter) measureGatewayRequests(ctx context.Context) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s%d.%d:%d", m.target.Prefix, 99, 9, stubPort))
	if err != nil {
		return errors.Wrap(err, "listening as an engine")
	}
	fast := emulator.NewEngine(emulator.EngineOptions{Host: "far-0", Capacity: []config.Bytes{config.GiB}, Slots: 1 << 20, Warm: []engine.Copy{{Weights: engine.Weights{Model: "load-0", Version: "v1"}, Bytes: 1}}})
	fast.Serve(ln)
	m.stub.announceHosts(ctx, 1, ln.Addr().String())
	time.Sleep(settleTime)
	streams, err := engine.NewStreamClient(nil, callTimeout)
	if err != nil {
		return err
	}
	for _, tokens := range tokenSizes {
		before, err := m.status(ctx, m.target.Gateway)
		if err != nil {
			return err
		}
		if err := sendRequests(ctx, streams, m.target.Clients, tokens); err != nil {
			return err
		}
		after, err := m.status(ctx, m.target.Gateway)
		if err != nil {
			return err
		}
		m.addSample("gateway: processor time of 1,000 requests", tokens, ms((after.Control.CPU-before.Control.CPU).Std())*1000/requestsPerSize)
	}
	return nil
}

func sendRequests(ctx context.Context, streams *engine.StreamClient, address string, tokens int) error {
	failed := make(chan error, clients)
	for c := 0; c < clients; c++ {
		go func() {
			for n := 0; n < requestsPerSize/clients; n++ {
				if err := sendRequest(ctx, streams, address, tokens); err != nil {
					failed <- err
					return
				}
			}
			failed <- nil
		}()
	}
	for c := 0; c < clients; c++ {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

func sendRequest(ctx context.Context, streams *engine.StreamClient, address string, tokens int) error {
	body := fmt.Sprintf(`{"model":"load-0","prompt":"p","stream":true,"max_tokens":%d}`, tokens)
	stream, err := streams.Open(ctx, address, engine.Request{Path: engine.PathCompletions, Body: []byte(body), ID: "capacity"})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
