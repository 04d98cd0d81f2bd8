package capacity

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Timing and repetitions of the measurements.
const (
	callTimeout       = 10 * time.Second
	rpcTimeout        = 10 * time.Second
	changesPerSize    = 30
	changeInterval    = 40 * time.Millisecond
	settleTime        = 1500 * time.Millisecond
	idleTime          = 8 * time.Second
	claimWorkers      = 64
	heartbeatsPerSize = 10
)

var (
	subscriberSizes = []int{10, 40, 160, 340}
	modelSizes      = []int{100, 400, 1300}
	claimSizes      = []int{1000, 8000, 30000}
	hostSizes       = []int{30, 65, 130}
	routeSizes      = []int{30, 200, 780}
	tokenSizes      = []int{16, 64, 256}
)

// Target holds the addresses of the processes to measure and of the stubs. The
// processes are given by their control addresses.
type Target struct {
	ControlNodes []string
	Planner      string
	Gateway      string
	// Clients is the address at which the gateway accepts client requests.
	Clients string
	// Platform is the address for the stub of the platform's host list.
	Platform string
	// Zone is the planner's and gateway's availability zone.
	Zone string
	// Prefix is the address prefix for stubs, such as "127.0.".
	Prefix string
	// StubPlanner is the address for the stub planner of another zone.
	StubPlanner string
	// Zones are all availability zones.
	Zones []string
}

// Meter takes the measurements. It is used by one goroutine.
type Meter struct {
	target       Target
	cost         *rpc.Meter
	controlNodes []*rpc.Client
	samples      []Sample
	stub         *stubPlanner
}

// NewMeter returns a meter of a target.
func NewMeter(target Target) *Meter {
	m := &Meter{target: target, cost: &rpc.Meter{}}
	for _, address := range target.ControlNodes {
		m.controlNodes = append(m.controlNodes, m.client(address, rpc.NewMux()))
	}
	return m
}

func (m *Meter) client(address string, mux *rpc.Mux) *rpc.Client {
	return rpc.NewClient(address, mux, m.cost, nil, rpcTimeout)
}

func (m *Meter) addSample(name string, size int, value float64) {
	m.samples = append(m.samples, Sample{Series: name, Size: float64(size), Value: value})
	fmt.Printf("%-50s %8d  %s\n", name, size, format(value))
}

// Run takes all measurements.
func (m *Meter) Run(ctx context.Context) ([]Sample, error) {
	for _, part := range []func(context.Context) error{m.measureSubscribers, m.measureModels, m.measurePlanner, m.measureIdleGateway, m.measureGatewayRequests, m.measureClaims} {
		if err := part(ctx); err != nil {
			return m.samples, err
		}
	}
	return m.samples, nil
}

func (m *Meter) status(ctx context.Context, address string) (wire.Status, error) {
	var status wire.Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := m.client(address, rpc.NewMux())
	defer c.Close()
	return status, errors.Wrap(c.Call(ctx, wire.MethodStatus, wire.Empty{}, &status), address)
}

// resourceUsage is the resource usage of all control nodes: the sums of processor
// time and bytes sent since their start, and the largest anonymous memory.
type resourceUsage struct {
	cpu       time.Duration
	out       int64
	anonymous config.Bytes
}

func (m *Meter) controlNodesUsage(ctx context.Context) (resourceUsage, error) {
	var sum resourceUsage
	for _, address := range m.target.ControlNodes {
		status, err := m.status(ctx, address)
		if err != nil {
			return sum, err
		}
		sum.cpu += status.Control.CPU.Std()
		sum.out += status.Control.BytesOut
		sum.anonymous = max(sum.anonymous, status.Control.Anonymous)
	}
	return sum, nil
}

// apply applies a configuration change and returns its revision.
func (m *Meter) apply(ctx context.Context, put []config.Object) (config.Revision, error) {
	var reply wire.ApplyReply
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	change := config.Change{ID: uuid.NewString(), Base: config.Revision{Term: 1 << 40}, By: "capacity", Put: put}
	err := m.controlNodes[0].Call(ctx, wire.MethodApply, wire.ApplyRequest{Change: change}, &reply)
	if err != nil {
		return reply.Revision, err
	}
	if reply.Outcome != wire.Accepted {
		return reply.Revision, errors.Errorf("a change was %s: %s %v", reply.Outcome, reply.Reason, reply.Findings)
	}
	return reply.Revision, nil
}

// subscriber is a stub process that subscribes to configuration updates.
type subscriber struct {
	client  *rpc.Client
	index   atomic.Uint64
	updated chan struct{}
}

