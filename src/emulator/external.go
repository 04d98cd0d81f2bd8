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
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/service"
)

// Paths of the weight store and of the platform's host list.
const (
	pathLoad = "/weights/load"
	// PathLeave marks a host as leaving in the host list, after the list's lag.
	PathLeave = "/emulator/leave"
	// PathRemove removes a host from the host list, after the list's lag.
	PathRemove = "/emulator/remove"
)

// Store is an emulated weight store. It limits the rate at which loads start; concurrent loads
// beyond fullSpeed slow each other down.
type Store struct {
	limiter   *rate.Limiter
	fullSpeed int
	bandwidth float64
	active    atomic.Int64
	loads     atomic.Int64
}

// NewStore returns a weight store; bandwidth is the bytes a second of one load at full speed.
func NewStore(loadsPerSecond float64, fullSpeed int, bandwidth config.Bytes) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), fullSpeed), fullSpeed: fullSpeed, bandwidth: float64(bandwidth)}
}

// Serve starts the store on a listener.
func (s *Store) Serve(ln net.Listener) {
	h := process.NewServer(ln, 1<<20)
	h.POST(pathLoad, s.load)
	h.GET(PathStats, func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, Stats{Host: "store", Loads: int(s.loads.Load())})
	})
	go func() { _ = h.Run() }()
}

func (s *Store) load(ctx context.Context, c *app.RequestContext) {
	size, err := strconv.ParseFloat(c.Query("bytes"), 64)
	if err != nil {
		c.String(consts.StatusBadRequest, "bytes must be a number\n")
		return
	}
	if err := s.limiter.Wait(ctx); err != nil {
		c.String(consts.StatusServiceUnavailable, err.Error())
		return
	}
	active := s.active.Add(1)
	defer s.active.Add(-1)
	s.loads.Add(1)
	slowdown := max(1, float64(active)/float64(s.fullSpeed))
	sleep(ctx, time.Duration(size/s.bandwidth*slowdown*float64(time.Second)))
	c.String(consts.StatusOK, "loaded\n")
}

// storeTimeout limits the time of one load.
const storeTimeout = 5 * time.Minute

// fetchWeights waits as long as the store takes to load weights of this size.
func fetchWeights(store string, bytes config.Bytes) {
	if store == "" {
		return
	}
	c, err := client.NewClient(client.WithClientReadTimeout(storeTimeout), client.WithDialer(standard.NewDialer()))
	if err != nil {
		return
	}
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI("http://" + store + pathLoad + "?bytes=" + strconv.FormatInt(int64(bytes), 10))
	_ = c.Do(context.Background(), request, response)
}

// Platform is an emulated host list of the platform; changes appear in it after a lag.
type Platform struct {
	lag     time.Duration
	mu      sync.Mutex
	version uint64
	hosts   []discovery.Host
}

// NewPlatform returns a host list whose changes appear after lag.
func NewPlatform(hosts []discovery.Host, lag time.Duration) *Platform {
	return &Platform{lag: lag, version: 1, hosts: hosts}
}

// SetHosts replaces the list without lag.
func (p *Platform) SetHosts(hosts []discovery.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.hosts = append([]discovery.Host(nil), hosts...)
}

// Serve starts the list on a listener.
func (p *Platform) Serve(ln net.Listener) {
	h := process.NewServer(ln, 1<<20)
	h.GET(discovery.PathHosts, p.list)
	h.POST(PathLeave, func(_ context.Context, c *app.RequestContext) { p.changeAfterLag(c, p.leave) })
	h.POST(PathRemove, func(_ context.Context, c *app.RequestContext) { p.changeAfterLag(c, p.remove) })
	go func() { _ = h.Run() }()
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if string(c.GetHeader(discovery.HeaderVersion)) == strconv.FormatUint(p.version, 10) {
		c.SetStatusCode(consts.StatusNotModified)
		return
	}
	c.JSON(consts.StatusOK, discovery.List{Version: p.version, Hosts: p.hosts})
}

func (p *Platform) changeAfterLag(c *app.RequestContext, change func(string)) {
	name := c.Query("host")
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.version++
		change(name)
	})
	c.String(consts.StatusOK, "ok\n")
}

func (p *Platform) leave(name string) {
	hosts := append([]discovery.Host(nil), p.hosts...)
	for i := range hosts {
		if hosts[i].Name == name {
			hosts[i].Leaving = true
		}
	}
	p.hosts = hosts
}

func (p *Platform) remove(name string) {
	var hosts []discovery.Host
	for _, host := range p.hosts {
		if host.Name != name {
			hosts = append(hosts, host)
		}
	}
	p.hosts = hosts
}

// PlainService is an emulated plain service that counts runs by request ID and by idempotency key.
type PlainService struct {
	host        string
	incarnation string
	work        time.Duration
	faultState  *faultState
	runCounts   runCounts
	keys        runCounts
	running     atomic.Int64
	seq         atomic.Uint64
}

// NewPlainService returns a plain service whose calls take the time work.
func NewPlainService(host string, work time.Duration) *PlainService {
	return &PlainService{host: host, incarnation: uuid.NewString(), work: work, faultState: newFaultState()}
}

// Serve starts the service on a listener.
func (p *PlainService) Serve(ln net.Listener) {
	h := process.NewServer(ln, 8<<20)
	h.GET(engine.PathReport, p.report)
	h.GET(PathStats, p.stats)
	h.POST(PathFault, p.faultState.handleSet)
	h.NoRoute(p.call)
	go func() { _ = h.Run() }()
}

func (p *PlainService) report(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, engine.Report{Host: p.host, Incarnation: p.incarnation, Seq: p.seq.Add(1), Leaving: p.faultState.current().Leaving, Running: int(p.running.Load()), Slots: plainSlots})
}

// plainSlots is the number of calls that a plain service reports as its capacity.
const plainSlots = 16

func (p *PlainService) stats(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, Stats{Host: p.host, Runs: p.runCounts.list(), Keys: p.keys.list(), Late: int(p.faultState.late.Load())})
}

// plainAnswer echoes the request, so that the load tool can check it.
type plainAnswer struct {
	Host    string `json:"host"`
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

func (p *PlainService) call(ctx context.Context, c *app.RequestContext) {
	faults := p.faultState.current()
	p.faultState.recordArrival()
	if faults.LoseOrders {
		_ = c.GetConn().Close()
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	id := string(c.GetHeader(engine.HeaderRequestID))
	p.runCounts.add(id)
	if key := string(c.GetHeader(service.HeaderKey)); key != "" {
		p.keys.add(key)
	}
	sleep(ctx, p.work)
	if faults.LoseAnswers {
		_ = c.GetConn().Close()
		return
	}
	c.Response.Header.Set(engine.HeaderLoad, engine.FormatLoad(int(p.running.Load()), 0))
	if faults.Leaving {
		c.Response.Header.Set(engine.HeaderLeaving, "true")
	}
	body, err := json.Marshal(plainAnswer{Host: p.host, Request: id, Method: string(c.Method()), Path: string(c.Path()), Echo: string(c.Request.Body())})
	if err != nil {
		c.String(consts.StatusInternalServerError, err.Error())
		return
	}
	c.SetStatusCode(consts.StatusOK)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}
