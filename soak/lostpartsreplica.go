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

// Shares, in percent, of what servers do.
const (
	// partsRefused is the share of requests that a server refuses, partsBroken that of streams that it breaks off,
	// partsBrokenResumable that where they may be resumed, partsLate that of answers that begin late.
	partsRefused         = 2
	partsBroken          = 2
	partsBrokenResumable = 12
	partsLate            = 5
	// minLateStart and maxLateStart bound how late such an answer begins where its time allows.
	minLateStart = 300 * time.Millisecond
	maxLateStart = 2 * time.Second
	// minLateChunk and maxLateChunk bound how late a last chunk comes.
	minLateChunk = 100 * time.Millisecond
	maxLateChunk = 700 * time.Millisecond
	// earlyAnswerPercent is the share of requests with bodies over time that are answered before these are read.
	earlyAnswerPercent = 30
	// partsStalled is the share of streams that rest between two events for minStall to maxStall, up to half of their time.
	partsStalled = 4
	minStall     = time.Second
	maxStall     = 6 * time.Second
	// surplusBytes follow a whole answer, surplusTime is how long its connection stays open then.
	surplusBytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"
	surplusTime  = 300 * time.Millisecond
	// maxLateResumable is how late a stream begins, at the most, that may be resumed: later than a second attempt is made.
	maxLateResumable = 9 * time.Second
)

// answerFraming is how a server ends an answer.
type answerFraming string

const (
	framedByLength      answerFraming = "length"
	framedByChunks      answerFraming = "chunks"
	framedByLateChunk   answerFraming = "chunks, the last one late"
	framedClosing       answerFraming = "chunks, Connection: close"
	framedLengthClosing answerFraming = "length, Connection: close"
	framedSilentClose   answerFraming = "length, closed without a word"
	framedSurplus       answerFraming = "length, then bytes of no answer"
	framedByClose11     answerFraming = "neither, HTTP/1.1"
	framedByClose10     answerFraming = "neither, HTTP/1.0"
)

// framedAnswers are the framings that prove an answer's end, by their frequency.
var framedAnswers = []answerFraming{
	framedByLength, framedByLength, framedByChunks, framedByChunks, framedByChunks, framedByChunks, framedByLateChunk, framedByLateChunk,
	framedClosing, framedLengthClosing, framedSilentClose, framedSurplus,
}

// isUnframed reports whether an answer has neither a length nor chunks.
func (f answerFraming) isUnframed() bool { return f == framedByClose10 || f == framedByClose11 }

// ownsConnection reports whether an answer is written to the connection itself.
func (f answerFraming) ownsConnection() bool {
	return f.isUnframed() || f == framedSilentClose || f == framedSurplus
}

// partsRun is a run of a request at a server.
type partsRun struct {
	streamRun
	framing answerFraming
	// early is set if the answer was written before the body was read.
	early bool
	// rep is the server, nil in tests.
	rep *replica
}

// serverHasEnded reports whether the server of the run had ended or told that it did.
func (run *partsRun) serverHasEnded(at time.Time) bool { return run.rep != nil && run.rep.goneBy(at) }

// drawnAnswer is how a server answers.
type drawnAnswer struct {
	framing          answerFraming
	refuses, isEarly bool
	// brokenAfter is the event in the middle of which the answer is broken off, 0 if it is not; reset says how.
	brokenAfter int
	reset       bool
	// start is how long it takes until the answer begins, pause the time between two events, lastChunk how late the last
	// chunk comes.
	start, pause, lastChunk time.Duration
	// stall is the rest before the part with the number stallBefore, counted from 0; there is none before the first one.
	stall       time.Duration
	stallBefore int
}

