package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// unframedHeads are the first lines of answers with neither a length nor chunks, and the fields that each has besides.
var unframedHeads = []struct{ status, fields string }{
	{"HTTP/1.1 200 OK", ""},
	{"HTTP/1.1 200 OK", "Connection: close\r\n"},
	{"HTTP/1.0 200 OK", ""},
}

// drawnStream is how a replica writes a stream.
type drawnStream struct {
	unframed bool
	// head is the place of the answer's head in unframedHeads.
	head int
	// brokenAfter is the event after which it is broken off, 0 if it is not.
	brokenAfter int
	pause       time.Duration
	// split is set if each event is written in two parts.
	split bool
}

// draw draws how a replica writes the events of a stream after one.
func (k endStopsKind) draw(random *rand.Rand, after int) drawnStream {
	drawn := drawnStream{pause: drawBetween(random, minEventPause, maxEventPause), head: random.IntN(len(unframedHeads))}
	drawn.unframed = random.IntN(100) < k.unframed && (after == 0 || !k.framedRests)
	breaks, left := random.IntN(100) < k.broken, k.events()-after
	if drawn.unframed && breaks && left > 1 {
		drawn.brokenAfter = after + 1 + random.IntN(left-1)
	}
	if k.http10 {
		drawn.head = len(unframedHeads) - 1
	}
	if k.death != "" {
		drawn.split = random.IntN(2) == 0
	}
	if k.shows > 0 && !drawn.unframed && random.IntN(100) < k.shows && left > 1 {
		drawn.brokenAfter = after + 1 + random.IntN(left-1)
	}
	return drawn
}

// answer runs a stream at a replica and records the run.
func (m *endStopsMeasurement) answer(rep *replica, w http.ResponseWriter, request *http.Request) {
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
		m.report(rep, w)
		return
	case "/-/order":
		m.answerOrder(rep, w, request)
		return
	case "/health":
		return
	}
	if m.kind.engine && m.copies.serve(rep.address, w, request) {
		return
	}
	if !m.isStream(request.URL.Path) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.kind.alone && rep.host > 1 {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	run, drawn, wait := m.begin(rep, request, id)
	if run == nil {
		refuse(w, wait)
		return
	}
	w.Header().Set(stampHeader, stampOf(rep.id, id))
	if drawn.unframed {
		m.writeUnframed(rep, w, run, drawn)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	err := m.writeEvents(request.Context(), run, drawn, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}, rep.software)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if drawn.brokenAfter > 0 {
		m.recordShown()
		panic(http.ErrAbortHandler)
	}
}

// recordShown records that a framed answer is closed short.
func (m *endStopsMeasurement) recordShown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shown++
	if m.firstShownAt.IsZero() {
		m.firstShownAt = time.Now()
	}
}

// isStream reports whether a path is one of a measured stream.
func (m *endStopsMeasurement) isStream(path string) bool {
	for _, class := range endStopsClasses {
		if strings.HasPrefix(path, "/"+class+"/") {
			return true
		}
	}
	return false
}

// report tells the state of a replica.
func (m *endStopsMeasurement) report(rep *replica, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	models := "[]"
	if m.kind.engine && !(m.kind.alone && rep.host > 1) {
		models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, endStopsModel)
	}
	_, _ = fmt.Fprintf(w, `{"born":%d,"stage":"both","models":%s,"busy":false,"sequence":0,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":100000,"handles":0}`, rep.startedMs, models)
}

