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

// digest returns the digest of the request's content.
func (c *call) digest() quarantine.Digest {
	if !c.digested {
		content := quarantine.Content{Account: c.accountName(), Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.body}
		c.content, c.digested = content.Digest(), true
	}
	return c.content
}

// sharedParts returns the parts of the request's prompt that other requests may share: all but the last
// one, which is the request's own.
func (c *call) sharedParts() []quarantine.Key {
	if shared := len(c.requestInfo.Parts) - 1; shared > 0 && c.partKeys == nil {
		ids := make([]string, 0, shared)
		for _, part := range c.requestInfo.Parts[:shared] {
			ids = append(ids, part.ID)
		}
		c.partKeys = quarantine.PartKeys(ids)
	}
	return c.partKeys
}

// quarantineRequest returns what of the request may crash replicas.
func (c *call) quarantineRequest() quarantine.Request {
	return quarantine.Request{Content: c.digest(), Parts: c.sharedParts(), Begun: !c.firstByte.IsZero()}
}

// maySend reports whether the request may be sent to a replica now. It is called before every
// attempt: the first, a retry and the continuation of a stream. If not, it responds to the client.
func (c *call) maySend(ctx context.Context) bool {
	return !c.quarantined() && c.reauthorize(ctx)
}

// quarantined reports whether the request must not be sent because replicas crashed while running
// requests with the same content or with a part of its prompt. If so, it responds to the client.
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
	now := c.handler.options.Now()
	key, left, blocked := tracker.Blocked(now, c.quarantineRequest(), &c.trial)
	if !blocked {
		return false
	}
	c.handler.options.Metrics.Quarantined.Inc(1)
	c.retryIn = left
	c.deny(http.StatusTooManyRequests, quarantineReason(key))
	return true
}

// quarantineReason returns what the client of a quarantined request is told.
func quarantineReason(key quarantine.Key) string {
	what := "content (" + key.Digest.String() + ")"
	if key.Part != "" {
		what = "part of their prompts (" + key.Part + ")"
	}
	return "backend servers ended while they ran requests with this " + what + "; it is not sent to further ones"
}

// noteRun records that the request ran without a crash. If the replica's answer ended with its
// connection, the replica may just have crashed, which shows only later.
func (c *call) noteRun(peer *Peer) {
	if c.bodyEnd == endByClose {
		c.noteUnprovenRun(peer)
		return
	}
	if c.succeeded() {
		c.handler.recordSuccess(c.sharedParts(), c.trackedContent())
	}
}

func (c *call) noteUnprovenRun(peer *Peer) {
	h := c.handler
	c.noteClosedRun(peer)
	h.crashDetector.addSuspect(h.options.Now(), peer, c.quarantineRequest())
	if !c.succeeded() {
		return
	}
	parts, content := c.sharedParts(), c.trackedContent()
	h.crashDetector.after(suspectTTL, func() {
		if !h.crashDetector.crashed(peer.ID()) {
			h.recordSuccess(parts, content)
		}
	})
}

// succeeded reports whether the client has a successful response.
func (c *call) succeeded() bool {
	return c.status >= http.StatusOK && c.status < http.StatusMultipleChoices
}

// trackedContent returns the digest of the request's content, nil if contents of its length are not
// tracked.
func (c *call) trackedContent() *quarantine.Digest {
	if !c.handler.options.Tracker.TracksBody(len(c.body)) {
		return nil
	}
	content := c.digest()
	return &content
}

// recordSuccess records that a request ran without a crash; content is nil if it is not tracked.
func (h *Handler) recordSuccess(parts []quarantine.Key, content *quarantine.Digest) {
	now := h.options.Now()
	h.options.Tracker.RecordPartSuccess(now, parts)
	if content != nil {
		h.options.Tracker.RecordSuccess(now, *content)
	}
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
	case c.timeOver(ctx):
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
	var contents, parts, suspected []string
	for _, request := range inFlight {
		contents = append(contents, request.Content.String())
		for _, part := range request.Parts {
			parts = append(parts, part.Part)
		}
	}
	for _, key := range h.options.Tracker.AttributeFailure(now, replica, inFlight) {
		suspected = append(suspected, key.Name())
	}
	h.options.Metrics.Crashes.Inc(1)
	h.options.Ring.Add(event.Event{Kind: event.ReplicaEnded, Host: replica, Reason: fmt.Sprintf("%s; under way: %s; without a good end of late: %s; parts of their prompts: %s",
		evidence, formatList(contents), formatList(suspected), formatList(countedTexts(parts)))})
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
		different[i] = fmt.Sprintf("%s (%d)", text, counts[text])
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
