package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/emulator"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/limit"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/testseed"
	"github.com/moorspool/moorspool/src/wire"
)

// ask sends a streaming completion request and returns the text received and
// the error that ended the stream.
func (b *testGateway) ask(id, model, prompt string, tokens int) (string, error) {
	stream, err := b.streams.Open(context.Background(), b.address, engine.Request{Path: engine.PathCompletions, Body: body(model, prompt, tokens), ID: id})
	if err != nil {
		return "", err
	}
	return collect(stream)
}

// askOnce sends a completion request that must not be repeated if once is set.
func (b *testGateway) askOnce(id string, once bool) (string, error) {
	stream, err := b.streams.Open(context.Background(), b.address, engine.Request{Path: engine.PathCompletions, Body: body("m", "p", 6), ID: id, Once: once})
	if err != nil {
		return "", err
	}
	return collect(stream)
}

func collect(stream *engine.Stream) (string, error) {
	defer stream.Close()
	var text strings.Builder
	last := uint64(0)
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if token.ID != last+1 {
			return text.String(), errors.Errorf("token %d follows %d", token.ID, last)
		}
		last = token.ID
		_, word, _ := strings.Cut(string(token.Data), `"text":"`)
		word, _, _ = strings.Cut(word, `"`)
		text.WriteString(word)
	}
}

func TestConcurrentAnswersAreCompleteAndNotMixed(t *testing.T) {
	b := newTestGateway(t)
	b.addEngine("h1", "a")
	b.addEngine("h2", "a")
	is := is.New(t)
	var wait sync.WaitGroup
	for i := 0; i < 50; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			prompt := fmt.Sprint("prompt ", i)
			text, err := b.ask(fmt.Sprint(i), "latest", prompt, 30)
			is.NoErr(err)
			is.Equal(text, emulator.Answer("m-a", prompt, 30))
		}()
	}
	wait.Wait()
}

func TestBrokenStreamResumesOnAnotherHost(t *testing.T) {
	b := newTestGateway(t)
	first, second := b.addEngine("h1", "a"), b.addEngine("h2", "a")
	first.SetFaults(emulator.Faults{BreakAfter: 3})
	second.SetFaults(emulator.Faults{BreakAfter: 3})
	is := is.New(t)
	text, err := b.ask("r", "m", "p", 6)
	is.NoErr(err)
	is.Equal(text, emulator.Answer("m", "p", 6))
	is.Equal(first.RunCount("r"), 1) // each host sent three tokens
	is.Equal(second.RunCount("r"), 1)
	is.Equal(b.server.Status().Resumed, uint64(1))
}

func TestLeavingHostGetsNoFurtherRequests(t *testing.T) {
	// The host's own report takes effect at once, without a planner.
	b := newTestGateway(t)
	leaving, staying := b.addEngine("h1", "a"), b.addEngine("h2", "a")
	leaving.SetFaults(emulator.Faults{Leaving: true})
	is := is.New(t)
	ran := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		_, err := b.ask(id, "m", fmt.Sprint("p", i), 2)
		is.NoErr(err)
		ran += leaving.RunCount(id)
		is.Equal(leaving.RunCount(id)+staying.RunCount(id), 1)
	}
	is.True(ran <= 1)
}

