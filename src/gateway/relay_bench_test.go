package gateway

import (
	"context"
	"io"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/moorspool/moorspool/src/dial"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/process"
)

// fastEngine starts an engine that streams its tokens without delay, so that the
// benchmark measures the relay.
func fastEngine(b *testGateway, tokens int) string {
	ln := listen(b.t)
	h := process.NewServer(ln, 1<<20)
	data := []byte(`{"object":"text_completion","model":"m","choices":[{"index":0,"text":"token "}]}`)
	h.POST(engine.PathCompletions, func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.Set(engine.HeaderLoad, engine.FormatLoad(1, 0))
		w := sse.NewWriter(c)
		for n := 1; n <= tokens; n++ {
			_ = w.WriteEvent(strconv.Itoa(n), "", data)
		}
		_ = w.WriteEvent("", "", []byte(engine.StreamEnd))
		_ = w.Close()
	})
	go func() { _ = h.Run() }()
	b.t.Cleanup(func() { _ = h.Close() })
	return ln.Addr().String()
}

// bareRelay starts the baseline: a relay with the same libraries that only
// forwards events.
func bareRelay(b *testGateway, target string) string {
	ln := listen(b.t)
	h := process.NewServer(ln, 1<<20)
	client, err := dial.New(nil, dial.Options{Dial: time.Second, Read: time.Second, Write: time.Second, Conns: 4096, Reuse: true, MaxBody: 1 << 20})
	if err != nil {
		b.t.Fatal(err)
	}
	h.POST(engine.PathCompletions, func(ctx context.Context, c *app.RequestContext) {
		request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
		defer protocol.ReleaseRequest(request)
		defer protocol.ReleaseResponse(response)
		request.SetMethod(consts.MethodPost)
		request.SetRequestURI("http://" + target + engine.PathCompletions)
		request.SetBodyRaw(c.Request.Body())
		if err := client.Do(ctx, request, response); err != nil {
			c.SetStatusCode(consts.StatusBadGateway)
			return
		}
		reader, err := sse.NewReader(response)
		if err != nil {
			c.SetStatusCode(consts.StatusBadGateway)
			return
		}
		w := sse.NewWriter(c)
		event := sse.NewEvent()
		for reader.Read(event) == nil {
			_ = w.Write(event)
		}
		_ = w.Close()
		_ = response.CloseBodyStream()
	})
	go func() { _ = h.Run() }()
	b.t.Cleanup(func() { _ = h.Close() })
	return ln.Addr().String()
}

// sendRequests sends n requests from a number of concurrent clients, one every
// interval, or as fast as possible if interval is 0. It returns the duration of each.
func sendRequests(b *testGateway, address string, n, clients int, interval time.Duration) []time.Duration {
	durations := make([]time.Duration, n)
	next := make(chan int)
	var wait sync.WaitGroup
	for i := 0; i < clients; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for at := range next {
				began := time.Now()
				readAll(b, address)
				durations[at] = time.Since(began)
			}
		}()
	}
	began := time.Now()
	for i := 0; i < n; i++ {
		if wait := interval*time.Duration(i) - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		next <- i
	}
	close(next)
	wait.Wait()
	return durations
}

func readAll(b *testGateway, address string) {
	stream, err := b.streams.Open(context.Background(), address, engine.Request{Path: engine.PathCompletions, Body: body("m", "p", 16), ID: "r"})
	if err != nil {
		b.t.Error(err)
		return
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err == io.EOF {
			return
		} else if err != nil {
			b.t.Error(err)
			return
		}
	}
}

func p99(durations []time.Duration) time.Duration {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[len(durations)*99/100]
}

func median(all []time.Duration) time.Duration {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[len(all)/2]
}

// BenchmarkRelay compares a gateway with a bare hertz relay. It reports the
// throughput with 64 clients, and at 3,200 requests a second the increase of the
// 99th percentile over direct requests and over the bare relay, each as the
// median of five interleaved rounds.
func BenchmarkRelay(b *testing.B) {
	const clients, tokens, rounds, perRound = 64, 16, 5, 3000
	gateway := newTestGateway(b)
	target := fastEngine(gateway, tokens)
	route := gateway.hostRoute("fast", target)
	gateway.addRoute(route)
	bare := bareRelay(gateway, target)
	sendRequests(gateway, gateway.address, 500, clients, 0)
	sendRequests(gateway, bare, 500, clients, 0)
	var gatewayTime, bareTime time.Duration
	for i := 0; i < rounds; i++ {
		began := time.Now()
		sendRequests(gateway, gateway.address, perRound, clients, 0)
		gatewayTime += time.Since(began)
		began = time.Now()
		sendRequests(gateway, bare, perRound, clients, 0)
		bareTime += time.Since(began)
	}
	interval := time.Second / 3200
	var overDirect, overBare []time.Duration
	for i := 0; i < rounds; i++ {
		ownTail := p99(sendRequests(gateway, gateway.address, perRound, clients, interval))
		bareTail := p99(sendRequests(gateway, bare, perRound, clients, interval))
		directTail := p99(sendRequests(gateway, target, perRound, clients, interval))
		overDirect = append(overDirect, ownTail-directTail)
		overBare = append(overBare, ownTail-bareTail)
	}
	b.ReportMetric(float64(bareTime)/float64(gatewayTime), "throughput-ratio")
	b.ReportMetric(float64(rounds*perRound)/gatewayTime.Seconds(), "requests/s")
	b.ReportMetric(float64(median(overDirect))/float64(time.Millisecond), "p99-over-direct-ms")
	b.ReportMetric(float64(median(overBare))/float64(time.Millisecond), "p99-over-bare-ms")
	b.ReportMetric(0, "ns/op")
}
