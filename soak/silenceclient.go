package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// silenceResult is what a client got.
type silenceResult struct {
	id      string
	class   silenceClass
	gateway *member
	// sentAt is when the first byte was sent.
	sentAt  time.Time
	endedAt time.Time
	// lastAt is when the last byte came.
	lastAt time.Time
	// dialed is set if the request was sent; status is 0 if there was no answer.
	dialed bool
	status int
	whole  bool
	events int
	// stopping is set if the gateway had been told to stop; signalAt is the last stop of any gateway.
	stopping bool
	signalAt time.Time
	// body is how the body was sent, nil if it was sent at once.
	body *sentBody
}

// sendAll sends the requests of a class at a steady rate to the gateways in turn.
func (m *silenceMeasurement) sendAll(ctx context.Context, class silenceClass, first int) {
	ticker := time.NewTicker(class.pause)
	defer ticker.Stop()
	gateways := m.in.gatewayNodes()
	var work sync.WaitGroup
	defer work.Wait()
	for turn := first; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gateway := gateways[turn%len(gateways)]
		if m.avoids(gateway) {
			gateway = gateways[(turn+1)%len(gateways)]
		}
		work.Go(func() { m.record(m.send(class, gateway)) })
	}
}

// avoids reports whether clients do not use a gateway, which stops, any more.
func (m *silenceMeasurement) avoids(gateway *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load.turnAway > 0 && m.stopping == gateway && time.Since(m.signalAt) > m.load.turnAway
}

// send sends one request, on a connection of its own unless the load says otherwise.
func (m *silenceMeasurement) send(class silenceClass, gateway *member) silenceResult {
	if m.kind.bodies != nil {
		return m.sendBody(class, gateway)
	}
	result := silenceResult{id: fmt.Sprintf("q%08d", m.next.Add(1)), class: class, gateway: gateway, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", m.in.processAddress(gateway, m.in.callPort()), silenceClientTimeout)
	if err != nil {
		result.endedAt = time.Now()
		return result
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(silenceClientTimeout))
	body := "body of " + result.id
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", class.kind, idHeader, result.id, silenceTimeout.Milliseconds(), len(body))
	if _, err := io.WriteString(conn, head+body); err == nil {
		result.dialed = true
		result.read(conn)
	}
	result.endedAt = time.Now()
	return result
}

// read reads an answer.
func (s *silenceResult) read(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return
	}
	s.status, s.lastAt = response.StatusCode, time.Now()
	buffer := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			s.lastAt = time.Now()
			s.events += strings.Count(string(buffer[:n]), "\n\n")
		}
		if err != nil {
			s.whole = errors.Is(err, io.EOF) && s.status == http.StatusOK && s.complete()
			return
		}
	}
}

// complete reports whether all events of a stream came.
func (s *silenceResult) complete() bool {
	return !s.class.isStream() || s.events == silenceEvents
}

// record keeps what a client got.
func (m *silenceMeasurement) record(result silenceResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result.stopping, result.signalAt = m.stopping == result.gateway, m.signalAt
	m.results = append(m.results, result)
}
