package feed

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// borrowAfter is how long a node may lack a configuration that another has applied before
// it fetches it for its gateways: consensus brings it within some tens of ms, and without a
// leader never. Gateways turn to another node only after lagTime.
const borrowAfter = 300 * time.Millisecond

// Newest fetches the newest configuration that a control node in reach has applied.
func (f *Follower) Newest(ctx context.Context) (wire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var document wire.Document
	newest := f.newestSource()
	if newest == nil {
		return document, rpc.ErrUnreachable
	}
	err := newest.client.Call(ctx, wire.MethodFetchDocument, wire.Empty{}, &document)
	return document, err
}

// newestSource returns the source in reach with the newest configuration, nil if none has any.
func (f *Follower) newestSource() *source {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest *source
	for _, s := range f.sources {
		if s.live && s.version > 0 && (newest == nil || s.version > newest.version) {
			newest = s
		}
	}
	return newest
}

// Document returns the newest configuration that this node or, while this one lacks it,
// another has applied. What any node has applied is committed, so that it may be acted on:
// after a loss of power without a leader a node in the minority would otherwise send all its
// gateways elsewhere, or let them act on the one before.
func (r *Relay) Document() wire.Document {
	own := r.cluster.Document()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.borrowed.Version > own.Version {
		return r.borrowed
	}
	return own
}

// borrowIfDue fetches what others have applied if this node has lacked it for a while; the
// lock is held.
func (r *Relay) borrowIfDue(now time.Time) {
	if r.borrowing || r.lagsSince.IsZero() || now.Sub(r.lagsSince) < borrowAfter {
		return
	}
	r.borrowing = true
	go r.borrow(context.Background())
}

func (r *Relay) borrow(ctx context.Context) {
	document, err := r.follower.Newest(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.borrowing = false
	if err != nil || document.Version <= r.state.version {
		// The next round tries again.
		return
	}
	r.borrowed = document
	r.follower.ring.Add(event.Event{Kind: event.ConfigBorrowed, Reason: "version " + strconv.FormatUint(document.Version, 10)})
}
