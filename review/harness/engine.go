//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is what a stand-in of a model replica does with requests: it runs some at once, queues a few beyond
// that and rejects the rest, and streams numbered events.
type engine struct {
	slots, queue int
	events       int
	pace         time.Duration

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	runs    map[string]time.Time
	ends    map[string]time.Time
	// lastWork is when it last made an event of a request.
	lastWork map[string]time.Time
	// keepsOn is set if it does not drop a request when its connection closes.
	keepsOn bool
	// onArrival is called with each request, before anything else.
	onArrival func(r *replica, request *http.Request)
}

func newEngine(slots, queue, events int, pace time.Duration) *engine {
	e := &engine{slots: slots, queue: queue, events: events, pace: pace, free: make(chan struct{}, slots), runs: map[string]time.Time{}, ends: map[string]time.Time{}, lastWork: map[string]time.Time{}}
	for range slots {
		e.free <- struct{}{}
	}
	return e
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
}

func (e *engine) handle(r *replica, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	if e.onArrival != nil {
		e.onArrival(r, request)
	}
	if !r.holds(request.Header.Get("X-Model")) {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if !e.enter(request) {
		w.Header().Set("X-Replica-Load", e.load())
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		record.write("replica %s: rejects %s, it is full", r.id, id)
		return
	}
	defer e.leave(id)
	e.mu.Lock()
	e.runs[id] = time.Now()
	e.mu.Unlock()
	w.Header().Set("X-Replica-Load", e.load())
	w.Header().Set("X-Response-Stamp", r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	record.write("replica %s: runs %s from event %d", r.id, id, after+1)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-e.cancelled(request):
			record.write("replica %s: %s was cancelled before event %d", r.id, id, n)
			return
		case <-r.stopped:
			panic(http.ErrAbortHandler)
		case <-time.After(e.pace):
		}
		r.silence.wait()
		e.noteWork(id)
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil && !e.keepsOn {
			return
		}
	}
}

// cancelled returns a channel that is closed when the engine drops a request.
func (e *engine) cancelled(request *http.Request) <-chan struct{} {
	if e.keepsOn {
		return nil
	}
	return request.Context().Done()
}

// noteWork records that the engine makes an event of a request.
func (e *engine) noteWork(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastWork[id] = time.Now()
}

// enter waits for a slot. It returns false if the request is rejected.
func (e *engine) enter(request *http.Request) bool {
	e.mu.Lock()
	if e.running+e.waiting >= e.slots+e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	entered := false
	select {
	case <-e.free:
		entered = true
	case <-request.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if entered {
		e.running++
	}
	return entered
}

func (e *engine) leave(id string) {
	e.mu.Lock()
	e.running--
	e.ends[id] = time.Now()
	e.mu.Unlock()
	e.free <- struct{}{}
}

// ran reports whether the engine has begun work on a request, and when it ended, zero if it has not.
func (e *engine) ran(id string) (began bool, endedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, began = e.runs[id]
	return began, e.ends[id]
}
