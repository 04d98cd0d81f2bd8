package wire

import (
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
)

// Outcome is the result of a request to the control nodes.
type Outcome string

// Outcomes.
const (
	// Accepted means that the change is durable on a quorum and in effect.
	Accepted Outcome = "accepted"
	// Refused means that nothing was changed, and that repeating the same request will not succeed.
	Refused Outcome = "refused"
	// Conflicted means that nothing was changed because the base revision was outdated.
	Conflicted Outcome = "conflict"
	// Unavailable means that nothing was changed because no leader was reachable.
	Unavailable Outcome = "unavailable"
	// Unknown means that the change may or may not have been made. Retry with the same ID.
	Unknown Outcome = "unknown"
)

// ApplyRequest requests a configuration change. With DryRun it is only checked.
type ApplyRequest struct {
	Change config.Change `json:"change"`
	DryRun bool          `json:"dryRun,omitempty"`
}

// Conflict is an object that was modified after the base revision of a change.
type Conflict struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	By       string          `json:"by"`
}

// ApplyReply is the result of a configuration change.
type ApplyReply struct {
	Outcome   Outcome          `json:"outcome"`
	Revision  config.Revision  `json:"revision"`
	Findings  []config.Finding `json:"findings,omitempty"`
	Conflicts []Conflict       `json:"conflicts,omitempty"`
	Reason    string           `json:"reason,omitempty"`
}

// ConfigRequest requests the updates after a revision.
type ConfigRequest struct {
	From config.Revision `json:"from"`
}

// ClaimRequest claims an idempotency key, so that one holder may execute the call once.
type ClaimRequest struct {
	Key string `json:"key"`
	// Token identifies the attempt. A repeated request with the same token gets the same reply.
	Token  string          `json:"token"`
	Holder string          `json:"holder"`
	Expiry config.Duration `json:"expiry"`
}

// ClaimState is the state of a claimed key.
type ClaimState string

// Claim states.
const (
	// ClaimAcquired means that only the requester may execute the call.
	ClaimAcquired ClaimState = "yours"
	// ClaimRunning means that another attempt is executing the call.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the call has completed.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that it cannot be determined whether the call was executed.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Outcome Outcome    `json:"outcome"`
	State   ClaimState `json:"state,omitempty"`
}

// SettleRequest reports the result of a claimed call: State is done or unknown. Released is set if the
// call was certainly not executed, which frees the key.
type SettleRequest struct {
	Key      string     `json:"key"`
	Token    string     `json:"token"`
	State    ClaimState `json:"state"`
	Released bool       `json:"released,omitempty"`
}

// SettleReply is the reply to a SettleRequest.
type SettleReply struct {
	Outcome Outcome `json:"outcome"`
}

// GrantRequest requests authority over a zone. Epoch is that of the authority already held, or 0.
type GrantRequest struct {
	Zone    string `json:"zone"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch,omitempty"`
}

// GrantReply is the reply to a GrantRequest. The lease starts when the request was sent.
type GrantReply struct {
	Outcome Outcome         `json:"outcome"`
	Epoch   uint64          `json:"epoch,omitempty"`
	Lease   config.Duration `json:"lease,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// Heartbeat reports that a process is alive, its address and its configuration revision.
type Heartbeat struct {
	Node     string          `json:"node"`
	Role     string          `json:"role"`
	Zone     string          `json:"zone"`
	Address  string          `json:"address"`
	Revision config.Revision `json:"revision"`
	Leaving  bool            `json:"leaving,omitempty"`
	Control  ControlCost     `json:"control"`
}

// ControlCost is the control traffic, CPU time and memory use of a process since it started.
type ControlCost struct {
	BytesIn  int64           `json:"bytesIn"`
	BytesOut int64           `json:"bytesOut"`
	Messages int64           `json:"messages"`
	CPU      config.Duration `json:"cpu"`
	Resident config.Bytes    `json:"resident"`
	// Anonymous is the resident memory that is not backed by files.
	Anonymous config.Bytes    `json:"anonymous"`
	Uptime    config.Duration `json:"uptime"`
}

// HeartbeatReply lists peers in the same availability zone.
type HeartbeatReply struct {
	Peers []string `json:"peers,omitempty"`
}

// MembersRequest adds, promotes or removes a control node.
type MembersRequest struct {
	AddLearner raft.ID `json:"addLearner,omitempty"`
	Promote    raft.ID `json:"promote,omitempty"`
	Remove     raft.ID `json:"remove,omitempty"`
	// Forwarded is set if a node that is not the leader forwarded the request.
	Forwarded bool `json:"forwarded,omitempty"`
}

// MembersReply is the reply to a MembersRequest.
type MembersReply struct {
	Outcome Outcome      `json:"outcome"`
	Members raft.Members `json:"members"`
	Reason  string       `json:"reason,omitempty"`
}

// HeldRequest asks for the last log index that a control node is known to have stored.
type HeldRequest struct {
	ID raft.ID `json:"id"`
}

// HeldReply is the reply to a HeldRequest: the current term and the last log index that the asked-about node is
// known to have stored. Known is false if the responding node cannot tell.
type HeldReply struct {
	Known  bool   `json:"known"`
	Term   uint64 `json:"term"`
	Index  uint64 `json:"index"`
	Member bool   `json:"member"`
	// Started is set if the installation has already been founded.
	Started bool `json:"started"`
}

// NodeStatus is the last heartbeat of a process and when it was received.
type NodeStatus struct {
	Heartbeat
	SeenAt time.Time `json:"seenAt"`
}

// SeenReport lists the live processes, those a control node receives heartbeats from. It is sent to the leader.
type SeenReport struct {
	Nodes []string `json:"nodes"`
}
