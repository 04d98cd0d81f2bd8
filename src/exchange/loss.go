package exchange

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// lossProof is what proves that a replica works on none of its requests any more. Silence is no proof, and
// neither is a dial that is not answered or reset: a sound replica may pause, and its queue of new
// connections may be full.
type lossProof uint8

const (
	lossUnproven lossProof = iota
	// lossByRefusal means that its host refuses connections, so that nothing listens at its address.
	lossByRefusal
	// lossByLaterStart means that control nodes list a later start with its name or address.
	lossByLaterStart
	// lossOfHost means that its host acknowledged nothing on an open connection until the keep-alive
	// probes were given up.
	lossOfHost
)

// String describes the proof for a log line.
func (p lossProof) String() string {
	switch p {
	case lossByRefusal:
		return "its host refuses connections"
	case lossByLaterStart:
		return "it has started again"
	case lossOfHost:
		return "its host acknowledges nothing"
	case lossUnproven:
	}
	return "it may still be at work"
}

// proveLoss returns what proves that a replica is lost. brokenBy is the error that ended the response of a
// request, nil if there is none.
func proveLoss(ctx context.Context, peer *Peer, brokenBy error) lossProof {
	switch {
	case errors.Is(brokenBy, syscall.ETIMEDOUT):
		return lossOfHost
	case peer.replaced():
		return lossByLaterStart
	case probeReplica(ctx, peer) == dialRefused:
		return lossByRefusal
	}
	return lossUnproven
}
