package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Load and time limits of the clients.
const (
	clientsPerGateway = 3
	clientPause       = 15 * time.Millisecond
	// applyLimit is how long after its acknowledgement a version must be in force at gateways that
	// have been free of faults for contactTime.
	applyLimit  = 2 * time.Second
	contactTime = 4 * time.Second
	// probeInterval is the interval at which a gateway is asked for the version in force.
	probeInterval = 300 * time.Millisecond
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 3 * time.Second
)

// clients send requests to every gateway over connections that are kept open until they break.
type clients struct {
	in       *installation
	check    *checker
	replicas *replicas
	next     atomic.Uint64
	// sendsDeadlyParts makes clients send requests with deadly parts in a run.
	sendsDeadlyParts bool
	cancel           context.CancelFunc
	// endBodies ends the sending of bodies over time.
	endBodies   context.CancelFunc
	work        sync.WaitGroup
	lastSuccess sync.Map // time of the last success by gateway name
}

func newClients(in *installation, check *checker, replicas *replicas) *clients {
	return &clients{in: in, check: check, replicas: replicas}
}

// waitUntilServing waits until every gateway has answered a request.
func (c *clients) waitUntilServing() error {
	client := &http.Client{Timeout: clientTimeout}
	for _, m := range c.in.gatewayNodes() {
		served := false
		for range 100 {
			if status, _, err := c.send(client, m, "s", c.id()); err == nil && status == http.StatusOK {
				served = true
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return errors.Errorf("%s never served a request", m.name)
		}
	}
	return nil
}

func (c *clients) id() string { return fmt.Sprintf("q%08d", c.next.Add(1)) }

func (c *clients) run(ctx context.Context, random *rand.Rand) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.work.Add(1)
	go c.sendCrashing(ctx, rand.New(rand.NewPCG(random.Uint64(), 8)))
	bodies := rand.New(rand.NewPCG(c.in.options.Seed, 19))
	bodiesCtx, endBodies := context.WithCancel(ctx)
	c.endBodies = endBodies
	for _, m := range c.in.gatewayNodes() {
		c.startBodyClients(bodiesCtx, m, bodies)
		for range clientsPerGateway {
			seed := random.Uint64()
			c.work.Add(1)
			go c.sendRequests(ctx, m, rand.New(rand.NewPCG(seed, 7)))
		}
		c.work.Add(1)
		go c.sendInHTTP10(ctx, m)
		for range slowClientsPerGateway {
			c.work.Add(1)
			go c.readSlowly(ctx, m)
		}
		c.work.Add(1)
		go c.probeConfigurations(ctx, m)
	}
	if c.sendsDeadlyParts {
		c.work.Add(1)
		go drawDeadlyParts(rand.New(rand.NewPCG(random.Uint64(), 17))).send(ctx, c)
	}
}

// stopBodies ends the sending of bodies over time, before the other clients stop: a request with work takes so long
// that the others would have been silent for settleTime before it had ended.
func (c *clients) stopBodies() { c.endBodies() }

func (c *clients) stop() {
	c.cancel()
	c.work.Wait()
}

// sendRequests sends requests of all kinds, one at a time.
func (c *clients) sendRequests(ctx context.Context, m *member, random *rand.Rand) {
	defer c.work.Done()
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		time.Sleep(clientPause)
		id := c.id()
		kind := []string{"u", "u", "s", "e"}[random.IntN(4)]
		firstByteAt, draw := time.Now(), rand.IntN(10)
		status, answer, err := c.sendBody(client, m, kind, id, "body of "+id, draw)
		c.checkAnswer(m, kind, id, status, answer, err)
		c.check.checkPartRefusal(status, answer.body)
		if kind == "e" {
			c.followStream(client, m, id, firstByteAt, status, answer, draw)
		}
		if c.calm(m, firstByteAt) && c.mayBeServed(m, firstByteAt) {
			c.check.links.recordTry(m.name, firstByteAt, err == nil && status == http.StatusOK && answer.whole)
		}
	}
}

