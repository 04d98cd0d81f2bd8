package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
)

// maxBufferedBytes is the largest response that is read completely before the client's response
// begins. Until then a broken response can be replaced by another attempt.
const maxBufferedBytes = 1 << 20

// Default values of Retry-After, by the reason of the refusal.
const (
	retryAfterMissing = 500 * time.Millisecond
	retryAfterBusy    = 250 * time.Millisecond
	// retryAfterStart is about the time that control nodes need to start after maxConfigWait has
	// passed.
	retryAfterStart = 500 * time.Millisecond
)

// errorResponse is a complete error response of a replica. It is used if no other attempt succeeds.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
	end    bodyEnd
}

// bufferError reads the error response of a replica that ran the request. One that can't be kept, for its
// length or for the gateway's memory, is passed on at once.
func (c *call) bufferError(ctx context.Context, peer *Peer, a *replicaResponse) (outcome, *errorResponse) {
	now := c.handler.options.Now()
	if c.beside {
		_ = a.conn.raw.SetReadDeadline(now.Add(rejectionBodyTimeout))
	}
	body, err := c.readRetained(a.response.Body)
	if err == nil && len(body) <= maxBufferedBytes {
		err = c.checkEnd(ctx, peer, a.end, a.lastConn)
	}
	peer.failed(now, false)
	if c.beside && (err != nil || len(body) > maxBufferedBytes) {
		a.abort()
		c.reason += "; " + peer.ID() + " answered " + a.response.Status + " in a way that is not kept while another attempt is under way"
		return unknown, nil
	}
	if err != nil && !errors.Is(err, errRetentionFull) {
		a.abort()
		c.noteEarlyEnd(ctx, err)
		c.connectionBroke = !c.clientLeft()
		c.reason += "; the failure's body broke off"
		return unknown, nil
	}
	c.reason += "; " + peer.ID() + " answered " + a.response.Status
	switch {
	case err == nil && len(body) <= maxBufferedBytes:
		a.reuseConn(now)
	case c.stream == nil || !c.stream.started:
		return c.relayUnbuffered(ctx, peer, a, body), nil
	default:
		a.abort()
	}
	return failed, &errorResponse{status: a.response.StatusCode, header: a.response.Header, body: body, end: a.end}
}

// relayBuffered passes a response on once it has arrived completely.
func (c *call) relayBuffered(ctx context.Context, peer *Peer, a *replicaResponse) outcome {
	body, err := c.readRetained(a.response.Body)
	if errors.Is(err, errRetentionFull) {
		// The response can no longer be replaced if it breaks off, but memory stays bounded.
		return c.relaySuccess(ctx, peer, a, body)
	}
	if err == nil && len(body) <= maxBufferedBytes {
		err = c.checkEnd(ctx, peer, a.end, a.lastConn)
	}
	now := c.handler.options.Now()
	if err != nil {
		a.abort()
		c.noteEarlyEnd(ctx, err)
		if !c.timeOver(ctx) {
			c.connectionBroke = true
			peer.failed(now, false)
		}
		c.reason += "; the answer broke off: " + err.Error()
		return unknown
	}
	if len(body) > maxBufferedBytes {
		return c.relaySuccess(ctx, peer, a, body)
	}
	a.reuseConn(now)
	peer.succeeded()
	c.noteUnprovenEnd(peer, a.end, bodyPassedOn)
	c.writeResponse(a.response.StatusCode, a.response.Header, body, a.end)
	return answered
}

// relaySuccess passes a long response of a replica that has not failed on as it arrives.
func (c *call) relaySuccess(ctx context.Context, peer *Peer, a *replicaResponse, buffered []byte) outcome {
	ended := c.relayUnbuffered(ctx, peer, a, buffered)
	peer.succeeded()
	return ended
}

