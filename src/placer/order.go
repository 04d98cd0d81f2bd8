package placer

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/registry"
)

// Operation is the kind of an order.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks a replica to load or unload a model, or an adapter of a model that it holds.
type Order struct {
	// Replica is the ID of one start of a replica, Name the replica's name, which stays the same
	// across restarts.
	Replica   string
	Name      string
	Address   string
	Operation Operation
	Model     string
	Adapter   string
	// Holder and Token fence the order: a replica rejects a token below the highest that it has
	// seen.
	Holder string
	Token  uint64
	// Expected is the number of orders that the replica is believed to have accepted.
	Expected uint64
}

// Result is the outcome of an order.
type Result string

// The results.
const (
	// Accepted means that the replica accepted the order and executes it.
	Accepted Result = "taken"
	// AlreadyDone means that the replica had nothing to do.
	AlreadyDone Result = "already"
	// Refused means that another order is being executed or the expected count is wrong.
	Refused Result = "refused"
	// Fenced means that the replica has seen a higher token.
	Fenced Result = "fenced"
	// Misdirected means that the replica is no longer at the address.
	Misdirected Result = "elsewhere"
	// Invalid means that the replica could not interpret the order.
	Invalid Result = "invalid"
	// NoAnswer means that no answer arrived; the replica may have executed the order or may still
	// do so.
	NoAnswer Result = "lost"
)

// Report is a replica's answer to a report request.
type Report struct {
	// StartedMS is the start time of the replica in Unix milliseconds; 0 if it is not given.
	StartedMS int64
	Sequence  uint64
	Busy      bool
	Models    []registry.Held
	// Pending are the adapters being loaded.
	Pending      []AdapterName
	Availability Availability
}

// Availability is what an answer says about further calls from this node to the replica.
type Availability struct {
	// Backoff is how long the replica wants no more calls; 0 if it did not ask for a backoff.
	Backoff time.Duration
	// Leaving means that the replica is leaving.
	Leaving bool
}

// of reports whether the report comes from the same start of the replica as a record. The next
// start under the same name answers at the same address.
func (r *Report) of(record *registry.Record) bool {
	return r.StartedMS == 0 || record.StartedMS == 0 || r.StartedMS == record.StartedMS
}

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// Calls are the calls that a placer makes to replicas.
type Calls struct {
	// Order sends an order and returns its result, and what the answer says about further calls.
	Order func(ctx context.Context, order Order) (Result, Availability)
	// Report requests a report. The Availability of the returned report is valid beside an error
	// too.
	Report func(ctx context.Context, replica, address string) (Report, error)
}
