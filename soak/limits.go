package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// limitWindow is the window over which a limit is checked. limitFactor times the limit plus
	// limitAllowance requests may arrive in it.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitNoticeTime is how long after the first announcement of a limit it may still be exceeded.
	limitNoticeTime = 2 * time.Second
	// limitDuration is how long replicas announce a limit, limitPause the pause until the next one.
	limitDuration = 5 * time.Second
	limitPause    = 3 * time.Second
	// measuredLimitStart and measuredLimitDuration are when a measurement's replicas begin to
	// announce a limit and for how long.
	measuredLimitStart    = 7 * time.Second
	measuredLimitDuration = 12500 * time.Millisecond
	// limitRecoveryTime is how long after the end of a limit all requests must be served again.
	limitRecoveryTime = 2 * time.Second
)

// announcedLimit is the request limit that a replica announces for all gateways together, with the
// requests that arrive under it. It is safe for concurrent use.
type announcedLimit struct {
	mu sync.Mutex
	// perSecond is the limit, 0 for none; announcedAt is when it was first announced.
	perSecond   float64
	announcedAt time.Time
	// toldAt is when each gateway was first told of the limit.
	toldAt map[string]time.Time
	// arrivals are the times of the last limitWindow's requests from gateways that know the limit.
	arrivals []time.Time
}

// limitCounts are the totals of a run. They are safe for concurrent use.
type limitCounts struct {
	mu sync.Mutex
	// windows counts the checks of a limit, exceeded those that failed; most is the highest number
	// of requests in a window.
	windows, exceeded, most int
	// arrived counts the checked requests, allowed what the limits of a measurement permit.
	arrived int
	allowed float64
}

// set sets the limit that the replica announces from now on, 0 for none.
func (l *announcedLimit) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.announcedAt, l.toldAt, l.arrivals = perSecond, time.Time{}, map[string]time.Time{}, nil
}

// announce writes the limit into an answer to a gateway.
func (l *announcedLimit) announce(header http.Header, gateway string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return
	}
	header.Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	if l.announcedAt.IsZero() {
		l.announcedAt = now
	}
	if gateway != "" && l.toldAt[gateway].IsZero() {
		l.toldAt[gateway] = now
	}
}

// recordArrival counts a request. It returns how many requests of gateways that know the limit
// arrived within limitWindow, and how many are allowed; applies is false while the limit is not
// checked.
func (l *announcedLimit) recordArrival(gateway string, now time.Time) (got int, allowed float64, applies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	toldAt, known := l.toldAt[gateway]
	if l.perSecond == 0 || !known || now.Sub(toldAt) < noticeTime || now.Sub(l.announcedAt) < limitNoticeTime {
		return 0, 0, false
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	return len(l.arrivals), limitFactor*l.perSecond*limitWindow.Seconds() + limitAllowance, true
}

// checkLimit checks that a replica does not receive more requests than the limit that it announced.
func (r *replicas) checkLimit(rep *replica, request *http.Request) {
	gateway := r.check.links.senderOf(request)
	if gateway == "" {
		return
	}
	got, allowed, applies := rep.limit.recordArrival(gateway, time.Now())
	if !applies {
		return
	}
	r.limits.recordWindow(got, allowed)
	if float64(got) > allowed && r.faultFree("") {
		r.check.late("limit", "%s got %d requests in %s from gateways that it had told of its limit; %g are allowed", rep.id, got, limitWindow, allowed)
	}
}

func (c *limitCounts) recordWindow(got int, allowed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.windows++
	c.most = max(c.most, got)
	if float64(got) > allowed {
		c.exceeded++
	}
	c.arrived++
}

// addAllowed adds to the number of requests that the limits permit.
func (c *limitCounts) addAllowed(requests float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed += requests
}

func (c *limitCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("windows of limits %d, with too many %d, most in one %d", c.windows, c.exceeded, c.most)
	if c.allowed > 0 {
		text += fmt.Sprintf(", part of the limits used %.2f", float64(c.arrived)/c.allowed)
	}
	return text
}

// limit makes some or all replicas announce a random limit from time to time.
func (r *replicas) limit(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(limitPause):
		}
		limited := r.firstShare([]float64{0.2, 0.5, 1}[random.IntN(3)])
		perSecond := []float64{0.5, 1, 5, 20, 200}[random.IntN(5)]
		for _, rep := range limited {
			rep.limit.set(perSecond)
		}
		r.check.count("spells of limits")
		select {
		case <-ctx.Done():
		case <-time.After(limitDuration):
		}
		for _, rep := range limited {
			rep.limit.set(0)
		}
	}
}

// measureLimits makes a share of the replicas announce a limit for a part of the measurement and
// runs beside meanwhile.
func measureLimits(share, perSecond float64, beside func(ctx context.Context, in *installation)) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, _ *clients) {
		time.Sleep(measuredLimitStart)
		limited := r.firstShare(share)
		for _, rep := range limited {
			rep.limit.set(perSecond)
		}
		if beside != nil {
			go beside(ctx, r.in)
		}
		time.Sleep(measuredLimitDuration)
		r.limits.addAllowed(float64(len(limited)) * perSecond * (measuredLimitDuration - limitNoticeTime).Seconds())
		for _, rep := range limited {
			rep.limit.set(0)
		}
		fmt.Println(&r.limits)
		<-ctx.Done()
	}
}

// restartControlNodes kills and restarts the control nodes one after the other.
func restartControlNodes(ctx context.Context, in *installation) {
	for turn := 0; ctx.Err() == nil; turn++ {
		nodes := in.controlNodes()
		node := nodes[turn%len(nodes)]
		node.beginFault()
		in.restart(node, syscall.SIGKILL, 500*time.Millisecond, nil)
		node.endFault()
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
}
