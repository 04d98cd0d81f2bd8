package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/signals"
)

// pipeBench is a handler whose requests and replica use no network, so that it runs in a synctest bubble.
type pipeBench struct {
	handler *Handler
	clients sync.WaitGroup
	mu      sync.Mutex
	// statuses are those of the answers to ended requests, 0 if one was broken off.
	statuses []int
}

// newPipeBench returns a handler with a replica that begins streams and ends no request.
func newPipeBench(kind catalog.Kind, ring *event.Ring, metrics *Metrics) *pipeBench {
	dial := func(context.Context, string) (net.Conn, error) {
		gateway, replica := net.Pipe()
		go serveEndless(replica)
		return gateway, nil
	}
	r := route(kind, 1)
	r.Timeout = time.Minute
	b := &bench{fleet: NewFleet("z", dial, ring, time.Now, time.Now)}
	b.handler = NewHandler(Options{
		Codec: testCodec(), Fleet: b.fleet, Budget: BudgetLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second},
		Tracker: newTestTracker(), Demand: NewDemand(), Metrics: metrics, Now: time.Now, Ring: ring,
	})
	b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 1, Routes: []catalog.Route{r}, Services: testServices()}))
	b.registerAddress("x", "pipe")
	return &pipeBench{handler: b.handler}
}

// serveEndless reads a request, sends the first event of a stream if it asks for one, and waits for the close.
func serveEndless(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if name := request.Header.Get(testID); strings.HasPrefix(name, "stream") {
		a := arrival{replica: "x", request: request, conn: conn}
		a.head()
		a.event(1)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// begin sends a request to the handler.
func (p *pipeBench) begin(name string) {
	request := httptest.NewRequest("POST", "http://h.example/p/x", strings.NewReader("x"))
	request.Header.Set(testID, name)
	p.clients.Go(func() {
		status := 0
		defer func() {
			_ = recover() // http.ErrAbortHandler
			p.mu.Lock()
			defer p.mu.Unlock()
			p.statuses = append(p.statuses, status)
		}()
		answer := httptest.NewRecorder()
		p.handler.ServeHTTP(answer, request)
		status = answer.Code
	})
}

// logLines returns all lines of the log.
func (l *logText) logLines() []string { return strings.Split(l.linesWith("msg="), "\n") }

// count returns how often a text occurs in the log.
func (l *logText) count(text string) int { return strings.Count(l.linesWith(text), text) }

// TestAGatewayThatWakesAfterItsLimitLeavesALineOfEachRequest: it was killed shortly after, and none of them could be
// explained.
func TestAGatewayThatWakesAfterItsLimitLeavesALineOfEachRequest(t *testing.T) {
	const requests = 4000
	for name, kind := range map[string]catalog.Kind{"request": catalog.Unsafe, "stream": catalog.Streaming} {
		t.Run(name, func(t *testing.T) {
			registry := metric.New("test") // its goroutine outlives the bubble
			metrics := NewMetrics(registry)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				text := &logText{}
				writer := event.NewWriter(text)
				defer time.Sleep(time.Minute) // until all goroutines have ended
				defer writer.Close(time.Minute)
				logger := event.NewLogger(writer, "g")
				logger.SetLevel(log.InfoLevel)
				ring := event.NewRing("g", 64, logger, time.Now)
				ring.SetWriter(writer)
				p := newPipeBench(kind, ring, metrics)
				for i := range requests {
					p.begin(fmt.Sprint(name, i))
				}
				time.Sleep(time.Second)
				before, last := len(text.logLines()), ring.Last()
				// The process stands still from its signal until after its limit.
				signalled, woke := time.Now().Add(-8*time.Second), time.Now()
				writer.WriteAtOnce()
				p.handler.NoteStopSignal(signalled)
				p.handler.Stop()
				p.handler.RefuseBeyond(signalled.Add(2750*time.Millisecond), signalled.Add(7500*time.Millisecond))
				is.Equal(ring.Last()-last, uint64(requests)) // before anything is cut off
				synctest.Wait()
				is.Equal(text.count("event=718"), requests) // what a kill right now would leave
				is.Equal(time.Since(woke), time.Duration(0))
				p.handler.CutOff()
				time.Sleep(abortGrace)
				synctest.Wait()
				is.Equal(text.count("event=717"), requests)
				is.Equal(text.count("gateway_stopped, sent on 7000 ms and ended 80"), requests)
				is.True(time.Since(woke) <= abortGrace)
				for i, line := range text.logLines()[before:] {
					is.Equal(strings.Contains(line, "event=718"), i < requests)
				}
				p.handler.CutOff() // counts nothing
				p.clients.Wait()
				is.Equal(len(p.statuses), requests)
			})
			for _, at := range []string{"end", "mark"} {
				awaitMetric(t, registry, fmt.Sprintf("moorspool_test_requests_under_way_at_stop_total{at=%q} %d\n", at, requests))
			}
		})
	}
}

