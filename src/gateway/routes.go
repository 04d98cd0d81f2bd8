package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Timing of route subscriptions and reports.
const (
	routesIdleTimeout = 2 * time.Second
	reportInterval    = time.Second
	// unchangedReportInterval is how often a gateway reports to a planner when
	// there is neither demand nor a new position.
	unchangedReportInterval = 3 * time.Second
	resubscribeDelay        = 500 * time.Millisecond
	callTimeout             = 2 * time.Second
)

// Routes maintains the routing table from the updates of every zone's planner
// and reports demand to the planners. It is safe for concurrent use.
type Routes struct {
	node     string
	zone     string
	follower *follow.Follower
	meter    *rpc.Meter
	cut      *fault.Cut
	now      func() time.Time
	onChange func()
	table    atomic.Pointer[route.Table]

	mu    sync.Mutex
	hosts map[string]*route.Host
	// known holds the routes of each zone by host, position the last update of each zone.
	known    map[string]map[string]wire.HostRoute
	position map[string]position
	// planners, breakers and lastReports are by zone.
	planners map[string]*rpc.Client
	breakers map[string]*route.Breaker
	// demand is what was counted for each model since the last report.
	demand      map[string]*wire.ModelDemand
	lastReports map[string]sentReport
}

// sentReport is the last report that was sent to a planner.
type sentReport struct {
	position position
	sentAt   time.Time
}

// position is the epoch and sequence number of the last update of a zone's
// routes that was applied.
type position struct {
	epoch uint64
	seq   uint64
}

// before reports whether a position is older than another one.
func (p position) before(other position) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.seq < other.seq
}

func positionOf(update wire.RoutesUpdate) position {
	return position{epoch: update.Epoch, seq: update.Seq}
}

// NewRoutes returns the routes of a gateway in a zone. It calls onChange after
// each change of the routing table.
func NewRoutes(node, zone string, follower *follow.Follower, meter *rpc.Meter, cut *fault.Cut, now func() time.Time, onChange func()) *Routes {
	r := &Routes{
		node:        node,
		zone:        zone,
		follower:    follower,
		meter:       meter,
		cut:         cut,
		now:         now,
		onChange:    onChange,
		hosts:       map[string]*route.Host{},
		known:       map[string]map[string]wire.HostRoute{},
		position:    map[string]position{},
		planners:    map[string]*rpc.Client{},
		breakers:    map[string]*route.Breaker{},
		demand:      map[string]*wire.ModelDemand{},
		lastReports: map[string]sentReport{},
	}
	r.table.Store(route.NewTable(zone, nil, nil))
	return r
}

// Table returns the current routing table.
func (r *Routes) Table() *route.Table { return r.table.Load() }

// Register registers the RPC method by which other gateways fetch the routes.
func (r *Routes) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodPeerRoutes, rpc.Typed(r.handlePeerRoutes))
}

func (r *Routes) handlePeerRoutes(context.Context, *rpc.Peer, wire.Empty) (wire.RoutesReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reply wire.RoutesReply
	for zone, hosts := range r.known {
		update := wire.RoutesUpdate{Zone: zone, Epoch: r.position[zone].epoch, Seq: r.position[zone].seq, Full: true}
		for _, host := range hosts {
			update.Hosts = append(update.Hosts, host)
		}
		reply.Zones = append(reply.Zones, update)
	}
	return reply, nil
}

// apply applies an update of a zone's routes from its planner. A newly started
// planner sends a full update.
func (r *Routes) apply(update wire.RoutesUpdate) {
	r.applyIf(update, func(at position, _ bool) bool { return !positionOf(update).before(at) })
}

