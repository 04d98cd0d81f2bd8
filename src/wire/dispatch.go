package wire

import "time"

// PlaceRequest asks for a place of a service's replicas.
type PlaceRequest struct {
	Service  string `json:"s"`
	Account  string `json:"a,omitempty"`
	Priority int    `json:"p,omitempty"`
	// WithinMS is how long the request has until it should be answered, in milliseconds.
	WithinMS int64 `json:"w"`
	// Tried are replicas that it must not go to.
	Tried []string `json:"t,omitempty"`
}

// Within returns how long the request has until it should be answered.
func (r *PlaceRequest) Within() time.Duration { return time.Duration(r.WithinMS) * time.Millisecond }

// PlaceReply answers a PlaceRequest. Known is false if nobody in reach assigns places.
type PlaceReply struct {
	Known bool `json:"k,omitempty"`
	// Replica is "" if no place is free in time; the request should come back after RetryMS
	// milliseconds.
	Replica string `json:"r,omitempty"`
	Ticket  uint64 `json:"t,omitempty"`
	RetryMS int64  `json:"w,omitempty"`
}

// PlaceRelease tells how a request ended that had a place.
type PlaceRelease struct {
	Service string `json:"s"`
	Ticket  uint64 `json:"t"`
	// Outcome is one of package dispatch's.
	Outcome string `json:"o"`
	TookMS  int64  `json:"d,omitempty"`
}
