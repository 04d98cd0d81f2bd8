package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What a measurement of ends of streams does.
const (
	// endsDuration is how long clients send, endsWorkers how many there are for each route and protocol.
	endsDuration = 24 * time.Second
	endsWorkers  = 8
	// endsBrokenPercent is the share of streams that their replica breaks off.
	endsBrokenPercent = 30
	// endsKillPause is the pause between two kills of all gateways, which are back after endsDowntime.
	endsKillPause = 4 * time.Second
	endsDowntime  = time.Second
	// endsEventPause is the pause between two events.
	endsEventPause = 4 * time.Millisecond
	// endsTries is how often a client sends a request in all while its stream breaks off.
	endsTries = 6
	// http10Pause is the pause between two streams of a client of HTTP/1.0 in a soak. They must not use up
	// what replicas with a limit take from the other clients.
	http10Pause = 150 * time.Millisecond
	// endsShortIDs is how many requests that ended short are named for each class.
	endsShortIDs = 20
)

// endsClass is a kind of measured streams.
type endsClass struct {
	kind  string
	proto string
}

func (c endsClass) String() string {
	kind := "may be taken up"
	if c.kind == "n" {
		kind = "may not"
	}
	return kind + ", " + c.proto
}

// endsCount counts the streams of a class.
type endsCount struct {
	streams int
	// short counts streams that ended in order without their last event, whole those that ended in order
	// with it, in the first try firstWhole.
	short, whole, firstWhole int
	broken, refused          int
	// shortIDs are the first requests that ended short, to be looked up in the logs.
	shortIDs []string
	// tries counts the requests.
	tries int
}

// endsMeasurement counts how streams end whose answers have neither a length nor chunks.
type endsMeasurement struct {
	mu     sync.Mutex
	counts map[endsClass]*endsCount
}

// streamsWithoutFraming makes all streams end with their connection and breaks a share of them off.
type streamsWithoutFraming struct {
	brokenPercent int
}

// write writes the events of a stream after one, without a length or chunks.
func (s streamsWithoutFraming) write(r *replicas, rep *replica, w http.ResponseWriter, id string, after int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	brokenAfter := streamEvents
	if streamEvents-after > 1 && rand.IntN(100) < s.brokenPercent {
		brokenAfter = after + 1 + rand.IntN(streamEvents-after-1)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\n\r\n", idHeader, id, stampHeader, rep.id, id)
	for n := after + 1; n <= brokenAfter; n++ {
		if _, err := io.WriteString(conn, streamEvent(id, n, rep.software)); err != nil {
			return
		}
		time.Sleep(endsEventPause)
	}
	if brokenAfter < streamEvents {
		r.breakConn(rep, conn, streamEvent(id, brokenAfter+1, rep.software))
	}
}

// breakConn breaks a stream that is written by hand off before its next event, as breakOff does.
func (r *replicas) breakConn(rep *replica, conn net.Conn, next string) {
	switch r.drawBreak(time.Now()) {
	case breakByDeath:
		r.dieBreaking(rep)
	case breakInside:
		_, _ = io.WriteString(conn, next[:1+rand.IntN(len(next)-1)])
	case breakByReset:
		resetConn(conn)
	}
}

// measureEnds measures how streams end, with a share of them broken off by their replicas and, if kills is
// set, all gateways killed again and again.
func measureEnds(brokenPercent int, kills bool) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, c *clients) {
		r.mu.Lock()
		r.unframed = &streamsWithoutFraming{brokenPercent: brokenPercent}
		r.mu.Unlock()
		m := &endsMeasurement{counts: map[endsClass]*endsCount{}}
		var work sync.WaitGroup
		for _, class := range []endsClass{{"e", "HTTP/1.1"}, {"n", "HTTP/1.1"}, {"e", "HTTP/1.0"}, {"n", "HTTP/1.0"}} {
			m.counts[class] = &endsCount{}
			for worker := range endsWorkers {
				work.Add(1)
				go func() {
					defer work.Done()
					m.sendStreams(ctx, c, class, worker)
				}()
			}
		}
		for kills && ctx.Err() == nil {
			killGateways(ctx, c.in)
		}
		work.Wait()
		m.print()
	}
}

// killGateways kills all gateways at once after a pause and starts them again.
func killGateways(ctx context.Context, in *installation) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(endsKillPause):
	}
	var work sync.WaitGroup
	for _, m := range in.gatewayNodes() {
		work.Add(1)
		go func() {
			defer work.Done()
			in.restart(m, syscall.SIGKILL, endsDowntime, nil)
		}()
	}
	work.Wait()
}

