package wire

import "github.com/moorspool/moorspool/src/quarantine"

// Quarantine lists suspected and quarantined request contents and parts of prompts: replicas ended while
// they ran requests with them.
type Quarantine struct {
	Entries []quarantine.Entry `json:"q"`
	// Forwarded is set by a control node. Entries of gateways are forwarded to the other control
	// nodes, and those of control nodes are not.
	Forwarded bool `json:"f,omitempty"`
}

// LiftRequest asks to remove a request content or a part of prompts from quarantine.
type LiftRequest struct {
	// Digest is a prefix of its digest, or the ID of the part, as shown in logs.
	Digest string `json:"digest"`
	// By identifies the operator.
	By string `json:"by"`
}

// LiftReply lists the digests removed from quarantine.
type LiftReply struct {
	Lifted []quarantine.Digest `json:"lifted"`
}
