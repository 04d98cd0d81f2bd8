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
	// Node is the reporting process since its start, and AtMS the time of the report in
	// milliseconds on a clock of this process. Both are set if there are Replicas.
	Node string `json:"g,omitempty"`
	AtMS int64  `json:"m,omitempty"`
	// Replicas are the reports on replicas of engines with small batches.
	Replicas []ReplicaReport `json:"l,omitempty"`
}

// ReplicaReport is what a gateway, or a control node's gateways, learned of a replica since the
// last report. JSON keys are short because it is sent many times a second.
type ReplicaReport struct {
	Replica string `json:"r"`
	// Requests is the number of requests sent to the replica.
	Requests int `json:"n,omitempty"`
	// Load is the newest load that the replica told, nil if it told none.
	Load *ToldLoad `json:"l,omitempty"`
	// SpeedPermille is the mean ratio of observed to expected time over Samples requests, in
	// thousandths.
	SpeedPermille int `json:"x,omitempty"`
	Samples       int `json:"c,omitempty"`
}

// ToldLoad is the load that a replica told in a response.
type ToldLoad struct {
	Running int `json:"n,omitempty"`
	Waiting int `json:"w,omitempty"`
	Slots   int `json:"s,omitempty"`
	// PacePercent is how long work takes now in percent of the usual time, 0 if not told.
	PacePercent int `json:"p,omitempty"`
	// AgeMS is how long before the report the load was told, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
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
	// States is the list of the states of replicas of engines with small batches, encoded likewise.
	States []byte `json:"q,omitempty"`
}
