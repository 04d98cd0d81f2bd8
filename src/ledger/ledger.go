package ledger

import (
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
)

// Ledger tracks the memory of a planner's hosts. It is not safe for concurrent use.
type Ledger struct {
	hosts map[string]*Host
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{hosts: map[string]*Host{}} }

// Host returns the ledger of a host, nil if no report of it has arrived.
func (l *Ledger) Host(name string) *Host { return l.hosts[name] }

// Forget removes a host.
func (l *Ledger) Forget(name string) { delete(l.hosts, name) }

// Observe applies the report of a host, unless it is older than the last one. checksOrders says
// whether the engine refuses orders of an older epoch.
func (l *Ledger) Observe(report engine.Report, checksOrders bool, now time.Time) {
	host := l.hosts[report.Host]
	if host == nil {
		host = &Host{name: report.Host, orders: map[orderKey]*pendingOrder{}}
		l.hosts[report.Host] = host
	}
	host.observe(report, checksOrders, now)
}

// InDoubt returns the number of orders without an answer whose outcome is not known.
func (l *Ledger) InDoubt() int {
	count := 0
	for _, host := range l.hosts {
		for _, order := range host.orders {
			if order.inDoubt {
				count++
			}
		}
	}
	return count
}

// orderKey identifies an order across epochs.
type orderKey struct {
	epoch uint64
	seq   uint64
}

// pendingOrder is an order that no report has settled yet.
type pendingOrder struct {
	order   engine.Order
	sentAt  time.Time
	inDoubt bool
}

// Host is the ledger of one backend server.
type Host struct {
	name         string
	report       engine.Report
	checksOrders bool
	reportedAt   time.Time
	// incarnationSince is when the current incarnation was first seen.
	incarnationSince time.Time
	orders           map[orderKey]*pendingOrder
	// changes counts events that may change the copies on the host.
	changes  uint64
	reported bool
}

// UncheckedDelay is how long after it was sent an order may still arrive at an engine that does not
// check orders. The memory of the order remains reserved until then.
const UncheckedDelay = 10 * time.Second

// observe applies a report, unless it is older than the last one of the same incarnation.
func (h *Host) observe(report engine.Report, checksOrders bool, now time.Time) {
	sameIncarnation := h.reported && report.Incarnation == h.report.Incarnation
	if sameIncarnation && report.Seq <= h.report.Seq {
		return
	}
	if !sameIncarnation {
		h.incarnationSince = now
	}
	if !sameIncarnation || report.Epoch != h.report.Epoch || report.Slots != h.report.Slots || !slices.Equal(report.Copies, h.report.Copies) {
		h.changes++
	}
	h.report = report
	h.checksOrders = checksOrders
	h.reportedAt = now
	h.reported = true
	for key, order := range h.orders {
		if h.settled(order, now) {
			delete(h.orders, key)
			h.changes++
		}
	}
}

// Changes returns a number that grows whenever the resident or ordered copies on the host may have
// changed.
func (h *Host) Changes() uint64 { return h.changes }

// settled reports whether the last report proves the outcome of an order.
func (h *Host) settled(pending *pendingOrder, now time.Time) bool {
	if h.checksOrders {
		return reached(h.report.Epoch, h.report.LastOrder, pending.order)
	}
	// If the engine does not check orders, an order may arrive late until
	// UncheckedDelay has passed. Copies in the report are counted there in any case.
	if now.Sub(pending.sentAt) < UncheckedDelay {
		return !pending.inDoubt && reached(h.report.Epoch, h.report.LastOrder, pending.order)
	}
	return true
}

// reached reports whether an engine that has reached an epoch and sequence can no longer execute an
// order.
func reached(epoch, seq uint64, order engine.Order) bool {
	return epoch > order.Epoch || (epoch == order.Epoch && seq >= order.Seq)
}

// Report returns the last report.
func (h *Host) Report() engine.Report { return h.report }

// ReportedAt returns when the last report arrived.
func (h *Host) ReportedAt() time.Time { return h.reportedAt }

// Accelerators returns the number of accelerators.
func (h *Host) Accelerators() int { return len(h.report.Capacity) }

// Capacity returns the memory of an accelerator.
func (h *Host) Capacity(accelerator int) config.Bytes { return h.report.Capacity[accelerator] }

// Free returns the memory of an accelerator that is certainly free: its capacity less all that is
// resident, being loaded or being unloaded, and less every ordered load that no report has settled.
// It may be negative after a restart.
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

// resident reports whether the last report lists an ordered load, which is counted there.
func (h *Host) resident(order engine.Order) bool {
	for _, copied := range h.report.Copies {
		if copied.Accelerator == order.Accelerator && copied.Weights == order.Weights && copied.State != engine.CopyFailed {
			return true
		}
	}
	return false
}

// Reserve records an order before it is sent. It returns false, and records nothing, if a load does
// not fit in the free memory.
func (h *Host) Reserve(order engine.Order, now time.Time) bool {
	if order.Accelerator < 0 || order.Accelerator >= len(h.report.Capacity) {
		return false
	}
	if order.Action == engine.ActionLoad && order.Bytes > h.Free(order.Accelerator) {
		return false
	}
	h.orders[orderKey{order.Epoch, order.Seq}] = &pendingOrder{order: order, sentAt: now}
	h.changes++
	return true
}

// Discard removes an order that the engine will not execute.
func (h *Host) Discard(order engine.Order) {
	delete(h.orders, orderKey{order.Epoch, order.Seq})
	h.changes++
}

// MarkInDoubt marks an order without an answer: the engine may have executed it or may still do so.
func (h *Host) MarkInDoubt(order engine.Order) {
	if pending := h.orders[orderKey{order.Epoch, order.Seq}]; pending != nil {
		pending.inDoubt = true
	}
}

// NeedsFence reports whether an order has been unsettled for longer than a delay, so that a fence
// should be sent to settle it.
func (h *Host) NeedsFence(now time.Time, delay time.Duration) bool {
	for _, order := range h.orders {
		if order.order.Action != engine.ActionFence && now.Sub(order.sentAt) > delay {
			return true
		}
	}
	return false
}

// HasOrder reports whether there is an unsettled order for weights on an accelerator.
func (h *Host) HasOrder(weights engine.Weights, accelerator int) bool {
	for _, order := range h.orders {
		if order.order.Weights == weights && order.order.Accelerator == accelerator && order.order.Action != engine.ActionFence {
			return true
		}
	}
	return false
}

// PendingLoads returns the number of loads that are ordered or in progress.
func (h *Host) PendingLoads() int {
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

// Fenced reports whether no order from before an epoch, or from before the engine's last restart,
// can be executed any more. Only then can the free memory in the report be relied on: until then,
// an order of an earlier planner or a duplicate of an order may still arrive.
func (h *Host) Fenced(epoch uint64, now time.Time) bool {
	if h.checksOrders {
		return h.report.Epoch == epoch
	}
	return now.Sub(h.incarnationSince) >= UncheckedDelay
}

// PendingOrders returns the unsettled orders except fences, which the planner must not send again.
func (h *Host) PendingOrders() []engine.Order {
	var orders []engine.Order
	for _, order := range h.orders {
		if order.order.Action != engine.ActionFence {
			orders = append(orders, order.order)
		}
	}
	return orders
}
