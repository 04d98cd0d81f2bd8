package gateway

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/emulator"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/graceful"
	"github.com/moorspool/moorspool/src/limit"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/trace"
	"github.com/moorspool/moorspool/src/wire"
)

// testGateway is a gateway in the test process with emulated backend servers and
// a fake control node.
type testGateway struct {
	t           testing.TB
	server      *Server
	address     string
	engines     []*emulator.Engine
	routes      []wire.HostRoute
	streams     *engine.StreamClient
	plain       *service.Client
	controlNode *fakeControlNode
}

// fakeControlNode answers a gateway's calls with what the test sets.
type fakeControlNode struct {
	update config.Update
	claim  func(wire.ClaimRequest) wire.ClaimReply
	settle func(wire.SettleRequest)
}

func (k *fakeControlNode) mux() *rpc.Mux {
	mux := rpc.NewMux()
	mux.Handle(wire.MethodConfig, rpc.Typed(func(context.Context, *rpc.Peer, wire.ConfigRequest) (config.Update, error) { return k.update, nil }))
	mux.Handle(wire.MethodWatchConfig, rpc.Typed(func(context.Context, *rpc.Peer, wire.ConfigRequest) (wire.Empty, error) { return wire.Empty{}, nil }))
	mux.Handle(wire.MethodHeartbeat, rpc.Typed(func(context.Context, *rpc.Peer, wire.Heartbeat) (wire.HeartbeatReply, error) {
		return wire.HeartbeatReply{}, nil
	}))
	mux.Handle(wire.MethodClaim, rpc.Typed(func(_ context.Context, _ *rpc.Peer, r wire.ClaimRequest) (wire.ClaimReply, error) {
		return k.claim(r), nil
	}))
	mux.Handle(wire.MethodSettle, rpc.Typed(func(_ context.Context, _ *rpc.Peer, r wire.SettleRequest) (wire.SettleReply, error) {
		if k.settle != nil {
			k.settle(r)
		}
		return wire.SettleReply{Outcome: wire.Accepted}, nil
	}))
	return mux
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// testSet returns a configuration with one model, one adapter, a label for it and
// one plain service.
func testSet() *config.Set {
	return config.NewSet(config.Revision{Term: 1, Index: 1}, []config.Object{
		{Key: config.Key{Kind: config.KindModel, Name: "m"}, Model: &config.Model{Memory: 1, Version: "v1"}},
		{Key: config.Key{Kind: config.KindAdapter, Name: "m-a"}, Adapter: &config.Adapter{Model: "m", Memory: 1}},
		{Key: config.Key{Kind: config.KindLabel, Name: "latest"}, Label: &config.Label{PointsTo: "m-a"}},
		{Key: config.Key{Kind: config.KindService, Name: "desk"}, Service: &config.Service{Calls: []config.Call{{Method: "POST", Path: "/register", AtMostOnce: true}}}},
	})
}

func newTestGateway(t testing.TB) *testGateway {
	t.Helper()
	b := &testGateway{t: t, controlNode: &fakeControlNode{update: testSet().Full()}}
	b.controlNode.claim = func(wire.ClaimRequest) wire.ClaimReply {
		return wire.ClaimReply{Outcome: wire.Accepted, State: wire.ClaimAcquired}
	}
	meter := &rpc.Meter{}
	controlNode, err := rpc.Listen("127.0.0.1:0", b.controlNode.mux(), meter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(controlNode.Close)
	settings := option.Gateway{Common: option.Common{Node: "e1", Zone: "a"}, Limits: option.Limits{
		Body: config.MiB, Queue: 256, QueueWait: config.Duration(time.Second), RetryShare: 0.1, Attempts: 3,
		TokenWait: config.Duration(time.Second), HeaderWait: config.Duration(time.Second),
	}}
	ring := event.NewRing("e1", 256, nil, time.Now)
	heartbeat := func(config.Revision) wire.Heartbeat { return wire.Heartbeat{Node: "e1"} }
	follower := follow.New([]option.Peer{{Name: "k1", Address: controlNode.Address(), Zone: "a"}}, "a", meter, nil, ring, heartbeat)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	if !follower.Await(ctx, 5*time.Second) {
		t.Fatal("no configuration")
	}
	b.streams, _ = engine.NewStreamClient(nil, 5*time.Second)
	b.plain, _ = service.New(nil, 5*time.Second)
	streams, _ := engine.NewStreamClient(nil, settings.Limits.TokenWait.Std())
	services, _ := service.New(nil, settings.Limits.HeaderWait.Std())
	tracer, _ := trace.New("e1", option.Trace{})
	queues := limit.NewQueues(settings.Limits.Queue)
	routes := NewRoutes("e1", "a", follower, meter, nil, time.Now, queues.ReleaseAll)
	b.server = New(settings, Dependencies{
		Follower: follower, Routes: routes, StreamClient: streams, Services: services, Queues: queues,
		Tracer: tracer, Ring: ring, Metrics: metric.New("gateway"), Now: time.Now,
	})
	ln, err := graceful.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = ln.Addr().String()
	b.server.Serve(ln)
	t.Cleanup(func() { _ = b.server.hertz.Close() })
	return b
}

// addEngine starts an emulated engine that has the model and its adapter loaded.
func (b *testGateway) addEngine(name, zone string) *emulator.Engine {
	b.t.Helper()
	return b.addPacedEngine(name, zone, 0)
}

// addPacedEngine starts an engine that waits for gap between tokens.
func (b *testGateway) addPacedEngine(name, zone string, gap time.Duration) *emulator.Engine {
	b.t.Helper()
	e := emulator.NewEngine(emulator.EngineOptions{Host: name, Capacity: []config.Bytes{10}, Slots: 64, Checks: true, Gap: gap, Warm: []engine.Copy{
		{Weights: engine.Weights{Model: "m", Version: "v1"}, Bytes: 1},
		{Weights: engine.Weights{Model: "m", Adapter: "m-a", Version: "v1"}, Bytes: 1},
	}})
	ln := listen(b.t)
	e.Serve(ln)
	b.t.Cleanup(e.Close)
	b.engines = append(b.engines, e)
	b.addRoute(wire.HostRoute{Host: name, Pool: "p", Zone: zone, Address: ln.Addr().String(), State: wire.HostLive, Slots: 64,
		Models: []wire.ModelRoute{{Model: "m", Version: "v1", Adapters: []string{"m-a"}}}})
	return e
}

// addPlain starts an emulated plain service.
func (b *testGateway) addPlain(name string) (*emulator.PlainService, string) {
	b.t.Helper()
	p := emulator.NewPlainService(name, 0)
	ln := listen(b.t)
	p.Serve(ln)
	b.addRoute(wire.HostRoute{Host: name, Pool: "desk", Zone: "a", Address: ln.Addr().String(), State: wire.HostLive, Slots: 16})
	return p, ln.Addr().String()
}

func (b *testGateway) addRoute(route wire.HostRoute) {
	b.routes = append(b.routes, route)
	b.server.routes.apply(wire.RoutesUpdate{Zone: "a", Epoch: 1, Seq: uint64(len(b.routes)), Full: true, Hosts: b.routes})
}

// fakeHost starts a host whose handlers the test registers.
func (b *testGateway) fakeHost(name string, handle func(h *server.Hertz)) {
	b.t.Helper()
	ln := listen(b.t)
	h := process.NewServer(ln, 1<<20)
	handle(h)
	go func() { _ = h.Run() }()
	b.t.Cleanup(func() { _ = h.Close() })
	b.addRoute(wire.HostRoute{Host: name, Pool: "desk", Zone: "a", Address: ln.Addr().String(), State: wire.HostLive, Slots: 64,
		Models: []wire.ModelRoute{{Model: "m", Version: "v1"}}})
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func body(model, prompt string, tokens int) []byte {
	data, _ := json.Marshal(completionRequest{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	return data
}

// countCalls wraps a handler and counts its calls.
func countCalls(count *atomic.Int64, handle app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		count.Add(1)
		handle(ctx, c)
	}
}

func (b *testGateway) hostRoute(name, address string) wire.HostRoute {
	return wire.HostRoute{Host: name, Pool: "p", Zone: "a", Address: address, State: wire.HostLive, Slots: 4096,
		Models: []wire.ModelRoute{{Model: "m", Version: "v1", Adapters: []string{"m-a"}}}}
}

// writeStream writes up to tokens tokens of a six-token answer, from the one after
// X-Resume-From. If complete is false, it closes the connection without an end mark.
func writeStream(c *app.RequestContext, tokens int, complete bool) {
	from, err := strconv.Atoi(string(c.GetHeader(engine.HeaderResumeFrom)))
	if err != nil {
		from = 0
	}
	w := sse.NewWriter(c)
	for n := from + 1; n <= min(from+tokens, 6); n++ {
		_ = w.WriteEvent(strconv.Itoa(n), "", []byte(`{"choices":[{"text":"w "}]}`))
	}
	if !complete {
		_ = c.GetConn().Close()
		return
	}
	_ = w.WriteEvent("", "", []byte(engine.StreamEnd))
	_ = w.Close()
}
