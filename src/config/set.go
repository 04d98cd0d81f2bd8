package config

import (
	"sort"
)

// Set is a whole configuration at one revision; it never changes once built.
type Set struct {
	revision  Revision
	objects   map[Key]Object
	byKind    map[Kind][]Object
	adapters  map[string][]string
	modelKeys []string
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
		s.modelKeys = append(s.modelKeys, object.Key.Name)
	}
	for _, object := range s.byKind[KindAdapter] {
		s.adapters[object.Adapter.Model] = append(s.adapters[object.Adapter.Model], object.Key.Name)
	}
	return s
}

// Revision returns the place in the log that the set stands at.
func (s *Set) Revision() Revision { return s.revision }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns the object of a key.
func (s *Set) Get(key Key) (Object, bool) {
	object, found := s.objects[key]
	return object, found
}

// Objects returns all objects in the order of kind and name.
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

// OfKind returns the objects of one kind in the order of their names; callers must not change it.
func (s *Set) OfKind(kind Kind) []Object { return s.byKind[kind] }

// ModelNames returns the names of all models, sorted; callers must not change it.
func (s *Set) ModelNames() []string { return s.modelKeys }

// AdapterNames returns the names of a model's adapters, sorted; callers must not change it.
func (s *Set) AdapterNames(model string) []string { return s.adapters[model] }

// Model returns the model of a name, nil if there is none.
func (s *Set) Model(name string) *Model {
	return s.objects[Key{KindModel, name}].Model
}

// Adapter returns the adapter of a name, nil if there is none.
func (s *Set) Adapter(name string) *Adapter {
	return s.objects[Key{KindAdapter, name}].Adapter
}

// Service returns the plain service of a name, nil if there is none.
func (s *Set) Service(name string) *Service {
	return s.objects[Key{KindService, name}].Service
}

// Policy returns the installation's settings, or the defaults.
func (s *Set) Policy() Policy {
	for _, object := range s.OfKind(KindPolicy) {
		return *object.Policy
	}
	return Policy{Weigh: WeighAttainment, Store: Store{LoadsPerSecond: 1, FullSpeed: 1}}
}

// AssignedZones returns the availability zones that a model lives in.
func (s *Set) AssignedZones(model string) []string {
	assignment := s.objects[Key{KindAssignment, model}].Assignment
	if assignment == nil {
		return nil
	}
	return assignment.Zones
}

// Authority returns who commands an availability zone's engines, nil if nobody does.
func (s *Set) Authority(zone string) *Authority {
	return s.objects[Key{KindAuthority, zone}].Authority
}

// Resolved is what a name in a request stands for.
type Resolved struct {
	model   string
	adapter string
}

// Model returns the model that serves the name.
func (r Resolved) Model() string { return r.model }

// Adapter returns the adapter to apply, "" for none.
func (r Resolved) Adapter() string { return r.adapter }

// Resolve follows a name through at most one label to a model or adapter.
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

// Rank returns the highest rank that a selector gives a model, 0 if none does.
func (s *Set) Rank(model string) int {
	rank := 0
	for _, object := range s.OfKind(KindSelector) {
		if object.Selector.Matches(s.Model(model)) && object.Selector.Rank > rank {
			rank = object.Selector.Rank
		}
	}
	return rank
}

// Matches reports whether the model has every label of the selector.
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

// Footprint returns what one copy takes on an accelerator: weights, KV floor and all adapters.
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
