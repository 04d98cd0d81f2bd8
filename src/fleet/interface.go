package fleet

import (
	"context"
	"net/http"

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

// Calls are the functions behind the calls of operators and replicas.
type Calls struct {
	// Put puts a configuration in force; it reports whether that is certain.
	Put func(ctx context.Context, version uint64, raw []byte) bool
	// Read returns the newest accepted configuration if this node can be sure of it.
	Read func(ctx context.Context) (raw []byte, known bool)
	// Refused learns of an invalid configuration.
	Refused func(reason string)
	// Hear takes in a replica's call; it reports whether to acknowledge it.
	Hear func(ctx context.Context, record registry.Record) bool
	// Misread learns of a replica's call that could not be read as one, with the reason.
	Misread func(name, reason string)
	// Remove takes in that a replica ends.
	Remove func(ctx context.Context, id string) bool
}