// applyIf applies an update if it may follow the position at which the zone's
// routes are; known is false if there are none yet. The check and the update are
// one step: an update that another one overtakes in between would replace newer
// routes.
func (r *Routes) applyIf(update wire.RoutesUpdate, mayFollow func(at position, known bool) bool) {
	r.mu.Lock()
	_, known := r.known[update.Zone]
	if !mayFollow(r.position[update.Zone], known) {
		r.mu.Unlock()
		return
	}
	if r.known[update.Zone] == nil || update.Full {
		r.known[update.Zone] = map[string]wire.HostRoute{}
	}
	r.position[update.Zone] = positionOf(update)
	for _, host := range update.Hosts {
		r.known[update.Zone][host.Host] = host
		r.updateHost(host)
	}
	for _, load := range update.Loads {
		if host := r.hosts[load.Host]; host != nil {
			host.RecordLoad(load.Running, load.Waiting, r.now())
		}
	}
	tableChanged := len(update.Hosts) > 0 || update.Full
	if tableChanged {
		r.rebuild()
	}
	r.mu.Unlock()
	if tableChanged {
		r.onChange()
	}
}

// updateHost creates the state of a host or updates it. A host keeps its counters
// when its routes change; one whose address changed is treated as a new host.
func (r *Routes) updateHost(hostRoute wire.HostRoute) {
	host := r.hosts[hostRoute.Host]
	if host == nil || host.Address() != hostRoute.Address {
		r.hosts[hostRoute.Host] = route.NewHost(hostRoute, r.breaker(hostRoute.Zone))
		return
	}
	host.SetState(hostRoute.State)
}

// breaker returns the circuit breaker that the hosts of another zone share, nil
// for the gateway's own zone.
func (r *Routes) breaker(zone string) *route.Breaker {
	if zone == r.zone {
		return nil
	}
	if r.breakers[zone] == nil {
		r.breakers[zone] = &route.Breaker{}
	}
	return r.breakers[zone]
}

func (r *Routes) rebuild() {
	var all []wire.HostRoute
	for _, hosts := range r.known {
		for _, host := range hosts {
			all = append(all, host)
		}
	}
	r.table.Store(route.NewTable(r.zone, all, r.hosts))
}

// Run subscribes to the planners' routes and reports demand until the context ends.
func (r *Routes) Run(ctx context.Context) {
	go r.reportDemand(ctx)
	for ctx.Err() == nil {
		changed := r.follower.Changed()
		r.followPlanners(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// followPlanners starts a subscription for each zone that has a new planner and
// closes the client of the planner that it replaces.
func (r *Routes) followPlanners(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, object := range r.follower.Set().OfKind(config.KindAuthority) {
		zone, address := object.Key.Name, object.Authority.Address
		if old := r.planners[zone]; old != nil && old.Address() == address {
			continue
		} else if old != nil {
			old.Close()
		}
		mux := rpc.NewMux()
		mux.Handle(wire.MethodRoutes, rpc.Typed(r.update))
		client := rpc.NewClient(address, mux, r.meter, r.cut, routesIdleTimeout)
		r.planners[zone] = client
		go r.subscribe(ctx, zone, client)
	}
}

func (r *Routes) update(_ context.Context, _ *rpc.Peer, update wire.RoutesUpdate) (wire.Empty, error) {
	r.apply(update)
	return wire.Empty{}, nil
}

// subscribe keeps the subscription to a zone's routes open until the zone has
// another planner.
func (r *Routes) subscribe(ctx context.Context, zone string, client *rpc.Client) {
	for ctx.Err() == nil && r.isCurrent(zone, client) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := client.Call(callCtx, wire.MethodWatchRoutes, wire.RoutesRequest{Node: r.node, Zone: r.zone}, nil)
		cancel()
		if err == nil {
			select {
			case <-client.Done():
			case <-ctx.Done():
			}
		}
		select {
		case <-time.After(resubscribeDelay):
		case <-ctx.Done():
		}
	}
}

func (r *Routes) isCurrent(zone string, client *rpc.Client) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planners[zone] == client
}

// FetchFromPeers fetches the routes from other gateways of the zone, so that a
// gateway can start while a planner can't be reached.
func (r *Routes) FetchFromPeers(ctx context.Context) {
	r.fetchFrom(ctx, r.follower.Peers())
}

// fetchFrom fetches the routes from the first peer that knows any.
func (r *Routes) fetchFrom(ctx context.Context, peers []*rpc.Client) {
	for _, peer := range peers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var reply wire.RoutesReply
		err := peer.Call(callCtx, wire.MethodPeerRoutes, wire.Empty{}, &reply)
		cancel()
		if err != nil || len(reply.Zones) == 0 {
			continue
		}
		for _, update := range reply.Zones {
			r.applyFromPeer(update)
		}
		return
	}
}

