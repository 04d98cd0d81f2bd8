package feed

import (
	"context"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// peerFetchDelay is how long a node may lack a configuration that another has applied before it
// fetches it from that node for its gateways. Consensus delivers it within some tens of ms, but
// never without a leader. Gateways switch to another node only after lagLimit.
const peerFetchDelay = 300 * time.Millisecond

// FetchNewestDocument fetches the newest configuration that a connected control node has applied.
func (f *Follower) FetchNewestDocument(ctx context.Context) (wire.Document, error) {
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

// newestSource returns the connected source with the newest configuration, nil if none has any.
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

// Document returns the newest configuration that this node has applied, or the one fetched from
// another node while this one lacks it. A configuration that any node has applied is committed, so
// it is safe to use. If a node served only its own, a minority node without a leader, for instance
// after a power loss, would make all its gateways switch nodes or use an outdated configuration.
func (r *Relay) Document() wire.Document {
	own := r.cluster.Document()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerDocument.Version > own.Version {
		return r.peerDocument
	}
	return own
}

// fetchFromPeerIfDue starts to fetch a newer configuration from another node if this node has
// lacked it for peerFetchDelay. The caller holds the lock.
func (r *Relay) fetchFromPeerIfDue(now time.Time) {
	if r.fetchingFromPeer || r.laggingSince.IsZero() || now.Sub(r.laggingSince) < peerFetchDelay {
		return
	}
	r.fetchingFromPeer = true
	go r.fetchFromPeer(context.Background())
}

func (r *Relay) fetchFromPeer(ctx context.Context) {
	document, err := r.follower.FetchNewestDocument(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetchingFromPeer = false
	if err != nil || document.Version <= r.state.version {
		// The next round retries.
		return
	}
	r.peerDocument = document
	r.follower.ring.Add(event.Event{Kind: event.ConfigForwarded, Reason: "version " + strconv.FormatUint(document.Version, 10)})
}
