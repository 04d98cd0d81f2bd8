package engine

import (
	"strconv"

	"github.com/moorspool/moorspool/src/config"
)

// The engines' paths and headers.
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
	// HeaderKnown names the incarnation and version of the report that the asker has.
	HeaderKnown = "X-Report-Known"
)

// EndMark is the data of the last event of a whole stream.
const EndMark = "[DONE]"

// Action says what an order asks for.
type Action string

// The actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	// ActionFence asks for nothing; once taken, no earlier order can run any more.
	ActionFence Action = "fence"
)

// Weights names what an order or a copy is about: a model, or an adapter on it.
type Weights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// Order commands an engine. Epoch and Seq fence it: an engine that checks takes
// only orders past the newest it has seen.
type Order struct {
	Epoch       uint64       `json:"epoch"`
	Seq         uint64       `json:"seq"`
	Action      Action       `json:"action"`
	Weights     Weights      `json:"weights"`
	Accelerator int          `json:"accelerator"`
	Bytes       config.Bytes `json:"bytes"`
}

// OrderOutcome says what an engine did with an order.
type OrderOutcome string

// The outcomes.
const (
	OrderTaken    OrderOutcome = "taken"
	OrderStale    OrderOutcome = "stale"
	OrderNoMemory OrderOutcome = "no-memory"
	OrderInvalid  OrderOutcome = "invalid"
)

// OrderReply answers an order.
type OrderReply struct {
	Outcome OrderOutcome `json:"outcome"`
	Reason  string       `json:"reason,omitempty"`
}

// CopyState is how far a copy is.
type CopyState string

// The states of a copy.
const (
	CopyLoading   CopyState = "loading"
	CopyReady     CopyState = "ready"
	CopyUnloading CopyState = "unloading"
	CopyFailed    CopyState = "failed"
)

// Copy is weights on an accelerator, as the engine reports it.
type Copy struct {
	Weights     Weights      `json:"weights"`
	Accelerator int          `json:"accelerator"`
	Bytes       config.Bytes `json:"bytes"`
	State       CopyState    `json:"state"`
}

// Known returns the value of HeaderKnown for a report, "" for none.
func (r Report) Known() string {
	if r.Incarnation == "" {
		return ""
	}
	return r.Incarnation + "/" + strconv.FormatUint(r.Version, 10)
}

// Report is what an engine says of itself; it may be older than it looks.
type Report struct {
	Host string `json:"host"`
	// Incarnation differs after every restart of the engine.
	Incarnation string `json:"incarnation"`
	// Seq grows with every report of an incarnation.
	Seq uint64 `json:"seq"`
	// Version grows whenever something but the load may have changed.
	Version uint64 `json:"version"`
	// Same says that only the load is told: Version is the one that was asked with.
	Same bool `json:"same,omitempty"`
	// Epoch and LastOrder are the newest order that the engine took or refused as stale against.
	Epoch     uint64         `json:"epoch"`
	LastOrder uint64         `json:"lastOrder"`
	Leaving   bool           `json:"leaving,omitempty"`
	Capacity  []config.Bytes `json:"capacity,omitempty"`
	Copies    []Copy         `json:"copies,omitempty"`
	Running   int            `json:"running"`
	Waiting   int            `json:"waiting"`
	// Slots is how many requests one accelerator runs at once at full speed.
	Slots int `json:"slots"`
	// Breaches counts the times that memory was overcommitted.
	Breaches int `json:"breaches"`
}