func (m *Meter) subscribe(ctx context.Context, n int) (*subscriber, error) {
	s := &subscriber{updated: make(chan struct{}, 1)}
	mux := rpc.NewMux()
	mux.Handle(wire.MethodUpdate, rpc.Typed(func(_ context.Context, _ *rpc.Peer, update config.Update) (wire.Empty, error) {
		s.index.Store(update.To.Index)
		select {
		case s.updated <- struct{}{}:
		default:
		}
		return wire.Empty{}, nil
	}))
	s.client = m.client(m.target.ControlNodes[n%len(m.target.ControlNodes)], mux)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var update config.Update
	if err := s.client.Call(ctx, wire.MethodConfig, wire.ConfigRequest{}, &update); err != nil {
		return nil, err
	}
	s.index.Store(update.To.Index)
	return s, s.client.Call(ctx, wire.MethodWatchConfig, wire.ConfigRequest{From: update.To}, nil)
}

// waitFor waits until the subscriber has received a revision.
func (s *subscriber) waitFor(revision config.Revision) {
	for s.index.Load() < revision.Index {
		<-s.updated
	}
}

func labelObject(n int) []config.Object {
	return []config.Object{{Key: config.Key{Kind: config.KindLabel, Name: fmt.Sprint("capacity-", n%8)}, Label: &config.Label{PointsTo: "load-0"}}}
}

