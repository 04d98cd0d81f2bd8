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

// mayCommand reports whether the zone's authority covers a host now. An engine
// that checks refuses what a newer epoch has overtaken by itself; one that
// doesn't is commanded only inside the lease.
func (z *Zone) mayCommand(entry *hostEntry, now time.Time) bool {
	if z.epoch == 0 {
		return false
	}
	return z.checks(entry) || now.Add(leaseMargin).Before(z.leaseEnd)
}

// MayStillSend is asked again just before an order is written.
func (z *Zone) MayStillSend(send SendTo, now time.Time) bool {
	entry := z.members[send.Host]
	return entry != nil && send.Order.Epoch == z.epoch && z.mayCommand(entry, now)
}

func (z *Zone) plan(now time.Time) []SendTo {
	in := z.Input(now)
	out := place.Plan(in)
	z.noteUnplaced(out.Unplaced)
	z.waits = out.StoreLimited
	var orders []SendTo
	for _, step := range out.Steps {
		host := in.Accelerators[step.Accelerator].Host
		index := in.Accelerators[step.Accelerator].Index
		switch step.Action {
		case place.ActionLoad:
			send, ok := z.loadModel(step, host, index, now)
			if !ok {
				z.waits = true
				continue
			}
			orders = append(orders, send)
		case place.ActionDrop:
			z.startDrain(step, host, index, now)
		}
	}
	z.dropUnknown(in, now)
	return orders
}

func (z *Zone) noteUnplaced(names []string) {
	known := z.unplaced
	z.unplaced = names
	for _, name := range names {
		if !slices.Contains(known, name) {
			z.ring.Add(event.Event{Kind: event.ModelUnplaced, Model: name, Zone: z.name, Reason: "no accelerator has room"})
		}
	}
}

func (z *Zone) loadModel(step place.Step, host string, accelerator int, now time.Time) (SendTo, bool) {
	model := z.set.Model(step.Model)
	weights := engine.Weights{Model: step.Model, Version: model.Version}
	send, ok := z.order(engine.ActionLoad, weights, host, accelerator, model.Memory+model.KVFloor, now)
	if ok {
		z.loads++
		z.store.AllowN(now, 1)
		z.ring.Add(event.Event{Kind: event.CopyPlanned, Model: step.Model, Host: host, Zone: z.name, Reason: step.Reason, Rejected: step.Rejected})
	}
	return send, ok
}

// order makes the next order for a host and counts it in the ledger; it reports
// false if the host may not be commanded now or the ledger has no room.
func (z *Zone) order(action engine.Action, weights engine.Weights, host string, accelerator int, bytes config.Bytes, now time.Time) (SendTo, bool) {
	entry, account := z.members[host], z.ledger.Host(host)
	if entry == nil || account == nil || !z.mayCommand(entry, now) {
		return SendTo{}, false
	}
	if action == engine.ActionLoad && !account.Fenced(z.epoch, now) {
		return SendTo{}, false
	}
	order := engine.Order{Epoch: z.epoch, Seq: z.seq + 1, Action: action, Weights: weights, Accelerator: accelerator, Bytes: bytes}
	if !account.Reserve(order, now) {
		return SendTo{}, false
	}
	z.seq++
	return SendTo{Host: host, Address: entry.listed.Address, Order: order}, true
}

func (z *Zone) startDrain(step place.Step, host string, accelerator int, now time.Time) {
	for _, held := range z.copiesAt(host, accelerator) {
		if held.key.model != step.Model || z.drains[held.key] != nil {
			continue
		}
		z.memberChanges++
		z.drains[held.key] = &drain{since: now, taken: z.routes.nextSeq()}
		z.ring.Add(event.Event{Kind: event.CopyDropped, Model: step.Model, Host: host, Zone: z.name, Reason: step.Reason, Rejected: step.Rejected})
	}
}

// dropUnknown drains copies of models that the configuration has no more. A
// model that only moved to other availability zones stays: this zone can't know
// that it is ready there.
func (z *Zone) dropUnknown(in place.Input, now time.Time) {
	for _, copied := range in.Copies {
		if copied.Leaving || z.set.Model(copied.Model) != nil || z.set.Len() == 0 {
			continue
		}
		accelerator := in.Accelerators[copied.Accelerator]
		step := place.Step{Model: copied.Model, Reason: "the configuration has it here no more"}
		z.startDrain(step, accelerator.Host, accelerator.Index, now)
	}
}

// unloadDrained orders the unload of copies whose routes are gone everywhere in reach.
func (z *Zone) unloadDrained(now time.Time, taken uint64) []SendTo {
	var orders []SendTo
	for _, key := range z.drainKeys() {
		d := z.drains[key]
		account := z.ledger.Host(key.host)
		weights := engine.Weights{Model: key.model, Version: key.version}
		if account == nil || (!resident(account.Report(), key) && !account.Ordered(weights, key.accelerator)) {
			delete(z.drains, key)
			z.memberChanges++
			continue
		}
		if taken < d.taken && now.Sub(d.since) < drainPatience {
			continue
		}
		if account.Ordered(weights, key.accelerator) {
			continue
		}
		if send, ok := z.order(engine.ActionUnload, weights, key.host, key.accelerator, 0, now); ok {
			z.unloads++
			orders = append(orders, send)
		}
	}
	return orders
}

