package wire

import "time"

// PlaceRequest asks for a slot on one of a service's replicas.
type PlaceRequest struct {
	Service  string `json:"s"`
	Account  string `json:"a,omitempty"`
	Priority int    `json:"p,omitempty"`
	// WithinMS is the time in milliseconds within which the request should be answered.
	WithinMS int64 `json:"w"`
	// Tried lists the replicas to exclude.
	Tried []string `json:"t,omitempty"`
}

// TimeLeft returns the time within which the request should be answered.
func (r *PlaceRequest) TimeLeft() time.Duration { return time.Duration(r.WithinMS) * time.Millisecond }

// PlaceReply is the reply to a PlaceRequest: the assigned slot. Known is false if no reachable node assigns
// slots.
type PlaceReply struct {
	Known bool `json:"k,omitempty"`
	// Replica is "" if no slot becomes free in time. The request should then be repeated after RetryMS
	// milliseconds.
	Replica string `json:"r,omitempty"`
	Ticket  uint64 `json:"t,omitempty"`
	RetryMS int64  `json:"w,omitempty"`
	// Owner is the address of the node that assigned the slot, "" for the leader.
	Owner string `json:"o,omitempty"`
}

// PlaceRelease releases a slot and reports how the request that had it ended.
type PlaceRelease struct {
	Service string `json:"s"`
	Ticket  uint64 `json:"t"`
	// Outcome is an outcome defined by package dispatch.
	Outcome string `json:"o"`
	TookMS  int64  `json:"d,omitempty"`
	// Owner is the Owner of the reply.
	Owner string `json:"n,omitempty"`
}
