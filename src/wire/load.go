package wire

// LoadReport lists the requests in flight of one gateway, or of several combined.
type LoadReport struct {
	// Node is the reporting process. It is empty in totals.
	Node  string        `json:"node,omitempty"`
	Loads []ReplicaLoad `json:"loads,omitempty"`
}

// ReplicaLoad is the load in flight at one replica. JSON keys are short because it is sent many times
// a second.
type ReplicaLoad struct {
	Replica string `json:"r"`
	// Running is the number of requests in flight.
	Running int `json:"n,omitempty"`
	// UnreadMS is the time in milliseconds that the replica needs for the prompts it was sent and has not
	// processed yet.
	UnreadMS int `json:"u,omitempty"`
}

// SentReport lists the prompts that a gateway, or a control node's gateways, sent to replicas.
type SentReport struct {
	Sent []Sent `json:"s"`
}

// Sent represents one or more prompts sent to a replica. JSON keys are short because it is sent
// many times a second.
type Sent struct {
	Replica string `json:"r"`
	// ReadMS is the time the replica needs to process them, in milliseconds.
	ReadMS int `json:"t"`
}

// Backlogs reports how long replicas need to process the outstanding prompts of all gateways.
type Backlogs struct {
	// Packed is the list of replicas and backlogs as encoded by package loadview. Decoding JSON
	// objects would cost a gateway more than everything else it receives.
	Packed []byte `json:"p,omitempty"`
}