func (z *Zone) drainKeys() []copyKey {
	keys := make([]copyKey, 0, len(z.drains))
	for key := range z.drains {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	return keys
}

func resident(report engine.Report, key copyKey) bool {
	for _, copied := range report.Copies {
		if copied.Accelerator == key.accelerator && copied.Weights.Model == key.model && copied.Weights.Version == key.version && copied.State != engine.CopyFailed {
			return true
		}
	}
	return false
}

// adapters orders the adapters that ready copies lack and unloads those that
// the configuration has no more.
func (z *Zone) adapters(now time.Time) []SendTo {
	var orders []SendTo
	budget := z.loadsNow(now)
	for _, accelerator := range z.accelerators() {
		for _, held := range z.copiesAt(accelerator.Host, accelerator.Index) {
			if !held.based {
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

// unloadOrphans unloads adapters whose model is not there: their load arrived
// after the model had gone.
func (z *Zone) unloadOrphans(held heldCopy, now time.Time) []SendTo {
	var orders []SendTo
	for _, name := range held.adapterNames() {
		if held.adapters[name] == engine.CopyReady {
			orders = append(orders, z.unloadAdapter(held, name, now)...)
		}
	}
	return orders
}

func (z *Zone) loadAdapters(held heldCopy, budget *int, now time.Time) []SendTo {
	var orders []SendTo
	for _, name := range z.set.AdapterNames(held.key.model) {
		if _, found := held.adapters[name]; found {
			continue
		}
		if *budget <= 0 {
			z.waits = true
			continue
		}
		weights := engine.Weights{Model: held.key.model, Adapter: name, Version: held.key.version}
		send, ok := z.order(engine.ActionLoad, weights, held.key.host, held.key.accelerator, z.set.Adapter(name).Memory, now)
		if !ok {
			z.waits = true
			continue
		}
		*budget--
		z.loads++
		z.store.AllowN(now, 1)
		orders = append(orders, send)
	}
	return orders
}

func (z *Zone) unloadAdapters(held heldCopy, now time.Time) []SendTo {
	var orders []SendTo
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

func (z *Zone) unloadAdapter(held heldCopy, name string, now time.Time) []SendTo {
	weights := engine.Weights{Model: held.key.model, Adapter: name, Version: held.key.version}
	if z.ledger.Host(held.key.host).Ordered(weights, held.key.accelerator) {
		return nil
	}
	send, ok := z.order(engine.ActionUnload, weights, held.key.host, held.key.accelerator, 0, now)
	if !ok {
		z.waits = true
		return nil
	}
	z.unloads++
	return []SendTo{send}
}

// fences sends a fence to hosts that this epoch has not fenced yet, and to
// those with orders that stay unsettled: once the engine has taken it, none of
// the earlier orders can run any more.
func (z *Zone) fences(now time.Time) []SendTo {
	var orders []SendTo
	for _, name := range z.hostNames() {
		entry, account := z.members[name], z.ledger.Host(name)
		if account == nil || entry.state == member.Suspect || !z.needsFence(entry, account, now) {
			continue
		}
		z.fencedAt[name] = now
		if send, ok := z.order(engine.ActionFence, engine.Weights{}, name, 0, 0, now); ok {
			orders = append(orders, send)
		}
	}
	return orders
}

func (z *Zone) needsFence(entry *hostEntry, account *ledger.Host, now time.Time) bool {
	if now.Sub(z.fencedAt[entry.listed.Name]) < fencePatience || account.Accelerators() == 0 {
		return false
	}
	unfenced := z.checks(entry) && !account.Fenced(z.epoch, now)
	return unfenced || account.NeedsFence(now, fencePatience)
}

// Answer takes in what an engine said of an order.
func (z *Zone) Answer(send SendTo, reply engine.OrderReply) {
	kind := event.OrderSent
	account := z.ledger.Host(send.Host)
	if account == nil {
		return
	}
	switch reply.Outcome {
	case engine.OrderNoMemory, engine.OrderInvalid:
		kind = event.OrderRefused
		account.Refused(send.Order)
	case engine.OrderStale:
		// An order that arrived twice is stale the second time: only a report can tell.
		kind = event.OrderRefused
		account.Doubt(send.Order)
	}
	z.ring.Add(event.Event{Kind: kind, Model: send.Order.Weights.Model, Host: send.Host, Zone: z.name, Reason: describe(send.Order) + " " + string(reply.Outcome) + " " + reply.Reason})
}

// NoAnswer takes in that an order got no answer.
func (z *Zone) NoAnswer(send SendTo) {
	if account := z.ledger.Host(send.Host); account != nil {
		account.Doubt(send.Order)
	}
}

// NotSent takes in that an order was certainly never written.
func (z *Zone) NotSent(send SendTo) {
	if account := z.ledger.Host(send.Host); account != nil {
		account.Refused(send.Order)
	}
}

func describe(order engine.Order) string {
	return fmt.Sprintf("%s %s%s/%d epoch %d seq %d", order.Action, order.Weights.Adapter, order.Weights.Version, order.Accelerator, order.Epoch, order.Seq)
}
