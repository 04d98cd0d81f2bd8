package config

// Update holds the changes from one revision to a later one.
type Update struct {
	// From is the revision to which a delta applies. It is empty in a full update.
	From Revision `json:"from"`
	To   Revision `json:"to"`
	// Full is set if Put holds all objects of the configuration.
	Full   bool     `json:"full"`
	Put    []Object `json:"put,omitempty"`
	Delete []Key    `json:"delete,omitempty"`
}

// Apply returns the set after the update. If the update is not newer than the set
// or starts at a later revision, it returns the set unchanged and false, so that a
// process neither goes back to an older revision nor misses a change.
func (s *Set) Apply(update Update) (*Set, bool) {
	if !s.revision.Before(update.To) {
		return s, false
	}
	if update.Full {
		return NewSet(update.To, update.Put), true
	}
	if s.revision.Before(update.From) {
		return s, false
	}
	next := make(map[Key]Object, len(s.objects)+len(update.Put))
	for key, object := range s.objects {
		next[key] = object
	}
	for _, key := range update.Delete {
		delete(next, key)
	}
	for _, object := range update.Put {
		next[object.Key] = object
	}
	return newSet(update.To, next), true
}

// Full returns an update that holds the whole set.
func (s *Set) Full() Update {
	return Update{To: s.revision, Full: true, Put: s.Objects()}
}

// Change is a change of the configuration that an operator requests.
type Change struct {
	// ID identifies the change when it is sent again.
	ID string `json:"id"`
	// Base is the revision on which the operator based the change.
	Base   Revision `json:"base"`
	By     string   `json:"by"`
	Put    []Object `json:"put,omitempty"`
	Delete []Key    `json:"delete,omitempty"`
}

// Keys returns the keys of all objects that the change affects.
func (c Change) Keys() []Key {
	keys := append([]Key(nil), c.Delete...)
	for _, object := range c.Put {
		keys = append(keys, object.Key)
	}
	return keys
}

// Difference returns the objects to put and the keys to delete so that the set
// holds the wanted objects. It omits objects that are already in the set. With
// prune, it deletes all other objects that operators write.
func (s *Set) Difference(wanted []Object, prune bool) ([]Object, []Key) {
	var put []Object
	keep := map[Key]bool{}
	for _, object := range wanted {
		keep[object.Key] = true
		current, found := s.objects[object.Key]
		if found && current.Equal(object) {
			continue
		}
		put = append(put, object)
	}
	if !prune {
		return put, nil
	}
	var remove []Key
	for _, object := range s.Objects() {
		if object.Key.Kind.WrittenByOperators() && !keep[object.Key] {
			remove = append(remove, object.Key)
		}
	}
	return put, remove
}

// WrittenByOperators reports whether objects of this kind are written by operators.
func (k Kind) WrittenByOperators() bool {
	return k != KindAssignment && k != KindAuthority
}

// WithChanges returns the set with the given changes at the next revision, for validation
// and previews.
func (s *Set) WithChanges(put []Object, remove []Key) *Set {
	next := Revision{Term: s.revision.Term, Index: s.revision.Index + 1}
	changed, _ := s.Apply(Update{From: s.revision, To: next, Put: put, Delete: remove})
	return changed
}
