package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/placer"
	"github.com/moorspool/moorspool/src/registry"
)

// Interface is the protocol towards everything outside moorspool.
type Interface struct {
	// Codec encodes and decodes requests and responses of clients and replicas.
	Codec exchange.Codec
	// Dial opens a connection to a replica.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Decode parses a configuration document.
	Decode func(raw []byte) (catalog.Document, error)
	// Ready serves the load balancer's readiness check.
	Ready func(ready func() bool) http.Handler
	// Orders sends orders to replicas and fetches their reports.
	Orders func(client *http.Client) placer.Calls
	// Calls serves the requests of operators and replicas.
	Calls func(Calls) http.Handler
}

// ZoneOrderResult is the result of an operator's order about an availability zone.
type ZoneOrderResult struct {
	// Done is set once the order is durable.
	Done bool
	// UnknownZone is set if there is no such zone; the order must not be sent again.
	UnknownZone bool
	// Reason is why the order was not carried out.
	Reason string
	// RetryAfter is the delay before the order is sent again, 0 for none.
	RetryAfter time.Duration
}

// Calls are the functions that handle requests of operators and replicas.
type Calls struct {
	// Put commits a configuration; it returns false if the outcome is uncertain.
	Put func(ctx context.Context, version uint64, raw []byte) bool
	// Read returns the latest accepted configuration; known is false if this node can't confirm it.
	Read func(ctx context.Context) (raw []byte, known bool)
	// ConfigurationRefused is told why a configuration is invalid.
	ConfigurationRefused func(reason string)
	// OrderZone starts or ends the drain of an availability zone.
	OrderZone func(ctx context.Context, zone string, drain bool) ZoneOrderResult
	// ApplyHeartbeat handles a replica's heartbeat; it reports whether to acknowledge it.
	ApplyHeartbeat func(ctx context.Context, record registry.Record) bool
	// HeartbeatRefused is told why a heartbeat in a replica's name is malformed.
	HeartbeatRefused func(name, reason string)
	// UnknownFields is told the unknown fields of a replica's heartbeat.
	UnknownFields func(name string, fields []string)
	// HandleEnd handles a replica's deregistration; it reports whether to acknowledge it.
	HandleEnd func(ctx context.Context, id string) bool
}
