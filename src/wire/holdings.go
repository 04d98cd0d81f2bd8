package wire

// Holdings reports copies that were just loaded or are about to be unloaded, so that
// gateways need not wait for the replicas' next reports. The first message of a publisher is
// complete; later ones contain only the differences.
type Holdings struct {
	// Term orders the Holdings of different publishers.
	Term    uint64 `json:"term"`
	Version uint64 `json:"version"`
	// Base is the version that Copies and Gone modify, or 0 if Copies is complete.
	Base   uint64    `json:"base,omitempty"`
	Copies []Holding `json:"copies,omitempty"`
	// Gone lists the copies of the base that are no longer reported.
	Gone []Holding `json:"gone,omitempty"`
	// Coming lists the models whose first copy is being loaded. Unlike Copies, it is complete in every
	// message.
	Coming []Coming `json:"coming,omitempty"`
}

// Coming is a model whose first copy is being loaded.
type Coming struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// InMS is the expected time until it is ready, in milliseconds after the message.
	InMS int64 `json:"inMs"`
}

// Holding is a copy of a model, or of an adapter of it, on a replica.
type Holding struct {
	Replica string `json:"replica"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Leaving is set for copies that get no new requests. All others are loaded.
	Leaving bool `json:"leaving,omitempty"`
}

// key returns the Holding without its state.
func (h Holding) key() Holding {
	h.Leaving = false
	return h
}

// Since returns the difference from earlier complete holdings of the same term.
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

// With returns the complete holdings after applying a difference. It returns false if the difference
// has another base.
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
