package exchange

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/resume"
)

// A refused dial shows that a start of a replica has ended. What accepts connections at its address later may
// be another start, with other software, that this gateway has not been told of yet.

// noteRefusal records the result of a dial to a replica that reports its start. Once it accepts connections
// again it is asked which start it is.
func (f *Fleet) noteRefusal(peer *Peer, err error) {
	switch {
	case err == nil && peer.beginStartQuestion():
		go f.onReturn(peer)
	case errors.Is(err, syscall.ECONNREFUSED):
		peer.noteRefusedDial()
	}
}

// confirmReturn asks a replica that accepts connections again whether it is the start on the list.
func (h *Handler) confirmReturn(peer *Peer) {
	defer peer.endStartQuestion()
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	raw, err := peer.pool.dialUntil(ctx, startCheckTimeout)
	if err != nil {
		return
	}
	conn := newConn(raw)
	defer conn.raw.Close()
	if conn.confirmStart(&h.options.Codec, peer, h.options.Now().Add(startCheckTimeout)) == nil {
		peer.noteConfirmedStart()
	}
}

// noteRefusedDial records that a dial was refused.
func (p *Peer) noteRefusedDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedDial = p.record.StartedMS != 0
}

// beginStartQuestion reports whether the replica is to be asked for its start: a dial was refused, and no
// question is under way.
func (p *Peer) beginStartQuestion() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refusedDial || p.askingStart {
		return false
	}
	p.askingStart = true
	return true
}

func (p *Peer) endStartQuestion() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askingStart = false
}

// noteConfirmedStart records that the start on the list has answered.
func (p *Peer) noteConfirmedStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedDial = false
}

// writerOrigin returns what writes a response that begins now. Its software is not known after a refused
// dial, until the start on the list has answered.
func (p *Peer) writerOrigin() resume.Origin {
	p.mu.Lock()
	defer p.mu.Unlock()
	origin := resume.Origin{Service: p.service, SoftwareVersion: p.software.Version()}
	if p.refusedDial {
		origin.SoftwareVersion = ""
	}
	return origin
}
