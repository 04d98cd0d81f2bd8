package wire

// Holdings tell which copies were just loaded or are about to go, so that
// gateways need not wait for the replicas' next word. A publisher sends them
// whole once and as differences from then on.
type Holdings struct {
	// Term orders holdings of different holders.
	Term    uint64 `json:"term"`
	Version uint64 `json:"version"`
	// Base is the version that Copies and Gone change, 0 if Copies are all there are.
	Base   uint64    `json:"base,omitempty"`
	Copies []Holding `json:"copies,omitempty"`
	// Gone are copies of the base of which nothing is said any more.
	Gone []Holding `json:"gone,omitempty"`
	// Coming are the models without a copy of which one is being loaded, all of them in each
	// message.
	Coming []Coming `json:"coming,omitempty"`
}

// Coming is a model of which the first copy is being loaded.
type Coming struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// InMS is after how many milliseconds it is expected to serve, as of the message.
	InMS int64 `json:"inMs"`
}

// Holding is one model, or an adapter of it, on a replica.
type Holding struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Leaving copies get no new requests; others are there now.
	Leaving bool `json:"leaving,omitempty"`
}

// key is the holding without what is said of it.
func (h Holding) key() Holding {
	h.Leaving = false
	return h
}

// Since returns what turns earlier whole holdings of the same term into these.
func (h *Holdings) Since(earlier *Holdings) *Holdings {
	delta := &Holdings{Term: h.Term, Version: h.Version, Base: earlier.Version, Coming: h.Coming}
	known := make(map[Holding]bool, len(earlier.Copies))
	for _, held := range earlier.Copies {
		known[held.key()] = held.Leaving
	}
	for _, held := range h.Copies {
		leaving, found := known[held.key()]
		if !found || leaving != held.Leaving {
			delta.Copies = append(delta.Copies, held)
		}
		delete(known, held.key())
	}
	for held := range known {
		delta.Gone = append(delta.Gone, held)
	}
	return delta
}

// With returns whole holdings with a difference applied; false if the difference
// is not one of theirs.
func (h *Holdings) With(delta *Holdings) (*Holdings, bool) {
	if delta.Term != h.Term || delta.Base != h.Version {
		return nil, false
	}
	changed := make(map[Holding]bool, len(delta.Copies)+len(delta.Gone))
	for _, held := range delta.Copies {
		changed[held.key()] = true
	}
	for _, held := range delta.Gone {
		changed[held.key()] = true
	}
	next := &Holdings{Term: delta.Term, Version: delta.Version, Coming: delta.Coming}
	for _, held := range h.Copies {
		if !changed[held.key()] {
			next.Copies = append(next.Copies, held)
		}
	}
	next.Copies = append(next.Copies, delta.Copies...)
	return next, true
}
