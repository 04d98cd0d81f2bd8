package wire

import (
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
)

// Outcome says what became of a request to the control nodes.
type Outcome string

// The outcomes.
const (
	// Accepted means durable on a quorum and in force from now on.
	Accepted Outcome = "accepted"
	// Refused means that nothing was done, and asking again as it is won't help.
	Refused Outcome = "refused"
	// Conflicted means that nothing was done, because the base was too old.
	Conflicted Outcome = "conflict"
	// Unavailable means that nothing was done, because no leader could be asked.
	Unavailable Outcome = "unavailable"
	// Unknown means that it may or may not be done; ask again with the same id.
	Unknown Outcome = "unknown"
)

// ApplyRequest asks for a change, or only for what the change would meet.
type ApplyRequest struct {
	Change config.Change `json:"change"`
	DryRun bool          `json:"dryRun,omitempty"`
}

// Conflict names an object that changed since the operator looked.
type Conflict struct {
	Key      config.Key      `json:"key"`
	Revision config.Revision `json:"revision"`
	By       string          `json:"by"`
}

// ApplyReply says what became of a change.
type ApplyReply struct {
	Outcome   Outcome          `json:"outcome"`
	Revision  config.Revision  `json:"revision"`
	Findings  []config.Finding `json:"findings,omitempty"`
	Conflicts []Conflict       `json:"conflicts,omitempty"`
	Reason    string           `json:"reason,omitempty"`
}

// ConfigRequest asks for updates after a revision.
type ConfigRequest struct {
	From config.Revision `json:"from"`
}

// ClaimRequest claims a key for one run by one holder.
type ClaimRequest struct {
	Key string `json:"key"`
	// Token names this attempt, so that it gets the same answer when it asks again.
	Token  string          `json:"token"`
	Holder string          `json:"holder"`
	Expiry config.Duration `json:"expiry"`
}

// ClaimState says what is known of a claimed key.
type ClaimState string

// The states of a claim.
const (
	// ClaimYours means that the asker, and nobody else, may run the call.
	ClaimYours ClaimState = "yours"
	// ClaimRunning means that another attempt runs it.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that it ran to its end.
	ClaimDone ClaimState = "done"
	// ClaimLost means that whether it ran can't be known.
	ClaimLost ClaimState = "unknown"
)

// ClaimReply answers a claim.
type ClaimReply struct {
	Outcome Outcome    `json:"outcome"`
	State   ClaimState `json:"state,omitempty"`
}

// SettleRequest says what became of a run: done, unknown, or (Released) that
// it certainly did not run, which frees the key.
type SettleRequest struct {
	Key      string     `json:"key"`
	Token    string     `json:"token"`
	State    ClaimState `json:"state"`
	Released bool       `json:"released,omitempty"`
}

// SettleReply answers a settle.
type SettleReply struct {
	Outcome Outcome `json:"outcome"`
}

// GrantRequest asks for authority over a zone; Epoch is the one held, 0 for none.
type GrantRequest struct {
	Zone    string `json:"zone"`
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch,omitempty"`
}

// GrantReply answers a grant; the lease runs from when the request was sent.
type GrantReply struct {
	Outcome Outcome         `json:"outcome"`
	Epoch   uint64          `json:"epoch,omitempty"`
	Lease   config.Duration `json:"lease,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// Heartbeat tells who lives, where, and which revision is in force there.
type Heartbeat struct {
	Node     string          `json:"node"`
	Role     string          `json:"role"`
	Zone     string          `json:"zone"`
	Address  string          `json:"address"`
	Revision config.Revision `json:"revision"`
	Leaving  bool            `json:"leaving,omitempty"`
	Control  ControlCost     `json:"control"`
}

// ControlCost is what a process spent on control since it started.
type ControlCost struct {
	BytesIn  int64           `json:"bytesIn"`
	BytesOut int64           `json:"bytesOut"`
	Messages int64           `json:"messages"`
	CPU      config.Duration `json:"cpu"`
	Resident config.Bytes    `json:"resident"`
	// Anonymous is the resident memory that is not file pages.
	Anonymous config.Bytes    `json:"anonymous"`
	Uptime    config.Duration `json:"uptime"`
}

// HeartbeatReply names peers in the same availability zone.
type HeartbeatReply struct {
	Peers []string `json:"peers,omitempty"`
}

// MembersRequest adds or removes a control.
type MembersRequest struct {
	AddLearner raft.ID `json:"addLearner,omitempty"`
	Promote    raft.ID `json:"promote,omitempty"`
	Remove     raft.ID `json:"remove,omitempty"`
	// Forwarded says that a node which does not lead has passed the request on.
	Forwarded bool `json:"forwarded,omitempty"`
}

// MembersReply answers a change of members.
type MembersReply struct {
	Outcome Outcome      `json:"outcome"`
	Members raft.Members `json:"members"`
	Reason  string       `json:"reason,omitempty"`
}

// HeldRequest asks how much of the log a control node is known to have stored.
type HeldRequest struct {
	ID raft.ID `json:"id"`
}

// HeldReply answers for the asked id; Known is false if this control node can't say.
type HeldReply struct {
	Known  bool   `json:"known"`
	Term   uint64 `json:"term"`
	Index  uint64 `json:"index"`
	Member bool   `json:"member"`
	// Started says that the installation has been founded already.
	Started bool `json:"started"`
}

// NodeStatus is what a control node last heard of a process.
type NodeStatus struct {
	Heartbeat
	SeenAt time.Time `json:"seenAt"`
}

// SeenReport names the processes that a control node hears, for the leader.
type SeenReport struct {
	Nodes []string `json:"nodes"`
}
