package engine

import (
	"strconv"

	"github.com/moorspool/moorspool/src/config"
)

// Paths and headers of the engines' protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathReport      = "/control/report"
	PathOrders      = "/control/orders"

	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderResumeFrom = "X-Resume-From"
	HeaderOnce       = "X-Once"
	HeaderNotRun     = "X-Not-Run"
	HeaderLoad       = "X-Load"
	HeaderLeaving    = "X-Leaving"
	// HeaderKnown holds the incarnation and version of the newest report that the
	// caller has.
	HeaderKnown = "X-Report-Known"
)

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// Action is the kind of an order.
type Action string

// The actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	// ActionFence changes nothing itself. Once the engine has accepted it, it
	// rejects all earlier orders.
	ActionFence Action = "fence"
)

// Weights identifies the weights of a model or, if Adapter is set, of an adapter.
type Weights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// Order is a command to an engine. Epoch and Seq are its fencing token: an engine
// that checks orders accepts only those that are newer than any it has seen.
type Order struct {
	Epoch       uint64       `json:"epoch"`
	Seq         uint64       `json:"seq"`
	Action      Action       `json:"action"`
	Weights     Weights      `json:"weights"`
	Accelerator int          `json:"accelerator"`
	Bytes       config.Bytes `json:"bytes"`
}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderAccepted OrderOutcome = "taken"
	OrderStale    OrderOutcome = "stale"
	OrderNoMemory OrderOutcome = "no-memory"
	OrderInvalid  OrderOutcome = "invalid"
)

// OrderReply is the response to an order.
type OrderReply struct {
	Outcome OrderOutcome `json:"outcome"`
	Reason  string       `json:"reason,omitempty"`
}

// CopyState is the state of a copy on an accelerator.
type CopyState string

// The states of a copy.
const (
	CopyLoading   CopyState = "loading"
	CopyReady     CopyState = "ready"
	CopyUnloading CopyState = "unloading"
	CopyFailed    CopyState = "failed"
)

// Copy is a copy of weights on an accelerator, as the engine reports it.
type Copy struct {
	Weights     Weights      `json:"weights"`
	Accelerator int          `json:"accelerator"`
	Bytes       config.Bytes `json:"bytes"`
	State       CopyState    `json:"state"`
}

// Known returns the value of HeaderKnown for a report, "" if the report is empty.
func (r Report) Known() string {
	if r.Incarnation == "" {
		return ""
	}
	return r.Incarnation + "/" + strconv.FormatUint(r.Version, 10)
}

// Report is an engine's status. It may arrive late, after a newer one.
type Report struct {
	Host string `json:"host"`
	// Incarnation differs after every restart of the engine.
	Incarnation string `json:"incarnation"`
	// Seq increases with every report of an incarnation.
	Seq uint64 `json:"seq"`
	// Version increases whenever anything other than the load may have changed.
	Version uint64 `json:"version"`
	// LoadOnly is set if the report holds only the load, since Version is still the
	// one in the request.
	LoadOnly bool `json:"same,omitempty"`
	// Epoch and LastOrder identify the newest order that the engine accepted. It
	// rejects older orders as stale.
	Epoch     uint64         `json:"epoch"`
	LastOrder uint64         `json:"lastOrder"`
	Leaving   bool           `json:"leaving,omitempty"`
	Capacity  []config.Bytes `json:"capacity,omitempty"`
	Copies    []Copy         `json:"copies,omitempty"`
	Running   int            `json:"running"`
	Waiting   int            `json:"waiting"`
	// Slots is the number of requests that one accelerator runs concurrently at
	// full speed.
	Slots int `json:"slots"`
	// Breaches is the number of times that memory was overcommitted.
	Breaches int `json:"breaches"`
}
