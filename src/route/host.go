package route

import (
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// Parameters of ejection.
const (
	// ejectAfter is the number of consecutive failures after which a host is avoided.
	ejectAfter   = 3
	minEjectTime = time.Second
	maxEjectTime = 10 * time.Second
)

// Bounds of the number of concurrent requests that one gateway sends to a host.
const (
	initialLimit = 32
	minLimit     = 1
	maxLimit     = 1024
	// missDivisor is the divisor of the limit by which one missed target lowers it.
	missDivisor = 16
)

// serviceTimeShift gives a new service time a weight of 1/8 in the moving average.
const serviceTimeShift = 3

// Host is a gateway's state of one backend server. It is safe for concurrent use and outlives the
// tables that refer to it.
type Host struct {
	name    string
	pool    string
	zone    string
	address string

	state    atomic.Pointer[wire.HostState]
	leaving  atomic.Bool
	inFlight atomic.Int64
	// reported is the last reported number of running and waiting requests.
	reported atomic.Int64
	// sentSinceReport counts this gateway's requests sent since that report, which does not include
	// them.
	sentSinceReport atomic.Int64
	reportedAt      atomic.Int64
	slots           atomic.Int64
	limit           atomic.Int64
	// metTarget counts the requests that met their target since the limit last changed.
	metTarget      atomic.Int64
	serviceTime    atomic.Int64
	failures       atomic.Int64
	ejectedUntil   atomic.Int64
	slowStartUntil atomic.Int64
	breaker        *Breaker
}

// NewHost returns a host for a planner's route. The breaker is shared by the hosts of an
// availability zone; it is nil for the gateway's own zone.
func NewHost(route wire.HostRoute, breaker *Breaker) *Host {
	h := &Host{name: route.Host, pool: route.Pool, zone: route.Zone, address: route.Address, breaker: breaker}
	h.slots.Store(int64(max(route.Slots, 1)))
	h.limit.Store(max(initialLimit, min(2*int64(route.Slots), maxLimit)))
	h.SetState(route.State)
	return h
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Address returns the address at which the host accepts requests.
func (h *Host) Address() string { return h.address }

// Zone returns the host's availability zone.
func (h *Host) Zone() string { return h.zone }

// InFlight returns the number of this gateway's requests in flight on the host.
func (h *Host) InFlight() int64 { return h.inFlight.Load() }

// State returns the host's state as reported by the planner.
func (h *Host) State() wire.HostState { return *h.state.Load() }

// SetState sets the host's state as reported by the planner.
func (h *Host) SetState(state wire.HostState) {
	if old := h.state.Swap(&state); old != nil && *old == wire.HostLeaving && state == wire.HostLive {
		h.leaving.Store(false)
	}
}

// SetLeaving records that the host itself announced that it is leaving.
func (h *Host) SetLeaving() { h.leaving.Store(true) }

// usable reports whether the host may get new requests.
func (h *Host) usable(now int64) bool {
	if h.breaker.isOpen(now) {
		return false
	}
	return h.State() == wire.HostLive && !h.leaving.Load() && h.ejectedUntil.Load() <= now
}

// usableAsLastResort reports whether the host may get requests when no usable one is left.
func (h *Host) usableAsLastResort(now int64) bool {
	if h.breaker.isOpen(now) {
		return false
	}
	state := h.State()
	return (state == wire.HostLive || state == wire.HostSuspect) && !h.leaving.Load()
}

// hasCapacity reports whether this gateway may send another request to the host.
func (h *Host) hasCapacity() bool { return h.inFlight.Load() < h.limit.Load() }

// RecordLoad records a load report of the host.
func (h *Host) RecordLoad(running, waiting int, now time.Time) {
	h.reported.Store(int64(running + waiting))
	h.reportedAt.Store(now.UnixNano())
	h.sentSinceReport.Store(0)
}

// ReportedLoad returns the last reported load, without this gateway's own requests since.
func (h *Host) ReportedLoad() int64 { return h.reported.Load() }

// Begin counts a request that is about to be sent.
func (h *Host) Begin() {
	h.inFlight.Add(1)
	h.sentSinceReport.Add(1)
}

// End counts the end of a request, with its time on the host and whether it met its target there. A
// missed target lowers the limit by a fraction. As many requests that meet the target as the limit
// allows raise it by one, if the limit was reached.
func (h *Host) End(took time.Duration, attained bool) {
	used := h.inFlight.Add(-1) + 1
	h.adjustLimit(used, attained)
	h.failures.Store(0)
	h.ejectedUntil.Store(0)
	h.breaker.recordSuccess()
	old := h.serviceTime.Load()
	if old == 0 {
		h.serviceTime.Store(int64(took))
	} else {
		h.serviceTime.Store(old + (int64(took)-old)>>serviceTimeShift)
	}
}

// EndUnanswered counts the end of a request that got no answer.
func (h *Host) EndUnanswered() { h.inFlight.Add(-1) }

// adjustLimit changes the limit. Two requests that end at once may undo each other's change, which
// only delays the adjustment.
func (h *Host) adjustLimit(used int64, attained bool) {
	limit := h.limit.Load()
	if !attained {
		// Starts from the number of requests in flight: a limit that was not reached is not
		// meaningful.
		busy := min(limit, used)
		h.limit.Store(max(busy-max(busy/missDivisor, 1), minLimit))
		h.metTarget.Store(0)
		return
	}
	if used >= limit && h.metTarget.Add(1) >= limit && limit < maxLimit {
		h.limit.Store(limit + 1)
		h.metTarget.Store(0)
	}
}

// ReduceLimit lowers the limit after the host refused a request because it was full.
func (h *Host) ReduceLimit() {
	h.limit.Store(max(h.limit.Load()*3/4, minLimit))
}

// RecordFailure counts a failure and reports whether the host is ejected because of it.
func (h *Host) RecordFailure(now time.Time) bool {
	h.breaker.recordFailure(now)
	failures := h.failures.Add(1)
	if failures < ejectAfter {
		return false
	}
	avoid := min(minEjectTime<<min(failures-ejectAfter, 8), maxEjectTime)
	h.ejectedUntil.Store(now.Add(avoid).UnixNano())
	return failures == ejectAfter
}

// defaultServiceTime is the assumed service time of a host without measurements.
const defaultServiceTime = 100 * time.Millisecond

// cost returns the expected wait of another request on the host, in nanoseconds.
func (h *Host) cost() int64 {
	load := h.load()
	serviceTime := h.serviceTime.Load()
	if serviceTime == 0 {
		serviceTime = int64(defaultServiceTime)
	}
	slots := h.slots.Load()
	return (load + 1) * serviceTime / slots
}

// load returns the reported load plus the requests sent since the report, or this gateway's
// requests in flight if there are more of these.
func (h *Host) load() int64 {
	return max(h.reported.Load()+h.sentSinceReport.Load(), h.inFlight.Load())
}

// slowStartTime is how long a host with a newly loaded copy gets less load.
const slowStartTime = 2 * time.Second

// StartSlowStart starts the host's slow start.
func (h *Host) StartSlowStart(now time.Time) {
	h.slowStartUntil.Store(now.Add(slowStartTime).UnixNano())
}
