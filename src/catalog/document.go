package catalog

import (
	"slices"
	"time"
)

// Kind says whether requests on a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a stream of events. They run at most once unless they are
	// resumable.
	Streaming Kind = "streaming"
)

// Document is a complete configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired is set if requests need the key of a client account, even if there are no
	// accounts. Without it there are none.
	KeysRequired bool
	Accounts     []Account
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Priority int
	// Timeout is the longest time for which a request may be held.
	Timeout time.Duration
	// Target is the target latency: an answer within it earns full credit.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that counts as in time.
	GapTarget time.Duration
	Splits    []Split
	// Attempts bounds the number of replicas that one request may be sent to.
	Attempts  int
	Affinity  bool
	Resumable bool
	// Anonymous routes also serve requests without a key.
	Anonymous bool
	// Regions are the regions in which the route's requests may be served, empty for all.
	Regions []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Serves reports whether the route sends requests to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Split is the weight of a service in a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name       string
	HealthPath string
	// Connections bounds the connections that one replica accepts from all callers.
	Connections int
	// ColdRate is how many requests per second a cold replica can serve, over all gateways
	// together; 0 for no bound.
	ColdRate float64
	// Engine is set for services whose replicas run models.
	Engine *Engine
}

// Engine describes the capacity of each replica of a service that runs models.
type Engine struct {
	Slots       int
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int
	// WeightsMB is a replica's space for weights and adapters, in megabytes.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all replicas.
	LoadsPerSecond float64
	// Backups is set if a replica can keep a copy of another one's run, from which the run can
	// continue.
	Backups bool
	// Moves is set if a replica can copy a run to another one when it is asked to.
	Moves bool
	// CopyTTL is for how long a replica keeps such a copy, 0 if unknown.
	CopyTTL time.Duration
	HostMB  float64
	DiskMB  float64
	Models  []Model
}

// Model is a model of an engine. Its adapters are named a1, a2 and so on.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// Load, Disk and Warm are the load times from the weight store, from disk and from memory.
	Load time.Duration
	Disk time.Duration
	Warm time.Duration
}

// Model returns the model with a name, nil if the engine has none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// maxSmallBatch is the largest number of slots of an engine with small batches. In larger batches
// unread prompts delay requests long before the slots are taken.
const maxSmallBatch = 32

// SmallBatch reports whether the slots of the engine's replicas are few enough to be taken before
// anything else delays requests.
func (e *Engine) SmallBatch() bool { return e != nil && e.Slots > 0 && e.Slots <= maxSmallBatch }

// Limits bound the size of a client's request and the time that it may take to send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