// relayUnbuffered passes a long response on as it arrives.
func (c *call) relayUnbuffered(ctx context.Context, peer *Peer, a *replicaResponse, buffered []byte) outcome {
	c.copyHeader(a.response.Header)
	if a.response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	c.useFraming(a.end)
	c.logUnframed(peer, a.end)
	c.watch.noteBegun(true)
	c.beginResponse(a.response.StatusCode)
	_, err := io.Copy(c.writer, io.MultiReader(bytes.NewReader(buffered), a.response.Body))
	if err == nil {
		err = c.checkEnd(ctx, peer, a.end, a.lastConn)
	}
	if err != nil {
		a.abort()
		c.noteEarlyEnd(ctx, err)
		c.connectionBroke = !c.timeOver(ctx)
		c.noteLostReplica(ctx, peer)
		c.abortResponse("the answer broke off: " + err.Error())
	}
	c.noteUnprovenEnd(peer, a.end, bodyPassedOn)
	c.completeResponse()
	a.reuseConn(c.handler.options.Now())
	return answered
}

func (c *call) copyHeader(header http.Header) {
	to := c.writer.Header()
	dropped := connectionHeaders(header)
	for name, values := range header {
		if hopByHop[name] || dropped[name] {
			continue
		}
		to[name] = values
	}
	if _, typed := to["Content-Type"]; !typed {
		// Keeps the HTTP library from guessing a type.
		to["Content-Type"] = nil
	}
}

func (c *call) beginResponse(status int) {
	c.status = status
	c.firstByte = c.handler.options.Now()
	_ = http.NewResponseController(c.writer).SetWriteDeadline(later(c.deadline, c.firstByte).Add(time.Second))
	c.guardClose()
	c.progress.noteBegun()
	c.tellRuns()
	c.writer.WriteHeader(status)
}

func (c *call) writeResponse(status int, header http.Header, body []byte, end bodyEnd) {
	c.copyHeader(header)
	if end != endByClose && c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.useFraming(end)
	c.beginResponse(status)
	if _, err := c.writer.Write(body); err == nil {
		c.completeResponse()
	}
}

// endWithoutReplica ends a request for which no replica was found.
func (c *call) endWithoutReplica(lastError *errorResponse, choice Choice) {
	c.noteCutOff()
	if c.clientLeft() {
		c.abortResponse("the client left")
	}
	if c.stream != nil && c.stream.started {
		c.logOrigin(event.StreamNotResumed, "no other replica can go on with it")
		c.abortResponse("no other replica can go on with the stream")
	}
	if lastError != nil {
		c.writeResponse(lastError.status, lastError.header, lastError.body, lastError.end)
		return
	}
	reason := "no replica of the service is in reach"
	switch choice.Verdict {
	case NotAccepting:
		c.notAccepted = true
		c.handler.options.Metrics.BackoffRefusals.Inc(1)
		c.retryIn = jitterRetry(choice.AcceptsIn, rand.Float64())
		reason = c.handler.options.Fleet.describeUnavailable(c.requirements())
	case ModelMissing:
		reason = "no replica in reach holds the model"
	case NoFreeSlot:
		reason = "all places of the service are taken for longer than the request has"
	case NoRoom:
		reason = "no replica with the model has room in time: " + choice.Reason
	case Backlog:
		reason = "every replica with the model has too much to read for the request to be in time"
	}
	if c.possibleRuns > 0 {
		c.refuse(c.unknownOutcomeStatus(), c.reason+"; "+reason)
		return
	}
	if !c.origin.Unbound() && (choice.Verdict == NoReplica || choice.Verdict == ModelMissing) && c.unconnected == 0 {
		c.refuseResume(strings.TrimPrefix(c.reason+"; "+reason+", with the software that began the stream", "; "))
		return
	}
	c.refuse(http.StatusServiceUnavailable, strings.TrimPrefix(c.reason+"; "+reason, "; "))
}

// endAfterAttempt responds to the client after the last attempt.
func (c *call) endAfterAttempt(ctx context.Context, ended outcome, lastError *errorResponse) {
	c.noteCutOff()
	if c.clientLeft() {
		c.abortResponse("the client left")
	}
	if ended == truncated || c.stream != nil && c.stream.started {
		if c.route.Idempotent() {
			c.logOrigin(event.StreamNotResumed, "no further attempt is made")
		}
		c.abortResponse("the stream can't go on")
	}
	if lastError != nil {
		c.writeResponse(lastError.status, lastError.header, lastError.body, lastError.end)
		return
	}
	if c.possibleRuns > 0 {
		c.refuse(c.unknownOutcomeStatus(), c.reason)
		return
	}
	if choice := c.handler.options.Fleet.Pick(c.handler.options.Now(), c.requirements(), c.tried); choice.Verdict == NotAccepting {
		c.retryIn = jitterRetry(choice.AcceptsIn, rand.Float64())
	}
	c.refuse(http.StatusServiceUnavailable, c.reason)
}

