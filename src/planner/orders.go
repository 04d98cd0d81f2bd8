package planner

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/ledger"
	"github.com/moorspool/moorspool/src/member"
	"github.com/moorspool/moorspool/src/place"
)

// mayOrder reports whether the zone's authority allows orders to a host now. An engine that checks
// orders refuses those of a superseded epoch itself. An engine that does not check them gets orders
// only within the lease.
func (z *Zone) mayOrder(entry *hostEntry, now time.Time) bool {
	if z.epoch == 0 {
		return false
	}
	return z.checksOrders(entry) || now.Add(leaseMargin).Before(z.leaseEnd)
}

// MaySend reports whether an order may still be sent. It is called right before the order is
// written.
func (z *Zone) MaySend(hostOrder HostOrder, now time.Time) bool {
	entry := z.members[hostOrder.Host]
	return entry != nil && hostOrder.Order.Epoch == z.epoch && z.mayOrder(entry, now)
}

// plan plans the zone, starts the drains of the plan and returns its load orders.
func (z *Zone) plan(now time.Time) []HostOrder {
	in := z.Input(now)
	out := place.Plan(in)
	z.logUnplaced(out.Unplaced)
	z.replan = out.StoreLimited
	var orders []HostOrder
	for _, step := range out.Steps {
		host := in.Accelerators[step.Accelerator].Host
		index := in.Accelerators[step.Accelerator].Index
		switch step.Action {
		case place.ActionLoad:
			hostOrder, ok := z.loadModel(step, host, index, now)
			if !ok {
				z.replan = true
				continue
			}
			orders = append(orders, hostOrder)
		case place.ActionDrop:
			z.startDrain(step, host, index, now)
		}
	}
	z.drainRemoved(in, now)
	return orders
}

// logUnplaced adds an event for each model that has become unplaced.
func (z *Zone) logUnplaced(names []string) {
	before := z.unplaced
	z.unplaced = names
	for _, name := range names {
		if !slices.Contains(before, name) {
			z.ring.Add(event.Event{Kind: event.ModelUnplaced, Model: name, Zone: z.name, Reason: "no accelerator has room"})
		}
	}
}

// loadModel makes the order for a planned load.
func (z *Zone) loadModel(step place.Step, host string, accelerator int, now time.Time) (HostOrder, bool) {
	model := z.set.Model(step.Model)
	weights := engine.Weights{Model: step.Model, Version: model.Version}
	hostOrder, ok := z.order(engine.ActionLoad, weights, host, accelerator, model.Memory+model.KVFloor, now)
	if ok {
		z.loads++
		z.storeLimiter.AllowN(now, 1)
		z.ring.Add(event.Event{Kind: event.CopyPlanned, Model: step.Model, Host: host, Zone: z.name, Reason: step.Reason, Rejected: step.Rejected})
	}
	return hostOrder, ok
}

// order makes the next order for a host and reserves its memory in the ledger. It returns false if
// the host may not get orders now or has no free memory for the load.
func (z *Zone) order(action engine.Action, weights engine.Weights, host string, accelerator int, bytes config.Bytes, now time.Time) (HostOrder, bool) {
	entry, hostLedger := z.members[host], z.ledger.Host(host)
	if entry == nil || hostLedger == nil || !z.mayOrder(entry, now) {
		return HostOrder{}, false
	}
	if action == engine.ActionLoad && !hostLedger.Fenced(z.epoch, now) {
		return HostOrder{}, false
	}
	order := engine.Order{Epoch: z.epoch, Seq: z.orderSeq + 1, Action: action, Weights: weights, Accelerator: accelerator, Bytes: bytes}
	if !hostLedger.Reserve(order, now) {
		return HostOrder{}, false
	}
	z.orderSeq++
	return HostOrder{Host: host, Address: entry.listed.Address, Order: order}, true
}

// startDrain removes a copy from the routes, so that it can be unloaded.
func (z *Zone) startDrain(step place.Step, host string, accelerator int, now time.Time) {
	for _, held := range z.copiesAt(host, accelerator) {
		if held.key.model != step.Model || z.drains[held.key] != nil {
			continue
		}
		z.stateChanges++
		z.drains[held.key] = &drain{since: now, appliedSeq: z.routes.nextSeq()}
		z.ring.Add(event.Event{Kind: event.CopyDropped, Model: step.Model, Host: host, Zone: z.name, Reason: step.Reason, Rejected: step.Rejected})
	}
}

