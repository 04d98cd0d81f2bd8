package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Parts of prompts and the requests with those that crash replicas.
const (
	// promptHeader lists the parts of a prompt, the last of which is the request's own.
	promptHeader = "X-Prompt-Prefix"
	// firstParts, secondParts and thirdParts are the numbers of parts that harmless requests share.
	firstParts, secondParts, thirdParts = 2, 4, 8
	// deadlyPartPrefix begins the IDs of parts that crash each replica that begins to answer a request
	// with them before the last part.
	deadlyPartPrefix = "dead"
	// deadlyPartCrashes is the number of crashes from which on a part may crash few replicas.
	deadlyPartCrashes = 5
	// maxBeginTime is the longest time from the arrival of a request with a deadly part to the crash.
	maxBeginTime = 50 * time.Millisecond
	// partRequestPause is the pause between two such requests.
	partRequestPause = 200 * time.Millisecond
	// minPartServedShare is the share of harmless requests that must not be refused for a part.
	minPartServedShare = 0.99
)

// harmlessParts returns the shared parts of a request, which depend on its ID.
func harmlessParts(id string) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	draw := h.Sum32()
	return []string{
		fmt.Sprintf("a%07x", draw%firstParts),
		fmt.Sprintf("b%07x", draw/firstParts%secondParts),
		fmt.Sprintf("c%07x", draw/firstParts/secondParts%thirdParts),
	}
}

// prompt returns the header of a prompt with shared parts and one of the request's own.
func prompt(id string, shared []string) string {
	return strings.Join(append(shared, id), ":100,") + ":20"
}

// deadlyPart returns the first deadly part of a request's prompt, "" if it has none.
func deadlyPart(request *http.Request) string {
	parts := strings.Split(request.Header.Get(promptHeader), ",")
	for _, part := range parts[:len(parts)-1] {
		if strings.HasPrefix(part, deadlyPartPrefix) {
			return part
		}
	}
	return ""
}

// crashOnPart crashes a replica that begins to answer a request with a deadly part.
func (r *replicas) crashOnPart(rep *replica, part string, held bool) {
	time.Sleep(rand.N(maxBeginTime))
	if r.crash(rep) {
		r.check.count("ends under a deadly part")
		if late := r.partCrashes.record(part, time.Now(), !held && r.faultFree("")); late > maxLateCrashes {
			r.check.late("budget", "%s is the %dth replica to end under part %s later than the contact time after the fifth", rep.id, late, part)
		}
	}
}

// deadlyParts are the requests with deadly parts that a client sends.
type deadlyParts struct {
	// number is the number of deadly parts, position their place in the prompt.
	number, position int
	// burst requests are sent at once, with a pause between bursts.
	burst int
	pause time.Duration
}

// drawDeadlyParts draws the requests of a run.
func drawDeadlyParts(random *rand.Rand) deadlyParts {
	return deadlyParts{number: 1 + random.IntN(2), position: random.IntN(3), burst: 1 + 3*random.IntN(2), pause: partRequestPause + rand.N(2*partRequestPause)}
}

// send sends requests with deadly parts, no two alike, to the gateways in turn. Each is tried once more.
func (d deadlyParts) send(ctx context.Context, c *clients) {
	defer c.work.Done()
	client := &http.Client{Timeout: clientTimeout}
	for turn := 0; ctx.Err() == nil; turn += d.burst {
		time.Sleep(d.pause)
		for i := range d.burst {
			c.work.Add(1)
			go func() {
				defer c.work.Done()
				d.sendOne(c, client, turn+i)
			}()
		}
	}
}

func (d deadlyParts) sendOne(c *clients, client *http.Client, turn int) {
	gateways := c.in.gatewayNodes()
	id := c.id()
	shared := harmlessParts(id)
	shared[d.position] = fmt.Sprintf("%s%04x", deadlyPartPrefix, turn%d.number)
	for try := range 2 {
		kind := []string{"u", "s", "e"}[turn%3]
		status, _, err := c.sendWith(client, gateways[(turn+try)%len(gateways)], kind, id, "body of "+id, mainAccountDraw, promptHeader, prompt(id, shared))
		if err == nil && status == http.StatusTooManyRequests {
			c.check.count("deadly part 429")
			return
		}
		id = c.id()
	}
}

// checkPartRefusal counts what a harmless request was answered.
func (c *checker) checkPartRefusal(status int, body string) {
	c.count("harmless requests")
	if status == http.StatusTooManyRequests && strings.Contains(body, "part of their prompts") {
		c.count("harmless requests refused for a part")
	}
}

// checkParts checks at the end that few harmless requests were refused for a part of their prompts.
func (c *checker) checkParts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, sent := c.counts["harmless requests refused for a part"], c.counts["harmless requests"]
	if float64(refused) > (1-minPartServedShare)*float64(sent) {
		c.failLocked("lost", "%d of %d harmless requests were refused for a part of their prompts", refused, sent)
	}
}

// measureParts returns a measurement with deadly parts; losses also ends an eighth of the replicas every
// two seconds.
func measureParts(d deadlyParts, losses bool) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, c *clients) {
		if losses {
			go r.crashSome(ctx)
		}
		if d.number > 0 {
			c.work.Add(1)
			d.send(ctx, c)
		}
		<-ctx.Done()
	}
}

// crashSome repeatedly crashes one of the replicas of a measurement.
func (r *replicas) crashSome(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Second):
		}
		r.mu.Lock()
		list := slices.Clone(r.list)
		r.mu.Unlock()
		if len(list) > 0 {
			r.crash(list[rand.IntN(len(list))])
		}
	}
}
