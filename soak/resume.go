package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// breakOffPercent is the share of streams that their replica breaks off between two events.
	breakOffPercent = 8
	// maxTakeUps is how often a client takes a stream up.
	maxTakeUps = 2
	// minTakenUp is the number of streams taken up from which on their share is compared.
	minTakenUp = 12
	// minServing is how many replicas of its software version must serve for a stream to be compared.
	minServing = 2

	headerResumes   = "Resumes"
	headerLastEvent = "Last-Event-Id"
)

// resumeChecks compare how often streams that clients take up go on with how often new ones begin, at
// gateways that are calm. They are safe for concurrent use.
type resumeChecks struct {
	mu                              sync.Mutex
	tried, begun, returned, resumed int
	// takenUp counts the streams that clients took up, calm or not, joined those that hold events of two versions.
	takenUp, joined int
}

// drawSoftware returns the software version of a replica that starts.
func (p replicaPlan) drawSoftware() string {
	if p.software != "" {
		return p.software
	}
	return fmt.Sprint("v", 1+rand.IntN(2))
}

// streamEvent returns an event of a stream.
func streamEvent(attempt string, number int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d %s\n\n", number, attempt, number, software)
}

// streamPart is what a client got of a stream in one attempt.
type streamPart struct {
	// last is the ID of the last complete event, 0 if there is none.
	last int
	// software is the version that wrote the first event, "" if there is none.
	software string
}

// parseStream returns the complete events of a body.
func parseStream(body string) streamPart {
	var part streamPart
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		fields := strings.Fields(event)
		if len(fields) != 5 {
			continue
		}
		if number, err := strconv.Atoi(fields[1]); err == nil {
			part.last = number
		}
		if part.software == "" {
			part.software = fields[4]
		}
	}
	return part
}

// wantedStream returns the body of a stream that goes on after an event, all of it written by one
// software version.
func wantedStream(attempt string, after int, software string) string {
	want := ""
	for n := after + 1; n <= streamEvents; n++ {
		want += streamEvent(attempt, n, software)
	}
	return want
}

// serving returns how many replicas of a software version serve without any restriction.
func (r *replicas) serving(software string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	serving := 0
	for _, rep := range r.list {
		if rep.software == software && !rep.draining && rep.unrestricted() {
			serving++
		}
	}
	return serving
}

// unrestricted reports whether the replica is neither cold nor limited and turns no gateway away.
func (rep *replica) unrestricted() bool {
	rep.limit.mu.Lock()
	limited := rep.limit.perSecond > 0
	rep.limit.mu.Unlock()
	rep.notices.mu.Lock()
	turnsAway := rep.notices.backoffTime > 0 || rep.notices.leaving
	rep.notices.mu.Unlock()
	return !limited && !turnsAway && rep.cold.remaining() == 0 && !rep.pause.active()
}

// recordBegin counts a new stream at a calm gateway.
func (k *resumeChecks) recordBegin(begun bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tried++
	k.begun += asNumber(begun)
}

// recordReturn counts a stream that a client took up; comparable is set if its gateway is calm and its
// version serves.
func (k *resumeChecks) recordReturn(comparable, resumed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takenUp++
	if comparable {
		k.returned++
		k.resumed += asNumber(resumed)
	}
}

// violation describes that streams taken up go on far less often than new ones begin, "" if they do not.
func (k *resumeChecks) violation() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.returned < minTakenUp || k.tried == 0 || 2*k.resumed*k.tried >= k.returned*k.begun {
		return ""
	}
	return fmt.Sprintf("%d of %d streams that clients took up went on, %d of %d new ones began", k.resumed, k.returned, k.begun, k.tried)
}

// String describes the counts.
func (k *resumeChecks) String() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprintf("streams taken up %d, calm %d of %d, begun %d of %d, of two versions %d", k.takenUp, k.resumed, k.returned, k.begun, k.tried, k.joined)
}

// followStream counts a new stream, and takes it up if it broke off.
func (c *clients) followStream(client *http.Client, m *member, id string, firstByteAt time.Time, status int, got response, draw int) {
	if isMainAccount(draw) && c.calm(m, firstByteAt) {
		c.check.resumes.recordBegin(status == http.StatusOK && parseStream(got.body).last > 0)
	}
	if status == http.StatusOK && !got.whole {
		c.takeUp(client, id, got, draw)
	}
}

// takeUp takes a stream that broke off up at random gateways, as the client of an attempt does, and checks
// that all of it was written by one software version.
func (c *clients) takeUp(client *http.Client, begun string, got response, draw int) {
	held := parseStream(got.body)
	for range maxTakeUps {
		if held.last == 0 {
			return
		}
		gateways := c.in.gatewayNodes()
		m := gateways[rand.IntN(len(gateways))]
		id, firstByteAt := c.id(), time.Now()
		served := c.replicas.serving(held.software) >= minServing
		status, next, err := c.sendWith(client, m, "e", id, "body of "+id, draw, headerResumes, begun, headerLastEvent, strconv.Itoa(held.last))
		ok := err == nil && status == http.StatusOK
		served = served && c.replicas.serving(held.software) >= minServing
		part := streamPart{}
		if ok {
			part = parseStream(next.body)
			c.checkTakenUp(m, id, held, part, next)
		}
		c.check.resumes.recordReturn(isMainAccount(draw) && served && c.calm(m, firstByteAt), part.last > 0 || ok && next.whole)
		if part.last > 0 {
			held.last = part.last
		}
		if ok && next.whole {
			return
		}
	}
}

// checkTakenUp checks what a client got of a stream that it took up.
func (c *clients) checkTakenUp(m *member, id string, held, part streamPart, got response) {
	if part.software != "" && part.software != held.software {
		c.check.resumes.recordJoined()
		c.check.fail("order", "a stream of software %s went on at %s as request %s with events of %s", held.software, m.name, id, part.software)
		return
	}
	want := wantedStream(id, held.last, held.software)
	if got.whole && got.body != want {
		c.check.fail("order", "request %s goes on after event %d and got %q", id, held.last, got.body)
	}
	if !strings.HasPrefix(want, got.body) {
		c.check.fail("order", "request %s goes on after event %d and got %q before it broke off", id, held.last, got.body)
	}
}

func (k *resumeChecks) recordJoined() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joined++
}
