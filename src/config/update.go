package config

// Update carries a process from one revision to a later one.
type Update struct {
	// From is the revision that a delta applies to; it is empty in a full update.
	From Revision `json:"from"`
	To   Revision `json:"to"`
	// Full says that Put holds every object there is.
	Full   bool     `json:"full"`
	Put    []Object `json:"put,omitempty"`
	Delete []Key    `json:"delete,omitempty"`
}

// Apply returns the set after the update. It reports false, and returns the set
// as it was, when the update is older than the set or skips a revision: a
// process never goes back and never guesses what it missed.
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

// Full returns an update that carries the whole set.
func (s *Set) Full() Update {
	return Update{To: s.revision, Full: true, Put: s.Objects()}
}

// Change is what an operator asks for.
type Change struct {
	// ID makes a change that is sent again the same change.
	ID string `json:"id"`
	// Base is the revision that the operator saw.
	Base   Revision `json:"base"`
	By     string   `json:"by"`
	Put    []Object `json:"put,omitempty"`
	Delete []Key    `json:"delete,omitempty"`
}

// Keys returns every key that the change touches.
func (c Change) Keys() []Key {
	keys := append([]Key(nil), c.Delete...)
	for _, object := range c.Put {
		keys = append(keys, object.Key)
	}
	return keys
}

// Difference lists what the wanted objects would change in the set; objects
// that already say the same are left out. With prune, operators' objects that
// are not wanted are deleted.
func (s *Set) Difference(wanted []Object, prune bool) ([]Object, []Key) {
	var put []Object
	keep := map[Key]bool{}
	for _, object := range wanted {
		keep[object.Key] = true
		current, found := s.objects[object.Key]
		if found && current.Same(object) {
			continue
		}
		put = append(put, object)
	}
	if !prune {
		return put, nil
	}
	var remove []Key
	for _, object := range s.Objects() {
		if object.Key.Kind.Written() && !keep[object.Key] {
			remove = append(remove, object.Key)
		}
	}
	return put, remove
}

// Written reports whether operators write objects of this kind.
func (k Kind) Written() bool {
	return k != KindAssignment && k != KindAuthority
}

// With returns the set as it would be with other objects, at the next
// revision, for checks and previews.
func (s *Set) With(put []Object, remove []Key) *Set {
	next := Revision{Term: s.revision.Term, Index: s.revision.Index + 1}
	changed, _ := s.Apply(Update{From: s.revision, To: next, Put: put, Delete: remove})
	return changed
}
