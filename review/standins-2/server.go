//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is one start of a backend server of the plain service.
type server struct {
	in      *installation
	id      string
	address string
	zone    string
	service string
	born    int64
	work    time.Duration
	// controls are the control nodes in the order in which this server calls them.
	controls []*process

	mu       sync.Mutex
	sequence int
	state    string
	stopped  bool
	// leaving is set once the server has announced its end; its answers say so too.
	leaving  bool
	arrivals []arrival
	cut      int
	http     *http.Server
}

// arrival is one request that the server began to run.
type arrival struct {
	id string
	at time.Time
}

// startServer starts a backend server at an address and sends its heartbeats.
func startServer(in *installation, id, address, zone, service string, work time.Duration, controls []*process) (*server, error) {
	s := &server{in: in, id: id, address: address, zone: zone, service: service, work: work, controls: controls, born: time.Now().UnixMilli(), state: "ready"}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	in.record.add("server %s born %d starts at %s", id, s.born, address)
	go s.sendHeartbeats()
	return s, nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expected-Replica"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Replica-Id", s.id)
		return
	case "/-/report":
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"born":%d}`, s.born)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	_, _ = io.WriteString(w, id)
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// heartbeat sends one heartbeat, to the next control node if one gives no acknowledgement.
func (s *server) heartbeat() bool {
	for range s.controls {
		s.mu.Lock()
		s.sequence++
		body := mustJSON(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": s.state, "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born, "stage": "both", "models": []any{}})
		to := s.controls[0]
		s.mu.Unlock()
		if s.in.call(to, http.MethodPut, "/-/replicas/"+s.id, body, time.Second) == http.StatusOK {
			return true
		}
		s.mu.Lock()
		s.controls = append(append([]*process{}, s.controls[1:]...), s.controls[0])
		s.mu.Unlock()
	}
	return false
}

func (s *server) sendHeartbeats() {
	for {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		s.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// deregister stops the heartbeats and sends the notice of the planned end to a control node. It returns when
// the notice was acknowledged, the zero time if it was not.
func (s *server) deregister(to *process) time.Time {
	s.mu.Lock()
	s.stopped, s.leaving = true, true
	s.mu.Unlock()
	status := s.in.call(to, http.MethodDelete, "/-/replicas/"+s.id, nil, time.Second)
	at := time.Now()
	s.in.record.add("server %s born %d: DELETE to %s answered %d", s.id, s.born, to.name, status)
	if status != http.StatusOK {
		return time.Time{}
	}
	return at
}

// end ends the server with its connections.
func (s *server) end() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.http.Close()
	s.in.record.add("server %s born %d ends", s.id, s.born)
}

func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