// unknownOutcomeStatus returns the status for a request that may have run. It makes no statement on
// whether it did.
func (c *call) unknownOutcomeStatus() int {
	if !c.handler.options.Now().Add(responseMargin).Before(c.deadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse responds with an error of the gateway. Status 503 states that the request has not run and
// never will; callers use it only if that is certain.
func (c *call) refuse(status int, reason string) {
	header := c.writer.Header()
	c.reason = reason
	c.markNotSent(status)
	if !c.noReturn && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", seconds(c.retryAfter()))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.framing = framedByLength
	c.beginResponse(status)
	_, _ = io.WriteString(c.writer, body)
	c.handler.options.Metrics.Refusals.Inc(1)
}

func (c *call) retryAfter() time.Duration {
	switch {
	case c.retryIn > 0:
		return c.retryIn
	case c.route == nil:
		return retryAfterStart
	case c.sends == 0:
		return retryAfterMissing
	}
	return retryAfterBusy
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// abortResponse ends a response that has begun so that it cannot be taken for complete.
func (c *call) abortResponse(reason string) {
	c.reason += "; " + reason
	c.status = 0
	if c.framing == framedByClose {
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// clientLeft reports whether the client has closed its connection.
func (c *call) clientLeft() bool { return c.closed || c.request.Context().Err() != nil }

// kind returns the kind of the event that logs the request's result.
func (c *call) kind() event.Kind {
	switch {
	case c.status == 0 && c.clientLeft() && c.closedBy() == causeClient:
		return event.ClientDisconnected
	case c.status == 0, c.status >= http.StatusBadRequest:
		return event.RequestRefused
	}
	return event.RequestFinished
}

// logResult logs the result of the request.
func (c *call) logResult() {
	h := c.handler
	kind := c.kind()
	now := h.options.Now()
	took := now.Sub(c.startedAt)
	h.options.Metrics.Latency.RecordDuration(took)
	h.options.Metrics.Requests.Inc(1)
	if c.pauses.longest > 0 {
		h.options.Metrics.Pause.RecordDuration(c.pauses.longest)
	}
	route, service, host, software := "", c.service, "", ""
	if c.route != nil {
		route = c.route.Name
	}
	if len(c.tried) > 0 {
		last := c.tried[len(c.tried)-1]
		host, software = last.ID(), last.softwareVersion()
	}
	c.logEarlyEnd(now, host)
	content := ""
	if c.digested {
		content = ", content " + c.content.String()
	}
	h.options.Ring.Add(event.Event{
		Kind: kind, Request: c.requestInfo.ID, Model: modelName(c.requestInfo), Host: host,
		Reason: fmt.Sprintf("status %d%s%s, route %s, service %s, account %q, configuration %d, sent to %d, last to software %q, may have run at %d, end %s, to the client %s, read after %d ms, sent on after %d ms, first byte %d ms, longest pause %s, took %d ms of %d ms%s; %s",
			c.status, c.describeBreak(), c.describeStop(now), route, service, c.accountName(), c.version, c.sends, software, c.possibleRuns, c.bodyEnd, c.framing, c.sinceStart(c.receivedAt).Milliseconds(), c.sinceStart(c.sentAt).Milliseconds(), c.sinceStart(c.firstByte).Milliseconds(), c.pauses.String(), took.Milliseconds(), c.deadline.Sub(c.startedAt).Milliseconds(), content, c.reason),
	})
}

// sinceStart returns when something happened after the head of the request was read, -1 ms if it has not.
func (c *call) sinceStart(at time.Time) time.Duration {
	if at.IsZero() {
		return -time.Millisecond
	}
	return at.Sub(c.startedAt)
}

func modelName(f RequestInfo) string {
	if f.Adapter == "" {
		return f.Model
	}
	return f.Model + "/" + f.Adapter
}

func splitList(value string) []string {
	fields := strings.Split(value, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}
