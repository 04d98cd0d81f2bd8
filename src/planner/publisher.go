package planner

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The publisher's times.
const (
	// loadInterval is the interval at which subscribers in the same zone get the loads of hosts.
	loadInterval = 2 * time.Second
	// subscriberTimeout is how long a subscriber counts as reachable after its last report.
	subscriberTimeout = 7 * time.Second
)

// Publisher streams the routes of a zone to gateways and receives their reports.
type Publisher struct {
	runner *Runner

	mu      sync.Mutex
	changed chan struct{}
	// appliedBy holds the sequence of the routes that each reachable subscriber applied last.
	appliedBy map[string]appliedSeq
}

// appliedSeq is the sequence of the routes that a subscriber applied, as of its last report.
type appliedSeq struct {
	epoch uint64
	seq   uint64
	at    time.Time
}

func newPublisher(r *Runner) *Publisher {
	return &Publisher{runner: r, changed: make(chan struct{}), appliedBy: map[string]appliedSeq{}}
}

// Register adds the planner's RPC methods to a mux.
func (r *Runner) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodWatchRoutes, rpc.Typed(r.publisher.watch))
	mux.Handle(wire.MethodDemand, rpc.Typed(r.publisher.demand))
	mux.Handle(wire.MethodDrain, rpc.Typed(r.drain))
	mux.Handle(wire.MethodPlan, rpc.Typed(r.plan))
}

// notifyChanged wakes all streams.
func (p *Publisher) notifyChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// changedChannel returns a channel that is closed by the next call of notifyChanged.
func (p *Publisher) changedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// appliedSeq returns the lowest sequence of an epoch that a reachable subscriber has applied, 0 if
// a reachable subscriber still uses the routes of another epoch.
func (p *Publisher) appliedSeq(epoch uint64, now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := ^uint64(0)
	for node, t := range p.appliedBy {
		if now.Sub(t.at) > subscriberTimeout {
			delete(p.appliedBy, node)
			continue
		}
		if t.epoch != epoch {
			return 0
		}
		oldest = min(oldest, t.seq)
	}
	return oldest
}

// demand handles the demand report of a gateway.
func (p *Publisher) demand(_ context.Context, _ *rpc.Peer, report wire.DemandReport) (wire.Empty, error) {
	p.mu.Lock()
	p.appliedBy[report.Node] = appliedSeq{epoch: report.Epoch, seq: report.AppliedSeq, at: p.runner.now()}
	p.mu.Unlock()
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	p.runner.zone.RecordDemand(report)
	return wire.Empty{}, nil
}

// watch handles a subscription to the routes.
func (p *Publisher) watch(_ context.Context, peer *rpc.Peer, request wire.RoutesRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	go p.stream(peer, request)
	return wire.Empty{}, nil
}

// stream sends changed routes to a subscriber. A subscriber in the same zone also gets the loads of
// the busiest hosts at intervals; others learn the loads from the responses that they relay.
func (p *Publisher) stream(peer *rpc.Peer, request wire.RoutesRequest) {
	var at position
	sameZone := request.Zone == p.runner.zoneName
	loadsSentAt := p.runner.now()
	first := true
	for {
		changed := p.changedChannel()
		now := p.runner.now()
		withLoads := sameZone && now.Sub(loadsSentAt) >= loadInterval
		p.runner.mu.Lock()
		update := p.runner.zone.routes.since(at, withLoads)
		p.runner.mu.Unlock()
		if first || update.Epoch != at.epoch || len(update.Hosts) > 0 || len(update.Loads) > 0 {
			if err := peer.Notify(wire.MethodRoutes, update); err != nil {
				return
			}
			first = false
			at = position{epoch: update.Epoch, seq: update.Seq}
		}
		if withLoads {
			loadsSentAt = now
		}
		select {
		case <-changed:
		case <-peer.Done():
			return
		}
	}
}

// drain handles a request to drain a host or to end its drain.
func (r *Runner) drain(_ context.Context, _ *rpc.Peer, request wire.DrainRequest) (wire.Empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone.Drain(request.Host, request.Undo)
	return wire.Empty{}, nil
}

// plan handles a request for the plan under a changed configuration.
func (r *Runner) plan(_ context.Context, _ *rpc.Peer, request wire.PlanRequest) (wire.PlanReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zone.Preview(request, r.now()), nil
}

// maxPreviewLoads is the number of loads allowed in a preview.
const maxPreviewLoads = 1 << 20

// Preview returns the first steps of the plan under a changed configuration.
func (z *Zone) Preview(request wire.PlanRequest, now time.Time) wire.PlanReply {
	present := z.set
	defer func() { z.set = present }()
	z.set = withChange(present, request)
	in := z.Input(now)
	in.MaxLoads = maxPreviewLoads
	out := place.Plan(in)
	reply := wire.PlanReply{Unplaced: out.Unplaced}
	for _, step := range out.Steps {
		reply.Steps = append(reply.Steps, wire.PlanStep{
			Action:      string(step.Action),
			Model:       step.Model,
			Host:        in.Accelerators[step.Accelerator].Host,
			Accelerator: in.Accelerators[step.Accelerator].Index,
			Reason:      step.Reason,
		})
	}
	return reply
}

// withChange returns the configuration after a change, including the assignments to availability
// zones that the control nodes would make.
func withChange(set *config.Set, request wire.PlanRequest) *config.Set {
	changed := set.WithChanges(request.Put, request.Delete)
	assign, unassign := place.Assign(changed)
	return changed.WithChanges(assign, unassign)
}
