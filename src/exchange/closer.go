package exchange

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of the question what became of a replica that closed a connection. The client waits for the answer at the
// end of its stream.
const (
	// closerPause is the time from the close to the question. The host of a process that ends may close its port a moment
	// after its connections.
	closerPause = 20 * time.Millisecond
	// leavingCloserPause is that time for a replica that leaves. At the limit of its stop it closes the connections of what
	// still runs, and then ends.
	leavingCloserPause = 100 * time.Millisecond
	// closerTimeout bounds the pause and all questions.
	closerTimeout = 400 * time.Millisecond
	// maxCloserTime is how long that may take at a process that runs.
	maxCloserTime = 2 * closerTimeout
	// closerDials is how often a replica that does not tell its start is dialed.
	closerDials = 2
)

// closeProof is what the orderly close of a response without a length or chunks, between two events, is worth as the end of
// its stream.
type closeProof uint8

const (
	// closeEndsStream means that the process that closed the connection serves on: that is how such a stream ends.
	closeEndsStream closeProof = iota
	// closerEnded means that the process has ended, so that its host may have closed the connection.
	closerEnded
	// closerUnknown means that the replica could not be asked.
	closerUnknown
	// closeOrdered means that the gateway has ordered the replica to stop the run.
	closeOrdered
	// closeOfEmptyRun means that a run has broken off before, and that the one that was to go on brought nothing.
	closeOfEmptyRun
	// closeNearDeadline means that the replica may have stopped the run at the deadline of its request.
	closeNearDeadline
	// closeOfShortSoftware means that servers with the replica's software were seen to close before the end.
	closeOfShortSoftware
)

// String describes the proof for a log line.
func (p closeProof) String() string {
	switch p {
	case closeEndsStream:
		return "its server serves on"
	case closerEnded:
		return "its server has ended"
	case closeOrdered:
		return "its run was ordered to stop"
	case closeOfEmptyRun:
		return "another run had broken off and this one brought nothing"
	case closeNearDeadline:
		return "its run may have been stopped at the deadline"
	case closeOfShortSoftware:
		return "servers with its software close before the end"
	case closerUnknown:
	}
	return "its server could not be asked"
}

// examineClose returns what the close of a run's connection between two events is worth.
func (c *call) examineClose(ctx context.Context, peer *Peer, lastConn int) closeProof {
	h := c.handler
	switch {
	case c.orderedToStop(ctx, peer):
		return closeOrdered
	case c.stream.brokeOff && !c.stream.brought:
		return closeOfEmptyRun
	case h.options.Now().Add(shortCloseMargin).After(c.deadline):
		return closeNearDeadline
	case h.options.ShortCloses.known(h.options.Now(), peer.origin()):
		return closeOfShortSoftware
	}
	// The stream had come when it was closed, so the limit of a stop does not end the question.
	asking, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	began := h.options.Now()
	proof := h.examineCloser(asking, peer, lastConn)
	if proof == closerUnknown && h.options.Now().Sub(began) > maxCloserTime {
		// This process stood still while it asked.
		proof = h.examineCloser(asking, peer, lastConn)
	}
	return proof
}

// examineCloser asks whether a replica that has just closed the connection of a response serves on. lastConn is the number of
// the last connection to it that was established before the request was sent.
func (h *Handler) examineCloser(ctx context.Context, peer *Peer, lastConn int) closeProof {
	if peer.service == "" {
		return closerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, closerTimeout)
	defer cancel()
	pause := closerPause
	if peer.leaving() || peer.unlisted.Load() {
		pause = leavingCloserPause
	}
	if !sleep(ctx, pause) {
		return closerUnknown
	}
	if peer.startedMS() == 0 {
		return dialCloser(ctx, peer, lastConn)
	}
	return h.askCloser(ctx, peer, lastConn)
}

// askCloser asks a replica whose start is listed, until it replies, whether that start serves on. Another start may accept
// connections at its address, so that only a connection up to a number that is open stands for a reply.
func (h *Handler) askCloser(ctx context.Context, peer *Peer, lastConn int) closeProof {
	for {
		startedMS, err := h.askStart(ctx, peer)
		switch {
		case errors.Is(err, errNoReports):
			return dialCloser(ctx, peer, lastConn)
		case errors.Is(err, errNoStartTold):
			return closerUnknown
		case errors.Is(err, syscall.ECONNREFUSED), err == nil && startedMS != peer.startedMS():
			return closerEnded
		case err == nil, peer.pool.isOpen(lastConn):
			return closeEndsStream
		}
		if !sleep(ctx, closerPause) {
			return closerUnknown
		}
	}
}

// dialCloser tells by dials whether a replica serves on. One that is silent but accepts connections has not ended. If dials are
// not answered, since its queue of new connections is full, one of the connections up to a number that is open shows that it
// serves on: the host of a process that ended has closed them all.
func dialCloser(ctx context.Context, peer *Peer, lastConn int) closeProof {
	for dial := range closerDials {
		if dial > 0 && !sleep(ctx, closerPause) {
			return closerUnknown
		}
		if peer.replaced() {
			return closerEnded
		}
		switch probeReplica(ctx, peer) {
		case dialRefused:
			return closerEnded
		case dialTimedOut:
			if !peer.pool.isOpen(lastConn) {
				return closerUnknown
			}
			return closeEndsStream
		case dialAccepted:
		}
	}
	return closeEndsStream
}

// Replies to the question for the start that do not tell it.
var (
	// errNoStartTold means that something else may have replied.
	errNoStartTold = errors.New("a report without a start")
	// errNoReports means that the replica has no reports.
	errNoReports = errors.New("no reports")
)

// askStart asks a replica when it started. A reply that does not tell it is errNoStartTold or errNoReports unless the replica
// is busy.
func (h *Handler) askStart(ctx context.Context, peer *Peer) (int64, error) {
	codec := &h.options.Codec.Start
	header := http.Header{}
	codec.Encode(header, peer.name())
	question := &outgoingRequest{method: http.MethodGet, target: codec.Target, host: peer.pool.address, header: header}
	response, body, err := h.askUpTo(ctx, peer, question, startCheckTimeout, maxReportBytes)
	if err != nil {
		return 0, errors.Wrap(err, "asking for the start")
	}
	// A report to the close that tells a start is whole.
	startedMS, known := codec.Parse(response.StatusCode, body)
	switch {
	case known:
		return startedMS, nil
	case response.StatusCode == http.StatusOK, response.StatusCode == http.StatusMisdirectedRequest:
		return 0, errNoStartTold
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		return 0, errors.Errorf("no report now: %s", response.Status)
	}
	return 0, errNoReports
}
