package exchange

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/quarantine"
)

// maxLoggedDigests bounds the digests in a log line, and the parts of prompts.
const maxLoggedDigests = 16

// maxLoggedPart is how many bytes of the ID of a part a log line shows.
const maxLoggedPart = 32

// digest returns the digest of the request's content.
func (c *call) digest() quarantine.Digest {
	if !c.digested {
		content := quarantine.Content{Account: c.accountName(), Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.body}
		c.content, c.digested = content.Digest(), true
	}
	return c.content
}

// quarantineRequest returns what of the request may crash replicas. The last part of a prompt is the
// request's own.
func (c *call) quarantineRequest() quarantine.Request {
	request := quarantine.Request{Content: c.digest()}
	for i := 0; i+1 < len(c.requestInfo.Parts); i++ {
		request.Parts = append(request.Parts, c.requestInfo.Parts[i].ID)
	}
	return request
}

// maySend reports whether the request may be sent to a replica now. It is called before every
// attempt: the first, a retry and the continuation of a stream. If not, it responds to the client.
func (c *call) maySend(ctx context.Context) bool {
	return !c.quarantined() && c.reauthorize(ctx)
}

// quarantined reports whether the request must not be sent because replicas crashed while running
// requests with the same content. If so, it responds to the client.
//
// The check is made right before each send and not when the request arrives: the third crash may be
// detected while the request waits, or this request may itself have caused it. The status is 429,
// since the request has not run and must not be repeated. Retry-After is the remaining time of the
// quarantine, which is longer than clients usually wait.
func (c *call) quarantined() bool {
	tracker := c.handler.options.Tracker
	if tracker.Empty() {
		return false
	}
	left, held := tracker.Held(c.handler.options.Now(), c.digest())
	if !held {
		return false
	}
	c.handler.options.Metrics.Quarantined.Inc(1)
	c.retryIn = left
	c.deny(http.StatusTooManyRequests, "backend servers ended while they ran requests with this content ("+c.content.String()+"); it is not sent to further ones")
	return true
}

// noteRun records that the request ran without a crash. If the replica's answer ended with its
// connection, the replica may just have crashed, which shows only later.
func (c *call) noteRun(peer *Peer) {
	if c.bodyEnd == endByClose {
		c.noteUnprovenRun(peer)
		return
	}
	if c.succeeded() {
		c.handler.options.Tracker.RecordSuccess(c.handler.options.Now(), c.digest())
	}
}

func (c *call) noteUnprovenRun(peer *Peer) {
	h, digest := c.handler, c.digest()
	h.crashDetector.addSuspect(h.options.Now(), peer, c.quarantineRequest())
	if !c.succeeded() {
		return
	}
	h.crashDetector.after(suspectTTL, func() {
		if !h.crashDetector.crashed(peer.ID()) {
			h.options.Tracker.RecordSuccess(h.options.Now(), digest)
		}
	})
}

// succeeded reports whether the client has a successful response to content that is tracked.
func (c *call) succeeded() bool {
	success := c.status >= http.StatusOK && c.status < http.StatusMultipleChoices
	return success && c.handler.options.Tracker.TracksBody(len(c.body))
}

// noteLostReplica handles an attempt without a complete response. If the connection broke, it waits
// briefly for the crash check, so that the next attempt takes the result into account. If the
// deadline has passed, the replica may have crashed silently, so it is checked as well.
func (c *call) noteLostReplica(ctx context.Context, peer *Peer) {
	h := c.handler
	switch {
	case c.clientLeft():
		h.crashDetector.addSuspect(h.options.Now(), peer, c.quarantineRequest())
		return
	case ctx.Err() != nil:
		h.crashDetector.connectionBroke(h.options.Now(), peer, c.quarantineRequest())
		return
	case !c.connectionBroke:
		return
	}
	c.connectionBroke = false
	peer.pool.connectionBroke()
	timer := time.NewTimer(crashCheckTimeout)
	defer timer.Stop()
	select {
	case <-h.crashDetector.connectionBroke(h.options.Now(), peer, c.quarantineRequest()):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteCrash records that a replica has crashed with requests in flight.
func (h *Handler) noteCrash(now time.Time, replica string, inFlight []quarantine.Request, evidence string) {
	var contents []quarantine.Digest
	var parts []string
	for _, request := range inFlight {
		contents = append(contents, request.Content)
		parts = append(parts, request.Parts...)
	}
	suspected := h.options.Tracker.AttributeFailure(now, replica, contents)
	h.options.Metrics.Crashes.Inc(1)
	h.options.Ring.Add(event.Event{Kind: event.ReplicaEnded, Host: replica, Reason: fmt.Sprintf("%s; under way: %s; without a good end of late: %s; parts of their prompts: %s",
		evidence, formatList(digestTexts(contents)), formatList(digestTexts(suspected)), formatList(countedTexts(parts)))})
}

func digestTexts(digests []quarantine.Digest) []string {
	texts := make([]string, 0, len(digests))
	for _, digest := range digests {
		texts = append(texts, digest.String())
	}
	return texts
}

// countedTexts returns the different texts, the most frequent ones first and with their number.
func countedTexts(texts []string) []string {
	counts := map[string]int{}
	for _, text := range texts {
		counts[text]++
	}
	different := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for i, text := range different {
		different[i] = fmt.Sprintf("%.*s (%d)", maxLoggedPart, text, counts[text])
	}
	return different
}

// formatList lists texts for a log line.
func formatList(texts []string) string {
	if len(texts) > maxLoggedDigests {
		texts = append(slices.Clone(texts[:maxLoggedDigests]), fmt.Sprintf("and %d more", len(texts)-maxLoggedDigests))
	}
	return strings.Join(texts, " ")
}
