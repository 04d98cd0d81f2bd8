package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// partsClientSlack is how much longer than the time for an answer a client waits.
	partsClientSlack = time.Second
	// keptPercent is the share of requests on connections that are kept, crossingPercent the share of these whose client
	// does not look whether the connection has been closed, pairPercent that of plain requests sent two at a time.
	keptPercent     = 65
	crossingPercent = 50
	pairPercent     = 15
	// slowBodyPercent is the share of requests whose bodies are sent over time.
	slowBodyPercent = 20
	// leftPercent is the share of the streams that may be resumed which their client leaves minLeaveTime to maxLeaveTime after
	// they were sent, partsTakeUpTime how much later it takes them up, as it does with those that broke off.
	leftPercent     = 15
	minLeaveTime    = 100 * time.Millisecond
	maxLeaveTime    = 700 * time.Millisecond
	partsTakeUpTime = 50 * time.Millisecond
	// restingPercent is the share of the kept connections that rest, up to maxPartsRest: four fifths of shortIdleTime.
	restingPercent = 20
	maxPartsRest   = 1600 * time.Millisecond
)

// partsResult is what a client got.
type partsResult struct {
	id      string
	class   partsClass
	gateway *member
	// after is the event after which a stream was taken up.
	after int
	// sentAt is when the first byte was sent, lastByteAt when the last one was, the zero time if it was not.
	sentAt, lastByteAt, endedAt time.Time
	status                      int
	stamp, body                 string
	// whole is set if the answer ended in order, complete if it is also the wanted one.
	whole, complete bool
	// reused is set if the connection had taken an earlier request, second if the request was sent before the one
	// ahead of it was answered, left if the client closed the connection.
	reused, second, left bool
	plan                 bodyPlan
	err                  error
}

// partsConns are the idle connections of clients to a gateway. They are safe for concurrent use.
type partsConns struct {
	address string
	mu      sync.Mutex
	idle    []net.Conn
}

// take returns an idle connection or a new one; one that is closed at its other end is left out if the client looks.
func (k *partsConns) take(looks bool) (conn net.Conn, reused bool, err error) {
	k.mu.Lock()
	for len(k.idle) > 0 {
		conn = k.idle[0]
		k.idle = k.idle[1:]
		if !looks || isOpen(conn) {
			k.mu.Unlock()
			return conn, true, nil
		}
		_ = conn.Close()
	}
	k.mu.Unlock()
	conn, err = k.dial()
	return conn, false, err
}

// dial returns a new connection.
func (k *partsConns) dial() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", k.address, time.Second)
	if err == nil {
		_ = conn.(*net.TCPConn).SetWriteBuffer(bodyWriteBuffer)
	}
	return conn, err
}

// has reports whether there is an idle connection.
func (k *partsConns) has() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.idle) > 0
}

// put keeps a connection for a further request.
func (k *partsConns) put(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = append(k.idle, conn)
}

// sendAll sends the requests of a class at a steady rate to the gateways in turn.
func (m *partsMeasurement) sendAll(ctx context.Context, class partsClass, first int) {
	ticker := time.NewTicker(class.pause)
	defer ticker.Stop()
	random := rand.New(rand.NewPCG(m.in.options.Seed, uint64(40+first)))
	gateways := m.in.gatewayNodes()
	var work sync.WaitGroup
	defer work.Wait()
	for turn := first; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gateway := m.gatewayFor(gateways, turn)
		own := rand.New(rand.NewPCG(random.Uint64(), 41))
		work.Go(func() { m.sendOne(class, gateway, own) })
	}
}

// gatewayFor returns the gateway for a request: one that stops takes requests of clients that hold a connection to it, and
// no others once the platform sends them elsewhere.
func (m *partsMeasurement) gatewayFor(gateways []*member, turn int) *member {
	for try := range gateways {
		gateway := gateways[(turn+try)%len(gateways)]
		if !m.avoids(gateway) || m.conns[gateway].has() {
			return gateway
		}
	}
	return gateways[turn%len(gateways)]
}

// avoids reports whether the platform sends new connections to other gateways than one that stops.
func (m *partsMeasurement) avoids(gateway *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	stops := m.work.stops[gateway]
	if len(stops) == 0 {
		return false
	}
	last := stops[len(stops)-1]
	return last.startedAt.IsZero() && time.Since(last.signalAt) > bodyTurnAway
}

// sendOne sends a request, or two at a time, and takes a stream up that its client left or that was cut off.
func (m *partsMeasurement) sendOne(class partsClass, gateway *member, random *rand.Rand) {
	if !class.isStream() && class.letter != "w" && random.IntN(100) < pairPercent {
		m.sendPair(class, gateway)
		return
	}
	result := m.send(class, gateway, random)
	m.record(result)
	last := result.after + parseEvents(result.body)
	if !class.resumable || result.complete || last == 0 || last >= class.events {
		return
	}
	time.Sleep(partsTakeUpTime)
	gateways := m.in.gatewayNodes()
	m.record(m.takeUp(class, m.gatewayFor(gateways, random.IntN(len(gateways))), random, result.id, last))
}

// parseEvents returns how many whole events a body has.
func parseEvents(body string) int { return strings.Count(body, "\n\n") }

// record keeps what a client got.
func (m *partsMeasurement) record(result *partsResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results = append(m.results, result)
}

