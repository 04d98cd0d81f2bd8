package wire

import "github.com/moorspool/moorspool/src/quarantine"

// Quarantine tells of contents under which replicas ended.
type Quarantine struct {
	Entries []quarantine.Entry `json:"q"`
}

// LiftRequest asks to let a content through again.
type LiftRequest struct {
	// Digest is the beginning of the content's digest, as logs show it.
	Digest string `json:"digest"`
	// By says who asks.
	By string `json:"by"`
}

// LiftReply names the contents that are let through again.
type LiftReply struct {
	Lifted []quarantine.Digest `json:"lifted"`
}
