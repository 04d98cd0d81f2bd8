package wire

// LoadReport is what a gateway has under way, or several gateways together.
type LoadReport struct {
	// Node is who reports; it is left out of totals.
	Node  string        `json:"node,omitempty"`
	Loads []ReplicaLoad `json:"loads,omitempty"`
}

// ReplicaLoad is what is under way at one replica. Its names are short since it is
// sent many times a second.
type ReplicaLoad struct {
	Replica string `json:"r"`
	// Running is the number of requests sent and not ended.
	Running int `json:"n,omitempty"`
	// UnreadMS is the time that the replica needs for prompts that it was sent and
	// has not read yet, in milliseconds.
	UnreadMS int `json:"u,omitempty"`
}

// SentReport names prompts that were sent to replicas.
type SentReport struct {
	Sent []Sent `json:"s"`
}

// Sent is one prompt, or several, that a replica was sent. Its names are short since it
// is sent many times a second.
type Sent struct {
	Replica string `json:"r"`
	// ReadMS is the time that the replica needs to read them, in milliseconds.
	ReadMS int `json:"t"`
}

// Backlogs tell how long replicas need for the prompts that all gateways have sent them.
type Backlogs struct {
	// Packed is the replicas with their backlogs, as package loadview packs them: JSON
	// objects would cost a gateway more than all else that it is told.
	Packed []byte `json:"p,omitempty"`
}