// send sends a new request.
func (m *partsMeasurement) send(class partsClass, gateway *member, random *rand.Rand) *partsResult {
	return m.takeUp(class, gateway, random, "", 0)
}

// takeUp sends a request that goes on after an event of an earlier one, or a new one if after is 0.
func (m *partsMeasurement) takeUp(class partsClass, gateway *member, random *rand.Rand, earlier string, after int) *partsResult {
	plan := drawBodyPlan(random, false)
	if random.IntN(100) < slowBodyPercent && class.timeout > time.Second {
		plan.duration, plan.lateEnd = slowBodyTime, random.IntN(2) == 0
	}
	plan.kept = m.kind.allKept || random.IntN(100) < keptPercent
	result := &partsResult{id: numberedID(m.next.Add(1)), class: class, gateway: gateway, after: after, plan: plan}
	conns, looks := m.conns[gateway], random.IntN(100) >= crossingPercent
	var conn net.Conn
	if plan.kept {
		conn, result.reused, result.err = conns.take(looks)
	} else {
		conn, result.err = conns.dial()
	}
	if result.endedAt = time.Now(); result.err != nil {
		return result
	}
	_ = conn.SetDeadline(time.Now().Add(class.timeout + partsClientSlack))
	leave := func() bool { return false }
	if class.resumable && after == 0 && random.IntN(100) < leftPercent {
		timer := time.AfterFunc(drawBetween(random, minLeaveTime, maxLeaveTime), func() { _ = conn.Close() })
		leave = func() bool { return !timer.Stop() }
	}
	answer := plan.exchange(conn, result.id, m.headOf(result, earlier))
	result.left = leave()
	result.sentAt, result.lastByteAt, result.endedAt = answer.firstByteAt, answer.lastByteAt, answer.endedAt
	result.stamp = answer.header.Get(stampHeader)
	result.status, result.body, result.whole, result.err = answer.status, answer.body, answer.whole && answer.status != 0, answer.err
	result.complete = result.isComplete()
	m.finish(conns, conn, plan.kept && answer.reusable && !result.left, random)
	return result
}

// finish keeps a connection, at times after a rest, or closes it.
func (m *partsMeasurement) finish(conns *partsConns, conn net.Conn, keeps bool, random *rand.Rand) {
	switch {
	case !keeps:
		_ = conn.Close()
	case random.IntN(100) < restingPercent:
		time.AfterFunc(time.Duration(random.Int64N(int64(maxPartsRest))), func() { conns.put(conn) })
	default:
		conns.put(conn)
	}
}

// headOf returns the head of a request.
func (m *partsMeasurement) headOf(r *partsResult, earlier string) string {
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n%s", r.class.letter, idHeader, r.id, r.class.timeout.Milliseconds(), r.plan.header())
	if !r.plan.kept {
		head += "Connection: close\r\n"
	}
	if r.plan.duration > 0 {
		head += fmt.Sprintf("%s: %d\r\n", bodySizeHeader, r.plan.bytes)
	}
	if r.class.isStream() {
		head += fmt.Sprintf("X-Model: %s\r\nX-Token-Counts: 20,%d\r\n", endStopsModel, 2*r.class.events)
	}
	if r.after > 0 {
		head += fmt.Sprintf("%s: %s\r\n%s: %d\r\n", headerResumes, earlier, headerLastEvent, r.after)
	}
	return head + "\r\n"
}

// sendPair sends two requests without a body on a kept connection, the second one before the first is answered.
func (m *partsMeasurement) sendPair(class partsClass, gateway *member) {
	conns := m.conns[gateway]
	conn, reused, err := conns.take(false)
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(2*class.timeout + partsClientSlack))
	var pair []*partsResult
	text := ""
	for i := range 2 {
		result := &partsResult{id: numberedID(m.next.Add(1)), class: class, gateway: gateway, reused: reused || i > 0, second: i > 0, sentAt: time.Now()}
		method, length := http.MethodGet, ""
		if class.route == "unsafe" {
			method, length = http.MethodPost, "Content-Length: 0\r\n"
		}
		text += fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, class.letter, idHeader, result.id, 2*class.timeout.Milliseconds(), length)
		pair = append(pair, result)
	}
	_, err = io.WriteString(conn, text)
	reader, keeps, wroteAt := bufio.NewReader(conn), err == nil, time.Now()
	for _, result := range pair {
		if err == nil {
			result.lastByteAt = wroteAt
		}
		if keeps {
			keeps = result.read(reader)
		} else {
			result.err = err
		}
		result.endedAt = time.Now()
		m.record(result)
	}
	if keeps {
		conns.put(conn)
		return
	}
	_ = conn.Close()
}

// read reads an answer and reports whether the connection may be used further.
func (r *partsResult) read(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if r.err = err; err != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	r.stamp = response.Header.Get(stampHeader)
	r.status, r.body, r.whole, r.err = response.StatusCode, string(body), err == nil, err
	r.complete = r.isComplete()
	return r.whole && framed(response) && !response.Close
}

// isComplete reports whether the answer is the wanted one, and whole.
func (r *partsResult) isComplete() bool {
	return r.whole && r.status == http.StatusOK && r.body == strings.Join(r.class.answerOf(r.id, r.after), "")
}