func TestClientDisconnectFreesTheSlot(t *testing.T) {
	b := newTestGateway(t)
	e := b.addEngine("h1", "a")
	stream, err := b.streams.Open(context.Background(), b.address, engine.Request{Path: engine.PathCompletions, Body: body("m", "p", 1_000_000), ID: "r"})
	is := is.New(t)
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	is.Equal(b.server.InFlight(), int64(1))
	stream.Close()
	for range 500 {
		if b.server.InFlight() == 0 && e.Running() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("in flight %d, running on the engine %d", b.server.InFlight(), e.Running())
}

// TestPlannedStopCompletesAllRequests stops the gateway while a stream runs and
// another starts before the load balancer has noticed: both must be complete.
func TestPlannedStopCompletesAllRequests(t *testing.T) {
	b := newTestGateway(t)
	// The stream lasts much longer than the lag and the closing of the listener.
	b.addPacedEngine("h1", "a", 5*time.Millisecond)
	b.server.settings.BalancerLag = config.Duration(100 * time.Millisecond)
	b.server.settings.DrainLimit = config.Duration(20 * time.Second)
	proc, err := process.New("gateway", option.Common{Node: "e1", Log: option.LogSetting{Level: "error"}, Events: 16}, nil)
	is := is.New(t)
	is.NoErr(err)
	const tokens = 300
	running, err := b.streams.Open(context.Background(), b.address, engine.Request{Path: engine.PathCompletions, Body: body("m", "first", tokens), ID: "r1"})
	is.NoErr(err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.server.stop(proc)
		if left := b.server.InFlight(); left != 0 { // the process ends after stop returns
			t.Errorf("the stop cut off %d requests", left)
		}
	}()
	for !proc.Leaving() {
		time.Sleep(time.Millisecond)
	}
	late, err := b.ask("r2", "m", "late", 20)
	is.NoErr(err)
	is.Equal(late, emulator.Answer("m", "late", 20))
	text, err := collect(running)
	is.NoErr(err)
	is.Equal(text, emulator.Answer("m", "first", tokens))
	<-stopped
	_, err = b.ask("r3", "m", "after", 3)
	is.True(err != nil) // no further requests are accepted
}

// TestAStreamThatLastsLongerThanTheWaitForATokenRunsOnce: it was broken off each time that wait was over, taken up by
// another attempt, and ended unfinished with the last of them.
func TestAStreamThatLastsLongerThanTheWaitForATokenRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const tokens = 400
	b := newTestGateway(t)
	e := b.addPacedEngine("h1", "a", 10*time.Millisecond) // four times the wait, three attempts
	text, err := b.ask("r", "m", "first", tokens)
	is.NoErr(err)
	is.Equal(text, emulator.Answer("m", "first", tokens))
	is.Equal(e.RunCount("r"), 1)
}

func TestRequestWithoutHostIsRefusedAsNotRun(t *testing.T) {
	b := newTestGateway(t)
	is := is.New(t)
	_, err := b.ask("r", "m", "p", 3)
	var failure *engine.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotRun)
	is.True(strings.Contains(err.Error(), string(ReasonNoCopy)))
}

func TestInvalidInputIsRefusedWithItsReason(t *testing.T) {
	b := newTestGateway(t)
	for _, c := range []struct{ body, reason string }{
		{`{`, "not the JSON"},
		{`[]`, "not the JSON"},
		{`{}`, "names no model"},
		{`{"model":"m"}`, "neither messages nor a prompt"},
		{`{"model":"nobody","prompt":"p"}`, "no model, adapter or label"},
	} {
		_, err := b.streams.Open(context.Background(), b.address, engine.Request{Path: engine.PathCompletions, Body: []byte(c.body), ID: "r"})
		var failure *engine.Failure
		if !errors.As(err, &failure) || !failure.NotRun || !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%s: %v", c.body, err)
		}
	}
}

func TestRefusalAfterPossibleRunIsNotMarkedNotRun(t *testing.T) {
	b := newTestGateway(t)
	b.fakeHost("h1", func(h *server.Hertz) {
		h.POST(engine.PathCompletions, func(_ context.Context, c *app.RequestContext) {
			// Removes the only route while the request runs, then fails the request.
			b.server.routes.apply(wire.RoutesUpdate{Zone: "a", Epoch: 1, Seq: 9, Full: true})
			c.String(500, "broken")
		})
	})
	_, err := b.ask("r", "m", "p", 3)
	var failure *engine.Failure
	is := is.New(t)
	is.True(errors.As(err, &failure))
	is.True(!failure.NotRun)
	is.True(strings.Contains(err.Error(), `"not_run":"unknown"`))
}

func (b *testGateway) register(key string) (service.Answer, error) {
	return b.plain.Do(context.Background(), b.address, service.Call{Method: "POST", Path: "/services/desk/register", Body: []byte("form"), ID: "r-" + key, Key: key, AtMostOnce: true})
}

func TestOnceCallIsNotRetriedAfterLostAnswer(t *testing.T) {
	b := newTestGateway(t)
	var calls atomic.Int64
	for _, name := range []string{"h1", "h2"} {
		b.fakeHost(name, func(h *server.Hertz) {
			h.POST("/register", countCalls(&calls, func(_ context.Context, c *app.RequestContext) { _ = c.GetConn().Close() }))
		})
	}
	settled := make(chan wire.SettleRequest, 1)
	b.controlNode.settle = func(r wire.SettleRequest) { settled <- r }
	answer, err := b.register("k")
	is := is.New(t)
	is.NoErr(err)
	is.True(strings.Contains(string(answer.Body), string(ReasonOutcomeUnknown)))
	is.True(strings.Contains(string(answer.Body), `"not_run":"unknown"`))
	is.Equal(calls.Load(), int64(1))
	is.Equal((<-settled).State, wire.ClaimUnknown) // the key stays claimed
}

