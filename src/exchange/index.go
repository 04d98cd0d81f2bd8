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

// server is a replica that may get requests, with the copies that it is listed under.
type server struct {
	candidate *candidate
	service   string
	// told are the copies that the replica itself told of.
	told copies
	// listed are the copies that it is listed under in the index.
	listed copies
}

// copyIndex lists the replicas of a service and those that hold a copy, so that a choice
// looks at these alone. A list never changes once it is there: reading takes no lock, and
// a change costs what the copies of one replica cost. Changes are made by one goroutine
// at a time.
type copyIndex struct {
	lists sync.Map // indexKey -> []*candidate
}

// indexKey names a list: all replicas of a service if the copy is empty.
type indexKey struct {
	service string
	held    copyKey
}

// of returns the replicas of a service that hold a copy, or all if it is empty.
func (x *copyIndex) of(service string, held copyKey) []*candidate {
	list, found := x.lists.Load(indexKey{service, held})
	if !found {
		return nil
	}
	return list.([]*candidate)
}

// add lists a replica under its service.
func (x *copyIndex) add(s *server) {
	s.listed = copies{}
	x.insert(s, copyKey{})
}

// remove takes a replica out of all lists.
func (x *copyIndex) remove(s *server) {
	for held := range s.listed {
		x.delete(s, held)
	}
	s.listed = nil
	x.delete(s, copyKey{})
}

// update lists a replica under the copies that it told of and under those that are known
// to have come since, but not under those that are known to leave.
func (x *copyIndex) update(s *server, known copies) {
	next := make(copies, len(s.told)+len(known))
	for held := range s.told {
		// An adapter leaves with its model.
		if !known[held] && !known[copyKey{model: held.model}] {
			next[held] = true
		}
	}
	for held, leaving := range known {
		if !leaving {
			next[held] = true
		}
	}
	for held := range s.listed {
		if !next[held] {
			x.delete(s, held)
		}
	}
	for held := range next {
		if !s.listed[held] {
			x.insert(s, held)
		}
	}
	s.listed = next
}

func (x *copyIndex) insert(s *server, held copyKey) {
	key := indexKey{s.service, held}
	list := x.of(s.service, held)
	x.lists.Store(key, append(slices.Clip(list), s.candidate))
}

func (x *copyIndex) delete(s *server, held copyKey) {
	key := indexKey{s.service, held}
	list := x.of(s.service, held)
	at := slices.Index(list, s.candidate)
	switch {
	case at < 0:
	case len(list) == 1:
		x.lists.Delete(key)
	default:
		x.lists.Store(key, slices.Concat(list[:at], list[at+1:]))
	}
}
