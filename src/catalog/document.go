package catalog

import "time"

// Kind says what may be repeated on a route.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by events and run at most once unless they may be resumed.
	Streaming Kind = "streaming"
)

// Document is one whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed says that requests need the key of a client account, even if there is no
	// account; without it there are no accounts.
	Keyed    bool
	Accounts []Account
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Priority int
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Target is the time within which an answer is worth its full credit.
	Target time.Duration
	// GapTarget is the longest pause between events of an answer in time.
	GapTarget time.Duration
	Splits    []Split
	// Attempts bounds the replicas that one request may be sent to.
	Attempts  int
	Affinity  bool
	Resumable bool
	// Anonymous routes serve requests without a key too.
	Anonymous bool
	// Regions are those in which its requests may be served, empty for all.
	Regions []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Split is a service's share of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a set of replicas that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// Connections bounds the connections that one replica accepts from all callers.
	Connections int
	// ColdRate is how many requests a second a replica bears over all gateways while it is cold, 0
	// for no bound.
	ColdRate float64
	// Engine is set for services whose replicas run models.
	Engine *Engine
}

// Engine says what each replica of a service of models can hold.
type Engine struct {
	Slots       int
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds, 0 if not said.
	EventTokens int
	// WeightsMB is a replica's room for weights and adapters, in megabytes.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all replicas.
	LoadsPerSecond float64
	// Backups says that a replica can keep a copy of another's run, from which it goes on.
	Backups bool
	HostMB  float64
	DiskMB  float64
	Models  []Model
}

// Model is one model of an engine, with its adapters a1, a2 and so on.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// Load, Disk and Warm are the times of a load from the store, from disk and from memory.
	Load time.Duration
	Disk time.Duration
	Warm time.Duration
}

// Model returns the model of a name, nil if the engine has none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
