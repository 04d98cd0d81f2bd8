package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// silentRun is one run of a request at a replica.
type silentRun struct {
	replica string
	begun   time.Time
	// bodyBytes is the length of the body.
	bodyBytes int
	// written is how many events were written, lastAt when the last one was.
	written int
	lastAt  time.Time
	// cutAt is when the replica learned that its gateway had closed the connection, the zero time if the run
	// came to its end.
	cutAt time.Time
	done  bool
}

// answer runs a request at a replica and records the run.
func (m *silenceMeasurement) answer(rep *replica, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	if id != "" {
		w.Header().Set(idHeader, id)
	}
	if expected := request.Header.Get("X-Expected-Replica"); expected != "" && expected != rep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/report":
		_, _ = fmt.Fprintf(w, `{"born":%d}`, rep.startedMs)
		return
	case "/health":
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := &silentRun{replica: rep.id, begun: time.Now(), bodyBytes: len(body)}
	m.mu.Lock()
	m.runs[id] = append(m.runs[id], run)
	m.mu.Unlock()
	if m.load.class(request.URL.Path[1:2]).isStream() {
		m.stream(rep, run, w, request, id)
		return
	}
	select {
	case <-request.Context().Done():
		m.cut(run)
	case <-time.After(m.load.plainTime):
		rep.pause.wait()
		_, err := fmt.Fprintf(w, "%s:done", id)
		m.written(run, err == nil)
	}
}

// stream writes the events of a stream.
func (m *silenceMeasurement) stream(rep *replica, run *silentRun, w http.ResponseWriter, request *http.Request, id string) {
	after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= silenceEvents; n++ {
		rep.pause.wait()
		_, err := io.WriteString(w, streamEvent(id, n, rep.software))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			m.cut(run)
			return
		}
		m.written(run, n == silenceEvents)
		if n == silenceEvents {
			return
		}
		select {
		case <-request.Context().Done():
			m.cut(run)
			return
		case <-time.After(m.load.pace):
		}
	}
}

// written records that a part of an answer was written, the last one if done.
func (m *silenceMeasurement) written(run *silentRun, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run.written++
	run.lastAt, run.done = time.Now(), done
}

// cut records that a gateway closed the connection of a run that was at work.
func (m *silenceMeasurement) cut(run *silentRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run.cutAt = time.Now()
}
