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

// send orders something; the ledger counts it as begun before it goes out. The
// lock is held.
func (p *Placer) send(ctx context.Context, now time.Time, u *unit, order Order) {
	order.Replica, order.Name = u.record.ID, u.record.ReplicaName()
	order.Address = u.record.Address
	order.Holder = p.options.Holder
	order.Token = p.token
	order.Expected = u.sequence
	u.begin(now, order)
	u.sending = true
	p.options.Go(func() {
		result, word := p.transmit(ctx, order)
		p.mu.Lock()
		defer p.mu.Unlock()
		u.sending = false
		u.hear(p.options.Now(), word)
		p.settleOrder(u, order, result)
		p.wake.Raise()
	})
}

// transmit sends an order if this node still leads at that moment.
func (p *Placer) transmit(ctx context.Context, order Order) (Result, Word) {
	if lead := p.options.Leading(); !lead.Self || lead.Token != order.Token {
		return Refused, Word{}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.options.Calls.Order(ctx, order)
}

// begin notes in the ledger what an order may bring about.
func (u *unit) begin(now time.Time, order Order) {
	c := u.copies[order.Model]
	switch {
	case order.Adapter == "" && order.Operation == Load:
		u.copies[order.Model] = &copyState{phase: loading, since: now, adapters: map[string]*adapterState{}}
	case order.Adapter == "":
		c.phase, c.since = unloading, now
	case order.Operation == Load:
		c.adapters[order.Adapter] = &adapterState{phase: loading, since: now, usedAt: now}
	default:
		c.adapters[order.Adapter].phase = unloading
		c.adapters[order.Adapter].since = now
	}
}

// settleOrder notes what became of an order; the lock is held.
func (p *Placer) settleOrder(u *unit, order Order, result Result) {
	now := p.options.Now()
	p.noteOrder(order, result)
	switch result {
	case Taken:
		u.sequence++
		u.taken(now, order, p.adapterTime(order))
	case Already:
		u.already(now, order)
	case Fenced:
		p.fenced = true
		u.doubt = true
	case Refused, Elsewhere, Invalid, Lost:
		// What the replica holds now is asked before anything else is ordered.
		u.doubt = true
		u.askedAt = now
	}
}

func (p *Placer) adapterTime(order Order) time.Duration {
	table := p.options.Table()
	if table == nil {
		return adapterLong
	}
	for _, u := range p.units {
		if u.record.ID != order.Replica {
			continue
		}
		service := table.Service(u.record.Service)
		if service == nil || service.Engine == nil {
			return adapterLong
		}
		if model := service.Engine.Model(order.Model); model != nil {
			return adapterShort + time.Duration(model.AdapterMB*float64(adapterPerMB))
		}
	}
	return adapterLong
}

// taken notes an order that the replica carries out.
func (u *unit) taken(now time.Time, order Order, adapterTime time.Duration) {
	if order.Adapter == "" {
		return
	}
	c := u.copies[order.Model]
	if c == nil {
		return
	}
	if order.Operation == Unload {
		delete(c.adapters, order.Adapter)
		return
	}
	if a := c.adapters[order.Adapter]; a != nil {
		a.readyAt = now.Add(adapterTime)
	}
}

// already notes an order whose aim was reached before.
func (u *unit) already(now time.Time, order Order) {
	c := u.copies[order.Model]
	switch {
	case c == nil:
	case order.Operation == Unload && order.Adapter == "":
		delete(u.copies, order.Model)
	case order.Operation == Unload:
		delete(c.adapters, order.Adapter)
		u.sequence++
	case order.Adapter == "":
		c.phase, c.since = ready, now
	default:
		if a := c.adapters[order.Adapter]; a != nil {
			a.phase, a.since = ready, now
		}
	}
}

func (p *Placer) noteOrder(order Order, result Result) {
	kind := event.OrderSent
	switch result {
	case Lost:
		kind = event.OrderInDoubt
	case Refused, Fenced, Elsewhere, Invalid:
		kind = event.OrderRefused
	}
	name := order.Model
	if order.Adapter != "" {
		name += "/" + order.Adapter
	}
	p.options.Ring.Add(event.Event{Kind: kind, Host: order.Replica, Model: name, Reason: fmt.Sprintf("%s: %s, token %d, expected count %d", order.Operation, result, order.Token, order.Expected)})
}

// publish tells the gateways what the replicas have not said yet; the lock is held.
func (p *Placer) publish(now time.Time) {
	holdings := &wire.Holdings{Term: p.token}
	for _, id := range sortedIDs(p.units) {
		u := p.units[id]
		if u.usable {
			holdings.Copies = append(holdings.Copies, u.holdings()...)
		}
	}
	coming := p.coming(now)
	for _, c := range coming {
		holdings.Coming = append(holdings.Coming, wire.Coming{Service: c.service, Model: c.model, InMS: c.in.Milliseconds()})
	}
	names := comingModels(coming)
	if p.version > 0 && slices.Equal(holdings.Copies, p.told) && slices.Equal(names, p.toldComing) {
		return
	}
	p.told = holdings.Copies
	p.toldComing = names
	p.version++
	holdings.Version = p.version
	p.options.Publish(holdings)
}

// holdings returns where the ledger knows more than the replica's last word.
func (u *unit) holdings() []wire.Holding {
	var copies []wire.Holding
	for _, held := range u.record.Models {
		c := u.copies[held.Name]
		if c == nil || c.phase != ready {
			copies = append(copies, wire.Holding{Replica: u.record.ID, Model: held.Name, Leaving: true})
			continue
		}
		for _, name := range held.Adapters {
			if a := c.adapters[name]; a == nil || a.phase != ready {
				copies = append(copies, wire.Holding{Replica: u.record.ID, Model: held.Name, Adapter: name, Leaving: true})
			}
		}
	}
	for name, c := range u.copies {
		if c.phase != ready {
			continue
		}
		for adapter, a := range c.adapters {
			if a.phase == ready && !u.record.Holds(name, adapter) {
				copies = append(copies, wire.Holding{Replica: u.record.ID, Model: name, Adapter: adapter})
			}
		}
	}
	sort.Slice(copies, func(i, j int) bool { return less(copies[i], copies[j]) })
	return copies
}

func less(a, b wire.Holding) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return strings.Compare(a.Adapter, b.Adapter) < 0
}

func sortedIDs(units map[string]*unit) []string {
	ids := make([]string, 0, len(units))
	for id := range units {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
