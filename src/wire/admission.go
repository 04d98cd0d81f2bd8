package wire

// AdmitRequest asks a control node whether a request of a client account may pass. One
// without an account asks only how lately the configuration was known to be the newest.
// Its names are short since it is sent for each request.
type AdmitRequest struct {
	Account string  `json:"a,omitempty"`
	Units   float64 `json:"u,omitempty"`
}

// Admission says what became of an ask for units of an account's limit.
type Admission string

// The admissions.
const (
	// Granted means that the units may be spent.
	Granted Admission = "granted"
	// Spent means that the account has nothing left for now.
	Spent Admission = "spent"
	// Unsure means that nobody in reach can say.
	Unsure Admission = ""
)

// AdmitReply answers an AdmitRequest.
type AdmitReply struct {
	Admission Admission `json:"r,omitempty"`
	// WaitMS is after how long the account is expected to have enough, in milliseconds.
	WaitMS int64 `json:"w,omitempty"`
	// Version was the newest accepted configuration AgeMS milliseconds before this reply
	// was made; 0 if the control node knows of none for certain.
	Version uint64 `json:"v,omitempty"`
	AgeMS   int64  `json:"t,omitempty"`
}

// QuotaShare is a control node's part of an account's limit.
type QuotaShare struct {
	Account string `json:"a"`
	// Rate is in units a second, Saved in units.
	Rate  float64 `json:"r,omitempty"`
	Saved float64 `json:"s,omitempty"`
	// Demand is in units a second, Typical and Spilled in units; replies leave them out.
	Demand  float64 `json:"d,omitempty"`
	Typical float64 `json:"t,omitempty"`
	Spilled float64 `json:"o,omitempty"`
}

// LeaseRequest is a control node's report to the leader.
type LeaseRequest struct {
	Node     string       `json:"node"`
	Life     uint64       `json:"life"`
	Sequence uint64       `json:"sequence"`
	Shares   []QuotaShare `json:"shares,omitempty"`
}

// LeaseReply gives shares from when the request was sent. Known is set if the node that
// answers leads; Version is then the newest accepted configuration.
type LeaseReply struct {
	Known   bool         `json:"known"`
	Version uint64       `json:"version,omitempty"`
	Shares  []QuotaShare `json:"shares,omitempty"`
	// Usage is what the accounts have used; Complete is set if those are all accounts.
	Usage    []QuotaUsage `json:"usage,omitempty"`
	Complete bool         `json:"complete,omitempty"`
}

// QuotaUsage is what an account has used, in its unit.
type QuotaUsage struct {
	Account string `json:"a"`
	// Used is in parts of the window, the newest first.
	Used     []float64 `json:"u,omitempty"`
	Level    float64   `json:"l,omitempty"`
	Extended float64   `json:"e,omitempty"`
}

// DrawRequest asks the leader for units that no control node has.
type DrawRequest struct {
	Account string  `json:"a"`
	Units   float64 `json:"u"`
}

// DrawReply answers a DrawRequest.
type DrawReply struct {
	Admission Admission `json:"r,omitempty"`
	WaitMS    int64     `json:"w,omitempty"`
}
