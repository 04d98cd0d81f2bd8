package emulator

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/process"
)

// Paths of the emulators in addition to those of the emulated systems.
const (
	PathStats = "/emulator/stats"
	PathFault = "/emulator/fault"
)

// leavingGrace is how long a leaving host may still receive new requests.
const leavingGrace = 3 * time.Second

// EngineOptions configure an emulated engine.
type EngineOptions struct {
	Host     string
	Capacity []config.Bytes
	// Slots is how many requests an accelerator runs at once at full speed.
	Slots int
	// Prefill and Gap are the times to the first token and between tokens of an idle engine.
	Prefill time.Duration
	Gap     time.Duration
	// Checks makes the engine refuse orders of an older epoch.
	Checks bool
	// Store is the weight store's address, "" to load weights without delay.
	Store string
	// Warm lists the copies that are ready when the engine starts.
	Warm []engine.Copy
}

// Faults are the faults that are switched on in an emulator by a POST to PathFault.
type Faults struct {
	// LoseOrders closes the connection before an order is applied, LoseAnswers after it was applied.
	LoseOrders  bool `json:"loseOrders,omitempty"`
	LoseAnswers bool `json:"loseAnswers,omitempty"`
	// DoubleOrders applies each order twice.
	DoubleOrders bool `json:"doubleOrders,omitempty"`
	// DelayOrders delays each order.
	DelayOrders config.Duration `json:"delayOrders,omitempty"`
	// BreakAfter closes a stream's connection after this many tokens.
	BreakAfter int `json:"breakAfter,omitempty"`
	// Stall pauses all streams.
	Stall bool `json:"stall,omitempty"`
	// Leaving makes the host announce that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// RunCount is how often an emulator ran a request, or a call with an idempotency key.
type RunCount struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// Stats are the counters of an emulator.
type Stats struct {
	Host     string     `json:"host"`
	Runs     []RunCount `json:"runs"`
	Keys     []RunCount `json:"keys,omitempty"`
	Breaches int        `json:"breaches"`
	Loads    int        `json:"loads"`
	Unloads  int        `json:"unloads"`
	// Late counts the requests that arrived later than leavingGrace after the host began to leave.
	Late int `json:"late"`
}

// runCounts counts runs by request ID or key. It is safe for concurrent use.
type runCounts struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runCounts) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = map[string]int{}
	}
	r.count[id]++
}

func (r *runCounts) list() []RunCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]RunCount, 0, len(r.count))
	for id, count := range r.count {
		list = append(list, RunCount{ID: id, Count: count})
	}
	return list
}

// faultState holds the active faults and since when the host has been leaving.
type faultState struct {
	faults    atomic.Pointer[Faults]
	leavingAt atomic.Int64
	late      atomic.Int64
}

func newFaultState() *faultState {
	s := &faultState{}
	s.faults.Store(&Faults{})
	return s
}

func (s *faultState) current() Faults { return *s.faults.Load() }

func (s *faultState) handleSet(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		c.String(consts.StatusBadRequest, err.Error())
		return
	}
	s.faults.Store(&faults)
	if faults.Leaving && s.leavingAt.Load() == 0 {
		s.leavingAt.Store(time.Now().UnixNano())
	}
	if !faults.Leaving {
		s.leavingAt.Store(0)
	}
	c.String(consts.StatusOK, "ok\n")
}

// recordArrival counts a request that arrives too late at a leaving host.
func (s *faultState) recordArrival() {
	if at := s.leavingAt.Load(); at != 0 && time.Since(time.Unix(0, at)) > leavingGrace {
		s.late.Add(1)
	}
}

// Engine is an emulated model engine.
type Engine struct {
	options    EngineOptions
	memory     *memory
	faultState *faultState
	runCounts  runCounts
	running    atomic.Int64
	cache      prefixCache
	hertz      *server.Hertz
}

// NewEngine returns an emulated engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options, memory: newMemory(options.Host, options.Capacity, options.Checks), faultState: newFaultState()}
	for i := range options.Warm {
		warm := options.Warm[i]
		warm.State = engine.CopyReady
		e.memory.copies = append(e.memory.copies, &warm)
	}
	return e
}

// Serve starts the engine on a listener.
func (e *Engine) Serve(ln net.Listener) {
	h := process.NewServer(ln, 8<<20)
	h.POST(engine.PathChat, e.completion)
	h.POST(engine.PathCompletions, e.completion)
	h.GET(engine.PathReport, e.report)
	h.POST(engine.PathOrders, e.order)
	h.GET(PathStats, e.stats)
	h.POST(PathFault, e.faultState.handleSet)
	e.hertz = h
	go func() { _ = h.Run() }()
}

// Close stops the engine at once.
func (e *Engine) Close() { _ = e.hertz.Close() }

func (e *Engine) stats(_ context.Context, c *app.RequestContext) {
	r := e.memory.report("")
	loads, unloads := e.memory.orderCounts()
	c.JSON(consts.StatusOK, Stats{
		Host:     e.options.Host,
		Runs:     e.runCounts.list(),
		Breaches: r.Breaches,
		Loads:    loads,
		Unloads:  unloads,
		Late:     int(e.faultState.late.Load()),
	})
}

func (e *Engine) report(_ context.Context, c *app.RequestContext) {
	r := e.memory.report(string(c.GetHeader(engine.HeaderKnown)))
	r.Leaving = e.faultState.current().Leaving
	r.Slots = e.options.Slots
	r.Running, r.Waiting = e.load()
	c.JSON(consts.StatusOK, r)
}

