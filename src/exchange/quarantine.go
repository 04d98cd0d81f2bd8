package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/quarantine"
)

// maxShown bounds the digests in a log line.
const maxShown = 16

// digest returns the digest of what the request asks for.
func (c *call) digest() quarantine.Digest {
	if !c.digested {
		content := quarantine.Content{Account: c.accountName(), Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.body}
		c.content, c.digested = content.Digest(), true
	}
	return c.content
}

// maySend reports whether the request may go to a replica now, whichever way it came to that:
// a first try, a further one, a stream that goes on. Where not, it answers the client.
func (c *call) maySend(ctx context.Context) bool {
	return !c.quarantined() && c.mayGoOn(ctx)
}

// quarantined reports whether replicas ended under what the request asks for, so that it must
// not reach another one; it then answers the client.
//
// The question stands here, right before each send, and not where requests come in: the third
// end may be seen while the request waits, and the send may be this call's own third. The
// answer is 429, since the request has not run and sending it again is what is too much; the
// wait that it tells is the hold's, too long for a client to come back in its own time.
func (c *call) quarantined() bool {
	guard := c.handler.options.Guard
	if guard.Empty() {
		return false
	}
	left, held := guard.Held(c.handler.options.Now(), c.digest())
	if !held {
		return false
	}
	c.handler.options.Metrics.Quarantined.Inc(1)
	c.retryIn = left
	c.deny(http.StatusTooManyRequests, "backend servers ended while they ran requests with this content ("+c.content.String()+"); it is not sent to further ones")
	return true
}

// ranWell takes in that the request's run came to a good end.
func (c *call) ranWell() {
	if c.status < http.StatusOK || c.status >= http.StatusMultipleChoices || !c.handler.options.Guard.Remembered(len(c.body)) {
		return
	}
	c.handler.options.Guard.Ran(c.handler.options.Now(), c.digest())
}

// lostReplica takes in how an attempt ended that got no whole answer. Where the connection
// broke it waits a moment, so that what follows knows whether the replica has ended; where the
// time is over, the replica may have ended without a word, and it is looked after as well.
func (c *call) lostReplica(ctx context.Context, peer *Peer) {
	h := c.handler
	switch {
	case c.left():
		h.endings.left(h.options.Now(), peer, c.digest())
		return
	case ctx.Err() != nil:
		h.endings.broke(h.options.Now(), peer, c.digest())
		return
	case !c.broke:
		return
	}
	c.broke = false
	peer.pool.broke()
	timer := time.NewTimer(proofWait)
	defer timer.Stop()
	select {
	case <-h.endings.broke(h.options.Now(), peer, c.digest()):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replicaEnded takes in that a replica has ended with requests under way.
func (h *Handler) replicaEnded(now time.Time, replica string, under []quarantine.Digest, witness string) {
	blamed := h.options.Guard.Ended(now, replica, under)
	h.options.Metrics.Endings.Inc(1)
	h.options.Ring.Add(event.Event{Kind: event.ReplicaEnded, Host: replica, Reason: fmt.Sprintf("%s; under way: %s; without a good end of late: %s", witness, shown(under), shown(blamed))})
}

// shown lists digests for a log line.
func shown(digests []quarantine.Digest) string {
	texts := make([]string, 0, maxShown+1)
	for i, digest := range digests {
		if i == maxShown {
			texts = append(texts, fmt.Sprintf("and %d more", len(digests)-maxShown))
			break
		}
		texts = append(texts, digest.String())
	}
	return strings.Join(texts, " ")
}
