package exchange

import (
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
)

// A replica may start again under its name and address, and a stream that it then begins is taken for
// one of the earlier start until the gateway is told of the later one.

// restartNoticeTime is how long after a start a gateway may still not have been told of it: a heartbeat
// that goes to several control nodes in turn, and the way to the gateway.
const restartNoticeTime = 10 * time.Second

// begunStream is a stream that a replica has lately begun.
type begunStream struct {
	key resume.Key
	at  time.Time
}

// noteBegun remembers a stream of a replica that may start again under its name.
func (p *Peer) noteBegun(now time.Time, key resume.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.StartedMS == 0 {
		return
	}
	for len(p.begun) > 0 && now.Sub(p.begun[0].at) > restartNoticeTime {
		p.begun = p.begun[1:]
	}
	p.begun = append(p.begun, begunStream{key: key, at: now})
}

// doubtSince makes the origin of what the replica wrote from a time on uncertain, and returns the streams
// that it has begun since.
func (p *Peer) doubtSince(from time.Time) []resume.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubtedFrom = from
	var keys []resume.Key
	for _, stream := range p.begun {
		if !stream.at.Before(from) {
			keys = append(keys, stream.key)
		}
	}
	p.begun = nil
	return keys
}

// doubted reports whether a later start of other software may have written what is attributed to this
// one since a time.
func (p *Peer) doubted(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.doubtedFrom.IsZero() && !at.Before(p.doubtedFrom)
}

// noteRestart compares a replica that is new on the list with the last start known under its name. If that
// one runs other software, what it lately began may be the later start's; the lock is held.
func (f *Fleet) noteRestart(peer *Peer, record *registry.Record) {
	if record.StartedMS == 0 {
		return
	}
	earlier := f.latestStarts[peer.name()]
	if earlier != nil && earlier.startedMS() > record.StartedMS {
		peer.noteReplacement(earlier)
		return
	}
	if earlier != nil {
		earlier.noteReplacement(peer)
		f.traceLeaving(earlier)
	}
	f.latestStarts[peer.name()] = peer
	if earlier == nil || earlier.origin() == peer.origin() {
		return
	}
	if keys := earlier.doubtSince(f.now().Add(-restartNoticeTime)); len(keys) > 0 {
		f.onDoubt(keys)
	}
}

// noteReplacement records a later start of the replica. If it has the same address, it would get what is sent
// to this one.
func (p *Peer) noteReplacement(later *Peer) {
	if p.pool.address == later.pool.address {
		p.later.Store(later)
	}
}

// replaced reports whether a later start that is still listed would get what is sent to the replica.
func (p *Peer) replaced() bool {
	later := p.later.Load()
	return later != nil && !later.unlisted.Load()
}

// forgetStart drops a replica that is no longer listed from the last starts; the lock is held.
func (f *Fleet) forgetStart(peer *Peer) {
	if name := peer.name(); f.latestStarts[name] == peer {
		delete(f.latestStarts, name)
	}
}

// startedMS returns when the replica started, in Unix milliseconds on its clock, 0 if it does not say.
func (p *Peer) startedMS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.StartedMS
}

// disputeOrigins withdraws the recorded origins of streams.
func (h *Handler) disputeOrigins(keys []resume.Key) {
	if h.options.Origins.Store == nil {
		return
	}
	for _, key := range keys {
		h.options.Origins.Store(key, resume.Origin{})
	}
}

// revokeDoubted ends a stream where it is if its first event may be that of a later start of its writer.
func (c *call) revokeDoubted() {
	if c.origin.writer != nil && c.origin.writer.doubted(c.origin.Since()) {
		c.origin.Revoke()
	}
}
