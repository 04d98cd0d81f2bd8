package wire

import "github.com/moorspool/moorspool/src/quarantine"

// Quarantine lists suspected and quarantined request contents: replicas ended while they ran requests
// with them.
type Quarantine struct {
	Entries []quarantine.Entry `json:"q"`
}

// LiftRequest asks to remove a request content from quarantine.
type LiftRequest struct {
	// Digest is a prefix of the content's digest, as shown in logs.
	Digest string `json:"digest"`
	// By identifies the operator.
	By string `json:"by"`
}

// LiftReply lists the contents removed from quarantine.
type LiftReply struct {
	Lifted []quarantine.Digest `json:"lifted"`
}
