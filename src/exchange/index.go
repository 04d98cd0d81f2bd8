package exchange

import (
	"slices"
	"sync"
)

// candidate is a replica that may be chosen.
type candidate struct {
	peer *Peer
	zone string
}

// indexedReplica is a usable replica with the copies under which it is indexed.
type indexedReplica struct {
	candidate *candidate
	service   string
	// reported holds the copies that the replica itself reported.
	reported copies
	// indexed holds the copies under which the replica is in the index.
	indexed copies
}

// copyIndex lists the replicas by service and by copy, so that a choice only looks at replicas that
// hold the model. Lists are immutable, so reading takes no lock; the cost of a change depends on
// the number of copies of one replica. Only one goroutine may change the index at a time.
type copyIndex struct {
	lists sync.Map // indexKey -> []*candidate
}

// indexKey identifies a list. An empty copy stands for all replicas of the service.
type indexKey struct {
	service string
	held    copyKey
}

// lookup returns the replicas of a service that hold a copy, or all replicas if the copy is empty.
func (x *copyIndex) lookup(service string, held copyKey) []*candidate {
	list, found := x.lists.Load(indexKey{service, held})
	if !found {
		return nil
	}
	return list.([]*candidate)
}

// add lists a replica under its service.
func (x *copyIndex) add(s *indexedReplica) {
	s.indexed = copies{}
	x.insert(s, copyKey{})
}

// remove takes a replica out of all lists.
func (x *copyIndex) remove(s *indexedReplica) {
	for held := range s.indexed {
		x.delete(s, held)
	}
	s.indexed = nil
	x.delete(s, copyKey{})
}

// update lists a replica under the copies that it reported and under those that are known to have
// been loaded since, but not under those that are known to be leaving.
func (x *copyIndex) update(s *indexedReplica, known copies) {
	next := make(copies, len(s.reported)+len(known))
	for held := range s.reported {
		// Adapters are unloaded with their model.
		if !known[held] && !known[copyKey{model: held.model}] {
			next[held] = true
		}
	}
	for held, leaving := range known {
		if !leaving {
			next[held] = true
		}
	}
	for held := range s.indexed {
		if !next[held] {
			x.delete(s, held)
		}
	}
	for held := range next {
		if !s.indexed[held] {
			x.insert(s, held)
		}
	}
	s.indexed = next
}

func (x *copyIndex) insert(s *indexedReplica, held copyKey) {
	key := indexKey{s.service, held}
	list := x.lookup(s.service, held)
	x.lists.Store(key, append(slices.Clip(list), s.candidate))
}

func (x *copyIndex) delete(s *indexedReplica, held copyKey) {
	key := indexKey{s.service, held}
	list := x.lookup(s.service, held)
	at := slices.Index(list, s.candidate)
	switch {
	case at < 0:
	case len(list) == 1:
		x.lists.Delete(key)
	default:
		x.lists.Store(key, slices.Concat(list[:at], list[at+1:]))
	}
}