// load divides the active requests into those with a slot and those beyond the slots.
func (e *Engine) load() (running, waiting int) {
	all := int(e.running.Load())
	slots := e.options.Slots * len(e.options.Capacity)
	return min(all, slots), max(all-slots, 0)
}

func (e *Engine) order(_ context.Context, c *app.RequestContext) {
	faults := e.faultState.current()
	var order engine.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.JSON(consts.StatusOK, engine.OrderReply{Outcome: engine.OrderInvalid, Reason: err.Error()})
		return
	}
	if faults.LoseOrders {
		_ = c.GetConn().Close()
		return
	}
	time.Sleep(faults.DelayOrders.Std())
	reply, c1 := e.memory.apply(order)
	e.execute(c1)
	if faults.DoubleOrders {
		var c2 *engine.Copy
		reply, c2 = e.memory.apply(order)
		e.execute(c2)
	}
	if faults.LoseAnswers {
		_ = c.GetConn().Close()
		return
	}
	c.JSON(consts.StatusOK, reply)
}

// pollInterval is how often an unload checks whether requests still run, and a stalled stream
// whether the fault is over.
const pollInterval = 20 * time.Millisecond

func (e *Engine) execute(c *engine.Copy) {
	if c == nil {
		return
	}
	if c.State == engine.CopyUnloading {
		go func() {
			for !e.memory.removeIfIdle(c) {
				time.Sleep(pollInterval)
			}
		}()
		return
	}
	go func() {
		fetchWeights(e.options.Store, c.Bytes)
		e.memory.setReady(c)
	}()
}

func (e *Engine) completion(ctx context.Context, c *app.RequestContext) {
	faults := e.faultState.current()
	running, waiting := e.load()
	c.Response.Header.Set(engine.HeaderLoad, engine.FormatLoad(running, waiting))
	if faults.Leaving {
		c.Response.Header.Set(engine.HeaderLeaving, "true")
	}
	call, err := parseCall(c.Request.Body())
	if err != nil {
		e.refuse(c, consts.StatusBadRequest)
		return
	}
	e.faultState.recordArrival()
	loaded := e.memory.acquire(call.Model)
	if loaded == nil {
		e.refuse(c, consts.StatusNotFound)
		return
	}
	defer e.memory.release(loaded)
	e.runCounts.add(string(c.GetHeader(engine.HeaderRequestID)))
	e.running.Add(1)
	defer e.running.Add(-1)
	e.generate(ctx, c, call, faults)
}

// refuse answers a request that was not run.
func (e *Engine) refuse(c *app.RequestContext, status int) {
	c.Response.Header.Set(engine.HeaderNotRun, "true")
	c.String(status, "refused\n")
}

func (e *Engine) generate(ctx context.Context, c *app.RequestContext, call completionCall, faults Faults) {
	chat := string(c.Path()) == engine.PathChat
	resumeFrom, err := strconv.ParseUint(string(c.GetHeader(engine.HeaderResumeFrom)), 10, 64)
	if err != nil {
		resumeFrom = 0
	}
	prefill := e.options.Prefill
	if e.cache.checkAndAdd(call.Model + call.Prompt) {
		prefill /= 4
	}
	if !sleep(ctx, time.Duration(float64(prefill)*e.slowdown())) {
		return
	}
	writer := sse.NewWriter(c)
	for n := resumeFrom + 1; n <= uint64(call.MaxTokens); n++ {
		for e.faultState.current().Stall && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
		if faults.BreakAfter > 0 && n > resumeFrom+uint64(faults.BreakAfter) {
			_ = c.GetConn().Close()
			return
		}
		id := strconv.FormatUint(n, 10)
		if err := writer.WriteEvent(id, "", encodeChunk(chat, call.Model, Token(call.Model, call.Prompt, n))); err != nil {
			return
		}
		if !sleep(ctx, time.Duration(float64(e.options.Gap)*e.slowdown())) {
			return
		}
	}
	_ = writer.WriteEvent("", "", []byte(engine.StreamEnd))
	_ = writer.Close()
}

// slowdown is the factor by which the engine is slower than when idle: up to the slots batching
// costs nothing, beyond them all requests share the speed.
func (e *Engine) slowdown() float64 {
	slots := float64(e.options.Slots * len(e.options.Capacity))
	return max(1, float64(e.running.Load())/slots)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// prefixCache remembers the prefixes of recent prompts.
type prefixCache struct {
	mu      sync.Mutex
	order   []string
	entries map[string]bool
}

// Limits of the prefix cache.
const (
	cachePrefixLength = 64
	cacheEntries      = 256
)

func (p *prefixCache) checkAndAdd(prompt string) bool {
	key := prompt[:min(len(prompt), cachePrefixLength)]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key] {
		return true
	}
	if p.entries == nil {
		p.entries = map[string]bool{}
	}
	p.entries[key] = true
	p.order = append(p.order, key)
	if len(p.order) > cacheEntries {
		delete(p.entries, p.order[0])
		p.order = p.order[1:]
	}
	return false
}

// SetFaults sets the faults, as a POST to PathFault does.
func (e *Engine) SetFaults(f Faults) { e.faultState.faults.Store(&f) }

// Running returns the number of requests that are running.
func (e *Engine) Running() int { return int(e.running.Load()) }

// RunCount returns how often the request with an ID ran.
func (e *Engine) RunCount(id string) int {
	e.runCounts.mu.Lock()
	defer e.runCounts.mu.Unlock()
	return e.runCounts.count[id]
}
