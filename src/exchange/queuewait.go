package exchange

import (
	"context"
	"time"
)

// maxQueueWaitShare is the share of its target that a request waits for a replica in backoff. In a
// simulation of four replicas that reject the excess with backoffs of 0.3, 1 or 3 s at 0.8 to 2
// times their capacity, the mean worth to clients was 0.330 with this share, 0.302 with immediate
// refusal, 0.292 with a third of the target, 0.077 with all of it and 0.166 with the whole deadline
// (TestAShortWaitForAReplicaIsBestForCallers, all ways). Requests that wait longer reach the
// replica together and are rejected again.
const maxQueueWaitShare = 0.125

// queueEntry is a request's entry in a wait queue.
type queueEntry struct {
	waiter *waiter
	key    queueKey
}

// mustQueue reports whether other requests already wait for the same service and model. The request
// must not overtake them while it may wait itself.
func (c *call) mustQueue(now time.Time) bool {
	waitQueues := c.handler.waitQueues
	return waitQueues.waiting.Load() > 0 && c.queueEntry.waiter == nil && now.Before(c.queueDeadline()) && waitQueues.any(c.newQueueKey())
}

// newQueueKey returns the key of the queue that the request belongs to.
func (c *call) newQueueKey() queueKey {
	return queueKey{service: c.service, held: copyKey{model: c.requestInfo.Model, adapter: c.requestInfo.Adapter}}
}

// queueDeadline returns until when the request waits for a replica that accepts requests.
func (c *call) queueDeadline() time.Time {
	return c.shareEnd(maxQueueWaitShare)
}

// waitInQueue waits once in the request's queue. It returns false if the request must not wait any
// longer: no replica accepts requests soon enough, the queue is full, or the request was evicted.
func (c *call) waitInQueue(ctx context.Context, now time.Time, choice Choice) bool {
	deadline := c.queueDeadline()
	if len(c.tried) > 0 || now.Add(choice.AcceptsIn).After(deadline) {
		return false
	}
	waitQueues, entry := c.handler.waitQueues, &c.queueEntry
	if entry.waiter == nil {
		entry.key = c.newQueueKey()
		entry.waiter = waitQueues.enqueue(entry.key, c.priority(), c.accountName(), choice.Slots)
	}
	if entry.waiter == nil {
		return false
	}
	timer := time.NewTimer(c.queueRecheckDelay(now, deadline, choice))
	defer timer.Stop()
	ready := entry.waiter.ready
	if waitQueues.isFirst(entry.key, entry.waiter) {
		ready = nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-ready:
	case <-timer.C:
	}
	return !waitQueues.wasEvicted(entry.waiter)
}

// queueRecheckDelay returns how long the request waits before it checks again: the first in the
// queue until a replica accepts requests, the others until they are first or their time is over.
func (c *call) queueRecheckDelay(now, deadline time.Time, choice Choice) time.Duration {
	if c.handler.waitQueues.isFirst(c.queueEntry.key, c.queueEntry.waiter) {
		return max(choice.AcceptsIn, time.Millisecond)
	}
	return deadline.Sub(now)
}

// leaveQueue removes the request from its queue.
func (c *call) leaveQueue() {
	if c.queueEntry.waiter == nil {
		return
	}
	c.handler.waitQueues.remove(c.queueEntry.key, c.queueEntry.waiter)
	c.queueEntry = queueEntry{}
}
