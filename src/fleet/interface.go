package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/placer"
	"github.com/moorspool/moorspool/src/registry"
)

// Interface is one manner of speaking with everything outside moorspool.
type Interface struct {
	// Codec speaks with clients and, for requests, with replicas.
	Codec exchange.Codec
	// Decode reads a whole configuration.
	Decode func(raw []byte) (catalog.Document, error)
	// Ready answers the balancer.
	Ready func(ready func() bool) http.Handler
	// Orders speaks with replicas about what they hold.
	Orders func(client *http.Client) placer.Calls
	// Calls answers operators and replicas.
	Calls func(Calls) http.Handler
}

// ZoneOrderResult is what an operator is answered to an order about an availability zone.
type ZoneOrderResult struct {
	// Done is set once the order is durable.
	Done bool
	// UnknownZone is set if there is no such zone; the order must not be sent again.
	UnknownZone bool
	// Reason says why it was not done.
	Reason string
	// RetryAfter is after how long to send it again, 0 if at once.
	RetryAfter time.Duration
}

// Calls are the functions behind the calls of operators and replicas.
type Calls struct {
	// Put puts a configuration in force; it reports whether that is certain.
	Put func(ctx context.Context, version uint64, raw []byte) bool
	// Read returns the newest accepted configuration if this node can be sure of it.
	Read func(ctx context.Context) (raw []byte, known bool)
	// ConfigurationRefused learns of an invalid configuration.
	ConfigurationRefused func(reason string)
	// OrderZone drains an availability zone, or ends that.
	OrderZone func(ctx context.Context, zone string, drain bool) ZoneOrderResult
	// Hear takes in a replica's call; it reports whether to acknowledge it.
	Hear func(ctx context.Context, record registry.Record) bool
	// HeartbeatRefused learns of a replica's call that could not be read as one, with the reason.
	HeartbeatRefused func(name, reason string)
	// UnknownFields learns of fields of a replica's call that the product does not know.
	UnknownFields func(name string, fields []string)
	// Remove takes in that a replica ends.
	Remove func(ctx context.Context, id string) bool
}
