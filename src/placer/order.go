package placer

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/registry"
)

// Operation is what an order asks for.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks a replica to load or unload a model, or an adapter of one it holds.
type Order struct {
	// Replica is the ID of the start that the order is for, Name what the replica calls itself.
	Replica   string
	Name      string
	Address   string
	Operation Operation
	Model     string
	Adapter   string
	// Holder and Token fence the order: replicas refuse lower tokens than they have seen.
	Holder string
	Token  uint64
	// Expected is the number of orders that the replica is believed to have taken.
	Expected uint64
}

// Result is what became of an order.
type Result string

// The results.
const (
	// Taken means that the replica carries it out.
	Taken Result = "taken"
	// Already means that nothing was to be done.
	Already Result = "already"
	// Refused means that another order is under way or the expected count is wrong.
	Refused Result = "refused"
	// Fenced means that the replica has seen a higher token.
	Fenced Result = "fenced"
	// Elsewhere means that the replica is gone from the address.
	Elsewhere Result = "elsewhere"
	// Invalid means that the replica could make nothing of the order.
	Invalid Result = "invalid"
	// Lost means that no answer came: it may have been taken or may be yet.
	Lost Result = "lost"
)

// Report is what a replica says when asked.
type Report struct {
	// Born is the Unix millisecond of the start that said it; 0 if it does not say.
	Born     int64
	Sequence uint64
	Busy     bool
	Models   []registry.Held
	// Pending are the adapters on their way, as model and adapter.
	Pending []AdapterName
	Word    Word
}

// Word is what an answer says of whether its replica takes calls from this node.
type Word struct {
	// Backoff is how long it wants no more calls, 0 if it did not ask for that.
	Backoff time.Duration
	// Leaving means that it leaves.
	Leaving bool
}

// of reports whether the report is of the start that a record is of: the next start under the same
// name answers at the same address.
func (r *Report) of(record *registry.Record) bool {
	return r.Born == 0 || record.Born == 0 || r.Born == record.Born
}

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// Calls are the calls to replicas.
type Calls struct {
	// Order sends an order; it returns what became of it and what the answer says of the replica.
	Order func(ctx context.Context, order Order) (Result, Word)
	// Report asks a replica what it holds; the report's Word is told beside an error too.
	Report func(ctx context.Context, replica, address string) (Report, error)
}