// awaitMetric waits until a page of metrics has a line: counters are passed on each second.
func awaitMetric(t *testing.T, registry *metric.Registry, line string) {
	t.Helper()
	for range 500 {
		if strings.Contains(string(registry.Encoder()()), line) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("no metric %q", line)
}

// envStoppedReplica is the replica of the gateway process that a test pauses.
const envStoppedReplica = "EXCHANGE_TEST_STOPPED_REPLICA"

// The times of the paused gateway's stop, after its signal.
const (
	pausedMark  = 400 * time.Millisecond
	pausedLimit = 700 * time.Millisecond
)

// TestGatewayProcessThatIsStopped is no test: it is the gateway process of the test that pauses one.
func TestGatewayProcessThatIsStopped(t *testing.T) {
	address := os.Getenv(envStoppedReplica)
	if address == "" {
		t.Skip("not started as a gateway process")
	}
	watch := signals.Notify()
	r := route(catalog.Unsafe, 1)
	r.Timeout = killedGatewayLimit
	b := newBench(t, r)
	writer := event.NewWriter(os.Stdout)
	b.handler.options.Ring = event.NewRing("g", 64, event.NewLogger(writer, "g"), time.Now)
	b.handler.options.Ring.SetWriter(writer)
	b.registerAddress("x", address)
	fmt.Println(b.server.Listener.Addr())
	stop := <-watch.Stop()
	writer.WriteAtOnce()
	b.handler.NoteStopSignal(stop.SentAfter)
	b.handler.Stop()
	b.handler.RefuseBeyond(stop.SentAfter.Add(pausedMark), stop.SentAfter.Add(pausedLimit))
	time.Sleep(time.Until(stop.SentAfter.Add(pausedLimit)))
	b.handler.CutOff()
	time.Sleep(killedGatewayLimit)
}

// TestAPausedGatewayLeavesALineOfEachRequestBeforeItIsKilled: a process that stood still from its signal until shortly
// before it was killed left none.
func TestAPausedGatewayLeavesALineOfEachRequestBeforeItIsKilled(t *testing.T) {
	const requests = 50
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	x := newReplica(t, "x", func(arrival) bool { <-release; return false })
	process := exec.Command(os.Args[0], "-test.run=^TestGatewayProcessThatIsStopped$")
	process.Env = append(os.Environ(), envStoppedReplica+"="+x.listener.Addr().String())
	out, err := process.StdoutPipe()
	is.NoErr(err)
	is.NoErr(process.Start())
	defer func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	}()
	lines := bufio.NewReader(out)
	address, err := lines.ReadString('\n')
	is.NoErr(err)
	for range requests {
		openRequest(t, strings.TrimSpace(address), "HTTP/1.1")
	}
	for x.count() < requests {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(process.Process.Signal(syscall.SIGSTOP))
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	time.Sleep(pausedLimit + 300*time.Millisecond)
	is.NoErr(process.Process.Signal(syscall.SIGCONT))
	went := time.Now()
	for n := 0; n < requests; {
		line, err := lines.ReadString('\n')
		is.NoErr(err)
		is.True(!strings.Contains(line, "event=717")) // they follow
		if strings.Contains(line, "event=718") {
			n++
		}
	}
	t.Log("all lines were there after", time.Since(went))
	is.NoErr(process.Process.Kill())
}