// measureSubscribers measures the cost of changes and heartbeats by the number of
// subscribed processes.
func (m *Meter) measureSubscribers(ctx context.Context) error {
	if _, err := m.apply(ctx, modelObjects(0, 1, m.target.Zones)); err != nil {
		return err
	}
	var all []*subscriber
	for _, size := range subscriberSizes {
		for len(all) < size {
			s, err := m.subscribe(ctx, len(all))
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		time.Sleep(settleTime)
		if err := m.measureChanges(ctx, size, all); err != nil {
			return err
		}
		if err := m.measureHeartbeats(ctx, size, all); err != nil {
			return err
		}
	}
	for _, s := range all {
		s.client.Close()
	}
	return nil
}

// usageDuring returns the resource usage of the control nodes while do runs. Their
// processor time when idle is subtracted.
func (m *Meter) usageDuring(ctx context.Context, do func() error) (resourceUsage, error) {
	idle, err := m.idleShare(ctx)
	if err != nil {
		return resourceUsage{}, err
	}
	before, err := m.controlNodesUsage(ctx)
	if err != nil {
		return resourceUsage{}, err
	}
	start := time.Now()
	if err := do(); err != nil {
		return resourceUsage{}, err
	}
	after, err := m.controlNodesUsage(ctx)
	after.cpu -= before.cpu + time.Duration(idle*float64(time.Since(start)))
	after.out -= before.out
	return after, err
}

func (m *Meter) measureChanges(ctx context.Context, size int, all []*subscriber) error {
	var times []time.Duration
	cost, err := m.usageDuring(ctx, func() error {
		for i := 0; i < changesPerSize; i++ {
			sent := time.Now()
			revision, err := m.apply(ctx, labelObject(i+size))
			if err != nil {
				return err
			}
			for _, s := range all {
				s.waitFor(revision)
			}
			times = append(times, time.Since(sent))
			time.Sleep(changeInterval)
		}
		return nil
	})
	if err != nil {
		return err
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	m.addSample("control: time in force, p99", size, ms(times[len(times)*99/100]))
	m.addSample("control: bytes out for one change", size, float64(cost.out)/changesPerSize)
	m.addSample("control: processor time for one change, all three", size, ms(cost.cpu)/changesPerSize)
	m.addSample("control: anonymous memory, largest of three", size, mib(cost.anonymous))
	return nil
}

// idleShare returns the processor share of all control nodes together when idle.
func (m *Meter) idleShare(ctx context.Context) (float64, error) {
	before, err := m.controlNodesUsage(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	after, err := m.controlNodesUsage(ctx)
	return (after.cpu - before.cpu).Seconds() / settleTime.Seconds(), err
}

func (m *Meter) measureHeartbeats(ctx context.Context, size int, all []*subscriber) error {
	cost, err := m.usageDuring(ctx, func() error {
		for n := 0; n < heartbeatsPerSize; n++ {
			sendHeartbeats(ctx, all)
		}
		return nil
	})
	m.addSample("control: processor time for 100 heartbeats", size, ms(cost.cpu)/float64(heartbeatsPerSize*size)*100)
	return err
}

// sendHeartbeats sends one heartbeat from every subscriber and waits for the replies.
func sendHeartbeats(ctx context.Context, all []*subscriber) {
	var wait sync.WaitGroup
	for i, s := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			heartbeat := wire.Heartbeat{Node: fmt.Sprint("stub-", i), Role: "stub", Zone: "z", Address: "127.0.0.1:1"}
			_ = s.client.Call(ctx, wire.MethodHeartbeat, heartbeat, nil)
		}()
	}
	wait.Wait()
}

// modelObjects returns a pool, the policy, and the models with numbers in [from, to),
// each with one adapter.
func modelObjects(from, to int, zones []string) []config.Object {
	pool := config.Pool{Accelerators: 8, Memory: 80 * config.GiB, ChecksOrders: true}
	for _, zone := range zones {
		pool.Zones = append(pool.Zones, config.PoolZone{Zone: zone, Replicas: 130})
	}
	objects := []config.Object{
		{Key: config.Key{Kind: config.KindPool, Name: "load-pool"}, Pool: &pool},
		{Key: config.Key{Kind: config.KindPolicy, Name: "default"}, Policy: &config.Policy{Weigh: config.WeighAttainment, Store: config.Store{LoadsPerSecond: 400, FullSpeed: 1000}}},
	}
	for i := from; i < to; i++ {
		name := fmt.Sprint("load-", i)
		objects = append(objects,
			config.Object{Key: config.Key{Kind: config.KindModel, Name: name}, Model: &config.Model{Memory: 12 * config.GiB, KVFloor: 2 * config.GiB, Version: "v1", Labels: map[string]string{"tier": "desk", "team": fmt.Sprint("t", i%40)}}},
			config.Object{Key: config.Key{Kind: config.KindAdapter, Name: name + "-a"}, Adapter: &config.Adapter{Model: name, Memory: 256 * config.MiB}})
	}
	return objects
}

// measureModels measures the memory and size of the configuration by the number of models.
func (m *Meter) measureModels(ctx context.Context) error {
	from := 1
	for _, size := range modelSizes {
		if _, err := m.apply(ctx, modelObjects(from, size, m.target.Zones)); err != nil {
			return err
		}
		from = size
		time.Sleep(settleTime)
		after, err := m.controlNodesUsage(ctx)
		if err != nil {
			return err
		}
		var counted countedUpdate
		if err := m.controlNodes[0].Call(ctx, wire.MethodConfig, wire.ConfigRequest{}, &counted); err != nil {
			return err
		}
		m.addSample("control: anonymous memory by configuration", size, mib(after.anonymous))
		m.addSample("control: full configuration", size, float64(counted.bytes)/1024)
	}
	return nil
}

// countedUpdate is an update of which only the encoded size is needed.
type countedUpdate struct{ bytes int }

// UnmarshalJSON implements json.Unmarshaler.
func (c *countedUpdate) UnmarshalJSON(data []byte) error {
	c.bytes = len(data)
	return nil
}

// measureClaims measures the memory of claims of idempotency keys by their number.
func (m *Meter) measureClaims(ctx context.Context) error {
	from := 0
	for _, size := range claimSizes {
		start := time.Now()
		if err := m.claimKeys(ctx, from, size); err != nil {
			return err
		}
		fmt.Printf("%-50s %8d  %s\n", "claims a second (not fitted)", size, format(float64(size-from)/time.Since(start).Seconds()))
		from = size
		time.Sleep(settleTime)
		after, err := m.controlNodesUsage(ctx)
		if err != nil {
			return err
		}
		m.addSample("control: anonymous memory by claims", size, mib(after.anonymous))
	}
	return nil
}

func (m *Meter) claimKeys(ctx context.Context, from, to int) error {
	next := make(chan int)
	failed := make(chan error, claimWorkers)
	var wait sync.WaitGroup
	for w := 0; w < claimWorkers; w++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range next {
				var reply wire.ClaimReply
				request := wire.ClaimRequest{Key: fmt.Sprint("capacity-key-", n), Token: fmt.Sprint(n), Holder: "capacity"}
				err := m.controlNodes[n%len(m.controlNodes)].Call(ctx, wire.MethodClaim, request, &reply)
				if err == nil && reply.State != wire.ClaimAcquired {
					err = errors.Errorf("a claim was %s %s", reply.Outcome, reply.State)
				}
				if err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}
		}()
	}
	for n := from; n < to; n++ {
		next <- n
	}
	close(next)
	wait.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func mib(b config.Bytes) float64 { return float64(b) / float64(config.MiB) }
