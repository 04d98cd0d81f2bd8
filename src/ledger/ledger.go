package ledger

import (
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
)

// Ledger is the account of one planner's hosts; it is not safe for concurrent use.
type Ledger struct {
	hosts map[string]*Host
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{hosts: map[string]*Host{}} }

// Host returns the account of a host, nil if nothing was reported of it yet.
func (l *Ledger) Host(name string) *Host { return l.hosts[name] }

// Forget drops a host that left the platform's list.
func (l *Ledger) Forget(name string) { delete(l.hosts, name) }

// Observe takes in a host's report; a report older than the last one is ignored.
func (l *Ledger) Observe(report engine.Report, checks bool, now time.Time) {
	host := l.hosts[report.Host]
	if host == nil {
		host = &Host{name: report.Host, orders: map[orderKey]*pending{}}
		l.hosts[report.Host] = host
	}
	host.observe(report, checks, now)
}

// InDoubt returns the number of orders whose fate is not known.
func (l *Ledger) InDoubt() int {
	count := 0
	for _, host := range l.hosts {
		for _, order := range host.orders {
			if order.doubt {
				count++
			}
		}
	}
	return count
}

// orderKey names an order over all epochs.
type orderKey struct {
	epoch uint64
	seq   uint64
}

// pending is an order that no report has settled yet.
type pending struct {
	order  engine.Order
	sentAt time.Time
	doubt  bool
}

// Host is the account of one backend server.
type Host struct {
	name   string
	report engine.Report
	checks bool
	seenAt time.Time
	// since is when the present incarnation was first seen.
	since  time.Time
	orders map[orderKey]*pending
	// changes counts what may alter the copies on the host.
	changes uint64
	known   bool
}

// UncheckedDelay is how long an order to an engine that does not check may
// still arrive after it was sent; until then its memory stays counted.
const UncheckedDelay = 10 * time.Second

func (h *Host) observe(report engine.Report, checks bool, now time.Time) {
	sameRun := h.known && report.Incarnation == h.report.Incarnation
	if sameRun && report.Seq <= h.report.Seq {
		return
	}
	if !sameRun {
		h.since = now
	}
	if !sameRun || report.Epoch != h.report.Epoch || report.Slots != h.report.Slots || !slices.Equal(report.Copies, h.report.Copies) {
		h.changes++
	}
	h.report = report
	h.checks = checks
	h.seenAt = now
	h.known = true
	for key, order := range h.orders {
		if h.settled(order, now) {
			delete(h.orders, key)
			h.changes++
		}
	}
}

// Changes returns a number that grows whenever the copies on the host, resident
// or ordered, may have changed.
func (h *Host) Changes() uint64 { return h.changes }

// settled reports whether the present report proves what became of an order.
func (h *Host) settled(p *pending, now time.Time) bool {
	if h.checks {
		return past(h.report.Epoch, h.report.LastOrder, p.order)
	}
	// Without a check nothing forbids a late arrival but time; what shows in the
	// report counts there anyway.
	if now.Sub(p.sentAt) < UncheckedDelay {
		return !p.doubt && past(h.report.Epoch, h.report.LastOrder, p.order)
	}
	return true
}

func past(epoch, seq uint64, order engine.Order) bool {
	return epoch > order.Epoch || (epoch == order.Epoch && seq >= order.Seq)
}

// Report returns the newest report.
func (h *Host) Report() engine.Report { return h.report }

// SeenAt returns when the newest report came.
func (h *Host) SeenAt() time.Time { return h.seenAt }

// Accelerators returns the number of accelerators.
func (h *Host) Accelerators() int { return len(h.report.Capacity) }

// Capacity returns an accelerator's memory.
func (h *Host) Capacity(accelerator int) config.Bytes { return h.report.Capacity[accelerator] }

// Free returns the memory of an accelerator that nothing may take any more: its
// capacity less all that is resident, being loaded or unloaded, and every load
// ordered whose fate no report has settled. It may be negative after a restart.
func (h *Host) Free(accelerator int) config.Bytes {
	free := h.report.Capacity[accelerator]
	for _, copied := range h.report.Copies {
		if copied.Accelerator == accelerator && copied.State != engine.CopyFailed {
			free -= copied.Bytes
		}
	}
	for _, order := range h.orders {
		if order.order.Accelerator == accelerator && order.order.Action == engine.ActionLoad && !h.resident(order.order) {
			free -= order.order.Bytes
		}
	}
	return free
}

// resident reports whether an ordered load shows in the report, where it is counted already.
func (h *Host) resident(order engine.Order) bool {
	for _, copied := range h.report.Copies {
		if copied.Accelerator == order.Accelerator && copied.Weights == order.Weights && copied.State != engine.CopyFailed {
			return true
		}
	}
	return false
}

// Reserve counts an order before it is sent. It returns false, and counts
// nothing, if a load does not fit beside all that is counted.
func (h *Host) Reserve(order engine.Order, now time.Time) bool {
	if order.Accelerator < 0 || order.Accelerator >= len(h.report.Capacity) {
		return false
	}
	if order.Action == engine.ActionLoad && order.Bytes > h.Free(order.Accelerator) {
		return false
	}
	h.orders[orderKey{order.Epoch, order.Seq}] = &pending{order: order, sentAt: now}
	h.changes++
	return true
}

// Refused drops an order that the engine said it did not take.
func (h *Host) Refused(order engine.Order) {
	delete(h.orders, orderKey{order.Epoch, order.Seq})
	h.changes++
}

// Doubt marks an order that got no answer: it may have run, or may still.
func (h *Host) Doubt(order engine.Order) {
	if p := h.orders[orderKey{order.Epoch, order.Seq}]; p != nil {
		p.doubt = true
	}
}

// NeedsFence reports whether an order has been unsettled for so long that a
// fence should be sent to find out.
func (h *Host) NeedsFence(now time.Time, patience time.Duration) bool {
	for _, order := range h.orders {
		if order.order.Action != engine.ActionFence && now.Sub(order.sentAt) > patience {
			return true
		}
	}
	return false
}

// Ordered reports whether an order about the weights on an accelerator is not settled.
func (h *Host) Ordered(weights engine.Weights, accelerator int) bool {
	for _, order := range h.orders {
		if order.order.Weights == weights && order.order.Accelerator == accelerator && order.order.Action != engine.ActionFence {
			return true
		}
	}
	return false
}

// Loading returns the number of loads ordered or under way.
func (h *Host) Loading() int {
	count := 0
	for _, copied := range h.report.Copies {
		if copied.State == engine.CopyLoading {
			count++
		}
	}
	for _, order := range h.orders {
		if order.order.Action == engine.ActionLoad && !h.resident(order.order) {
			count++
		}
	}
	return count
}

// Fenced reports whether no order from before this epoch, or from before the
// engine's last restart, can run on the host any more. Only then may memory
// that the report shows as free be counted on: an order that an earlier planner
// sent, or one that arrives a second time, may be under way still.
func (h *Host) Fenced(epoch uint64, now time.Time) bool {
	if h.checks {
		return h.report.Epoch == epoch
	}
	return now.Sub(h.since) >= UncheckedDelay
}

// Pending returns the unsettled loads, for a planner that must not order them again.
func (h *Host) Pending() []engine.Order {
	var orders []engine.Order
	for _, order := range h.orders {
		if order.order.Action != engine.ActionFence {
			orders = append(orders, order.order)
		}
	}
	return orders
}
