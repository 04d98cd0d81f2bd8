package config

import (
	"encoding/json"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects. The system writes assignments and authorities itself and
// distributes them to all processes with the objects that operators write.
const (
	KindModel      Kind = "model"
	KindAdapter    Kind = "adapter"
	KindLabel      Kind = "label"
	KindSelector   Kind = "selector"
	KindPool       Kind = "pool"
	KindService    Kind = "service"
	KindPolicy     Kind = "policy"
	KindAssignment Kind = "assignment"
	KindAuthority  Kind = "authority"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Revision is a position in the control nodes' log. It orders configurations.
type Revision struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Before reports whether r comes earlier in the log than other.
func (r Revision) Before(other Revision) bool {
	if r.Term != other.Term {
		return r.Term < other.Term
	}
	return r.Index < other.Index
}

// Model is a model that the installation serves.
type Model struct {
	// Memory is the size of the weights on an accelerator.
	Memory Bytes `json:"memory" yaml:"memory"`
	// KVFloor is the minimum memory for the KV cache of a copy.
	KVFloor Bytes `json:"kvFloor" yaml:"kvFloor"`
	// Version identifies the weights. A new version replaces the old weights.
	Version string            `json:"version" yaml:"version"`
	Labels  map[string]string `json:"labels,omitempty" yaml:"labels"`
	Target  Target            `json:"target" yaml:"target"`
}

// Target is the latency target of a model's requests.
type Target struct {
	FirstToken    Duration `json:"firstToken" yaml:"firstToken"`
	BetweenTokens Duration `json:"betweenTokens" yaml:"betweenTokens"`
}

// Adapter is a small set of weights that is applied to a model.
type Adapter struct {
	Model  string            `json:"model" yaml:"model"`
	Memory Bytes             `json:"memory" yaml:"memory"`
	Labels map[string]string `json:"labels,omitempty" yaml:"labels"`
}

// Label is an alias for a model or adapter.
type Label struct {
	PointsTo string `json:"pointsTo" yaml:"pointsTo"`
}

// Selector sets placement rules for all models with matching labels.
type Selector struct {
	Match map[string]string `json:"match" yaml:"match"`
	// Rank orders models when not all can be served; a higher rank goes first.
	Rank int `json:"rank,omitempty" yaml:"rank"`
	// Outranks names selectors that must have a lower rank than this one.
	Outranks []string `json:"outranks,omitempty" yaml:"outranks"`
	// Together makes matching models share accelerators where they fit.
	Together bool `json:"together,omitempty" yaml:"together"`
	// Apart forbids that two matching models share an accelerator.
	Apart bool `json:"apart,omitempty" yaml:"apart"`
	// Zones limits matching models to these availability zones.
	Zones []string `json:"zones,omitempty" yaml:"zones"`
	// Copies is the minimum number of ready copies.
	Copies int `json:"copies,omitempty" yaml:"copies"`
}

// Pool is a group of identical backend servers in one or more availability zones.
type Pool struct {
	Zones []PoolZone `json:"zones" yaml:"zones"`
	// Accelerators is the number of accelerators per replica, 0 for plain services.
	Accelerators int `json:"accelerators" yaml:"accelerators"`
	// Memory is the memory of one accelerator.
	Memory Bytes `json:"memory" yaml:"memory"`
	// Overhead is the memory of each accelerator that the engine itself uses.
	Overhead Bytes `json:"overhead,omitempty" yaml:"overhead"`
	// ChecksOrders is set if the engines reject orders of an older epoch.
	ChecksOrders bool `json:"checksOrders" yaml:"checksOrders"`
}

// Usable returns the memory of one accelerator that is available to models.
func (p *Pool) Usable() Bytes {
	if p.Accelerators == 0 {
		return 0
	}
	return p.Memory - p.Overhead
}

// PoolZone is the part of a pool in one availability zone.
type PoolZone struct {
	Zone     string `json:"zone" yaml:"zone"`
	Replicas int    `json:"replicas" yaml:"replicas"`
}

// Service is a service other than a model, to which requests are routed.
type Service struct {
	Calls []Call `json:"calls,omitempty" yaml:"calls"`
	// ClaimExpiry is how long an idempotency key is kept after its last use.
	ClaimExpiry Duration `json:"claimExpiry,omitempty" yaml:"claimExpiry"`
}

// Call sets the properties of a service's calls with one method and path prefix.
type Call struct {
	Method string `json:"method" yaml:"method"`
	Path   string `json:"path" yaml:"path"`
	// AtMostOnce marks calls that must not be repeated.
	AtMostOnce bool `json:"once" yaml:"once"`
}

// Policy holds the settings of the whole installation. Its name is "default".
type Policy struct {
	Weigh Weigh `json:"weigh" yaml:"weigh"`
	Store Store `json:"store" yaml:"store"`
}

// Weigh names the goal that placement prefers when goals conflict.
type Weigh string

// The goals: requests that meet their target, or few loads and unloads of models.
const (
	WeighAttainment Weigh = "attainment"
	WeighMoves      Weigh = "moves"
)

// Store holds the limits of the weight store.
type Store struct {
	// LoadsPerSecond is the rate at which the store starts loads.
	LoadsPerSecond float64 `json:"loadsPerSecond" yaml:"loadsPerSecond"`
	// FullSpeed is the number of concurrent loads that do not slow each other down.
	FullSpeed int `json:"fullSpeed" yaml:"fullSpeed"`
}

// Assignment is the set of availability zones in which a model is placed.
type Assignment struct {
	Zones []string `json:"zones"`
}

// Authority is the planner that controls the engines of an availability zone.
type Authority struct {
	Epoch   uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
}

// Object is one configuration object. Only the field of its kind is set.
type Object struct {
	Key        Key         `json:"key"`
	Revision   Revision    `json:"revision"`
	By         string      `json:"by,omitempty"`
	Model      *Model      `json:"model,omitempty"`
	Adapter    *Adapter    `json:"adapter,omitempty"`
	Label      *Label      `json:"label,omitempty"`
	Selector   *Selector   `json:"selector,omitempty"`
	Pool       *Pool       `json:"pool,omitempty"`
	Service    *Service    `json:"service,omitempty"`
	Policy     *Policy     `json:"policy,omitempty"`
	Assignment *Assignment `json:"assignment,omitempty"`
	Authority  *Authority  `json:"authority,omitempty"`
}

// spec returns the field of the object's kind.
func (o *Object) spec() any {
	switch o.Key.Kind {
	case KindModel:
		return o.Model
	case KindAdapter:
		return o.Adapter
	case KindLabel:
		return o.Label
	case KindSelector:
		return o.Selector
	case KindPool:
		return o.Pool
	case KindService:
		return o.Service
	case KindPolicy:
		return o.Policy
	case KindAssignment:
		return o.Assignment
	case KindAuthority:
		return o.Authority
	}
	return nil
}

// Equal reports whether both objects have the same key and content, regardless of
// their revisions.
func (o Object) Equal(other Object) bool {
	if o.Key != other.Key {
		return false
	}
	mine, errMine := json.Marshal(o.spec())
	theirs, errTheirs := json.Marshal(other.spec())
	return errMine == nil && errTheirs == nil && string(mine) == string(theirs)
}

// Duration is a time.Duration written like "420ms" in YAML and JSON.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats the duration like "420ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalYAML parses a duration. Its error holds the location.
func (d *Duration) UnmarshalYAML(node ast.Node) error { return unmarshalAt(node, d) }

// UnmarshalText parses a duration such as "420ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a time such as 420ms or 4s", text)
	}
	*d = Duration(parsed)
	return nil
}

// Complete reports whether the field of the object's kind is set.
func (o *Object) Complete() bool {
	switch o.Key.Kind {
	case KindModel:
		return o.Model != nil
	case KindAdapter:
		return o.Adapter != nil
	case KindLabel:
		return o.Label != nil
	case KindSelector:
		return o.Selector != nil
	case KindPool:
		return o.Pool != nil
	case KindService:
		return o.Service != nil
	case KindPolicy:
		return o.Policy != nil
	}
	return false
}
