package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// bodyClientsPerGateway is how many clients of each gateway send half of their bodies over time, bodyClientPause the
	// pause between two of their requests.
	bodyClientsPerGateway = 4
	bodyClientPause       = 100 * time.Millisecond
	// minBodyTime and maxBodyTime bound the time over which a body is sent, minWorkBodyTime and maxWorkBodyTime that of
	// a request with work.
	minBodyTime     = 200 * time.Millisecond
	maxBodyTime     = 2 * time.Second
	minWorkBodyTime = 2500 * time.Millisecond
	maxWorkBodyTime = 4 * time.Second
	// minWork and maxWork bound how long a replica works on such a request, workDeadline is the time for its answer. A
	// request that begins before a gateway refuses what may outlast its stop often ends later than lastRequestTime after
	// the signal, and is at work at the limit of the stop.
	minWork      = 1500 * time.Millisecond
	maxWork      = 4 * time.Second
	workDeadline = 9 * time.Second
	// besideStopRequests is how many requests with work are sent to a gateway that learns late of its stop, from
	// besideStopFrom to besideStopUntil after its signal.
	besideStopRequests = 12
	besideStopFrom     = 2600 * time.Millisecond
	besideStopUntil    = 3800 * time.Millisecond
	// workHeader says how long a replica works on a request, in milliseconds.
	workHeader = "Soak-Work-Ms"
)

// bodyRequest is a request whose body is sent by a plan.
type bodyRequest struct {
	kind string
	plan bodyPlan
	// work is how long a replica works on it.
	work time.Duration
	// deadline is the time for its answer.
	deadline time.Duration
	// draw chooses the client account.
	draw int
}

// drawBodyRequest draws a request. Half of all need work at the replica.
func drawBodyRequest(random *rand.Rand) bodyRequest {
	r := bodyRequest{kind: []string{"u", "s", "e", "w", "w", "w"}[random.IntN(6)], plan: drawBodyPlan(random, true), deadline: requestDeadline, draw: random.IntN(10)}
	shortest, longest := minBodyTime, maxBodyTime
	if r.kind == "w" {
		shortest, longest, r.deadline = minWorkBodyTime, maxWorkBodyTime, workDeadline
		r.work = drawBetween(random, minWork, maxWork)
	}
	if r.plan.duration > 0 {
		r.plan.duration = drawBetween(random, shortest, longest)
	}
	return r
}

// drawBetween draws a time between two bounds.
func drawBetween(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// startBodyClients starts the clients of a gateway that send bodies over time.
func (c *clients) startBodyClients(ctx context.Context, m *member, random *rand.Rand) {
	if c.in.options.NoBodies {
		return
	}
	for range bodyClientsPerGateway {
		own := rand.New(rand.NewPCG(random.Uint64(), 20))
		c.work.Add(1)
		go c.sendBodies(ctx, m, own)
	}
}

// sendBodies sends requests by drawn plans, one at a time.
func (c *clients) sendBodies(ctx context.Context, m *member, random *rand.Rand) {
	defer c.work.Done()
	conns := &keptConns{address: c.in.proxyAddress(m, c.in.callPort())}
	defer conns.close()
	for ctx.Err() == nil {
		time.Sleep(bodyClientPause)
		c.sendByPlan(conns, m, c.id(), drawBodyRequest(random))
	}
}

// sendBesideStop sends requests with work, at once each, to a gateway that has just been told to stop and learns it late.
func (c *clients) sendBesideStop(m *member, random *rand.Rand) {
	for range besideStopRequests {
		after := drawBetween(random, besideStopFrom, besideStopUntil)
		plan := drawBodyPlan(random, false)
		plan.kept = false
		r := bodyRequest{kind: "w", plan: plan, work: drawBetween(random, minWork, maxWork), deadline: workDeadline, draw: random.IntN(10)}
		c.work.Go(func() {
			time.Sleep(after)
			c.sendByPlan(&keptConns{address: c.in.proxyAddress(m, c.in.callPort())}, m, c.id(), r)
		})
	}
}

// sendByPlan sends a request and checks its answer.
func (c *clients) sendByPlan(conns *keptConns, m *member, id string, r bodyRequest) {
	answer, _, err := conns.send(r.plan, id, c.bodyHead(m, id, r), r.deadline+bodyClientSlack)
	if err != nil {
		c.check.count("no answer")
		return
	}
	end := endedAnswer{id: id, kind: r.kind, gateway: m.name, firstByteAt: answer.firstByteAt, lastByteAt: answer.lastByteAt, endedAt: answer.endedAt, deadline: r.deadline, status: answer.status, stamp: answer.header.Get(stampHeader)}
	c.check.lost.recordAnswer(end, answer.whole)
	c.countBody(r, answer)
	got := response{body: answer.body, whole: answer.whole, framed: answer.framed, end: end}
	if answer.status == 0 {
		c.checkAnswer(m, r.kind, id, 0, got, answer.err)
		return
	}
	got.stamp = answer.header.Get(stampHeader)
	c.checkAnswer(m, r.kind, id, answer.status, got, nil)
	c.check.checkPartRefusal(answer.status, answer.body)
}

// countBody counts how a body was sent.
func (c *clients) countBody(r bodyRequest, answer *bodyAnswer) {
	if r.plan.duration > 0 {
		c.check.count("bodies over time")
	}
	switch {
	case answer.wasReset():
		c.check.count("resets while a body was sent")
	case answer.status != 0 && answer.lastByteAt.IsZero():
		c.check.count("answers before the end of a body")
	}
}

// bodyHead returns the head of a request.
func (c *clients) bodyHead(m *member, id string, r bodyRequest) string {
	header := http.Header{}
	header.Set(idHeader, id)
	header.Set(gatewayHeader, m.name)
	header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	header.Set(promptHeader, prompt(id, harmlessParts(id)))
	header.Set(bodySizeHeader, strconv.Itoa(r.plan.bytes))
	header.Set(workHeader, strconv.FormatInt(r.work.Milliseconds(), 10))
	newest, _ := c.check.newest()
	setAccountHeaders(header, r.draw, newest)
	if !r.plan.kept {
		header.Set("Connection", "close")
	}
	var fields strings.Builder
	_ = header.Write(&fields)
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n%s%s\r\n", r.kind, r.plan.header(), fields.String())
}

// runsOnce reports whether a request must run at most once.
func runsOnce(request *http.Request) bool {
	return strings.ContainsRune("uw", rune(request.URL.Path[1]))
}

// echoOf returns what a replica answers of a body: all of it, or its first line if the request names its length. cut is
// set if the body has another length.
func echoOf(request *http.Request, body []byte) (echo string, cut bool) {
	size := request.Header.Get(bodySizeHeader)
	if size == "" {
		return string(body), false
	}
	echo, _, _ = strings.Cut(string(body), "\n")
	return echo, size != strconv.Itoa(len(body))
}

// work answers a request after the time that it names.
func (r *replicas) work(run *replicaRun, w http.ResponseWriter, request *http.Request, answer string) {
	milliseconds, _ := strconv.Atoi(request.Header.Get(workHeader))
	select {
	case <-request.Context().Done():
		r.check.lost.recordCut(run)
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		_, _ = fmt.Fprint(w, answer)
	}
}
