package placer

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/rebalance"
)

// pendingLoadTimeout is how long a load may wait for its room to become free.
const pendingLoadTimeout = 12 * time.Second

// planModels orders the next loads and unloads of models of a service; the lock is held.
func (p *Placer) planModels(ctx context.Context, now time.Time, s *catalog.Service, replicas []*replicaState) {
	p.plannedAt[s.Name] = now
	b := p.buckets[s.Name]
	if b == nil {
		b = newTokenBucket(s.Engine.LoadsPerSecond)
		p.buckets[s.Name] = b
	}
	b.refill(now, s.Engine.LoadsPerSecond)
	p.updateUnderCapacity(now, s, replicas)
	p.startPendingLoads(ctx, now, s, replicas, b)
	plan := rebalance.Plan(p.planInput(now, s, replicas, b))
	for _, move := range plan.Moves {
		p.startMove(ctx, now, s, replicas[move.Server], move, b)
	}
	p.logUnplaced(s.Name, plan.Unplaced)
}

// logUnplaced adds an event for each model of a service for which no replica has room any more.
func (p *Placer) logUnplaced(service string, models []string) {
	for key := range p.unplaced {
		if key.service == service && !slices.Contains(models, key.model) {
			delete(p.unplaced, key)
		}
	}
	for _, model := range models {
		key := modelKey{service, model}
		if !p.unplaced[key] {
			p.unplaced[key] = true
			p.options.Ring.Add(event.Event{Kind: event.ModelUnplaced, Model: model, Reason: "no replica has room for it"})
		}
	}
}

// planInput returns the input of the next plan.
func (p *Placer) planInput(now time.Time, s *catalog.Service, replicas []*replicaState, b *tokenBucket) rebalance.Input {
	in := rebalance.Input{MaxStoreLoads: b.available() - pendingStoreLoads(replicas)}
	modelWork := p.modelWork(now, s)
	if !p.demand.hasUsage(s.Name) {
		modelWork = priorWork(s.Engine, replicas)
	}
	modelWork = forecast(modelWork)
	waited := p.modelsWaitedFor(now, s.Name)
	zones := zonesOf(replicas)
	for i, model := range s.Engine.Models {
		in.Models = append(in.Models, rebalance.Model{
			RequestsWaited: waited[model.Name],
			IdleFor:        p.demand.idleFor(now, modelKey{s.Name, model.Name}),
			Name:           model.Name,
			Footprint:      model.WeightsMB,
			Work:           modelWork[i],
			NoCopyFor:      p.noCopyFor(now, modelKey{s.Name, model.Name}, replicas),
		})
		if s.Engine.SmallBatch() {
			in.Models[i].ZoneShares = p.demand.zoneShares(now, modelKey{s.Name, model.Name}, zones)
		}
	}
	for _, r := range replicas {
		server := p.planServer(s.Engine, r)
		if s.Engine.SmallBatch() && p.options.Speed != nil {
			server.Speed = p.options.Speed(r.record.ID)
		}
		in.Servers = append(in.Servers, server)
	}
	return in
}

// zonesOf returns the availability zones of the usable replicas.
func zonesOf(replicas []*replicaState) []string {
	var zones []string
	for _, r := range replicas {
		if r.usable && !slices.Contains(zones, r.record.Zone) {
			zones = append(zones, r.record.Zone)
		}
	}
	return zones
}

// modelsWaitedFor returns the models for which requests recently found no copy.
func (p *Placer) modelsWaitedFor(now time.Time, service string) map[string]bool {
	models := map[string]bool{}
	for _, key := range p.demand.recentlyMissing(now, missingWindow) {
		if key.service == service {
			models[key.model] = true
		}
	}
	return models
}

// noCopyFor returns how long a model has had no copy on a usable replica. Copies that are being
// loaded, or that room is being made for, count as copies.
func (p *Placer) noCopyFor(now time.Time, model modelKey, replicas []*replicaState) time.Duration {
	for _, r := range replicas {
		if !r.countsAsPlace() {
			continue
		}
		if c := r.copies[model.model]; r.pendingLoad == model.model || c != nil && (c.phase == ready || c.phase == loading) {
			delete(p.noCopySince, model)
			return 0
		}
	}
	since, known := p.noCopySince[model]
	if !known {
		p.noCopySince[model] = now
		return 0
	}
	return now.Sub(since)
}

