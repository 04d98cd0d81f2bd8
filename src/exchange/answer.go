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

// maxKept bounds the part of a plain answer that is read whole before the
// client's answer begins, so that a broken one can still be replaced.
const maxKept = 1 << 20

// The waits that refused clients are told, by what the refusal was for.
const (
	retryAfterMissing = 500 * time.Millisecond
	retryAfterBusy    = 250 * time.Millisecond
	// retryAfterStart is about what control nodes need to come up after startHold.
	retryAfterStart = 500 * time.Millisecond
)

// keptAnswer is a replica's whole answer with a failure, for the case that no
// other attempt does better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// keep reads a failure that ran.
func (c *call) keep(peer *Peer, a *answer) (outcome, *keptAnswer) {
	now := c.handler.options.Now()
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxKept))
	peer.failed(now, false)
	if err != nil {
		a.abort()
		c.broke = !c.left()
		c.reason += "; the failure's body broke off"
		return unknown, nil
	}
	a.finish(now)
	c.reason += "; " + peer.ID() + " answered " + a.response.Status
	return failed, &keptAnswer{status: a.response.StatusCode, header: a.response.Header, body: body}
}

// passWhole passes a plain answer on once all of it is here.
func (c *call) passWhole(ctx context.Context, peer *Peer, a *answer) outcome {
	body, err := io.ReadAll(&retainingReader{call: c, from: io.LimitReader(a.response.Body, maxKept+1)})
	if errors.Is(err, errRetention) {
		// It can't be replaced any more if it breaks off, which is better than to keep all of it.
		return c.passLong(ctx, peer, a, body)
	}
	now := c.handler.options.Now()
	if err != nil {
		a.abort()
		if ctx.Err() == nil {
			c.broke = true
			peer.failed(now, false)
		}
		c.reason += "; the answer broke off: " + err.Error()
		return unknown
	}
	if len(body) > maxKept {
		return c.passLong(ctx, peer, a, body)
	}
	a.finish(now)
	peer.succeeded()
	c.writeAnswer(a.response.StatusCode, a.response.Header, body)
	return answered
}

// passLong passes a long answer on as it comes.
func (c *call) passLong(ctx context.Context, peer *Peer, a *answer, begun []byte) outcome {
	c.copyHeader(a.response.Header)
	if a.response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	c.begin(a.response.StatusCode)
	_, err := io.Copy(c.writer, io.MultiReader(bytes.NewReader(begun), a.response.Body))
	if err != nil {
		a.abort()
		c.broke = ctx.Err() == nil
		c.lostReplica(ctx, peer)
		c.breakOff("the answer broke off: " + err.Error())
	}
	a.finish(c.handler.options.Now())
	peer.succeeded()
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
}

func (c *call) begin(status int) {
	c.status = status
	c.first = c.handler.options.Now()
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(time.Second))
	c.writer.WriteHeader(status)
}

func (c *call) writeAnswer(status int, header http.Header, body []byte) {
	c.copyHeader(header)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begin(status)
	_, _ = c.writer.Write(body)
}

// giveUp ends a request for which there is no replica.
func (c *call) giveUp(kept *keptAnswer, choice Choice) {
	if c.left() {
		c.breakOff("the client left")
	}
	if c.stream != nil && c.stream.begun {
		c.breakOff("no other replica can go on with the stream")
	}
	if kept != nil {
		c.writeAnswer(kept.status, kept.header, kept.body)
		return
	}
	reason := "no replica of the service is in reach"
	switch choice.Verdict {
	case BackedOff:
		c.handler.options.Metrics.BackoffRefusals.Inc(1)
		c.retryIn = spreadReturn(choice.OpensIn, rand.Float64())
		reason = c.handler.options.Fleet.describeClosed(c.want())
	case Missing:
		reason = "no replica in reach holds the model"
	case Crowded:
		reason = "all places of the service are taken for longer than the request has"
	case Unread:
		reason = "every replica with the model has too much to read for the request to be in time"
	}
	if c.ran > 0 {
		c.refuse(c.unanswered(), c.reason+"; "+reason)
		return
	}
	c.refuse(http.StatusServiceUnavailable, strings.TrimPrefix(c.reason+"; "+reason, "; "))
}

// end gives the client the final answer after the last attempt.
func (c *call) end(ctx context.Context, ended outcome, kept *keptAnswer) {
	if c.left() {
		c.breakOff("the client left")
	}
	if ended == cut || c.stream != nil && c.stream.begun {
		c.breakOff("the stream can't go on")
	}
	if kept != nil {
		c.writeAnswer(kept.status, kept.header, kept.body)
		return
	}
	if c.ran > 0 {
		c.refuse(c.unanswered(), c.reason)
		return
	}
	if choice := c.handler.options.Fleet.Pick(c.handler.options.Now(), c.want(), c.tried); choice.Verdict == BackedOff {
		c.retryIn = spreadReturn(choice.OpensIn, rand.Float64())
	}
	c.refuse(http.StatusServiceUnavailable, c.reason)
}

// unanswered is the status of a request that may have run: nothing is promised.
func (c *call) unanswered() int {
	if !c.handler.options.Now().Add(answerMargin).Before(c.deadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse ends a request with an answer of our own. 503 promises that the
// request has not run and never will; callers choose it only then.
func (c *call) refuse(status int, reason string) {
	header := c.writer.Header()
	c.reason = reason
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", seconds(c.retryAfter()))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.begin(status)
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

// breakOff ends an answer that has begun so that it can't look complete.
func (c *call) breakOff(reason string) {
	c.reason += "; " + reason
	c.status = 0
	panic(http.ErrAbortHandler)
}

// left reports whether the client has closed its connection.
func (c *call) left() bool { return c.request.Context().Err() != nil }

// kind says which event the request's end is.
func (c *call) kind() event.Kind {
	switch {
	case c.status == 0 && c.left():
		return event.RequestLeft
	case c.status == 0, c.status >= http.StatusBadRequest:
		return event.RequestRefused
	}
	return event.RequestFinished
}

// note logs what became of the request.
func (c *call) note() {
	h := c.handler
	kind := c.kind()
	now := h.options.Now()
	took := now.Sub(c.began)
	h.options.Metrics.Latency.RecordDuration(took)
	h.options.Metrics.Requests.Inc(1)
	if c.pauses.longest > 0 {
		h.options.Metrics.Pause.RecordDuration(c.pauses.longest)
	}
	route, service, host := "", c.service, ""
	if c.route != nil {
		route = c.route.Name
	}
	if len(c.tried) > 0 {
		host = c.tried[len(c.tried)-1].ID()
	}
	content := ""
	if c.digested {
		content = ", content " + c.content.String()
	}
	first := time.Duration(-1)
	if !c.first.IsZero() {
		first = c.first.Sub(c.began)
	}
	h.options.Ring.Add(event.Event{
		Kind: kind, Request: c.facts.ID, Model: modelName(c.facts), Host: host,
		Reason: fmt.Sprintf("status %d, route %s, service %s, account %q, configuration %d, sent to %d, may have run at %d, first byte %d ms, longest pause %s, took %d ms of %d ms%s; %s",
			c.status, route, service, c.accountName(), c.version, c.sends, c.ran, first.Milliseconds(), c.pauses.String(), took.Milliseconds(), c.deadline.Sub(c.began).Milliseconds(), content, c.reason),
	})
}

func modelName(f Facts) string {
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
