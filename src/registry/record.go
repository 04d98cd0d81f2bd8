package registry

import (
	"slices"
	"strconv"
)

// Record is the latest heartbeat of a replica. Sequence increases with each heartbeat.
type Record struct {
	// ID identifies the incarnation; see Incarnation.ID.
	ID string `json:"id"`
	// Name is the replica's own name, "" if it equals ID.
	Name string `json:"name,omitempty"`
	// StartedMS is the Unix time in milliseconds at which the replica started; 0 if it does not
	// report it.
	StartedMS int64  `json:"born,omitempty"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	// SoftwareVersion is the version of the replica's software, "" if it does not report it.
	SoftwareVersion string `json:"version,omitempty"`
	Slots           int    `json:"slots"`
	Sequence        uint64 `json:"sequence"`
	// Draining is set when the replica accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// Gone is set when the replica has ended or has announced that it will.
	Gone bool `json:"gone,omitempty"`
	// RemainingMS is how long a replica that is being terminated at short notice keeps running; 0
	// if unknown.
	RemainingMS int64 `json:"remainingMs,omitempty"`
	// ColdMS is how much longer the replica can serve only a few requests, after its start or
	// later.
	ColdMS int64  `json:"coldMs,omitempty"`
	Stage  string `json:"stage,omitempty"`
	// Models are the models loaded on the accelerators now.
	Models []Held `json:"models,omitempty"`
	// InMemory and OnDisk list the models whose weights can be loaded without the weight store.
	InMemory []string `json:"inMemory,omitempty"`
	OnDisk   []string `json:"onDisk,omitempty"`
}

// Incarnation identifies one start of a replica. A replica that reports its start time may restart
// under the same name; one that does not has a new name for every start.
type Incarnation struct {
	// Name is the replica's own name.
	Name string
	// StartedMS is the Unix time in milliseconds of the start; 0 if the replica does not report it.
	StartedMS int64
}

// ID returns a unique identifier of this start. All state of a replica is stored under it, so that
// the state of an earlier start is never attributed to a later one.
func (i Incarnation) ID() string {
	if i.StartedMS == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.StartedMS, 10)
}

// Incarnation returns the start of the replica that the record belongs to.
func (r *Record) Incarnation() Incarnation {
	return Incarnation{Name: r.ReplicaName(), StartedMS: r.StartedMS}
}

// ReplicaName returns the replica's own name.
func (r *Record) ReplicaName() string {
	if r.Name == "" {
		return r.ID
	}
	return r.Name
}

// namesNoStart reports whether the record is that of an end notice for a replica that the node that got the notice
// did not know. It has nothing but the replica's name.
func (r *Record) namesNoStart() bool { return r.StartedMS == 0 && r.Address == "" }

// conflictsWith reports whether at most one of the two records can belong to a running replica:
// they share an address or a name.
func (r *Record) conflictsWith(other *Record) bool {
	return r.Address == other.Address || r.ReplicaName() == other.ReplicaName()
}

// startedBefore reports whether the other record, which conflicts with this one, is known to belong
// to a later start. Among records of one name, a start that reports its time is later than one that
// does not.
func (r *Record) startedBefore(other *Record) bool {
	if r.StartedMS >= other.StartedMS {
		return false
	}
	return r.StartedMS > 0 || r.ReplicaName() == other.ReplicaName()
}

// Held is a model loaded on a replica, with its loaded adapters.
type Held struct {
	Name           string   `json:"name"`
	WeightsVersion int      `json:"version,omitempty"`
	Adapters       []string `json:"adapters,omitempty"`
}

// Holds reports whether the replica has the model loaded, and the adapter too unless it is "".
func (r *Record) Holds(model, adapter string) bool {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return adapter == "" || slices.Contains(r.Models[i].Adapters, adapter)
		}
	}
	return false
}

// Leaving reports whether the replica is draining or gone and must get no new requests.
func (r *Record) Leaving() bool { return r.Draining || r.Gone }

// update replaces the record by a later one, but never clears Draining or Gone.
func (r *Record) update(next Record) {
	draining, gone := r.Draining, r.Gone
	*r = next
	r.Draining = r.Draining || draining
	r.Gone = r.Gone || gone
}

// sameState reports whether two records agree in everything that other processes act on.
func sameState(a, b *Record) bool {
	return sameRouting(a, b) && a.RemainingMS == b.RemainingMS && a.Stage == b.Stage &&
		slices.Equal(a.InMemory, b.InMemory) && slices.Equal(a.OnDisk, b.OnDisk)
}

// sameRouting reports whether two records of a replica, the later one second, agree in everything
// that affects request routing. A shorter remaining cold time is not a change.
func sameRouting(a, b *Record) bool {
	return b.ColdMS <= a.ColdMS && a.Draining == b.Draining && a.Gone == b.Gone && a.Address == b.Address && a.Slots == b.Slots &&
		a.SoftwareVersion == b.SoftwareVersion &&
		a.Service == b.Service && slices.EqualFunc(a.Models, b.Models, sameModel)
}

// routingRecord returns a copy of the record without the fields that only placement needs.
func (r *Record) routingRecord() Record {
	routing := *r
	routing.Stage = ""
	routing.RemainingMS = 0
	routing.InMemory, routing.OnDisk = nil, nil
	return routing
}

func sameModel(a, b Held) bool {
	return a.Name == b.Name && a.WeightsVersion == b.WeightsVersion && slices.Equal(a.Adapters, b.Adapters)
}
