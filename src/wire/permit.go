package wire

// PermitRequest asks for a permit to send one request to a replica whose request rate is limited across
// all gateways, because the replica is cold or has announced a limit. It also reports what the gateway
// knows about the limit.
type PermitRequest struct {
	Service string `json:"s"`
	Replica string `json:"r"`
	// WithinMS is how long the request can wait for its permit, in milliseconds. It is negative if the
	// gateway only reports.
	WithinMS int64 `json:"w"`
	Priority int   `json:"p,omitempty"`
	// Warm is set if the replica is not cold. Earlier builds do not set it and ask only for cold replicas.
	Warm bool `json:"m,omitempty"`
	// Limited and PerSecond are the replica's limit. FromResponse is set if the limit comes from a response
	// of the replica that no issuer knows of yet. Term and Permit then identify the permit of the request
	// that got this response.
	Limited      bool    `json:"l,omitempty"`
	PerSecond    float64 `json:"n,omitempty"`
	FromResponse bool    `json:"h,omitempty"`
	Term         uint64  `json:"t,omitempty"`
	Permit       uint64  `json:"i,omitempty"`
}

// PermitReply is the reply to a PermitRequest. Known is false if no reachable node issues permits.
type PermitReply struct {
	Known   bool `json:"k,omitempty"`
	Granted bool `json:"g,omitempty"`
	// WaitUS is the delay in microseconds until the permit may be used, or until it could have been if it was
	// not granted.
	WaitUS int64 `json:"w,omitempty"`
	// Limits is set by builds that support limits of warm replicas. Limited and PerSecond are then the limit
	// in effect as of Version of the issuer's Term, and Permit is the number of the granted permit.
	Limits    bool    `json:"v,omitempty"`
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"n,omitempty"`
	Term      uint64  `json:"t,omitempty"`
	Version   uint64  `json:"e,omitempty"`
	Permit    uint64  `json:"i,omitempty"`
}

// Limits lists the replicas that have a limit, or had one recently, as of a version of an issuer's term.
// Term is 0 if the limits come from gateways and not from an issuer.
type Limits struct {
	Term    uint64         `json:"t"`
	Version uint64         `json:"e"`
	Limits  []ReplicaLimit `json:"l"`
}

// ReplicaLimit is the limit of one replica.
type ReplicaLimit struct {
	Replica string `json:"r"`
	// Limited is false if the replica no longer has a limit.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"n,omitempty"`
}
