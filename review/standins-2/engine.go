//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineModel    = "daka510000"
	eventTime      = 25 * time.Millisecond
	tokensPerEvent = 2
)

// memoryCopies are the copies of runs that engines keep for each other, by the address of the keeper.
type memoryCopies struct {
	mu     sync.Mutex
	copies map[string]bool
}

func (m *memoryCopies) add(keeper, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies[keeper+"/"+id] = true
}

func (m *memoryCopies) take(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.copies[name]
	delete(m.copies, name)
	return found
}

// engineRun is one run of a request at an engine.
type engineRun struct {
	id       string
	engine   string
	from     string
	began    time.Time
	ended    time.Time
	events   []time.Time
	dropped  time.Time
	finished bool
}

// engine is a backend server with a language model. It accepts a number of connections from all callers
// together and none beyond that, and goes on with a run whose connection has closed.
type engine struct {
	in      *installation
	id      string
	address string
	zone    string
	service string
	limit   int
	copies  *memoryCopies

	mu          sync.Mutex
	sequence    int
	orders      int
	listener    net.Listener
	connections int
	refusing    bool
	closed      bool
	// pausedUntil is until when its runs wait for memory.
	pausedUntil time.Time
	runs        []*engineRun
	http        *http.Server
}

func startEngine(in *installation, id, address, zone, service string, limit int, copies *memoryCopies) (*engine, error) {
	e := &engine{in: in, id: id, address: address, zone: zone, service: service, limit: limit, copies: copies}
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.countConnections}
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.sendHeartbeats()
	in.record.add("engine %s at %s, %d connections", id, address, limit)
	return e, nil
}

func (e *engine) listen() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.refusing = listener, false
	e.mu.Unlock()
	go func() { _ = e.http.Serve(listener) }()
	return nil
}

// countConnections refuses connections beyond the limit.
func (e *engine) countConnections(_ net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.connections++
		if e.connections >= e.limit && !e.refusing {
			e.refusing = true
			_ = e.listener.Close()
			e.in.record.add("engine %s has %d connections and resets further ones", e.id, e.connections)
		}
	case http.StateClosed, http.StateHijacked:
		e.connections--
		if e.refusing && !e.closed && e.connections < e.limit {
			e.refusing = false
			e.in.record.add("engine %s has %d connections and accepts further ones", e.id, e.connections)
			go e.listenAgain()
		}
	}
}

func (e *engine) listenAgain() {
	for range 100 {
		if e.listen() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Replica"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Replica-Id", e.id)
		return
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":132029,"handles":0}`, engineModel, e.orders)
		return
	case "/-/order":
		// It holds what it is ordered to.
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasPrefix(id, "other-") {
		// A request of another caller, which waits for a slot until that caller leaves.
		<-r.Context().Done()
		return
	}
	e.stream(w, r, id)
}

// stream runs a request to its end, even if its connection closes.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	from := r.Header.Get("Kv-From")
	if from != "" && !e.copies.take(from) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if keeper := r.Header.Get("X-Kv-Backup"); keeper != "" {
		e.copies.add(keeper, id)
	}
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(output)
	run := &engineRun{id: id, engine: e.id, from: from, began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", e.id+"."+id)
	open := true
	for n := last + 1; n <= tokens/tokensPerEvent; n++ {
		time.Sleep(eventTime)
		for time.Now().Before(e.pause()) {
			time.Sleep(5 * time.Millisecond)
		}
		e.mu.Lock()
		run.events = append(run.events, time.Now())
		if open && r.Context().Err() != nil {
			open, run.dropped = false, time.Now()
		}
		e.mu.Unlock()
		if open {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
			_ = http.NewResponseController(w).Flush()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run.ended, run.finished = time.Now(), true
}

func (e *engine) pause() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil
}

// preempt makes its runs wait for memory for a time.
func (e *engine) preempt(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	e.in.record.add("engine %s preempts its %d runs for %s", e.id, len(e.runs), d)
}

// crowd lets other callers take all connections that are left until the context ends.
func (e *engine) crowd(ctx context.Context) error {
	e.mu.Lock()
	left := e.limit - e.connections
	e.mu.Unlock()
	var opened []net.Conn
	for i := range left {
		conn, err := net.DialTimeout("tcp", e.address, time.Second)
		if err != nil {
			return err
		}
		opened = append(opened, conn)
		if _, err := fmt.Fprintf(conn, "POST /gen/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: other-%d\r\nContent-Length: 0\r\n\r\n", hostName, i); err != nil {
			return err
		}
	}
	e.in.record.add("other callers opened %d connections to engine %s", left, e.id)
	go func() {
		<-ctx.Done()
		for _, conn := range opened {
			_ = conn.Close()
		}
	}()
	return nil
}

func (e *engine) sendHeartbeats() {
	for {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		e.sequence++
		body := mustJSON(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
			"stage": "both", "models": []any{map[string]any{"name": engineModel, "version": 1, "adapters": []string{}}}, "sequence": e.sequence})
		e.mu.Unlock()
		for _, c := range e.in.controls {
			if e.in.call(c, http.MethodPut, "/-/replicas/"+e.id, body, time.Second) == http.StatusOK {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

func (e *engine) allRuns() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []engineRun
	for _, run := range e.runs {
		all = append(all, *run)
	}
	return all
}

func (e *engine) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.http.Close()
}
