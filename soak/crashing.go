package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashBody is the deadly content: a replica that runs a request with it crashes.
	crashBody = "ends whatever runs it"
	// crashRequestPause is the pause between two such requests, which go to the gateways in turn.
	crashRequestPause = 300 * time.Millisecond
	// crashDowntime is the minimum downtime of a crashed replica.
	crashDowntime = time.Second
	// maxLateCrashes is how many crashes may follow later than contactTime after the third.
	maxLateCrashes = 3
	// malformedCallPause is the pause between two malformed replica calls.
	malformedCallPause = 100 * time.Millisecond
)

// deadlyContentCrashes is the number of crashes from which on the deadly content may crash few replicas.
const deadlyContentCrashes = 3

// crashCounts counts the replicas that crashed for one reason. It is safe for concurrent use.
type crashCounts struct {
	// threshold is the number of crashes from which on few may follow.
	threshold int

	mu    sync.Mutex
	count int
	// reached is when the threshold was reached.
	reached time.Time
	late    int
}

// record counts a crash and returns how many happened later than contactTime after the threshold was
// reached while no fault was active.
func (c *crashCounts) record(now time.Time, faultFree bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if c.count == c.threshold {
		c.reached = now
	}
	if c.count > c.threshold && faultFree && now.Sub(c.reached) > contactTime {
		c.late++
	}
	return c.late
}

// partCrashCounts counts the replicas that crashed on deadly parts. It is safe for concurrent use.
type partCrashCounts struct {
	mu     sync.Mutex
	byPart map[string]*crashCounts
}

// record counts a crash under a part as crashCounts does.
func (p *partCrashCounts) record(part string, now time.Time, faultFree bool) int {
	p.mu.Lock()
	counts := p.byPart[part]
	if counts == nil {
		counts = &crashCounts{threshold: deadlyPartCrashes}
		p.byPart[part] = counts
	}
	p.mu.Unlock()
	return counts.record(now, faultFree)
}

// totals returns the number of crashes under all parts, and of late ones.
func (p *partCrashCounts) totals() (count, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, counts := range p.byPart {
		counts.mu.Lock()
		count, late = count+counts.count, late+counts.late
		counts.mu.Unlock()
	}
	return count, late
}

// crashOnContent crashes a replica that runs the deadly content. It may have been sent long before if a pause
// held the request up.
func (r *replicas) crashOnContent(rep *replica, held bool) {
	r.check.count("ends under the deadly content")
	if late := r.crashes.record(time.Now(), !held && r.faultFree("")); late > maxLateCrashes {
		r.check.late("budget", "%s is the %dth replica to end under one content later than the contact time after the third", rep.id, late)
	}
	r.crash(rep)
}

// crash closes a replica's listener and connections at once and restarts it after crashDowntime, in
// half of the cases under the same ID. It reports whether the replica was still running.
func (r *replicas) crash(rep *replica) bool { return r.crashBy(rep, rep.close) }

// crashBy crashes a replica as crash does, by what ends its process.
func (r *replicas) crashBy(rep *replica, end func()) bool {
	if !r.remove(rep) {
		return false
	}
	end()
	r.mu.Lock()
	id := ""
	if !rep.draining && r.started%2 == 0 {
		id = rep.id
	}
	r.mu.Unlock()
	go func() {
		time.Sleep(crashDowntime)
		r.startAgain(rep.host, id)
	}()
	return true
}

// remove takes a replica off the list; it returns false if the replica was not on it.
func (r *replicas) remove(rep *replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.list {
		if other == rep {
			r.list = append(r.list[:i:i], r.list[i+1:]...)
			return true
		}
	}
	return false
}

// startAgain starts a replica at a host, under the given ID unless that is "".
func (r *replicas) startAgain(host int, id string) {
	for range 50 {
		if rep, err := r.startAs(host, id); err == nil {
			rep.cold.begin()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.check.fail("soak", "no replica could be started at host %d", host)
}

// sendCrashing sends the deadly content to the gateways in turn, each time under a new request ID.
func (c *clients) sendCrashing(ctx context.Context, random *rand.Rand) {
	defer c.work.Done()
	client := &http.Client{Timeout: clientTimeout}
	kind := []string{"u", "s", "e"}[random.IntN(3)]
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(crashRequestPause)
		gateways := c.in.gatewayNodes()
		status, _, err := c.sendBody(client, gateways[turn%len(gateways)], kind, c.id(), crashBody, mainAccountDraw)
		switch {
		case err != nil:
			c.check.count("deadly without answer")
		default:
			c.check.count(fmt.Sprint("deadly ", status))
		}
	}
}

// validCall is the body of a complete replica call.
const validCall = `{"service":"s","address":"127.0.0.1:1","zone":"zone-1","slots":4,"state":"ready","sequence":9999999}`

// malformedCalls are call bodies as a faulty or foreign client might send them; none may be
// acknowledged.
var malformedCalls = []string{
	"", "\xff\xfe", "{", "[]", "{}",
	strings.Replace(validCall, `"service":"s"`, `"service":"nobody's"`, 1),
	strings.Replace(validCall, `"address":"127.0.0.1:1"`, `"address":17`, 1),
	strings.Replace(validCall, `"slots":4,`, "", 1),
	strings.Replace(validCall, `"ready"`, `"sleeping"`, 1),
	strings.Replace(validCall, `9999999`, `"many"`, 1),
}

// sendMalformedCalls sends malformed replica calls under existing and new replica IDs.
func (r *replicas) sendMalformedCalls(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(malformedCallPause)
		r.mu.Lock()
		name := fmt.Sprint("foreign-", turn)
		if len(r.list) > 0 && random.IntN(2) == 0 {
			name = r.list[random.IntN(len(r.list))].id
		}
		r.mu.Unlock()
		nodes := r.in.controlNodes()
		url := "http://" + r.in.proxyAddress(nodes[random.IntN(len(nodes))], r.in.callPort()) + "/-/replicas/" + name
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(malformedCalls[random.IntN(len(malformedCalls))]))
		if err != nil {
			continue
		}
		response, err := r.client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.check.fail("foreign", "a call of another writer was acknowledged in the name of %s", name)
		}
	}
}