// sendStreams sends streams of a class one at a time, and takes those up that break off.
func (m *endsMeasurement) sendStreams(ctx context.Context, c *clients, class endsClass, worker int) {
	gateways := c.in.gatewayNodes()
	for turn := worker; ctx.Err() == nil; turn++ {
		held, begun := 0, ""
		for try := range endsTries {
			gateway := gateways[(turn+try)%len(gateways)]
			id := c.id()
			got := sendStream(c.in.processAddress(gateway, c.in.callPort()), class, id, begun, held)
			if got.status == 0 || got.status >= http.StatusBadRequest {
				m.add(class, func(n *endsCount) { n.refused++ })
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if part := parseStream(got.body); part.last > 0 {
				if held == 0 {
					begun = id
				}
				held = part.last
			}
			if m.record(class, try, id, got, held); got.whole || class.kind == "n" {
				break
			}
		}
	}
}

// record counts the end of a try.
func (m *endsMeasurement) record(class endsClass, try int, id string, got rawResponse, held int) {
	m.add(class, func(n *endsCount) {
		n.tries++
		if try == 0 {
			n.streams++
		}
		switch {
		case !got.whole:
			n.broken++
		case held < streamEvents:
			n.short++
			if len(n.shortIDs) < endsShortIDs {
				n.shortIDs = append(n.shortIDs, id)
			}
		default:
			n.whole++
			n.firstWhole += asNumber(try == 0)
		}
	})
}

func (m *endsMeasurement) add(class endsClass, change func(*endsCount)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.counts[class])
}

func (m *endsMeasurement) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for class, n := range m.counts {
		fmt.Printf("%s: %d streams begun, %d answers; ended in order without the last event %d, with it %d (first try %d); broken off %d; refused %d; short: %v\n",
			class, n.streams, n.tries, n.short, n.whole, n.firstWhole, n.broken, n.refused, n.shortIDs)
	}
}

// rawResponse is a response as read from a connection.
type rawResponse struct {
	status int
	// stamp names the replica that began the response, "" if that is not known.
	stamp string
	body  string
	// whole is set if the response ended in order.
	whole bool
	// lastByteAt is when the last byte of the request was sent, the zero time if it was not sent whole.
	lastByteAt time.Time
}

// sendStream sends one request on a connection of its own, in the protocol of the class.
func sendStream(address string, class endsClass, id, resumes string, after int) rawResponse {
	return sendStreamWith(address, class, id, "body of "+id, resumes, after)
}

// sendStreamWith is like sendStream, with a body.
func sendStreamWith(address string, class endsClass, id, body, resumes string, after int) rawResponse {
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return rawResponse{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	head := fmt.Sprintf("POST /%s/x %s\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n", class.kind, class.proto, idHeader, id, len(body))
	header := http.Header{}
	setAccountHeaders(header, mainAccountDraw, 1)
	if after > 0 {
		if resumes != "" {
			header.Set(headerResumes, resumes)
		}
		header.Set(headerLastEvent, strconv.Itoa(after))
	}
	var fields strings.Builder
	_ = header.Write(&fields)
	if _, err := io.WriteString(conn, head+fields.String()+"\r\n"+body); err != nil {
		return rawResponse{}
	}
	lastByteAt := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return rawResponse{lastByteAt: lastByteAt}
	}
	read, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return rawResponse{status: response.StatusCode, stamp: response.Header.Get(stampHeader), body: string(read), whole: err == nil, lastByteAt: lastByteAt}
}

// sendInHTTP10 sends streams of both kinds as a client of HTTP/1.0, to whom only a reset tells that one broke off.
func (c *clients) sendInHTTP10(ctx context.Context, m *member) {
	defer c.work.Done()
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(http10Pause)
		id := c.id()
		class := endsClass{kind: []string{"e", "n"}[turn%2], proto: "HTTP/1.0"}
		end := endedAnswer{id: id, kind: class.kind, gateway: m.name, firstByteAt: time.Now()}
		got := sendStream(c.in.proxyAddress(m, c.in.callPort()), class, id, "", 0)
		end.endedAt, end.lastByteAt, end.status, end.stamp = time.Now(), got.lastByteAt, got.status, got.stamp
		c.check.lost.recordAnswer(end, got.whole)
		if got.status != http.StatusOK {
			continue
		}
		want := wantedStream(id, 0, parseStream(got.body).software)
		switch {
		case got.whole && got.body != want:
			c.check.fail("order", "request %s of HTTP/1.0 ended in order with %q", id, got.body)
		case !strings.HasPrefix(want, got.body):
			c.check.fail("order", "request %s of HTTP/1.0 got %q before it broke off", id, got.body)
		case got.whole:
			c.check.count("whole streams in HTTP/1.0")
		default:
			c.check.count("broken streams in HTTP/1.0")
		}
	}
}