// draw draws how a server answers a request after an event.
func (k partsKind) draw(random *rand.Rand, class partsClass, after int) drawnAnswer {
	d := drawnAnswer{framing: framedAnswers[random.IntN(len(framedAnswers))], refuses: random.IntN(100) < partsRefused, isEarly: random.IntN(100) < earlyAnswerPercent, reset: random.IntN(2) == 0}
	if random.IntN(100) < partsUnframed && !k.framed {
		d.framing = []answerFraming{framedByClose10, framedByClose11}[random.IntN(2)]
	}
	d.pause = drawBetween(random, class.work/3, class.work)
	d.start, d.lastChunk = d.pause, drawBetween(random, minLateChunk, maxLateChunk)
	if random.IntN(100) < partsLate {
		latest := maxLateStart
		if class.resumable {
			latest = maxLateResumable
		}
		d.start = min(drawBetween(random, minLateStart, latest), class.timeout/2)
	}
	if class.isStream() && random.IntN(100) < partsStalled {
		d.stall, d.stallBefore = min(drawBetween(random, minStall, maxStall), class.timeout/2), 1+random.IntN(class.events-1)
	}
	broken := partsBroken
	if class.resumable {
		broken = partsBrokenResumable
	}
	if class.isStream() && random.IntN(100) < broken && after < class.events {
		d.brokenAfter = after + 1 + random.IntN(class.events-after)
	}
	return d
}