// answerOrder answers an order: a replica that holds the model keeps it, one that does not takes no order to load it.
func (m *endStopsMeasurement) answerOrder(rep *replica, w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	if m.kind.alone && rep.host > 1 || strings.Contains(string(body), `"unload"`) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// begin records that a run of a stream begins; the run is nil if the request names a copy that is not there or is refused
// otherwise, for the time wait if that is more than 0.
func (m *endStopsMeasurement) begin(rep *replica, request *http.Request, id string) (run *streamRun, drawn drawnStream, wait time.Duration) {
	now := time.Now()
	after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	run = &streamRun{replica: rep.id, address: rep.address, zone: zoneOf(rep.host), id: id, begunAt: now, after: after, made: after, server: rep}
	if name := request.Header.Get(headerContinue); name != "" {
		source, wait := m.copies.takeUnlessRefused(name, rep.address, id, now)
		if source == nil {
			return nil, drawnStream{}, wait
		}
		run.continued, run.overlaps = true, m.copies.isRunning(source, now)
	}
	m.copies.begin(run, request.Header.Get(headerBackup))
	m.mu.Lock()
	defer m.mu.Unlock()
	// The runs of a request are drawn from the seed and its number, whatever else runs.
	random := rand.New(rand.NewPCG(m.in.options.Seed, requestNumber(id)<<8+uint64(len(m.runs[id]))))
	drawn = m.kind.draw(random, after)
	run.unframed = drawn.unframed
	run.reset = drawn.unframed && drawn.brokenAfter == 0 && m.kind.reset == resetOnly
	m.runs[id] = append(m.runs[id], run)
	return run, drawn, 0
}

// numberedID returns the ID of the request with a number.
func numberedID(number uint64) string { return fmt.Sprintf("q%08d", number) }

// requestNumber returns the number of the request with an ID.
func requestNumber(id string) uint64 {
	number, _ := strconv.ParseUint(strings.TrimPrefix(id, "q"), 10, 64)
	return number
}

// writeUnframed writes a stream with neither a length nor chunks.
func (m *endStopsMeasurement) writeUnframed(rep *replica, w http.ResponseWriter, run *streamRun, drawn drawnStream) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		m.end(run, err)
		return
	}
	if m.kind.silent {
		defer m.strikes.ended(rep)
	}
	defer conn.Close()
	ctx, closed := context.WithCancel(context.Background())
	defer closed()
	go func() {
		_, _ = io.Copy(io.Discard, buffered)
		closed()
	}()
	head := unframedHeads[drawn.head]
	_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\n\r\n", head.status, idHeader, run.id, stampHeader, stampOf(rep.id, run.id), head.fields)
	if m.holders != nil && run.after == 0 && drawn.brokenAfter == 0 {
		go m.holders.leaveBefore(ctx, run, time.Duration(m.kind.events()-1)*drawn.pause)
	}
	err = m.writeEvents(ctx, run, drawn, func(event string) error {
		_, err := io.WriteString(conn, event)
		return err
	}, rep.software)
	if err == nil && drawn.brokenAfter == 0 {
		resetEnd(conn, m.kind.reset)
	}
	rep.pause.wait()
}

// resetEnd prepares a connection whose last event was written for the reset that its close shall be.
func resetEnd(conn net.Conn, how endReset) {
	replicaConn, ok := conn.(*pausedConn)
	if !ok || how == "" {
		return
	}
	if how == resetAfterEnd {
		_ = replicaConn.endWriting()
	}
	time.Sleep(resetLag)
	_ = replicaConn.SetLinger(0)
}

// writeEvents writes the events of a run and records its end, which it has before its answer's. It returns what ended it early.
func (m *endStopsMeasurement) writeEvents(ctx context.Context, run *streamRun, drawn drawnStream, write func(event string) error, software string) error {
	for n := run.after + 1; n <= m.kind.events(); n++ {
		if n > run.after+1 && !waitForEvent(ctx, run, drawn.pause) {
			m.end(run, errStopped)
			return errStopped
		}
		if drawn.brokenAfter > 0 && n > drawn.brokenAfter {
			m.mu.Lock()
			run.brokeOff = true
			m.mu.Unlock()
			break
		}
		if ctx.Err() != nil {
			m.end(run, net.ErrClosed)
			return net.ErrClosed
		}
		if err := drawn.writeEvent(ctx, streamEvent(run.id, n, software), write); err != nil {
			m.end(run, err)
			return err
		}
		m.copies.wrote(run, n)
	}
	m.end(run, nil)
	return nil
}

// writeEvent writes an event, in two parts if that was drawn.
func (d drawnStream) writeEvent(ctx context.Context, event string, write func(part string) error) error {
	if !d.split {
		return write(event)
	}
	if err := write(event[:len(event)/2]); err != nil {
		return err
	}
	sleep(ctx, d.pause/4)
	return write(event[len(event)/2:])
}

var errStopped = errors.New("the run was stopped")

// waitForEvent waits for the next event of a run; it reports false once the run is stopped.
func waitForEvent(ctx context.Context, run *streamRun, pause time.Duration) bool {
	select {
	case <-run.stop:
		return false
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return true
}

// end records that a run has ended; err is what cut it off.
func (m *endStopsMeasurement) end(run *streamRun, err error) {
	m.mu.Lock()
	now := time.Now()
	run.endedAt, run.cut = now, err != nil
	run.whole = err == nil && !run.brokeOff
	run.died = err != nil && run.server != nil && run.server.goneBy(now)
	m.mu.Unlock()
	m.copies.end(run, now)
}
