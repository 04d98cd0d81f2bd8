package wire

import "github.com/moorspool/moorspool/src/config"

// HostState is a planner's view of a backend server.
type HostState string

// Host states. Only live hosts get new work, unless there are none.
const (
	HostLive    HostState = "live"
	HostSuspect HostState = "suspect"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// HostRoute describes what a backend server can serve.
type HostRoute struct {
	Host    string    `json:"host"`
	Pool    string    `json:"pool"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	State   HostState `json:"state"`
	// Slots is the number of requests the host runs concurrently at full speed.
	Slots int `json:"slots,omitempty"`
	// Models lists the ready copies, without draining ones.
	Models []ModelRoute `json:"models,omitempty"`
}

// ModelRoute is a ready copy of a model and its ready adapters.
type ModelRoute struct {
	Model    string   `json:"m"`
	Version  string   `json:"v"`
	Adapters []string `json:"a,omitempty"`
}

// RoutesUpdate contains the hosts whose routes changed. Seq only increases within an epoch.
type RoutesUpdate struct {
	Zone  string      `json:"zone"`
	Epoch uint64      `json:"epoch"`
	Seq   uint64      `json:"seq"`
	Full  bool        `json:"full,omitempty"`
	Hosts []HostRoute `json:"hosts,omitempty"`
	Loads []HostLoad  `json:"loads,omitempty"`
}

// HostLoad is the last load reported for a backend server.
type HostLoad struct {
	Host    string `json:"h"`
	Running int    `json:"r"`
	Waiting int    `json:"w"`
}

// RoutesRequest subscribes to the routes of a zone.
type RoutesRequest struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
}

// DemandReport lists the demand for each model since the last report.
type DemandReport struct {
	Node string `json:"node"`
	// AppliedSeq is the Seq of the last routes the node has applied.
	AppliedSeq uint64        `json:"taken"`
	Epoch      uint64        `json:"epoch"`
	Models     []ModelDemand `json:"models,omitempty"`
}

// ModelDemand is the demand for one model during a report interval.
type ModelDemand struct {
	Model    string `json:"m"`
	Requests int    `json:"r"`
	// Busy is the time that requests for the model spent on backend servers, in milliseconds.
	Busy int64 `json:"b,omitempty"`
	// Unserved is the number of requests for which no copy was ready.
	Unserved int `json:"u,omitempty"`
}

// PlanRequest asks what a planner would do if these objects were in effect.
type PlanRequest struct {
	Put    []config.Object `json:"put,omitempty"`
	Delete []config.Key    `json:"delete,omitempty"`
}

// PlanStep is one load or unload and its reason.
type PlanStep struct {
	Action      string `json:"action"`
	Model       string `json:"model"`
	Host        string `json:"host"`
	Accelerator int    `json:"accelerator"`
	Reason      string `json:"reason"`
}

// PlanReply lists the steps in order.
type PlanReply struct {
	Steps    []PlanStep `json:"steps"`
	Unplaced []string   `json:"unplaced,omitempty"`
}

// RoutesReply contains all routes known to a gateway, one update per zone.
type RoutesReply struct {
	Zones []RoutesUpdate `json:"zones"`
}
