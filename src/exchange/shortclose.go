package exchange

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/resume"
)

// Software that ends answers in order before their end shows that a close of its connections ends no stream either.
// Only a framed answer shows it, and only at a server that lives on: the host of one that ended closes in the same way.

const (
	// shortCloseMargin is how long before its deadline a stream must have been closed: servers stop by themselves then.
	shortCloseMargin = 100 * time.Millisecond
	// closeCheckInterval is the least time between two checks of one server.
	closeCheckInterval = time.Second
	// maxCloseChecks is how many servers are remembered as checked within that time.
	maxCloseChecks = 256
)

// ShortCloses knows the software that was seen to end answers in order before their end, at any gateway. Both functions
// may be nil: then none is known.
type ShortCloses struct {
	// Known reports whether a software version of a service was seen to do so.
	Known func(now time.Time, service, softwareVersion string) bool
	// Note records that it was. It must not block.
	Note func(now time.Time, service, softwareVersion string)
}

// known reports whether software was seen to close short.
func (s *ShortCloses) known(now time.Time, origin resume.Origin) bool {
	return s.Known != nil && s.Known(now, origin.Service, origin.SoftwareVersion)
}

func (s *ShortCloses) note(now time.Time, origin resume.Origin) {
	if s.Note != nil {
		s.Note(now, origin.Service, origin.SoftwareVersion)
	}
}

// closeChecks holds when closes of servers were last checked. It is safe for concurrent use; the zero value is ready.
type closeChecks struct {
	mu      sync.Mutex
	begunAt map[*Peer]time.Time
}

// begin reports whether a close of a server is to be checked.
func (c *closeChecks) begin(now time.Time, peer *Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, at := range c.begunAt {
		if now.Sub(at) >= closeCheckInterval {
			delete(c.begunAt, known)
		}
	}
	if _, lately := c.begunAt[peer]; lately || len(c.begunAt) >= maxCloseChecks {
		return false
	}
	if c.begunAt == nil {
		c.begunAt = map[*Peer]time.Time{}
	}
	c.begunAt[peer] = now
	return true
}

// checkShortClose checks, beside the request, whether a server that lives on has ended a framed stream in order between two
// events.
func (c *call) checkShortClose(ctx context.Context, peer *Peer, a *replicaResponse, err error, insideEvent bool) {
	h := c.handler
	now := h.options.Now()
	if insideEvent || !c.stream.brought || !c.closedInOrder(ctx, now, err) || !peer.listensToItsEnd() || c.mayHaveStopped(peer) || !h.closeChecks.begin(now, peer) {
		return
	}
	evidence := "its answer, known to end " + a.end.String() + ", was closed in order after event " + strconv.Quote(shorten(c.stream.lastEventID))
	request, model, origin := c.requestInfo.ID, modelName(c.requestInfo), a.origin
	go func() {
		if h.examineCloser(context.Background(), peer) == closeEndsStream && peer.listensToItsEnd() && !peer.replaced() && peer.origin() == origin {
			h.noteShortClose(origin, event.Event{Request: request, Model: model, Host: peer.ID(), Reason: evidence})
		}
	}()
}

// closedInOrder reports whether the server closed its connection in order, before the end that its answer was to have and
// well before the deadline.
func (c *call) closedInOrder(ctx context.Context, now time.Time, err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) && c.early.cause == causeClose && ctx.Err() == nil && now.Add(shortCloseMargin).Before(c.deadline)
}

// mayHaveStopped reports whether a gateway may have ordered the server to stop a run of the request.
func (c *call) mayHaveStopped(peer *Peer) bool {
	return c.restarted || c.forwarded && c.runsBefore > 0 || c.copied != nil && c.copied.source == peer || c.rest != nil && c.rest.copied.source == peer
}

// noteShortClose counts a short close of software and logs it, with what shows it, unless it was known.
func (h *Handler) noteShortClose(origin resume.Origin, seen event.Event) {
	now := h.options.Now()
	h.options.Metrics.ShortCloses.Inc(1)
	known := h.options.ShortCloses.known(now, origin)
	h.options.ShortCloses.note(now, origin)
	if known {
		return
	}
	seen.Kind = event.ClosesShort
	seen.Reason = "service " + origin.Service + ", software " + strconv.Quote(shorten(origin.SoftwareVersion)) + ": " + seen.Reason + "; its closes end no stream from now on"
	h.options.Ring.Add(seen)
}
