package exchange

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/metric"
)

// underWay holds the requests that were sent on and have no complete answer yet. A process that is killed logs nothing
// of them, so each has a line as the mark of a stop passes. It is safe for concurrent use.
type underWay struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
	// marked is set once the mark of the stop has passed.
	marked bool
}

// add adds a request and reports whether the mark has passed.
func (u *underWay) add(p *progress) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests[p] = struct{}{}
	return u.marked
}

// remove removes a request whose answer has ended.
func (u *underWay) remove(p *progress) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, p)
}

// mark notes that the mark has passed, and returns the requests in the order of their arrival, none if it has passed
// before.
func (u *underWay) mark() []*progress {
	u.mu.Lock()
	if u.marked {
		u.mu.Unlock()
		return nil
	}
	u.marked = true
	requests := make([]*progress, 0, len(u.requests))
	for p := range u.requests {
		requests = append(requests, p)
	}
	u.mu.Unlock()
	slices.SortFunc(requests, func(a, b *progress) int { return a.startedAt.Compare(b.startedAt) })
	return requests
}

// number returns the number of requests.
func (u *underWay) number() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// stopCounters count the requests that are under way as the mark of a stop passes, and those that its end cuts off.
type stopCounters struct{ mark, end tally.Counter }

func newStopCounters(registry *metric.Registry) stopCounters {
	const name, label = "requests_under_way_at_stop_total", "at"
	return stopCounters{mark: registry.CountOf(name, label, "mark"), end: registry.CountOf(name, label, "end")}
}

// progress is what is known of a request that was sent on. It is safe for concurrent use, as its call is not.
type progress struct {
	request, model, route string
	// startedAt, receivedAt and deadline are those of the call.
	startedAt, receivedAt, deadline time.Time

	mu    sync.Mutex
	sends []sentTo
	// begun is set once the client's response has begun, lastEvent is the ID of the last event in it.
	begun     bool
	lastEvent string
	// ended is set once the request has its result.
	ended bool
}

// sentTo is a peer that a request was sent to and that may run it. logged is set once it has a line.
type sentTo struct {
	host   string
	at     time.Time
	logged bool
}

// noteUnderWay records that the request is sent to a peer, right before the first byte.
func (c *call) noteUnderWay(peer *Peer) {
	if c.progress == nil {
		c.progress = &progress{request: c.requestInfo.ID, model: modelName(c.requestInfo), route: c.route.Name, startedAt: c.startedAt, receivedAt: c.receivedAt, deadline: c.deadline}
	}
	c.progress.addSend(peer.ID(), c.sentAt)
	if c.handler.stop.underWay.add(c.progress) {
		c.handler.logUnderWay(c.progress)
	}
}

// endProgress records that the request has its result.
func (c *call) endProgress() {
	if c.progress == nil {
		return
	}
	c.handler.stop.underWay.remove(c.progress)
	c.progress.end()
}

// passMark ends what must not go on once the mark of the stop has passed, and logs the requests under way.
func (h *Handler) passMark() {
	h.stop.mark()
	requests := h.stop.underWay.mark()
	if len(requests) > 0 {
		h.options.Metrics.UnderWayAtStop.mark.Inc(int64(len(requests)))
	}
	for _, p := range requests {
		h.logUnderWay(p)
	}
}

// logUnderWay logs each peer that a request was sent to, once.
func (h *Handler) logUnderWay(p *progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	now := h.options.Now()
	for i := range p.sends {
		s := &p.sends[i]
		if s.logged {
			continue
		}
		s.logged = true
		h.options.Ring.Add(event.Event{Kind: event.RequestUnderWay, Request: p.request, Model: p.model, Host: s.host, Reason: p.describe(now, s, h.stop)})
	}
}

// describe puts what matters first: a line may be cut. The lock is held.
func (p *progress) describe(now time.Time, s *sentTo, stop *stopState) string {
	text := fmt.Sprintf("sent on %d ms ago", now.Sub(s.at).Milliseconds())
	if sent, stopping := stop.sinceSignal(s.at); stopping {
		text += fmt.Sprintf(", %d ms after the stop's signal", sent.Milliseconds())
	}
	text += fmt.Sprintf(", %d ms before the deadline", p.deadline.Sub(now).Milliseconds())
	switch {
	case p.lastEvent != "":
		text += ", after event " + strconv.Quote(shorten(p.lastEvent))
	case p.begun:
		text += ", its answer has begun"
	default:
		text += ", no answer yet"
	}
	return text + ", " + describeRead(now, p.startedAt, p.receivedAt) + ", route " + p.route
}

func (p *progress) addSend(host string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends = append(p.sends, sentTo{host: host, at: at})
}

// noteNotRun records that a peer did not run the request and will not.
func (p *progress) noteNotRun(peer *Peer) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends = slices.DeleteFunc(p.sends, func(s sentTo) bool { return s.host == peer.ID() })
}

// noteBegun records that the client's response has begun.
func (p *progress) noteBegun() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
}

// noteEvent records the last event that was passed on.
func (p *progress) noteEvent(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent = id
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}
