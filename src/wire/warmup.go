package wire

// WarmupRequest asks for a permit for one request to a cold replica.
type WarmupRequest struct {
	Service string `json:"s"`
	Replica string `json:"r"`
	// WithinMS is how many milliseconds the request can wait for its permit.
	WithinMS int64 `json:"w"`
}

// WarmupReply answers a WarmupRequest. Known is false if nobody in reach may issue permits.
type WarmupReply struct {
	Known   bool `json:"k,omitempty"`
	Granted bool `json:"g,omitempty"`
	// WaitUS is after how many microseconds the permit may be used, or would have been.
	WaitUS int64 `json:"w,omitempty"`
}
