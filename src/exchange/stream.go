package exchange

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/work"
)

const streamBufferBytes = 16 << 10

// maxEventBytes is the largest event that is passed on.
const maxEventBytes = 1 << 20

// Reasons for which a replica's stream counts as broken off although its connection ended in order.
var (
	errInsideEvent = errors.New("it ended inside an event")
	errNoEvent     = errors.New("it ended with its connection, without an event")
	errUnprovenEnd = errors.New("it ended with its connection, which proves nothing")
)

func (c *call) resumeAfter() string {
	if c.stream != nil && c.stream.lastEventID != "" {
		return c.stream.lastEventID
	}
	return c.requestInfo.ResumeAfter
}

// relayStream passes the events of a stream on as they arrive. pendingPrefill is the prefill time
// that counts towards the replica's backlog until the first event; prompt is the prompt that is
// being read.
func (c *call) relayStream(ctx context.Context, peer *Peer, a *replicaResponse, pendingPrefill *time.Duration, prompt work.Prefill) outcome {
	if c.stream == nil {
		c.stream = &eventStream{brokeOff: c.runsBefore > 0}
	}
	if a.response.StatusCode != http.StatusOK || !maybeEventStream(a.response.Header) {
		if !c.stream.started {
			return c.relayBuffered(ctx, peer, a)
		}
		a.abort()
		c.early = earlyEnd{cause: causeOther, evidence: "the stream was not resumed: " + a.response.Status}
		c.reason += "; " + peer.ID() + " did not resume the stream: " + a.response.Status
		return unknown
	}
	if !c.mayWrite(peer, a.origin) {
		a.abort()
		return unknown
	}
	if !c.origin.Unbound() {
		c.noteResumed(peer)
	}
	c.stream.beginRun(c.resumeAfter())
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := a.response.Body.Read(buffer)
		if n > 0 {
			c.handler.options.Fleet.noteContact(peer)
		}
		if n > 0 && prompt.Tokens > 0 {
			c.observeFirst(c.handler.options.Now(), peer, prompt)
			prompt.Tokens = 0
		}
		if n > 0 && *pendingPrefill > 0 {
			peer.read(*pendingPrefill)
			*pendingPrefill = 0
		}
		if events := c.stream.appendData(buffer[:n]); len(events) > 0 {
			c.pauses.note(c.handler.options.Now(), peer.ID())
			c.observeEvents(c.pauses.last, peer, events)
			if !c.writeEvents(peer, a, events) {
				a.abort()
				return truncated
			}
			c.storeOrigin()
			if a.end == endByClose {
				c.copyRun(ctx, peer)
			}
		}
		switch {
		case err == io.EOF:
			return c.endStream(ctx, peer, a)
		case err != nil:
			return c.handleBrokenStream(ctx, peer, a, err)
		case c.stream.pending.len() > maxEventBytes:
			return c.handleBrokenStream(ctx, peer, a, NewLimitError("bytes of an event", maxEventBytes, int64(c.stream.pending.len())))
		case !c.retainPending():
			return c.handleBrokenStream(ctx, peer, a, errRetentionFull)
		}
	}
}

// maybeEventStream reports whether a response may be a stream of events. Without a type it counts as one.
func maybeEventStream(header http.Header) bool {
	value := header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err != nil || mediaType == "text/event-stream"
}

// writeEvents writes complete events to the client. It returns false if the client has
// disconnected.
func (c *call) writeEvents(peer *Peer, a *replicaResponse, events []byte) bool {
	if !c.stream.started {
		c.copyHeader(a.response.Header)
		c.bindOrigin(peer, a.origin)
		c.stream.started = true
		_ = a.conn.raw.SetDeadline(c.deadline)
		c.useFraming(endByLastChunk)
		c.logUnframed(peer, a.end)
		c.beginResponse(a.response.StatusCode)
		c.watch.noteBegun(c.origin.Unresolved() || c.timeAloneOver(c.firstByte))
	}
	_, err := c.writer.Write(events)
	if err == nil {
		err = http.NewResponseController(c.writer).Flush()
	}
	if err != nil {
		c.reason += "; the client could not be written to"
		c.early = earlyEnd{cause: c.closedBy(), evidence: err.Error()}
		return false
	}
	c.progress.noteEvent(c.stream.lastEventID)
	c.noteTakenUp(peer)
	return true
}

// endStream completes the response to the client after the replica's last byte, if that is proven to be
// the end of the stream.
func (c *call) endStream(ctx context.Context, peer *Peer, a *replicaResponse) outcome {
	switch {
	case c.stream.pending.insideEvent():
		return c.handleBrokenStream(ctx, peer, a, errInsideEvent)
	case a.end == endByClose && !c.stream.brought && c.resumeAfter() == "":
		return c.handleBrokenStream(ctx, peer, a, errNoEvent)
	case a.end == endByClose:
		if proof := c.examineClose(ctx, peer, a.lastConn); proof != closeEndsStream {
			return c.handleUnprovenEnd(ctx, peer, a, proof)
		}
		c.noteClosedStream(peer, streamEnded, closeEndsStream)
		c.noteEndedByClose(peer)
	}
	if rest := c.stream.pending.take(); len(rest) > 0 || !c.stream.started {
		if !c.writeEvents(peer, a, rest) {
			a.abort()
			return truncated
		}
	}
	c.completeResponse()
	a.reuseConn(c.handler.options.Now())
	peer.succeeded()
	c.observeOutput()
	return answered
}

// handleUnprovenEnd handles a run that ended with its connection in a way that does not show the end of the stream. Another
// replica may go on with it, or prove its end by the end of its own response. The replica has not failed.
func (c *call) handleUnprovenEnd(ctx context.Context, peer *Peer, a *replicaResponse, proof closeProof) outcome {
	a.abort()
	c.stream.brokeOff = c.stream.brokeOff || proof == closerEnded || proof == closerUnknown
	c.noteEarlyEnd(ctx, errUnprovenEnd)
	c.reason += "; " + peer.ID() + " ended the stream after event " + c.resumeAfter() + " by closing the connection, which proves nothing: " + proof.String()
	c.noteClosedStream(peer, streamNotConfirmed, proof)
	c.noteUnprovenRun(peer)
	c.checkWriter(ctx)
	return unknown
}

func (c *call) handleBrokenStream(ctx context.Context, peer *Peer, a *replicaResponse, err error) outcome {
	a.abort()
	insideEvent := c.stream.pending.insideEvent()
	c.stream.pending.take()
	c.stream.brokeOff = true
	if c.clientLeft() {
		c.reason += "; stopped after event " + c.stream.lastEventID
		return unknown
	}
	c.reason += "; " + peer.ID() + " broke the stream off after event " + c.stream.lastEventID
	c.reason += " of software " + strconv.Quote(peer.softwareVersion()) + ": " + err.Error()
	c.brokenBy = err
	c.noteEarlyEnd(ctx, err)
	c.checkShortClose(ctx, peer, a, err, insideEvent)
	tooLong := c.noteTooLong(peer, err)
	if !c.timeOver(ctx) && !errors.Is(err, errRetentionFull) {
		c.connectionBroke = !tooLong
		peer.failed(c.handler.options.Now(), tooLong)
	}
	c.checkWriter(ctx)
	return unknown
}
