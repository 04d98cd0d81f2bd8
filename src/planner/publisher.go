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
	// loadsEvery is how often subscribers in the own zone get every host's load.
	loadsEvery = 2 * time.Second
	// reachFor is how long a subscriber counts as in reach after its last report.
	reachFor = 7 * time.Second
)

// Publisher streams a zone's routes to gateways and takes their reports.
type Publisher struct {
	runner *Runner

	mu      sync.Mutex
	changed chan struct{}
	// takenBy holds the newest routes sequence of each subscriber in reach.
	takenBy map[string]taken
}

type taken struct {
	epoch uint64
	seq   uint64
	at    time.Time
}

func newPublisher(r *Runner) *Publisher {
	return &Publisher{runner: r, changed: make(chan struct{}), takenBy: map[string]taken{}}
}

// Register adds the planner's methods to a mux.
func (r *Runner) Register(mux *rpc.Mux) {
	mux.Handle(wire.MethodWatchRoutes, rpc.Typed(r.publisher.watch))
	mux.Handle(wire.MethodDemand, rpc.Typed(r.publisher.demand))
	mux.Handle(wire.MethodDrain, rpc.Typed(r.drain))
	mux.Handle(wire.MethodPlan, rpc.Typed(r.plan))
}

func (p *Publisher) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Publisher) waitChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// taken returns the oldest sequence of an epoch that a subscriber in reach acts
// on, 0 if one of them still acts on an earlier epoch's routes.
func (p *Publisher) taken(epoch uint64, now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := ^uint64(0)
	for node, t := range p.takenBy {
		if now.Sub(t.at) > reachFor {
			delete(p.takenBy, node)
			continue
		}
		if t.epoch != epoch {
			return 0
		}
		oldest = min(oldest, t.seq)
	}
	return oldest
}

func (p *Publisher) demand(_ context.Context, _ *rpc.Peer, report wire.DemandReport) (wire.Empty, error) {
	p.mu.Lock()
	p.takenBy[report.Node] = taken{epoch: report.Epoch, seq: report.Taken, at: p.runner.now()}
	p.mu.Unlock()
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	p.runner.zone.Demand(report)
	return wire.Empty{}, nil
}

func (p *Publisher) watch(_ context.Context, peer *rpc.Peer, request wire.RoutesRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	go p.stream(peer, request)
	return wire.Empty{}, nil
}

// stream sends a subscriber changed routes as they come, and to those in the
// own zone the loads of the fullest hosts once in a while: of the others they
// learn from the answers that they relay.
func (p *Publisher) stream(peer *rpc.Peer, request wire.RoutesRequest) {
	var at position
	near := request.Zone == p.runner.zoneName
	loadsAt := p.runner.now()
	first := true
	for {
		changed := p.waitChannel()
		now := p.runner.now()
		withLoads := near && now.Sub(loadsAt) >= loadsEvery
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
			loadsAt = now
		}
		select {
		case <-changed:
		case <-peer.Done():
			return
		}
	}
}

func (r *Runner) drain(_ context.Context, _ *rpc.Peer, request wire.DrainRequest) (wire.Empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone.Drain(request.Host, request.Undo)
	return wire.Empty{}, nil
}

// plan answers what the planner would do if other objects were in force.
func (r *Runner) plan(_ context.Context, _ *rpc.Peer, request wire.PlanRequest) (wire.PlanReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zone.Preview(request, r.now()), nil
}

// maxPreviewLoads is the loads that a preview assumes to be allowed.
const maxPreviewLoads = 1 << 20

// Preview returns the steps that a changed configuration would lead to first.
func (z *Zone) Preview(request wire.PlanRequest, now time.Time) wire.PlanReply {
	present := z.set
	defer func() { z.set = present }()
	z.set = withChange(present, request)
	in := z.Input(now)
	in.Loads = maxPreviewLoads
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

// withChange returns the set as it would be after a change, with the
// availability zones that the control nodes would assign.
func withChange(set *config.Set, request wire.PlanRequest) *config.Set {
	changed := set.With(request.Put, request.Delete)
	assign, unassign := place.Assign(changed)
	return changed.With(assign, unassign)
}
