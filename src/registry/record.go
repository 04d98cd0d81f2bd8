package registry

import (
	"slices"
	"strconv"
)

// Record is what a replica last said of itself; Sequence grows with each of its calls.
type Record struct {
	// ID is the incarnation's.
	ID string `json:"id"`
	// Name is what the replica calls itself, "" where that is the ID.
	Name string `json:"name,omitempty"`
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
	// ColdMS is for how much longer a replica bears few requests only, after its start or later.
	ColdMS int64  `json:"coldMs,omitempty"`
	Stage  string `json:"stage,omitempty"`
	// Models are on the accelerators now.
	Models []Held `json:"models,omitempty"`
	// InMemory and OnDisk name weights that load without the store.
	InMemory []string `json:"inMemory,omitempty"`
	OnDisk   []string `json:"onDisk,omitempty"`
}

// Incarnation is one start of a replica. A replica that says when it started may start again
// under the name that it had; of one that does not, every start has a name of its own.
type Incarnation struct {
	// Name is what the replica calls itself.
	Name string
	// Born is the Unix millisecond of the start; 0 if the replica does not say it.
	Born int64
}

// ID returns what tells this start from every other one: all that is kept of a replica is kept
// under it, so that nothing of an earlier start is believed of a later one.
func (i Incarnation) ID() string {
	if i.Born == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.Born, 10)
}

// Incarnation returns which start of the replica said the record.
func (r *Record) Incarnation() Incarnation { return Incarnation{Name: r.ReplicaName(), Born: r.Born} }

// ReplicaName returns what the replica calls itself.
func (r *Record) ReplicaName() string {
	if r.Name == "" {
		return r.ID
	}
	return r.Name
}

// excludes reports whether only one of two records can be of a replica that is still there: they
// share the address or the name.
func (r *Record) excludes(other *Record) bool {
	return r.Address == other.Address || r.ReplicaName() == other.ReplicaName()
}

// precedes reports whether the other record, which this one excludes, is known to be of a later
// start. Of one name, a start that is told is later than one that is not.
func (r *Record) precedes(other *Record) bool {
	if r.Born >= other.Born {
		return false
	}
	return r.Born > 0 || r.ReplicaName() == other.ReplicaName()
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

// sameForRequests reports whether two records of a replica, the later one last, are alike in all that
// decides where requests go. A cold time that runs out says nothing new.
func sameForRequests(a, b *Record) bool {
	return b.ColdMS <= a.ColdMS && a.Draining == b.Draining && a.Gone == b.Gone && a.Address == b.Address && a.Slots == b.Slots &&
		a.Service == b.Service && slices.EqualFunc(a.Models, b.Models, sameHeld)
}

// forRequests returns the record without what only placing needs.
func (r *Record) forRequests() Record {
	slim := *r
	slim.Version, slim.Stage = "", ""
	slim.RemainingMS = 0
	slim.InMemory, slim.OnDisk = nil, nil
	return slim
}

func sameHeld(a, b Held) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