// mayBeServed reports whether a gateway without links to replicas has another one to forward to: one with
// links that has been free of faults since before a time.
func (c *clients) mayBeServed(m *member, since time.Time) bool {
	if !c.check.links.isCut(m.name) {
		return true
	}
	return slices.ContainsFunc(c.in.gatewayNodes(), func(other *member) bool {
		return !c.check.links.isCut(other.name) && c.calm(other, since)
	})
}

// calm reports whether a gateway and the control nodes have been free of faults since before a time, that of a
// request's first byte.
func (c *clients) calm(m *member, since time.Time) bool {
	_, free := m.state()
	control := c.in.controlFaultFreeSince()
	return !free.IsZero() && !control.IsZero() && free.Before(since) && control.Before(since)
}

// response holds the parts of an answer that are checked.
type response struct {
	stamp string
	body  string
	// whole is set if the answer did not break off visibly.
	whole bool
	// framed is set if the answer has a length or chunks, which prove that it is complete.
	framed bool
	end    endedAnswer
}

func (c *clients) send(client *http.Client, m *member, kind, id string) (int, response, error) {
	return c.sendBody(client, m, kind, id, "body of "+id, rand.IntN(10))
}

// mainAccountDraw makes setAccountHeaders choose the account without a limit.
const mainAccountDraw = 9

// sendBody sends a request with a body; draw chooses the client account.
func (c *clients) sendBody(client *http.Client, m *member, kind, id, sent string, draw int) (int, response, error) {
	return c.sendWith(client, m, kind, id, sent, draw)
}

