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
	// deadlyBody ends the replica that runs it.
	deadlyBody = "ends whatever runs it"
	// deadlyEvery is the pause between two requests with it, at the gateways in turn.
	deadlyEvery = 300 * time.Millisecond
	// deadlyAway is how long a replica that ended is away, at the least.
	deadlyAway = time.Second
	// deadlyAllowed is how many ends may follow the third later than the contact time.
	deadlyAllowed = 3
	// foreignEvery is the pause between two calls of another writer.
	foreignEvery = 100 * time.Millisecond
)

// deadlyEnds counts the replicas that ended under the deadly content; it is safe for concurrent
// use.
type deadlyEnds struct {
	mu    sync.Mutex
	count int
	third time.Time
	late  int
}

// end notes an end, and returns how many there were later than the contact time after the third
// while all was calm.
func (d *deadlyEnds) end(now time.Time, calm bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	if d.count == 3 {
		d.third = now
	}
	if d.count > 3 && calm && now.Sub(d.third) > contactTime {
		d.late++
	}
	return d.late
}

// dies ends a replica under the deadly content.
func (r *replicas) dies(one *replica) {
	r.check.count("ends under the deadly content")
	if late := r.ends.end(time.Now(), r.settled("")); late > deadlyAllowed {
		r.check.late("budget", "%s is the %dth replica to end under one content later than the contact time after the third", one.id, late)
	}
	r.crash(one)
}

// crash closes a replica's listener and connections at once and starts it again after a while, in
// half of the cases under its ID.
func (r *replicas) crash(one *replica) {
	if !r.remove(one) {
		return
	}
	_ = one.server.Close()
	r.mu.Lock()
	id := ""
	if !one.draining && r.next%2 == 0 {
		id = one.id
	}
	r.mu.Unlock()
	go func() {
		time.Sleep(deadlyAway)
		r.startAgain(one.host, id)
	}()
}

// remove takes a replica off the list; it reports false if it was taken off before.
func (r *replicas) remove(one *replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.list {
		if other == one {
			r.list = append(r.list[:i:i], r.list[i+1:]...)
			return true
		}
	}
	return false
}

// startAgain starts a replica at a host, under an ID if that is not "".
func (r *replicas) startAgain(host int, id string) {
	for range 50 {
		if one, err := r.startAs(host, id); err == nil {
			one.cold.begin()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.check.fail("soak", "no replica could be started at host %d", host)
}

// pressDeadly sends the deadly content at the gateways in turn, each time under a new ID.
func (c *clients) pressDeadly(ctx context.Context, random *rand.Rand) {
	defer c.work.Done()
	client := &http.Client{Timeout: deadline}
	kind := []string{"u", "s", "e"}[random.IntN(3)]
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(deadlyEvery)
		gateways := c.in.gatewayNodes()
		status, _, err := c.doBody(client, gateways[turn%len(gateways)], kind, c.id(), deadlyBody, mainDraw)
		switch {
		case err != nil:
			c.check.count("deadly without answer")
		default:
			c.check.count(fmt.Sprint("deadly ", status))
		}
	}
}

// soundCall is a replica's call with all that is needed.
const soundCall = `{"service":"s","address":"127.0.0.1:1","zone":"zone-1","slots":4,"state":"ready","sequence":9999999}`

// foreignCalls are calls of another writer.
var foreignCalls = []string{
	"", "\xff\xfe", "{", "[]", "{}",
	strings.Replace(soundCall, `"service":"s"`, `"service":"nobody's"`, 1),
	strings.Replace(soundCall, `"address":"127.0.0.1:1"`, `"address":17`, 1),
	strings.Replace(soundCall, `"slots":4,`, "", 1),
	strings.Replace(soundCall, `"ready"`, `"sleeping"`, 1),
	strings.Replace(soundCall, `9999999`, `"many"`, 1),
}

// pressForeign makes calls of another writer, in the names of replicas and in new ones.
func (r *replicas) pressForeign(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(foreignEvery)
		r.mu.Lock()
		name := fmt.Sprint("foreign-", turn)
		if len(r.list) > 0 && random.IntN(2) == 0 {
			name = r.list[random.IntN(len(r.list))].id
		}
		r.mu.Unlock()
		nodes := r.in.controlNodes()
		url := "http://" + r.in.outer(nodes[random.IntN(len(nodes))], r.in.callPort()) + "/-/replicas/" + name
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(foreignCalls[random.IntN(len(foreignCalls))]))
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
