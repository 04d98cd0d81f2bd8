package placer

import (
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// phase is the stage of a copy of a model or adapter.
type phase uint8

// The phases. A copy takes memory in each of them.
const (
	// loading copies were ordered or may have been.
	loading phase = iota
	// ready copies serve requests.
	ready
	// draining copies get no new requests; their unload will be ordered.
	draining
	// unloading copies were ordered to be unloaded.
	unloading
)

// copyState is a copy of a model on a replica.
type copyState struct {
	phase phase
	since time.Time
	// readyAt is when the replica was first known to serve the copy.
	readyAt  time.Time
	adapters map[string]*adapterState
}

// adapterState is an adapter of a model on a replica.
type adapterState struct {
	phase phase
	since time.Time
	// readyAt is when a loading adapter is expected to be ready.
	readyAt time.Time
	usedAt  time.Time
}

// replicaState is the ledger of one replica: what it holds, and the orders under way.
type replicaState struct {
	record registry.Record
	// listed is set while the registry lists the replica as usable. usable is set if in addition
	// the replica is not leaving and its zone is not drained.
	listed bool
	usable bool
	// orderCount is the number of orders that the replica is believed to have accepted.
	orderCount uint64
	// orderCountKnown is set once a report has told that number.
	orderCountKnown bool
	// outcomeUnknown is set after an order without a clear answer, until the next report.
	outcomeUnknown bool
	// runsUnknownOrder is set while the replica executes an order of an earlier holder, which is
	// not in this ledger and may take all the free memory.
	runsUnknownOrder  bool
	reportRequestedAt time.Time
	// backoffUntil is the time until which the replica asked for no calls from this node;
	// backingOff is set until then. leaving is set for good once an answer said that the replica is
	// leaving.
	backoffUntil time.Time
	backingOff   bool
	leaving      bool
	// limited is set while the replica has a rate limit, which it has had since limitedSince;
	// rateLimit is the number of requests a second that it accepts then. underCapacity is set while
	// its copies are ignored because the limit is below the demand.
	rateLimit     float64
	limited       bool
	limitedSince  time.Time
	underCapacity bool
	// callInFlight is set while an order or a report request is under way.
	callInFlight bool
	copies       map[string]*copyState
	// pendingLoad is the model that room is being made for on the replica, "" if there is none.
	pendingLoad      string
	pendingLoadSince time.Time
	// recordSequence is the sequence number of the last registration applied to the ledger.
	recordSequence uint64
}

func newReplicaState(record registry.Record) *replicaState {
	return &replicaState{record: record, copies: map[string]*copyState{}}
}

// updateAvailability records whether the replica accepts calls from this node. Copies on a replica
// that is leaving count as gone, so that others are loaded in time.
func (r *replicaState) updateAvailability(now time.Time, availability Availability) {
	if until := now.Add(min(availability.Backoff, maxBackoff)); availability.Backoff > 0 && until.After(r.backoffUntil) {
		r.backoffUntil = until
	}
	r.backingOff = now.Before(r.backoffUntil)
	r.leaving = r.leaving || availability.Leaving
	r.usable = r.usable && !r.leaving
}

// maxBackoff bounds the backoff that a replica may ask for, so that a value sent in the wrong unit
// does not exclude it for good.
const maxBackoff = time.Hour

const (
	// orderSettleTime is how long after an order heartbeats may still show the state before it.
	orderSettleTime = 3 * time.Second
	// absenceGracePeriod is how long a copy may be absent from heartbeats before it counts as gone.
	// Heartbeats can arrive seconds late, and the memory of a copy must not be reused while the
	// copy is there.
	absenceGracePeriod = 6 * time.Second
)

// reconcile updates the ledger with the copies that the replica lists. Copies that were ordered
// recently stay in the ledger even if the replica does not list them yet.
func (r *replicaState) reconcile(now time.Time, models []registry.Held, fromReport bool) {
	reported := map[string]bool{}
	for _, held := range models {
		reported[held.Name] = true
		c := r.copies[held.Name]
		if c == nil {
			c = &copyState{phase: ready, since: now, readyAt: now, adapters: map[string]*adapterState{}}
			r.copies[held.Name] = c
		}
		if c.phase == loading || c.phase == unloading && (fromReport || now.Sub(c.since) > orderSettleTime) {
			c.phase, c.since, c.readyAt = ready, now, now
		}
		c.reconcileAdapters(now, held.Adapters, fromReport)
	}
	for name, c := range r.copies {
		if reported[name] {
			continue
		}
		if fromReport || c.absentTooLong(now) {
			delete(r.copies, name)
		}
	}
}

// absentTooLong reports whether a copy that is absent from a heartbeat counts as gone. A copy that
// became ready recently may be absent from an older heartbeat.
func (c *copyState) absentTooLong(now time.Time) bool {
	switch c.phase {
	case loading:
		return false
	case unloading:
		return now.Sub(c.readyAt) > absenceGracePeriod
	}
	return now.Sub(c.since) > absenceGracePeriod
}

// reconcileAdapters updates the adapters of a copy with those that the replica lists.
func (c *copyState) reconcileAdapters(now time.Time, names []string, fromReport bool) {
	reported := map[string]bool{}
	for _, name := range names {
		reported[name] = true
		a := c.adapters[name]
		switch {
		case a == nil:
			c.adapters[name] = &adapterState{phase: ready, since: now, usedAt: now}
		case a.phase == loading:
			a.phase, a.since = ready, now
		case a.phase == unloading && (fromReport || now.Sub(a.since) > orderSettleTime):
			a.phase, a.since = ready, now
		}
	}
	for name, a := range c.adapters {
		if reported[name] {
			continue
		}
		if fromReport || now.Sub(a.since) > a.gracePeriod() {
			delete(c.adapters, name)
		}
	}
}

// gracePeriod is how long the adapter may be absent from heartbeats before it counts as gone. An
// adapter that was ordered to be unloaded is gone after a shorter time.
func (a *adapterState) gracePeriod() time.Duration {
	if a.phase == unloading {
		return orderSettleTime
	}
	return absenceGracePeriod
}

// applyReport replaces an unknown state by the reported one.
func (r *replicaState) applyReport(now time.Time, report Report) {
	r.orderCount = report.Sequence
	r.orderCountKnown = true
	r.outcomeUnknown = false
	r.runsUnknownOrder = report.Busy && !r.modelOrderRunning()
	r.reconcile(now, report.Models, !report.Busy)
	for _, pending := range report.Pending {
		if c := r.copies[pending.Model]; c != nil && c.adapters[pending.Adapter] == nil {
			c.adapters[pending.Adapter] = &adapterState{phase: loading, since: now, readyAt: now.Add(adapterLoadDefault), usedAt: now}
		}
	}
}

// usedMB is the memory that all copies on the replica take, in megabytes.
func (r *replicaState) usedMB(e *catalog.Engine) float64 {
	used := 0.0
	for name, c := range r.copies {
		model := e.Model(name)
		if model == nil {
			continue
		}
		used += model.WeightsMB + float64(len(c.adapters))*model.AdapterMB
	}
	return used
}

// adapterCount is the number of adapter slots in use.
func (r *replicaState) adapterCount() int {
	count := 0
	for _, c := range r.copies {
		count += len(c.adapters)
	}
	return count
}

// loadingAdapters is the number of adapters being loaded.
func (r *replicaState) loadingAdapters() int {
	count := 0
	for _, c := range r.copies {
		for _, a := range c.adapters {
			if a.phase == loading {
				count++
			}
		}
	}
	return count
}

// modelOrderRunning reports whether a model is being loaded or unloaded.
func (r *replicaState) modelOrderRunning() bool {
	for _, c := range r.copies {
		if c.phase == loading || c.phase == unloading {
			return true
		}
	}
	return false
}