// drainRemoved drains copies of models that were removed from the configuration. Copies of a model
// that was only assigned to other availability zones are kept, because this zone cannot know
// whether the model is ready there.
func (z *Zone) drainRemoved(in place.Input, now time.Time) {
	for _, copied := range in.Copies {
		if copied.Leaving || z.set.Model(copied.Model) != nil || z.set.Len() == 0 {
			continue
		}
		accelerator := in.Accelerators[copied.Accelerator]
		step := place.Step{Model: copied.Model, Reason: "the configuration has it here no more"}
		z.startDrain(step, accelerator.Host, accelerator.Index, now)
	}
}

// unloadDrained orders the unload of drained copies that are in the routes of no reachable gateway
// any more.
func (z *Zone) unloadDrained(now time.Time, appliedSeq uint64) []HostOrder {
	var orders []HostOrder
	for _, key := range z.drainKeys() {
		d := z.drains[key]
		hostLedger := z.ledger.Host(key.host)
		weights := engine.Weights{Model: key.model, Version: key.version}
		if hostLedger == nil || (!resident(hostLedger.Report(), key) && !hostLedger.HasOrder(weights, key.accelerator)) {
			delete(z.drains, key)
			z.stateChanges++
			continue
		}
		if appliedSeq < d.appliedSeq && now.Sub(d.since) < drainTimeout {
			continue
		}
		if hostLedger.HasOrder(weights, key.accelerator) {
			continue
		}
		if hostOrder, ok := z.order(engine.ActionUnload, weights, key.host, key.accelerator, 0, now); ok {
			z.unloads++
			orders = append(orders, hostOrder)
		}
	}
	return orders
}