// planServer describes a replica to the plan.
func (p *Placer) planServer(e *catalog.Engine, r *replicaState) rebalance.Server {
	server := rebalance.Server{
		ID:     r.record.ID,
		Zone:   r.record.Zone,
		Usable: r.countsAsPlace(),
		Open:   p.mayOrder(r) && r.pendingLoad == "" && !r.modelOrderRunning() && !r.runsUnknownOrder,
		Free:   r.freeMB(e),
	}
	for _, name := range sortedModels(r) {
		server.Copies = append(server.Copies, rebalance.Copy{Model: name, Phase: planPhase(r.copies[name].phase)})
	}
	if r.pendingLoad != "" && r.copies[r.pendingLoad] == nil {
		server.Copies = append(server.Copies, rebalance.Copy{Model: r.pendingLoad, Phase: rebalance.Pending})
	}
	server.LoadTime = func(model string) (time.Duration, bool) { return loadTime(e, r, model) }
	return server
}

// planPhase returns the phase of a copy in a plan.
func planPhase(at phase) rebalance.Phase {
	switch at {
	case ready:
		return rebalance.Ready
	case loading:
		return rebalance.Pending
	}
	return rebalance.Unloading
}

// loadTime returns how long a replica takes to load a model, and whether it loads it from the
// weight store.
func loadTime(e *catalog.Engine, r *replicaState, name string) (time.Duration, bool) {
	model := e.Model(name)
	switch {
	case model == nil:
		return 0, true
	case slices.Contains(r.record.InMemory, name):
		return model.Warm, false
	case slices.Contains(r.record.OnDisk, name):
		return model.Disk, false
	}
	return model.Load, true
}

// pendingStoreLoads counts the loads from the weight store that room is being made for.
func pendingStoreLoads(replicas []*replicaState) int {
	count := 0
	for _, r := range replicas {
		if r.usable && r.pendingLoad != "" && !cached(r, r.pendingLoad) {
			count++
		}
	}
	return count
}

// startPendingLoads orders the loads whose room has become free. It gives up those on replicas that
// are no longer usable and those that waited too long.
func (p *Placer) startPendingLoads(ctx context.Context, now time.Time, s *catalog.Service, replicas []*replicaState, b *tokenBucket) {
	for _, r := range replicas {
		if r.pendingLoad == "" {
			continue
		}
		model := s.Engine.Model(r.pendingLoad)
		if model == nil || !r.usable || r.copies[r.pendingLoad] != nil || now.Sub(r.pendingLoadSince) > pendingLoadTimeout {
			r.pendingLoad = ""
			continue
		}
		if p.mayOrder(r) && !r.modelOrderRunning() && !r.runsUnknownOrder && r.freeMB(s.Engine) >= model.WeightsMB {
			p.orderLoad(ctx, now, r, r.pendingLoad, b)
		}
	}
}

// orderLoad orders the load of a model, unless the weights have to come from the weight store and
// the store's rate limit allows no load now.
func (p *Placer) orderLoad(ctx context.Context, now time.Time, r *replicaState, model string, b *tokenBucket) {
	if !cached(r, model) {
		if b.available() < 1 {
			return
		}
		b.take()
	}
	r.pendingLoad = ""
	p.sendOrder(ctx, now, r, Order{Operation: Load, Model: model})
}

// freeMB is the memory left for another model, without what is reserved for free adapter slots.
func (r *replicaState) freeMB(e *catalog.Engine) float64 {
	return e.WeightsMB - r.usedMB(e) - reservedAdapterMB(e, r)
}

// startMove starts a move: it drains the copies that make room, or orders the load at once if none
// have to.
func (p *Placer) startMove(ctx context.Context, now time.Time, s *catalog.Service, r *replicaState, move rebalance.Move, b *tokenBucket) {
	p.options.Ring.Add(event.Event{Kind: event.CopyPlanned, Model: move.Model, Host: r.record.ID, Reason: move.Reason, Rejected: strings.Join(move.Drop, " ")})
	r.pendingLoad, r.pendingLoadSince = move.Model, now
	for _, name := range move.Drop {
		c := r.copies[name]
		c.phase, c.since = draining, now
		p.options.Ring.Add(event.Event{Kind: event.CopyDropped, Model: name, Host: r.record.ID, Reason: fmt.Sprintf("room for %s; work %.2f of a replica", move.Model, p.demand.workOf(now, s.Name, name))})
	}
	if len(move.Drop) == 0 {
		p.orderLoad(ctx, now, r, move.Model, b)
	}
}

// cached reports whether a replica can load a model without the weight store.
func cached(r *replicaState, model string) bool {
	return slices.Contains(r.record.InMemory, model) || slices.Contains(r.record.OnDisk, model)
}

func sortedModels(r *replicaState) []string {
	names := make([]string, 0, len(r.copies))
	for name := range r.copies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
