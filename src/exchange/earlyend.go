package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/metric"
)

// endCause is what ended an answer before it was complete.
type endCause uint8

const (
	// causeNone means that nothing has ended early.
	causeNone endCause = iota
	// causeSilence means that the host of a replica acknowledged nothing, and that the request was taken
	// elsewhere.
	causeSilence
	// causeLoss means that the gateway gave a replica up that is proven to be lost.
	causeLoss
	// causeOverdueHead means that the head of the response did not come in the time that leaves some for
	// another attempt, so that a second one begins where the request is taken. It ends no attempt by itself.
	causeOverdueHead
	causeDeadline
	// causeClose means that the replica's connection was closed in order.
	causeClose
	causeReset
	// causeLimit means that the replica sent more than is read.
	causeLimit
	// causeMemory means that the gateway has no memory for the response.
	causeMemory
	// causeStop means that the gateway closed what was left at the limit of its stop.
	causeStop
	causeClient
	// causeRefusal means that the request must not be sent any more: by its account, or its content.
	causeRefusal
	// causeRestRefused means that the replica's connection was closed without a proof of the end, and that the rest from
	// the copy of the run was refused.
	causeRestRefused
	causeOther
	endCauses
)

// String returns the value of the metric's label.
func (e endCause) String() string {
	switch e {
	case causeSilence:
		return "silence"
	case causeLoss:
		return "proven_loss"
	case causeOverdueHead:
		return "overdue_head"
	case causeDeadline:
		return "deadline"
	case causeClose:
		return "server_closed"
	case causeReset:
		return "connection_reset"
	case causeLimit:
		return "too_long"
	case causeMemory:
		return "memory"
	case causeStop:
		return "gateway_stopped"
	case causeClient:
		return "client_left"
	case causeRefusal:
		return "not_allowed"
	case causeRestRefused:
		return "rest_refused"
	case causeNone, causeOther, endCauses:
	}
	return "other"
}

// endCounters counts the answers that ended early by what ended them.
type endCounters [endCauses]tally.Counter

func newEndCounters(registry *metric.Registry) endCounters {
	var counters endCounters
	for cause := range endCauses {
		counters[cause] = registry.CountOf("answers_ended_early_total", "cause", cause.String())
	}
	return counters
}

// earlyEnd is what ended an attempt, and what shows it.
type earlyEnd struct {
	cause    endCause
	evidence string
	// proof is what proves the loss of the replica, if the gateway gave it up for that.
	proof lossProof
	// next is where the request goes on, if it was given up for that.
	next *nextPeer
}

// causeOf returns what an error of a connection to a replica means.
func causeOf(err error) endCause {
	var tooLong *LimitError
	switch {
	case errors.As(err, &tooLong):
		return causeLimit
	case errors.Is(err, errRetentionFull):
		return causeMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return causeDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return causeLoss
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return causeReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errInsideEvent), errors.Is(err, errNoEvent), errors.Is(err, errUnprovenEnd):
		return causeClose
	}
	return causeOther
}

// noteEarlyEnd records what ended an attempt.
func (c *call) noteEarlyEnd(ctx context.Context, err error) {
	end := earlyEnd{cause: causeOf(err), evidence: err.Error()}
	given := c.watch.givenUp.Load()
	c.takeNext()
	switch {
	case c.handler.stop.ended():
		end.cause = causeStop
	case c.clientLeft():
		end.cause = causeClient
	case given != nil:
		end = *given
	case ctx.Err() != nil:
		end.cause = causeDeadline
	}
	c.early = end
}

// noteRefusedRest records that a replica refused to go on from the copy of a run.
func (c *call) noteRefusedRest(choice *Choice, status string) {
	if choice.Copy != nil && !choice.Copy.backup {
		c.early = earlyEnd{cause: causeRestRefused, evidence: choice.Peer.ID() + " refused the rest of its copy: " + status}
	}
}

// closedBy returns who closed the client's connection.
func (c *call) closedBy() endCause {
	if c.handler.stop.ended() {
		return causeStop
	}
	return causeClient
}

// endedEarly reports whether the client's response was broken off, or tells that the request may have run.
func (c *call) endedEarly() bool {
	return c.status == 0 || (c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout) && c.early.cause != causeNone && c.possibleRuns > 0
}

// logEarlyEnd logs and counts an answer that ended early. Those whose client left are counted alone.
func (c *call) logEarlyEnd(now time.Time, host string) {
	if !c.endedEarly() {
		return
	}
	h := c.handler
	if c.early.cause == causeNone && c.clientLeft() {
		c.early.cause = c.closedBy()
	}
	h.options.Metrics.EndedEarly[c.early.cause].Inc(1)
	if c.early.cause == causeClient {
		return
	}
	h.options.Ring.Add(event.Event{Kind: event.AnswerEndedEarly, Request: c.requestInfo.ID, Host: host, Model: modelName(c.requestInfo), Reason: c.describeEarlyEnd(now)})
}

// describeEarlyEnd puts what matters first: a line may be cut.
func (c *call) describeEarlyEnd(now time.Time) string {
	text := c.early.cause.String() + c.describeStop(now)
	if c.early.evidence != "" {
		text += ", " + c.early.evidence
	}
	if c.status != 0 {
		text += ", status " + strconv.Itoa(c.status)
	}
	if c.stream != nil && c.stream.lastEventID != "" {
		text += ", after event " + strconv.Quote(shorten(c.stream.lastEventID))
	}
	if c.watch != nil && !c.watch.heardAt().IsZero() {
		text += fmt.Sprintf(", %d ms after the last byte", now.Sub(c.watch.heardAt()).Milliseconds())
	}
	text += fmt.Sprintf(", %d ms before the deadline", c.deadline.Sub(now).Milliseconds())
	return text + ", " + c.describeTimes(now)
}

// describeBreak tells what broke the client's response off, "" if nothing has: near the start of the request's line, for
// those who have only that.
func (c *call) describeBreak() string {
	if c.status != 0 || c.early.cause == causeNone {
		return ""
	}
	text := " " + c.early.cause.String()
	if c.bodyEnd == endByClose {
		text += " unframed"
	}
	return text
}

// describeStop tells when the request was sent on and ended after the signal to stop, "" if the gateway goes on.
func (c *call) describeStop(now time.Time) string {
	ended, stopping := c.handler.stop.sinceSignal(now)
	if !stopping {
		return ""
	}
	if c.sentAt.IsZero() {
		return fmt.Sprintf(", not sent on, ended %d ms after the stop's signal", ended.Milliseconds())
	}
	sent, _ := c.handler.stop.sinceSignal(c.sentAt)
	return fmt.Sprintf(", sent on %d ms and ended %d ms after the stop's signal", sent.Milliseconds(), ended.Milliseconds())
}

// describeTimes tells how long ago the request was read and sent.
func (c *call) describeTimes(now time.Time) string {
	text := describeRead(now, c.startedAt, c.receivedAt)
	if !c.sentAt.IsZero() {
		text += fmt.Sprintf(", last sent on %d ms ago", now.Sub(c.sentAt).Milliseconds())
	}
	return text
}

// describeRead tells how long ago the head and the last byte of a request were read.
func describeRead(now, head, last time.Time) string {
	text := fmt.Sprintf("its head was read %d ms ago", now.Sub(head).Milliseconds())
	if !last.IsZero() {
		text += fmt.Sprintf(", its last byte %d ms ago", now.Sub(last).Milliseconds())
	}
	return text
}