// applyFromPeer applies the routes of a zone of which none are known yet.
func (r *Routes) applyFromPeer(update wire.RoutesUpdate) {
	r.applyIf(update, func(_ position, known bool) bool { return !known })
}

// Served counts a finished request for the demand report; busy is the time that it
// spent on the backend server that completed it.
func (r *Routes) Served(model string, busy time.Duration) {
	r.count(model, func(d *wire.ModelDemand) {
		d.Requests++
		d.Busy += busy.Milliseconds()
	})
}

// Unserved counts a request whose model had no ready copy.
func (r *Routes) Unserved(model string) {
	r.count(model, func(d *wire.ModelDemand) { d.Unserved++ })
}

func (r *Routes) count(model string, add func(*wire.ModelDemand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.demand[model]
	if d == nil {
		d = &wire.ModelDemand{Model: model}
		r.demand[model] = d
	}
	add(d)
}

func (r *Routes) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.sendReports(ctx)
	}
}

// sendReports reports to each planner the position of its routes at this gateway
// and the demand for the models that it serves. Counts for a planner that can't
// be reached are dropped; they would be outdated by the time it can be.
func (r *Routes) sendReports(ctx context.Context) {
	r.mu.Lock()
	demand := r.demand
	r.demand = map[string]*wire.ModelDemand{}
	clients := map[string]*rpc.Client{}
	for zone, client := range r.planners {
		clients[zone] = client
	}
	r.mu.Unlock()
	for zone, client := range clients {
		report := r.report(zone)
		for _, model := range demand {
			if r.servingZone(model.Model) == zone {
				report.Models = append(report.Models, *model)
			}
		}
		if len(report.Models) == 0 && !r.reportDue(zone, report, r.now()) {
			continue
		}
		r.recordReport(zone, report, r.now())
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = client.Notify(callCtx, wire.MethodDemand, report)
		}()
	}
}

// servingZone returns the zone whose copies of a model serve this gateway: its
// own zone if the model is assigned to it, otherwise the first one assigned.
func (r *Routes) servingZone(model string) string {
	zones := r.follower.Set().AssignedZones(model)
	for _, zone := range zones {
		if zone == r.zone {
			return zone
		}
	}
	if len(zones) == 0 {
		return ""
	}
	return zones[0]
}

func (r *Routes) report(zone string) wire.DemandReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.position[zone]
	return wire.DemandReport{Node: r.node, AppliedSeq: at.seq, Epoch: at.epoch}
}

// reportDue reports whether a report without demand is due. A new position is
// reported at once, an unchanged one every unchangedReportInterval, so that the
// planner knows that this gateway is alive.
func (r *Routes) reportDue(zone string, report wire.DemandReport, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastReports[zone]
	if last.position == (position{epoch: report.Epoch, seq: report.AppliedSeq}) && now.Sub(last.sentAt) < unchangedReportInterval {
		return false
	}
	return true
}

func (r *Routes) recordReport(zone string, report wire.DemandReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReports[zone] = sentReport{position: position{epoch: report.Epoch, seq: report.AppliedSeq}, sentAt: now}
}

// KnownZones returns the number of zones whose routes are known.
func (r *Routes) KnownZones() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.known)
}