func TestOnceCallIsRetriedWhenNothingWasSent(t *testing.T) {
	b := newTestGateway(t)
	closed := listen(t)
	b.addRoute(wire.HostRoute{Host: "dead", Pool: "desk", Zone: "a", Address: closed.Addr().String(), State: wire.HostLive, Slots: 16})
	_ = closed.Close()
	_, _ = b.addPlain("alive")
	is := is.New(t)
	for i := 0; i < 10; i++ {
		answer, err := b.register(fmt.Sprint("k", i))
		is.NoErr(err)
		is.Equal(answer.Status, 200)
	}
}

func TestClaimedKeyIsNotRun(t *testing.T) {
	b := newTestGateway(t)
	var calls atomic.Int64
	b.fakeHost("h1", func(h *server.Hertz) {
		h.POST("/register", countCalls(&calls, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok") }))
	})
	for _, state := range []wire.ClaimState{wire.ClaimRunning, wire.ClaimDone, wire.ClaimUnknown} {
		b.controlNode.claim = func(wire.ClaimRequest) wire.ClaimReply {
			return wire.ClaimReply{Outcome: wire.Accepted, State: state}
		}
		_, err := b.register("k")
		var failure *service.Failure
		if !errors.As(err, &failure) || !failure.NotRun || failure.Status != 409 {
			t.Errorf("%s: %v", state, err)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("the service was called %d times", calls.Load())
	}
}

// behaviour is how a scripted host handles one request.
type behaviour int

const (
	answers behaviour = iota
	refusesNotRun
	fails
	closesConnection
	breaksStream
	lacksModel
	behaviourCount
)

var behaviourGen = rapid.Map(rapid.IntRange(0, int(behaviourCount)-1), func(n int) behaviour { return behaviour(n) })

// scriptedHost is a backend server that handles requests by a script and counts
// how often each one ran.
type scriptedHost struct {
	mu     sync.Mutex
	script []behaviour
	runs   map[string]int
}

func (s *scriptedHost) next() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return answers
	}
	first := s.script[0]
	s.script = s.script[1:]
	return first
}

func (s *scriptedHost) ran(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *scriptedHost) handle(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader(engine.HeaderRequestID))
	switch s.next() {
	case refusesNotRun:
		c.Response.Header.Set(engine.HeaderNotRun, "true")
		c.String(503, "busy")
	case lacksModel:
		c.Response.Header.Set(engine.HeaderNotRun, "true")
		c.String(404, "no such model")
	case closesConnection:
		_ = c.GetConn().Close()
	case fails:
		s.ran(id)
		c.String(500, "broken")
	case breaksStream:
		s.ran(id)
		writeStream(c, 2, false)
	case answers:
		s.ran(id)
		writeStream(c, 6, true)
	}
}

func init() { testseed.SetFixedSeed() }

// TestRequestPromises has hosts behave in any order of success and failure and
// checks the guarantees to clients: a request that is refused as not run did not
// run, a once request runs at most once, and a complete answer is correct.
func TestRequestPromises(t *testing.T) {
	b := newTestGateway(t)
	hosts := []*scriptedHost{}
	for _, name := range []string{"h1", "h2"} {
		host := &scriptedHost{runs: map[string]int{}}
		hosts = append(hosts, host)
		b.fakeHost(name, func(h *server.Hertz) { h.POST(engine.PathCompletions, host.handle) })
	}
	b.server.budget = limit.NewRetryBudget(1e6) // retries must not run out of budget
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		id := fmt.Sprint("r", number)
		for _, host := range hosts {
			// Drawn before taking the lock, since a draw may panic.
			script := rapid.SliceOfN(behaviourGen, 0, 4).Draw(t, "script")
			host.mu.Lock()
			host.script = script
			host.mu.Unlock()
		}
		once := rapid.Bool().Draw(t, "once")
		text, err := b.askOnce(id, once)
		runs := 0
		for _, host := range hosts {
			host.mu.Lock()
			runs += host.runs[id]
			host.mu.Unlock()
		}
		var failure *engine.Failure
		switch {
		case err == nil && text != strings.Repeat("w ", 6):
			t.Fatalf("a whole answer is %q", text)
		case errors.As(err, &failure) && failure.NotRun && runs > 0:
			t.Fatalf("refused as not run, but ran %d times: %v", runs, err)
		case once && runs > 1:
			t.Fatalf("a once request ran %d times", runs)
		}
	})
}
