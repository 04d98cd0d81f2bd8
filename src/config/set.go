package config

import (
	"sort"
)

// Set is a complete configuration at one revision. It is immutable.
type Set struct {
	revision   Revision
	objects    map[Key]Object
	byKind     map[Kind][]Object
	adapters   map[string][]string
	modelNames []string
}

// NewSet returns a set of the objects at the revision.
func NewSet(revision Revision, objects []Object) *Set {
	byKey := make(map[Key]Object, len(objects))
	for _, object := range objects {
		byKey[object.Key] = object
	}
	return newSet(revision, byKey)
}

func newSet(revision Revision, byKey map[Key]Object) *Set {
	s := &Set{
		revision: revision,
		objects:  byKey,
		byKind:   map[Kind][]Object{},
		adapters: map[string][]string{},
	}
	for _, object := range byKey {
		s.byKind[object.Key.Kind] = append(s.byKind[object.Key.Kind], object)
	}
	for _, objects := range s.byKind {
		sort.Slice(objects, func(i, j int) bool { return objects[i].Key.Name < objects[j].Key.Name })
	}
	for _, object := range s.byKind[KindModel] {
		s.modelNames = append(s.modelNames, object.Key.Name)
	}
	for _, object := range s.byKind[KindAdapter] {
		s.adapters[object.Adapter.Model] = append(s.adapters[object.Adapter.Model], object.Key.Name)
	}
	return s
}

// Revision returns the revision of the set.
func (s *Set) Revision() Revision { return s.revision }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns the object with a key, and whether it exists.
func (s *Set) Get(key Key) (Object, bool) {
	object, found := s.objects[key]
	return object, found
}

// Objects returns all objects, sorted by kind and name.
func (s *Set) Objects() []Object {
	all := make([]Object, 0, len(s.objects))
	for _, object := range s.objects {
		all = append(all, object)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key.less(all[j].Key) })
	return all
}

func (k Key) less(other Key) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}

// OfKind returns the objects of one kind, sorted by name. Callers must not modify
// the slice.
func (s *Set) OfKind(kind Kind) []Object { return s.byKind[kind] }

// ModelNames returns the names of all models, sorted. Callers must not modify the
// slice.
func (s *Set) ModelNames() []string { return s.modelNames }

// AdapterNames returns the names of a model's adapters, sorted. Callers must not
// modify the slice.
func (s *Set) AdapterNames(model string) []string { return s.adapters[model] }

// Model returns the model with a name, nil if there is none.
func (s *Set) Model(name string) *Model {
	return s.objects[Key{KindModel, name}].Model
}

// Adapter returns the adapter with a name, nil if there is none.
func (s *Set) Adapter(name string) *Adapter {
	return s.objects[Key{KindAdapter, name}].Adapter
}

// Service returns the plain service with a name, nil if there is none.
func (s *Set) Service(name string) *Service {
	return s.objects[Key{KindService, name}].Service
}

// Policy returns the settings of the installation, or the defaults if none are
// configured.
func (s *Set) Policy() Policy {
	for _, object := range s.OfKind(KindPolicy) {
		return *object.Policy
	}
	return Policy{Weigh: WeighAttainment, Store: Store{LoadsPerSecond: 1, FullSpeed: 1}}
}

// AssignedZones returns the availability zones in which a model is placed.
func (s *Set) AssignedZones(model string) []string {
	assignment := s.objects[Key{KindAssignment, model}].Assignment
	if assignment == nil {
		return nil
	}
	return assignment.Zones
}

// Authority returns the planner that controls the engines of an availability zone,
// nil if there is none.
func (s *Set) Authority(zone string) *Authority {
	return s.objects[Key{KindAuthority, zone}].Authority
}

// Resolved is the model, and possibly the adapter, that a name in a request refers to.
type Resolved struct {
	model   string
	adapter string
}

// Model returns the model that serves the name.
func (r Resolved) Model() string { return r.model }

// Adapter returns the adapter to apply, "" for none.
func (r Resolved) Adapter() string { return r.adapter }

// Resolve returns the model or adapter with a name. It follows at most one label: a
// label that points to another label is not resolved.
func (s *Set) Resolve(name string) (Resolved, bool) {
	if label := s.objects[Key{KindLabel, name}].Label; label != nil {
		name = label.PointsTo
	}
	if s.Model(name) != nil {
		return Resolved{model: name}, true
	}
	if adapter := s.Adapter(name); adapter != nil {
		return Resolved{model: adapter.Model, adapter: name}, true
	}
	return Resolved{}, false
}

// Rank returns the highest rank among the selectors that match a model, but at
// least 0.
func (s *Set) Rank(model string) int {
	rank := 0
	for _, object := range s.OfKind(KindSelector) {
		if object.Selector.Matches(s.Model(model)) && object.Selector.Rank > rank {
			rank = object.Selector.Rank
		}
	}
	return rank
}

// Matches reports whether the model has all labels of the selector.
func (sel *Selector) Matches(model *Model) bool {
	if model == nil {
		return false
	}
	for key, value := range sel.Match {
		if model.Labels[key] != value {
			return false
		}
	}
	return true
}

// Footprint returns the memory that one copy needs on an accelerator: the weights,
// the minimum KV cache and all adapters.
func (s *Set) Footprint(name string) Bytes {
	model := s.Model(name)
	if model == nil {
		return 0
	}
	sum := model.Memory + model.KVFloor
	for _, adapter := range s.adapters[name] {
		sum += s.Adapter(adapter).Memory
	}
	return sum
}
