package registry

import (
	"slices"
	"strconv"
)

// Record is what a replica last said of itself. One start of a replica is one
// incarnation with an ID of its own; Sequence grows with each of its calls.
type Record struct {
	ID string `json:"id"`
	// Born is the Unix millisecond of the replica's start; 0 if it does not say.
	Born     int64  `json:"born,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots"`
	Sequence uint64 `json:"sequence"`
	// Draining replicas get no new requests.
	Draining bool `json:"draining,omitempty"`
	// Gone replicas have ended or said that they will.
	Gone bool `json:"gone,omitempty"`
	// RemainingMS is how long a replica that is taken away at short notice still runs; 0 if unknown.
	RemainingMS int64 `json:"remainingMs,omitempty"`
	// ColdMS is how much longer a replica stays slow after its start.
	ColdMS int64  `json:"coldMs,omitempty"`
	Stage  string `json:"stage,omitempty"`
	// Models are on the accelerators now.
	Models []Held `json:"models,omitempty"`
	// InMemory and OnDisk name weights that load without the store.
	InMemory []string `json:"inMemory,omitempty"`
	OnDisk   []string `json:"onDisk,omitempty"`
}

// Incarnation is one start of a replica. A replica that says when it started may start again
// under the ID that it had; of one that does not, every start has an ID of its own.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns which start of the replica said the record.
func (r *Record) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// String returns the ID, with the start if it is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Held is one model on a replica, with the adapters that are loaded.
type Held struct {
	Name     string   `json:"name"`
	Version  int      `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Holds reports whether the replica has a model, and the adapter unless that is "".
func (r *Record) Holds(model, adapter string) bool {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return adapter == "" || slices.Contains(r.Models[i].Adapters, adapter)
		}
	}
	return false
}

// Leaving reports whether the replica must get no new requests.
func (r *Record) Leaving() bool { return r.Draining || r.Gone }

// supersede takes in a later word; that a replica leaves is never taken back.
func (r *Record) supersede(next Record) {
	draining, gone := r.Draining, r.Gone
	*r = next
	r.Draining = r.Draining || draining
	r.Gone = r.Gone || gone
}

// sameFor reports whether two records are alike in all that others act on.
func sameFor(a, b *Record) bool {
	return sameForRequests(a, b) && a.RemainingMS == b.RemainingMS && a.Stage == b.Stage &&
		slices.Equal(a.InMemory, b.InMemory) && slices.Equal(a.OnDisk, b.OnDisk)
}

// sameForRequests reports whether two records are alike in all that decides where
// requests go.
func sameForRequests(a, b *Record) bool {
	return a.Draining == b.Draining && a.Gone == b.Gone && a.Address == b.Address && a.Slots == b.Slots &&
		a.Service == b.Service && slices.EqualFunc(a.Models, b.Models, sameHeld)
}

// forRequests returns the record without what only placing needs.
func (r *Record) forRequests() Record {
	slim := *r
	slim.Version, slim.Stage = "", ""
	slim.RemainingMS, slim.ColdMS = 0, 0
	slim.InMemory, slim.OnDisk = nil, nil
	return slim
}

func sameHeld(a, b Held) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