// sendWith sends a request with further headers, given as names and values in turn.
func (c *clients) sendWith(client *http.Client, m *member, kind, id, sent string, draw int, headers ...string) (int, response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.in.proxyAddress(m, c.in.callPort())+"/"+kind+"/x", strings.NewReader(sent))
	if err != nil {
		return 0, response{}, err
	}
	request.Host = "a.example"
	// Without GetBody the HTTP library cannot send the request a second time.
	request.GetBody = nil
	request.Header.Set(idHeader, id)
	request.Header.Set(gatewayHeader, m.name)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	request.Header.Set(promptHeader, prompt(id, harmlessParts(id)))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	newest, _ := c.check.newest()
	setAccountHeaders(request.Header, draw, newest)
	request, lastByteAt := withLastByteTime(request)
	end := endedAnswer{id: id, kind: kind, gateway: m.name, firstByteAt: time.Now()}
	got, err := client.Do(request)
	if err != nil {
		end.endedAt, end.lastByteAt = time.Now(), lastByteAt()
		c.check.lost.recordAnswer(end, false)
		return 0, response{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	whole := err == nil && len(body) < maxAnswerBytes
	end.endedAt, end.lastByteAt, end.status, end.stamp = time.Now(), lastByteAt(), got.StatusCode, got.Header.Get(stampHeader)
	c.check.lost.recordAnswer(end, whole)
	return got.StatusCode, response{stamp: got.Header.Get(stampHeader), body: string(body), whole: whole, framed: framed(got), end: end}, nil
}

// checkAnswer checks one answer.
func (c *clients) checkAnswer(m *member, kind, id string, status int, got response, err error) {
	switch {
	case err != nil:
		c.check.count("no answer")
	case status == http.StatusOK && got.whole:
		c.check.count("whole answers")
		c.lastSuccess.Store(m.name, time.Now())
		c.checkBody(kind, id, got)
	case status == http.StatusOK:
		c.check.count("broken answers")
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.check.count("refusals")
		c.check.recordNotRun(id, status)
	case status == http.StatusUnauthorized:
		// The key belongs to an earlier version or to one that the gateway does not have yet.
		c.check.count("keys refused")
		c.check.recordNotRun(id, status)
	default:
		c.check.count(fmt.Sprint("status ", status))
		if status == http.StatusNotFound || status == http.StatusForbidden {
			c.check.fail("denied", "%s answered %d to request %s", m.name, status, id)
		}
	}
}

func (c *clients) checkBody(kind, id string, got response) {
	if !strings.HasSuffix(got.stamp, "."+id) {
		c.check.fail("mixed", "request %s got the stamp %q", id, got.stamp)
	}
	want := fmt.Sprintf("%s:body of %s", id, id)
	if kind == "e" {
		want = wantedStream(id, 0, parseStream(got.body).software)
	}
	if !got.framed && got.body != want && mayBeCutOff(kind, got.body, want) {
		c.check.count(cutOffAnswers)
		c.check.lost.recordAnswer(got.end, false)
		return
	}
	if got.body != want {
		c.check.fail("mixed", "request %s got %q", id, got.body)
	}
}

// probeConfigurations checks which versions are in force at a gateway: never an older one than
// before in the same process, and the newest one within applyLimit of its acknowledgement.
func (c *clients) probeConfigurations(ctx context.Context, m *member) {
	defer c.work.Done()
	client := newProbeClient()
	startCount, seen := 0, uint64(0)
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		before, since := m.state()
		if before != startCount {
			startCount, seen = before, 0
		}
		newest, ackedAt := c.check.newest()
		began := time.Now()
		answer := c.probeVersion(client, m, newest)
		after, sinceAfter := m.state()
		if after != startCount || answer.status == 0 {
			continue
		}
		if answer.status == http.StatusOK {
			seen = max(seen, newest)
			c.check.count("versions seen in force")
		}
		later, _ := c.check.newest()
		if later != newest {
			continue // a later version may have replaced it
		}
		faultFree := !since.IsZero() && since == sinceAfter && began.Sub(since) > contactTime
		controlSince := c.in.controlFaultFreeSince()
		faultFree = faultFree && !controlSince.IsZero() && began.Sub(controlSince) > contactTime
		if answer.absent && faultFree && began.Sub(ackedAt) > applyLimit && c.isNewestSent(newest) {
			c.check.late("apply", "%s does not have version %d, acknowledged %s before; %s", m.name, newest, began.Sub(ackedAt), c.in.describeMembers())
		}
		if seen > 1 && c.probeVersion(client, m, seen-1).status == http.StatusOK {
			if now, _ := m.state(); now == startCount {
				c.check.fail("regress", "%s serves version %d after %d", m.name, seen-1, seen)
			}
		}
	}
}

// isNewestSent reports whether no later version has been sent. A later version may be in force even
// if it was not acknowledged.
func (c *clients) isNewestSent(version uint64) bool { return c.check.content(version+1) == "" }

// probeVersion sends a request on the route that only one version has; the result is empty if there is no
// answer.
func (c *clients) probeVersion(client *http.Client, m *member, version uint64) versionProbe {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v/%d/x", c.in.proxyAddress(m, c.in.callPort()), version), nil)
	if err != nil {
		return versionProbe{}
	}
	request.Host = "a.example"
	request.Header.Set(idHeader, c.id())
	request.Header.Set("X-Deadline-Ms", "900")
	request.Header.Set(keyHeader, mainKey)
	got, err := client.Do(request)
	if err != nil {
		return versionProbe{}
	}
	defer got.Body.Close()
	// A body that ends early still tells that the gateway answered.
	body, _ := io.ReadAll(got.Body)
	return versionProbe{status: got.StatusCode, absent: isAbsent(got.StatusCode, string(body))}
}

// checkRecovery checks that every gateway served requests again after the last fault.
func (c *clients) checkRecovery() {
	for _, m := range c.in.gatewayNodes() {
		last, found := c.lastSuccess.Load(m.name)
		if !found || time.Since(last.(time.Time)) > settleTime/2+2*time.Second {
			c.check.late("recover", "%s served nothing at the end", m.name)
		}
	}
}
