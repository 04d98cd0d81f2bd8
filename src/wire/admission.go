package wire

import "time"

// AdmitRequest asks a control node to admit a request of a client account. Without an account it
// only asks when the configuration was last confirmed to be the newest. JSON keys are short because
// it is sent for every request.
type AdmitRequest struct {
	Account string  `json:"a,omitempty"`
	Units   float64 `json:"u,omitempty"`
}

// Admission is the result of a request for units of an account's quota.
type Admission string

// Admission results.
const (
	// AdmissionGranted means that the units may be used.
	AdmissionGranted Admission = "granted"
	// QuotaExhausted means that the account's quota is exhausted for now.
	QuotaExhausted Admission = "spent"
	// AdmissionUnknown means that no reachable node can decide.
	AdmissionUnknown Admission = ""
)

// AdmitReply is the reply to an AdmitRequest.
type AdmitReply struct {
	Admission Admission `json:"r,omitempty"`
	// WaitMS is the expected time until the account has enough quota, in milliseconds.
	WaitMS int64 `json:"w,omitempty"`
	// Version was the newest accepted configuration AgeMS milliseconds before this reply
	// was created; it is 0 if the control node has no confirmed configuration.
	Version uint64 `json:"v,omitempty"`
	AgeMS   int64  `json:"t,omitempty"`
}

// AdmitReturn gives granted units back that will not be used.
type AdmitReturn struct {
	Units []ReturnedUnits `json:"u"`
}

// ReturnedUnits are the units of one account.
type ReturnedUnits struct {
	Account string  `json:"a"`
	Units   float64 `json:"u"`
}

// QuotaShare is a control node's share of an account's quota.
type QuotaShare struct {
	Account string `json:"a"`
	// Rate is the share in units per second, and Burst the units the node may accumulate.
	Rate  float64 `json:"r,omitempty"`
	Burst float64 `json:"s,omitempty"`
	// Demand is the recent demand in units per second, UnitsPerRequest the average units per request, and
	// Overflow the units that expired unused. These three are set only in reports to the leader.
	Demand          float64 `json:"d,omitempty"`
	UnitsPerRequest float64 `json:"t,omitempty"`
	Overflow        float64 `json:"o,omitempty"`
}

// LeaseRequest is a control node's quota report to the leader. Incarnation is different after each
// restart of the node, and Sequence orders its reports.
type LeaseRequest struct {
	Node        string       `json:"node"`
	Incarnation uint64       `json:"life"`
	Sequence    uint64       `json:"sequence"`
	Shares      []QuotaShare `json:"shares,omitempty"`
}

// LeaseReply grants shares for a lease that starts when the request was sent. Known is set if the
// responding node is the leader; Version is then the newest accepted configuration.
type LeaseReply struct {
	Known   bool         `json:"known"`
	Version uint64       `json:"version,omitempty"`
	Shares  []QuotaShare `json:"shares,omitempty"`
	// Usage is the recent usage by account. Complete is set if it lists every account with usage.
	Usage    []QuotaUsage `json:"usage,omitempty"`
	Complete bool         `json:"complete,omitempty"`
}

// QuotaUsage is the recent usage of an account, in the unit of its quota.
type QuotaUsage struct {
	Account string `json:"a"`
	// Used is the usage in each interval of the window, newest first. Level is the unused quota
	// the account has accumulated, and ExtensionUsed the units it has used ahead of accumulating them.
	Used          []float64 `json:"u,omitempty"`
	Level         float64   `json:"l,omitempty"`
	ExtensionUsed float64   `json:"e,omitempty"`
	// Blocked is how long the usage before the present leader, which is unknown, may still count.
	Blocked time.Duration `json:"b,omitempty"`
}

// DrawRequest asks the leader to reserve quota units outside the control nodes' shares.
type DrawRequest struct {
	Account string  `json:"a"`
	Units   float64 `json:"u"`
}

// DrawReply is the reply to a DrawRequest: the outcome of reserving the units.
type DrawReply struct {
	Admission Admission `json:"r,omitempty"`
	WaitMS    int64     `json:"w,omitempty"`
}