// answer runs a request at a server and records the run.
func (m *partsMeasurement) answer(rep *replica, w http.ResponseWriter, request *http.Request) {
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
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"born":%d,"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":132029,"handles":0}`, rep.startedMs, endStopsModel)
		return
	case "/-/order":
		w.WriteHeader(http.StatusConflict)
		return
	case "/health":
		return
	}
	if m.copies.serve(rep.address, w, request) {
		return
	}
	class, found := partsClassOf(request.URL.Path)
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	run, drawn := m.begin(rep, class, request, id)
	if run == nil {
		refuse(w, 0)
		return
	}
	m.run(rep, class, run, drawn, w, request)
}

// begin records that a request was passed on to a server; the run is nil if the server refuses it.
func (m *partsMeasurement) begin(rep *replica, class partsClass, request *http.Request, id string) (*partsRun, drawnAnswer) {
	after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	m.mu.Lock()
	defer m.mu.Unlock()
	random := rand.New(rand.NewPCG(m.in.options.Seed, requestNumber(id)<<8+uint64(m.arrivals[id])))
	m.arrivals[id]++
	drawn := m.kind.draw(random, class, after)
	if drawn.refuses {
		return nil, drawn
	}
	run := &partsRun{rep: rep, framing: drawn.framing, streamRun: streamRun{replica: rep.id, address: rep.address, zone: zoneOf(rep.host), id: id, begunAt: time.Now(), after: after, made: after, unframed: drawn.framing.isUnframed()}}
	if name := request.Header.Get(headerContinue); name != "" {
		source := m.copies.take(name, rep.address, id, run.begunAt)
		if source == nil {
			return nil, drawn
		}
		run.continued, run.overlaps = true, m.copies.isRunning(source, run.begunAt)
	}
	if class.isStream() {
		m.copies.begin(&run.streamRun, request.Header.Get(headerBackup))
	}
	run.early = drawn.isEarly && request.Header.Get(bodySizeHeader) != "" && !drawn.framing.ownsConnection()
	m.runs[id] = append(m.runs[id], run)
	return run, drawn
}

var errServerBreaksOff = errors.New("the server breaks its answer off")

// run answers a request and records how the run ended.
func (m *partsMeasurement) run(rep *replica, class partsClass, run *partsRun, drawn drawnAnswer, w http.ResponseWriter, request *http.Request) {
	if run.early {
		_ = http.NewResponseController(w).EnableFullDuplex()
	} else if _, err := io.ReadAll(request.Body); err != nil {
		m.end(run, err)
		return
	}
	body := class.answerOf(run.id, run.after)
	total := len(strings.Join(body, ""))
	out, err := m.open(rep, run, drawn, total, w, request)
	if err != nil {
		m.end(run, err)
		return
	}
	defer out.close()
	err = m.write(out, class, run, drawn, body)
	if err == nil && run.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if err == nil && run.framing == framedByLateChunk {
		sleep(out.ctx, drawn.lastChunk)
		if out.ctx.Err() != nil {
			err = net.ErrClosed
		}
	}
	m.end(run, err)
	if err != nil && !drawn.framing.ownsConnection() {
		panic(http.ErrAbortHandler)
	}
}

// answerOf returns the parts of the whole answer to a request, after an event.
func (c partsClass) answerOf(id string, after int) []string {
	if !c.isStream() {
		return []string{id + ":done"}
	}
	var events []string
	for n := after + 1; n <= c.events; n++ {
		events = append(events, streamEvent(id, n, "v1"))
	}
	return events
}

// partsOutput is where a run writes its answer.
type partsOutput struct {
	ctx   context.Context
	write func(text string) error
	// reset makes close reset the connection, where the run owns it.
	reset func()
	close func()
}

// open begins an answer of a length, whose head goes out with its first part.
func (m *partsMeasurement) open(rep *replica, run *partsRun, drawn drawnAnswer, total int, w http.ResponseWriter, request *http.Request) (*partsOutput, error) {
	if drawn.framing.ownsConnection() {
		return m.openConnection(rep, run, drawn, total, w)
	}
	w.Header().Set(stampHeader, stampOf(rep.id, run.id))
	w.Header().Set("Content-Type", "text/event-stream")
	switch drawn.framing {
	case framedByLength:
		w.Header().Set("Content-Length", strconv.Itoa(total))
	case framedLengthClosing:
		w.Header().Set("Content-Length", strconv.Itoa(total))
		w.Header().Set("Connection", "close")
	case framedClosing:
		w.Header().Set("Connection", "close")
	}
	write := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	return &partsOutput{ctx: request.Context(), write: write, reset: func() {}, close: func() {}}, nil
}

// openConnection begins an answer that its run writes to the connection itself.
func (m *partsMeasurement) openConnection(rep *replica, run *partsRun, drawn drawnAnswer, total int, w http.ResponseWriter) (*partsOutput, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	ctx, closed := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, buffered)
		closed()
	}()
	version, length := "1.1", ""
	if drawn.framing == framedByClose10 {
		version = "1.0"
	}
	if !drawn.framing.isUnframed() {
		length = fmt.Sprintf("Content-Length: %d\r\n", total)
	}
	head := fmt.Sprintf("HTTP/%s 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", version, idHeader, run.id, stampHeader, stampOf(rep.id, run.id), length)
	write := func(text string) error {
		_, err := io.WriteString(conn, head+text)
		head = ""
		return err
	}
	reset := func() {
		if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0)
		}
	}
	return &partsOutput{ctx: ctx, write: write, reset: reset, close: func() {
		if drawn.framing == framedSurplus && run.whole {
			_, _ = io.WriteString(conn, surplusBytes)
			time.Sleep(surplusTime)
		}
		_ = conn.Close()
		closed()
	}}, nil
}

// write writes the parts of an answer, and breaks it off inside an event if that was drawn.
func (m *partsMeasurement) write(out *partsOutput, class partsClass, run *partsRun, drawn drawnAnswer, parts []string) error {
	pause := drawn.start
	if len(parts) == 0 {
		return out.write("")
	}
	for i, part := range parts {
		if !m.waitForPart(out.ctx, class, run, pause) {
			return errStopped
		}
		if out.ctx.Err() != nil {
			return net.ErrClosed
		}
		if pause = drawn.pause; i+1 == drawn.stallBefore {
			pause = drawn.stall
		}
		if number := run.after + i + 1; class.isStream() && number == drawn.brokenAfter {
			_ = out.write(part[:len(part)/2])
			if drawn.reset {
				out.reset()
			}
			return errServerBreaksOff
		}
		if err := out.write(part); err != nil {
			return err
		}
		if class.isStream() {
			m.copies.wrote(&run.streamRun, run.after+i+1)
		}
	}
	return nil
}

// waitForPart waits for the next part of an answer; it reports false once the run is stopped.
func (m *partsMeasurement) waitForPart(ctx context.Context, class partsClass, run *partsRun, pause time.Duration) bool {
	if class.isStream() {
		return waitForEvent(ctx, &run.streamRun, pause)
	}
	sleep(ctx, pause)
	return true
}

// end records that a run has ended; err is what ended it early.
func (m *partsMeasurement) end(run *partsRun, err error) {
	m.mu.Lock()
	now := time.Now()
	run.endedAt, run.whole = now, err == nil
	run.brokeOff = errors.Is(err, errServerBreaksOff)
	run.cut = err != nil && !run.brokeOff
	m.mu.Unlock()
	if run.stop != nil {
		m.copies.end(&run.streamRun, now)
	}
}
