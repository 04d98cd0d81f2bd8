package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// gatewayHeader holds the name of the gateway that a client sent a request to; gateways forward
	// it.
	gatewayHeader = "Soak-Via"
	// noticeTime is how long a gateway may take to act on a notice in an answer.
	noticeTime = 500 * time.Millisecond
	// maxDuringBackoff is how many requests of a gateway may still reach a replica after noticeTime
	// while the replica has asked it to back off.
	maxDuringBackoff = 2
	// backoffDuration is how long a replica keeps refusing requests, backoffPause the pause before
	// the next such time; leavingPause is the pause between two replicas that announce that they
	// leave.
	backoffDuration = 4 * time.Second
	backoffPause    = 3 * time.Second
	leavingPause    = 6 * time.Second
	// acceptDuration is how long a replica accepts requests after a back-off before it asks for the
	// next one.
	acceptDuration = 500 * time.Millisecond
	// measuredBackoff is the back-off that replicas ask for in a measurement.
	measuredBackoff = 3 * time.Second
)

// notices holds what a replica announces in its answers, back-offs and leaving, and how each gateway
// follows that. It is safe for concurrent use.
type notices struct {
	mu sync.Mutex
	// backoffTime is the back-off that the replica currently asks for, 0 for none.
	backoffTime time.Duration
	// leaving is set once the replica announces in all answers that it leaves.
	leaving   bool
	byGateway map[string]*gatewayNotice
}

// gatewayNotice holds the notices that one gateway received and its requests during the current
// back-off.
type gatewayNotice struct {
	backoffAt, backoffUntil time.Time
	leavingAt               time.Time
	duringBackoff           int
}

// noticeCounts are the totals of a run. They are safe for concurrent use.
type noticeCounts struct {
	mu                       sync.Mutex
	backoffs, exceeded, most int
	afterLeaving             int
}

// setBackoff sets the back-off that the replica asks of each gateway that sends a request, 0 to
// accept requests again.
func (n *notices) setBackoff(backoff time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backoffTime = backoff
}

// setLeaving makes the replica announce in its answers that it leaves.
func (n *notices) setLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// checkNotices checks a request against the notices that its gateway received. It returns the
// back-off to ask for, whether the replica refuses the request, and whether it announces that it
// leaves.
func (r *replicas) checkNotices(rep *replica, request *http.Request) (backoff time.Duration, refused, leaving bool) {
	gateway, now := r.check.links.senderOf(request), time.Now()
	if gateway == "" {
		return 0, false, false
	}
	n := &rep.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byGateway == nil {
		n.byGateway = map[string]*gatewayNotice{}
	}
	notice := n.byGateway[gateway]
	if notice == nil {
		notice = &gatewayNotice{}
		n.byGateway[gateway] = notice
	}
	if !notice.leavingAt.IsZero() && now.Sub(notice.leavingAt) > drainGrace && r.faultFreeBefore(gateway, notice.leavingAt) {
		r.notices.recordAfterLeaving()
		r.check.late("drain", "%s got a request from %s %s after it had said in an answer that it leaves", rep.id, gateway, now.Sub(notice.leavingAt))
	}
	if n.leaving && notice.leavingAt.IsZero() {
		notice.leavingAt = now
	}
	if now.Before(notice.backoffUntil) {
		if now.Sub(notice.backoffAt) > noticeTime && r.faultFreeBefore(gateway, notice.backoffAt) {
			notice.duringBackoff++
			r.notices.duringBackoff(notice.duringBackoff)
			if notice.duringBackoff > maxDuringBackoff {
				r.check.late("rest", "%s got %d requests from %s in a time for which it wanted nothing", rep.id, notice.duringBackoff, gateway)
			}
		}
		return 0, true, n.leaving
	}
	if n.backoffTime > 0 && now.Sub(notice.backoffUntil) > acceptDuration {
		*notice = gatewayNotice{backoffAt: now, backoffUntil: now.Add(n.backoffTime), leavingAt: notice.leavingAt}
		r.notices.backoff()
		return n.backoffTime, true, n.leaving
	}
	return 0, false, n.leaving
}

// faultFreeBefore reports whether a gateway has been free of faults since before a time.
func (r *replicas) faultFreeBefore(gateway string, at time.Time) bool {
	for _, m := range r.in.gatewayNodes() {
		if m.name == gateway {
			_, since := m.state()
			return !since.IsZero() && since.Before(at)
		}
	}
	return false
}

// refuse answers a request that the replica does not run.
func refuse(w http.ResponseWriter, backoff time.Duration) {
	if backoff > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (c *noticeCounts) backoff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs++
}

func (c *noticeCounts) duringBackoff(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = max(c.most, count)
	if count == maxDuringBackoff+1 {
		c.exceeded++
	}
}

func (c *noticeCounts) recordAfterLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.afterLeaving++
}

func (c *noticeCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("rests asked %d, with over two requests after the first 0.5 s %d, most in one %d; after a word of leaving %d", c.backoffs, c.exceeded, c.most, c.afterLeaving)
}

// firstShare returns the first replicas of the list up to a share, at least one.
func (r *replicas) firstShare(share float64) []*replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(max(int(share*float64(len(r.list))), 1), len(r.list))
	return append([]*replica(nil), r.list[:count]...)
}

// announceBackoffs makes some or all replicas refuse requests and ask for a back-off from time to
// time.
func (r *replicas) announceBackoffs(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoffPause):
		}
		resting := r.firstShare([]float64{0.2, 0.5, 1}[random.IntN(3)])
		asked := time.Duration(500+random.IntN(2500)) * time.Millisecond
		for _, rep := range resting {
			rep.notices.setBackoff(asked)
		}
		r.check.count("spells of rest")
		select {
		case <-ctx.Done():
		case <-time.After(backoffDuration):
		}
		for _, rep := range resting {
			rep.notices.setBackoff(0)
		}
	}
}

// announceLeaving makes a replica announce in its answers that it leaves while its registration
// stays ready, and replaces it later.
func (r *replicas) announceLeaving(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingPause):
		}
		r.mu.Lock()
		var rep *replica
		if len(r.list) > 2 {
			rep = r.list[random.IntN(len(r.list))]
		}
		r.mu.Unlock()
		if rep == nil {
			continue
		}
		rep.recordLeaving()
		rep.notices.setLeaving()
		r.check.count("leaving said in answers")
		time.Sleep(drainGrace + 2*time.Second)
		r.replace(rep)
	}
}

// measureBackoff makes a share of the replicas refuse requests from the seventh second of the
// measurement on.
func measureBackoff(share float64) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, _ *clients) {
		time.Sleep(7 * time.Second)
		for _, rep := range r.firstShare(share) {
			rep.notices.setBackoff(measuredBackoff)
		}
		<-ctx.Done()
		fmt.Println(&r.notices)
	}
}

// measureLeaving makes half of the replicas announce that they leave from the seventh second on.
func measureLeaving(ctx context.Context, r *replicas, _ *clients) {
	time.Sleep(7 * time.Second)
	for _, rep := range r.firstShare(0.5) {
		rep.recordLeaving()
		rep.notices.setLeaving()
	}
	<-ctx.Done()
	fmt.Println(&r.notices)
}
