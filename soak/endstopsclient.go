package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// endStopsResult is what a client got of a measured stream.
type endStopsResult struct {
	id, class string
	gateway   *member
	// sentAt is when the request was sent, the zero time if it was not.
	sentAt, endedAt time.Time
	got             rawResponse
	// events is how many events the stream has.
	events int
	// killed is set if its gateway was killed meanwhile.
	killed bool
}

// sendAll sends the streams of a class at a steady rate to the gateways in turn.
func (m *endStopsMeasurement) sendAll(ctx context.Context, class string, first int) {
	ticker := time.NewTicker(endStopsPause)
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
		work.Go(func() {
			result := m.send(class, gateway)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.results = append(m.results, result)
		})
	}
}

// avoids reports whether the platform sends clients to other gateways than one that stops.
func (m *endStopsMeasurement) avoids(gateway *member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	stops := m.stops[gateway]
	if len(stops) == 0 {
		return false
	}
	last := stops[len(stops)-1]
	return last.startedAt.IsZero() && time.Since(last.signalAt) > bodyTurnAway
}

// send sends one request for a stream, on a connection of its own.
func (m *endStopsMeasurement) send(class string, gateway *member) *endStopsResult {
	result := &endStopsResult{id: numberedID(m.next.Add(1)), class: class, gateway: gateway, events: m.kind.events()}
	defer func() { result.endedAt = time.Now() }()
	conn, err := net.DialTimeout("tcp", m.in.processAddress(gateway, m.in.callPort()), endStopsClientTimeout)
	if err != nil {
		return result
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(endStopsClientTimeout))
	body := "body of " + result.id
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n", class, idHeader, result.id, endStopsTimeout.Milliseconds(), m.kind.modelFields(), len(body))
	result.sentAt = time.Now()
	if _, err := io.WriteString(conn, head+body); err != nil {
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return result
	}
	read, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	result.got = rawResponse{status: response.StatusCode, stamp: response.Header.Get(stampHeader), body: string(read), whole: err == nil}
	return result
}

// modelFields returns the header fields that name a model and the tokens of its prompt and output.
func (k endStopsKind) modelFields() string {
	if !k.engine {
		return ""
	}
	tokens := maxOutputTokens
	if k.allTokens {
		tokens = k.events()
	}
	return fmt.Sprintf("X-Model: %s\r\nX-Token-Counts: 20,%d\r\n", endStopsModel, tokens)
}