// drainKeys returns the keys of the drained copies in a fixed order.
func (z *Zone) drainKeys() []copyKey {
	keys := make([]copyKey, 0, len(z.drains))
	for key := range z.drains {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	return keys
}

// resident reports whether a report lists a copy.
func resident(report engine.Report, key copyKey) bool {
	for _, copied := range report.Copies {
		if copied.Accelerator == key.accelerator && copied.Weights.Model == key.model && copied.Weights.Version == key.version && copied.State != engine.CopyFailed {
			return true
		}
	}
	return false
}

// adapterOrders orders the loads of the adapters that ready copies lack, and the unloads of
// adapters that were removed from the configuration.
func (z *Zone) adapterOrders(now time.Time) []HostOrder {
	var orders []HostOrder
	budget := z.allowedLoads(now)
	for _, accelerator := range z.accelerators() {
		for _, held := range z.copiesAt(accelerator.Host, accelerator.Index) {
			if !held.hasModel {
				orders = append(orders, z.unloadOrphans(held, now)...)
				continue
			}
			if !held.ready || z.drains[held.key] != nil {
				continue
			}
			orders = append(orders, z.loadAdapters(held, &budget, now)...)
			orders = append(orders, z.unloadAdapters(held, now)...)
		}
	}
	return orders
}

// unloadOrphans unloads adapters without a resident model, which were loaded after their model had
// been unloaded.
func (z *Zone) unloadOrphans(held heldCopy, now time.Time) []HostOrder {
	var orders []HostOrder
	for _, name := range held.adapterNames() {
		if held.adapters[name] == engine.CopyReady {
			orders = append(orders, z.unloadAdapter(held, name, now)...)
		}
	}
	return orders
}

// loadAdapters orders the adapters that a copy lacks, up to a number of loads.
func (z *Zone) loadAdapters(held heldCopy, budget *int, now time.Time) []HostOrder {
	var orders []HostOrder
	for _, name := range z.set.AdapterNames(held.key.model) {
		if _, found := held.adapters[name]; found {
			continue
		}
		if *budget <= 0 {
			z.replan = true
			continue
		}
		weights := engine.Weights{Model: held.key.model, Adapter: name, Version: held.key.version}
		hostOrder, ok := z.order(engine.ActionLoad, weights, held.key.host, held.key.accelerator, z.set.Adapter(name).Memory, now)
		if !ok {
			z.replan = true
			continue
		}
		*budget--
		z.loads++
		z.storeLimiter.AllowN(now, 1)
		orders = append(orders, hostOrder)
	}
	return orders
}

// unloadAdapter orders the unload of an adapter, unless there is an unsettled order for it.
func (z *Zone) unloadAdapters(held heldCopy, now time.Time) []HostOrder {
	var orders []HostOrder
	for _, name := range held.adapterNames() {
		state := held.adapters[name]
		known := z.set.Adapter(name)
		if state != engine.CopyReady || (known != nil && known.Model == held.key.model) || z.set.Model(held.key.model) == nil {
			continue
		}
		orders = append(orders, z.unloadAdapter(held, name, now)...)
	}
	return orders
}

func (z *Zone) unloadAdapter(held heldCopy, name string, now time.Time) []HostOrder {
	weights := engine.Weights{Model: held.key.model, Adapter: name, Version: held.key.version}
	if z.ledger.Host(held.key.host).HasOrder(weights, held.key.accelerator) {
		return nil
	}
	hostOrder, ok := z.order(engine.ActionUnload, weights, held.key.host, held.key.accelerator, 0, now)
	if !ok {
		z.replan = true
		return nil
	}
	z.unloads++
	return []HostOrder{hostOrder}
}

// fenceOrders returns fences for hosts that have not been fenced in this epoch and for those with
// unsettled orders. Once an engine has executed a fence, it executes none of the earlier orders any
// more.
func (z *Zone) fenceOrders(now time.Time) []HostOrder {
	var orders []HostOrder
	for _, name := range z.hostNames() {
		entry, hostLedger := z.members[name], z.ledger.Host(name)
		if hostLedger == nil || entry.state == member.Suspect || !z.needsFence(entry, hostLedger, now) {
			continue
		}
		z.fencedAt[name] = now
		if hostOrder, ok := z.order(engine.ActionFence, engine.Weights{}, name, 0, 0, now); ok {
			orders = append(orders, hostOrder)
		}
	}
	return orders
}

// needsFence reports whether a host needs a fence and has not been sent one recently.
func (z *Zone) needsFence(entry *hostEntry, hostLedger *ledger.Host, now time.Time) bool {
	if now.Sub(z.fencedAt[entry.listed.Name]) < fenceDelay || hostLedger.Accelerators() == 0 {
		return false
	}
	unfenced := z.checksOrders(entry) && !hostLedger.Fenced(z.epoch, now)
	return unfenced || hostLedger.NeedsFence(now, fenceDelay)
}

// OrderAnswered records the answer to an order.
func (z *Zone) OrderAnswered(hostOrder HostOrder, reply engine.OrderReply) {
	kind := event.OrderSent
	hostLedger := z.ledger.Host(hostOrder.Host)
	if hostLedger == nil {
		return
	}
	switch reply.Outcome {
	case engine.OrderNoMemory, engine.OrderInvalid:
		kind = event.OrderRefused
		hostLedger.Discard(hostOrder.Order)
	case engine.OrderStale:
		// A duplicate of an executed order is stale too, so only a report can settle the order.
		kind = event.OrderRefused
		hostLedger.MarkInDoubt(hostOrder.Order)
	}
	z.ring.Add(event.Event{Kind: kind, Model: hostOrder.Order.Weights.Model, Host: hostOrder.Host, Zone: z.name, Reason: describe(hostOrder.Order) + " " + string(reply.Outcome) + " " + reply.Reason})
}

// OrderUnanswered records that no answer to an order arrived.
func (z *Zone) OrderUnanswered(hostOrder HostOrder) {
	if hostLedger := z.ledger.Host(hostOrder.Host); hostLedger != nil {
		hostLedger.MarkInDoubt(hostOrder.Order)
	}
}

// OrderNotSent records that an order was certainly not written to the engine, so that its memory is not
// reserved any longer.
func (z *Zone) OrderNotSent(hostOrder HostOrder) {
	if hostLedger := z.ledger.Host(hostOrder.Host); hostLedger != nil {
		hostLedger.Discard(hostOrder.Order)
	}
}

// describe returns an order as text.
func describe(order engine.Order) string {
	return fmt.Sprintf("%s %s%s/%d epoch %d seq %d", order.Action, order.Weights.Adapter, order.Weights.Version, order.Accelerator, order.Epoch, order.Seq)
}
