package placer

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// sendOrder sends an order to a replica in the background. The ledger counts the order as begun
// before it is sent. The lock is held.
func (p *Placer) sendOrder(ctx context.Context, now time.Time, r *replicaState, order Order) {
	order.Replica, order.Name = r.record.ID, r.record.ReplicaName()
	order.Address = r.record.Address
	order.Holder = p.options.Holder
	order.Token = p.fencingToken
	order.Expected = r.orderCount
	r.recordSent(now, order)
	r.callInFlight = true
	p.options.Go(func() {
		result, availability := p.transmit(ctx, order)
		p.mu.Lock()
		defer p.mu.Unlock()
		r.callInFlight = false
		r.updateAvailability(p.options.Now(), availability)
		p.recordResult(r, order, result)
		p.wake.Raise()
	})
}

// transmit sends an order if this node still leads.
func (p *Placer) transmit(ctx context.Context, order Order) (Result, Availability) {
	if !p.leadsFor(order) {
		return Refused, Availability{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.options.Calls.Order(withSendCheck(ctx, func() bool { return p.leadsFor(order) }), order)
}

// leadsFor reports whether this node still leads in the term of an order.
func (p *Placer) leadsFor(order Order) bool {
	lead := p.options.Leading()
	return lead.Self && lead.Token == order.Token
}

// recordSent updates the ledger with what an order may change.
func (r *replicaState) recordSent(now time.Time, order Order) {
	c := r.copies[order.Model]
	switch {
	case order.Adapter == "" && order.Operation == Load:
		r.copies[order.Model] = &copyState{phase: loading, since: now, adapters: map[string]*adapterState{}}
	case order.Adapter == "":
		c.phase, c.since = unloading, now
	case order.Operation == Load:
		c.adapters[order.Adapter] = &adapterState{phase: loading, since: now, usedAt: now}
	default:
		c.adapters[order.Adapter].phase = unloading
		c.adapters[order.Adapter].since = now
	}
}

// recordResult updates the ledger with the result of an order; the lock is held.
func (p *Placer) recordResult(r *replicaState, order Order, result Result) {
	now := p.options.Now()
	p.logOrder(order, result)
	switch result {
	case Accepted:
		r.orderCount++
		r.recordTaken(now, order, p.adapterLoadTime(order))
	case AlreadyDone:
		r.recordAlready(now, order)
	case Fenced:
		p.fenced = true
		r.outcomeUnknown = true
	case Refused, Misdirected, Invalid, NoAnswer:
		// The next order requires a new report.
		r.outcomeUnknown = true
		r.reportRequestedAt = now
	}
}

// adapterLoadTime estimates the load time of the adapter in an order.
func (p *Placer) adapterLoadTime(order Order) time.Duration {
	table := p.options.Table()
	if table == nil {
		return adapterLoadDefault
	}
	for _, r := range p.replicas {
		if r.record.ID != order.Replica {
			continue
		}
		service := table.Service(r.record.Service)
		if service == nil || service.Engine == nil {
			return adapterLoadDefault
		}
		if model := service.Engine.Model(order.Model); model != nil {
			return adapterLoadBase + time.Duration(model.AdapterMB*float64(adapterLoadPerMB))
		}
	}
	return adapterLoadDefault
}

// recordTaken records an order that the replica accepted.
func (r *replicaState) recordTaken(now time.Time, order Order, loadTime time.Duration) {
	if order.Adapter == "" {
		return
	}
	c := r.copies[order.Model]
	if c == nil {
		return
	}
	if order.Operation == Unload {
		delete(c.adapters, order.Adapter)
		return
	}
	if a := c.adapters[order.Adapter]; a != nil {
		a.readyAt = now.Add(loadTime)
	}
}

// recordAlready records an order whose goal had been reached before.
func (r *replicaState) recordAlready(now time.Time, order Order) {
	c := r.copies[order.Model]
	switch {
	case c == nil:
	case order.Operation == Unload && order.Adapter == "":
		delete(r.copies, order.Model)
	case order.Operation == Unload:
		delete(c.adapters, order.Adapter)
		r.orderCount++
	case order.Adapter == "":
		c.phase, c.since = ready, now
	default:
		if a := c.adapters[order.Adapter]; a != nil {
			a.phase, a.since = ready, now
		}
	}
}

// logOrder adds an event for the result of an order.
func (p *Placer) logOrder(order Order, result Result) {
	kind := event.OrderSent
	switch result {
	case NoAnswer:
		kind = event.OrderInDoubt
	case Refused, Fenced, Misdirected, Invalid:
		kind = event.OrderRefused
	}
	name := order.Model
	if order.Adapter != "" {
		name += "/" + order.Adapter
	}
	p.options.Ring.Add(event.Event{Kind: kind, Host: order.Replica, Model: name, Reason: fmt.Sprintf("%s: %s, token %d, expected count %d", order.Operation, result, order.Token, order.Expected)})
}

// publish sends gateways the copies that differ from what the replicas last reported, if they have
// changed; the lock is held.
func (p *Placer) publish(now time.Time) {
	holdings := &wire.Holdings{Term: p.fencingToken}
	for _, id := range sortedIDs(p.replicas) {
		r := p.replicas[id]
		if r.usable {
			holdings.Copies = append(holdings.Copies, r.holdings()...)
		}
	}
	coming := p.coming(now)
	for _, c := range coming {
		holdings.Coming = append(holdings.Coming, wire.Coming{Service: c.service, Model: c.model, InMS: c.readyIn.Milliseconds()})
	}
	names := comingKeys(coming)
	if p.holdingsVersion > 0 && slices.Equal(holdings.Copies, p.publishedCopies) && slices.Equal(names, p.publishedComing) {
		return
	}
	p.publishedCopies = holdings.Copies
	p.publishedComing = names
	p.holdingsVersion++
	holdings.Version = p.holdingsVersion
	p.options.Publish(holdings)
}

// holdings returns the copies for which the ledger is newer than the replica's last registration.
func (r *replicaState) holdings() []wire.Holding {
	var copies []wire.Holding
	for _, held := range r.record.Models {
		c := r.copies[held.Name]
		if c == nil || c.phase != ready {
			copies = append(copies, wire.Holding{Replica: r.record.ID, Model: held.Name, Leaving: true})
			continue
		}
		for _, name := range held.Adapters {
			if a := c.adapters[name]; a == nil || a.phase != ready {
				copies = append(copies, wire.Holding{Replica: r.record.ID, Model: held.Name, Adapter: name, Leaving: true})
			}
		}
	}
	for name, c := range r.copies {
		if c.phase != ready {
			continue
		}
		for adapter, a := range c.adapters {
			if a.phase == ready && !r.record.Holds(name, adapter) {
				copies = append(copies, wire.Holding{Replica: r.record.ID, Model: name, Adapter: adapter})
			}
		}
	}
	sort.Slice(copies, func(i, j int) bool { return holdingLess(copies[i], copies[j]) })
	return copies
}

// holdingLess orders holdings of one replica by model and adapter.
func holdingLess(a, b wire.Holding) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return strings.Compare(a.Adapter, b.Adapter) < 0
}

func sortedIDs(replicas map[string]*replicaState) []string {
	ids := make([]string, 0, len(replicas))
	for id := range replicas {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
