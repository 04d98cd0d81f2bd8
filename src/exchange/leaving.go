package exchange

import "github.com/moorspool/moorspool/src/event"

// A start that is not listed yet answers to the name and at the address of the one before it, so its word that
// it leaves comes for that one's. A connection ends with the start that accepted it: the one on which the word
// came tells whose word it is, as long as it is open.

// noteLeaving records that a replica said that it is leaving.
func (f *Fleet) noteLeaving(peer *Peer) {
	if !peer.backoffState.noteLeaving() {
		return
	}
	peer.pool.close()
	f.ring.Add(event.Event{Kind: event.ShutdownAnnounced, Host: peer.ID()})
}

// traceLeaving asks which start said that it is leaving if a replica said so and a later start has its address.
func (f *Fleet) traceLeaving(peer *Peer) {
	later := peer.later.Load()
	if later == nil && !peer.unlisted.Load() {
		return
	}
	witness := peer.pool.takeWitness()
	switch {
	case witness == nil:
	case later == nil:
		_ = witness.raw.Close()
	default:
		go f.onWitness(witness, later)
	}
}

// confirmLeaving asks at the connection of a word of leaving whether the later start has said it.
func (h *Handler) confirmLeaving(witness *conn, later *Peer) {
	defer witness.raw.Close()
	if witness.confirmStart(&h.options.Codec, later, h.options.Now().Add(startCheckTimeout)) == nil {
		h.options.Fleet.noteLeaving(later)
	}
}

// keepWitness keeps a connection on which the replica said that it is leaving.
func (p *pool) keepWitness(c *conn) {
	p.mu.Lock()
	p.closeWitness()
	p.witness = c
	p.mu.Unlock()
	if p.witnessed != nil {
		p.witnessed()
	}
}

// closeWitness closes the witness if there is one; the lock is held.
func (p *pool) closeWitness() {
	if p.witness != nil {
		_ = p.witness.raw.Close()
		p.witness = nil
	}
}

// takeWitness returns the witness, which is no longer kept, nil if there is none.
func (p *pool) takeWitness() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	witness := p.witness
	p.witness = nil
	return witness
}
