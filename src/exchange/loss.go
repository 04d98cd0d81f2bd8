package exchange

import (
	"context"
	"syscall"
	"time"

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

// silenceSign is what is known of a peer that sends nothing on an open connection.
type silenceSign struct {
	proof lossProof
	// unanswered is set if no new connection to the peer was established, suspected if its host has acknowledged
	// nothing for suspectAfter as well.
	unanswered bool
	suspected  bool
	evidence   string
}

// examineSilence dials a silent peer. unacknowledged returns for how long its host has acknowledged nothing on
// the open connection. A later start on the list is no sign: it may have been at the other end of the connection
// before it was listed, and connections of the earlier one end by the probes.
func examineSilence(peer *Peer, unacknowledged func() time.Duration) silenceSign {
	switch dialed := peer.probe(); {
	case dialed == dialAccepted:
		return silenceSign{}
	case dialed == dialRefused:
		if peer.listensToItsEnd() {
			return signOf(lossByRefusal)
		}
		return silenceSign{}
	}
	sign := silenceSign{unanswered: true}
	if waited := unacknowledged(); waited >= suspectAfter {
		sign.suspected = true
		sign.evidence = "its host has acknowledged nothing for " + waited.Round(time.Millisecond).String()
	}
	return sign
}

func signOf(proof lossProof) silenceSign { return silenceSign{proof: proof, evidence: proof.String()} }

// listensToItsEnd reports whether a peer takes new connections for as long as it is at work. A gateway or replica
// that stops closes its listener first, and one that is no longer listed may stop without having said so.
func (p *Peer) listensToItsEnd() bool { return p.service != "" && !p.leaving() && !p.unlisted.Load() }

// probe dials the peer. Requests that ask at the same time share a dial, so that they don't fill its queue of new
// connections.
func (p *Peer) probe() dialResult {
	result, _, _ := p.probes.Do("", func() (any, error) { return probeReplica(context.Background(), p), nil })
	return result.(dialResult)
}
