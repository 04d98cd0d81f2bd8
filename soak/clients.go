package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The clients' numbers.
const (
	clientsEach = 3
	clientPause = 15 * time.Millisecond
	// applyTime is how long after its acknowledgement a version must be in force
	// at gateways that were calm for contactTime.
	applyTime   = 2 * time.Second
	contactTime = 4 * time.Second
	// probeEvery is how often the version in force at a gateway is looked at.
	probeEvery = 300 * time.Millisecond
	// deadline is how long a client waits.
	deadline = 3 * time.Second
)

// clients press on every gateway over open connections until they break.
type clients struct {
	in     *installation
	check  *checker
	next   atomic.Uint64
	cancel context.CancelFunc
	work   sync.WaitGroup
	recent sync.Map // gateway name → time of its last success
}

func newClients(in *installation, check *checker) *clients {
	return &clients{in: in, check: check}
}

// warm waits until every gateway serves.
func (c *clients) warm() error {
	client := &http.Client{Timeout: deadline}
	for _, m := range c.in.gatewayNodes() {
		served := false
		for range 100 {
			if status, _, err := c.do(client, m, "s", c.id()); err == nil && status == http.StatusOK {
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
	go c.pressDeadly(ctx, rand.New(rand.NewPCG(random.Uint64(), 8)))
	for _, m := range c.in.gatewayNodes() {
		for range clientsEach {
			seed := random.Uint64()
			c.work.Add(1)
			go c.press(ctx, m, rand.New(rand.NewPCG(seed, 7)))
		}
		for range slowEach {
			c.work.Add(1)
			go c.readSlowly(ctx, m)
		}
		c.work.Add(1)
		go c.probe(ctx, m)
	}
}

func (c *clients) stop() {
	c.cancel()
	c.work.Wait()
}

// press sends requests of all kinds, one after the other.
func (c *clients) press(ctx context.Context, m *member, random *rand.Rand) {
	defer c.work.Done()
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		time.Sleep(clientPause)
		id := c.id()
		kind := []string{"u", "u", "s", "e"}[random.IntN(4)]
		status, answer, err := c.do(client, m, kind, id)
		c.judge(m, kind, id, status, answer, err)
	}
}

// response is an answer's parts that are checked.
type response struct {
	stamp string
	body  string
	whole bool
}

func (c *clients) do(client *http.Client, m *member, kind, id string) (int, response, error) {
	return c.doBody(client, m, kind, id, "body of "+id, rand.IntN(10))
}

// mainDraw makes carry choose the account without a limit.
const mainDraw = 9

// doBody sends a request with a body; draw chooses the client account.
func (c *clients) doBody(client *http.Client, m *member, kind, id, sent string, draw int) (int, response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.in.outer(m, c.in.callPort())+"/"+kind+"/x", strings.NewReader(sent))
	if err != nil {
		return 0, response{}, err
	}
	request.Host = "a.example"
	// Without a way to read the body again the library sends the request once only.
	request.GetBody = nil
	request.Header.Set(idHeader, id)
	request.Header.Set(viaHeader, m.name)
	request.Header.Set("X-Deadline-Ms", "3000")
	newest, _ := c.check.newest()
	carry(request.Header, draw, newest)
	got, err := client.Do(request)
	if err != nil {
		return 0, response{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return got.StatusCode, response{stamp: got.Header.Get(stampHeader), body: string(body), whole: err == nil}, nil
}

// judge checks one answer.
func (c *clients) judge(m *member, kind, id string, status int, got response, err error) {
	switch {
	case err != nil:
		c.check.count("no answer")
	case status == http.StatusOK && got.whole:
		c.check.count("whole answers")
		c.recent.Store(m.name, time.Now())
		c.judgeBody(kind, id, got)
	case status == http.StatusOK:
		c.check.count("broken answers")
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.check.count("refusals")
		c.check.promise(id, status)
	case status == http.StatusUnauthorized:
		// A key of an earlier version, or of one that the gateway does not have yet.
		c.check.count("keys refused")
		c.check.promise(id, status)
	default:
		c.check.count(fmt.Sprint("status ", status))
		if status == http.StatusNotFound || status == http.StatusForbidden {
			c.check.fail("denied", "%s answered %d to request %s", m.name, status, id)
		}
	}
}

func (c *clients) judgeBody(kind, id string, got response) {
	if !strings.HasSuffix(got.stamp, "."+id) {
		c.check.fail("mixed", "request %s got the stamp %q", id, got.stamp)
	}
	want := fmt.Sprintf("%s:body of %s", id, id)
	if kind == "e" {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
		}
	}
	if got.body != want {
		c.check.fail("mixed", "request %s got %q", id, got.body)
	}
}

// probe looks which versions are in force at a gateway: never an older one in
// the same life, and the newest soon after its acknowledgement.
func (c *clients) probe(ctx context.Context, m *member) {
	defer c.work.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	life, seen := 0, uint64(0)
	for ctx.Err() == nil {
		time.Sleep(probeEvery)
		before, since := m.state()
		if before != life {
			life, seen = before, 0
		}
		newest, ackedAt := c.check.newest()
		began := time.Now()
		status := c.probeVersion(client, m, newest)
		after, still := m.state()
		if after != life || status == 0 {
			continue
		}
		if status == http.StatusOK {
			seen = max(seen, newest)
			c.check.count("versions seen in force")
		}
		later, _ := c.check.newest()
		if later != newest {
			continue // a later version may have replaced it meanwhile
		}
		calm := !since.IsZero() && since == still && began.Sub(since) > contactTime
		core := c.in.coreCalmSince()
		calm = calm && !core.IsZero() && began.Sub(core) > contactTime
		if status == http.StatusNotFound && calm && began.Sub(ackedAt) > applyTime && c.unchanged(newest) {
			c.check.late("apply", "%s does not have version %d, acknowledged %s before", m.name, newest, began.Sub(ackedAt))
		}
		if seen > 1 && c.probeVersion(client, m, seen-1) == http.StatusOK {
			if now, _ := m.state(); now == life {
				c.check.fail("regress", "%s serves version %d after %d", m.name, seen-1, seen)
			}
		}
	}
}

// unchanged reports whether no version beyond was even sent: one that was sent
// and not acknowledged may be in force.
func (c *clients) unchanged(version uint64) bool { return c.check.content(version+1) == "" }

func (c *clients) probeVersion(client *http.Client, m *member, version uint64) int {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v/%d/x", c.in.outer(m, c.in.callPort()), version), nil)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set(idHeader, c.id())
	request.Header.Set("X-Deadline-Ms", "900")
	request.Header.Set(keyHeader, mainKey)
	got, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, got.Body)
	_ = got.Body.Close()
	return got.StatusCode
}

// recovered checks that every gateway served again after the last fault.
func (c *clients) recovered() {
	for _, m := range c.in.gatewayNodes() {
		last, found := c.recent.Load(m.name)
		if !found || time.Since(last.(time.Time)) > settleTime/2+2*time.Second {
			c.check.late("recover", "%s served nothing at the end", m.name)
		}
	}
}
