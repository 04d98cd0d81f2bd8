package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/registry"
)

const (
	// endlessBytes is what an endless sender sends at most, so that a test without limits ends.
	endlessBytes = 64 << 20
	// maxEndlessAllocs is what the process may allocate, and maxEndlessSent what a sender may get rid
	// of, before its connection is closed: a few times the largest body that is kept.
	maxEndlessAllocs = 8 * maxBufferedBytes
	maxEndlessSent   = 16 * maxBufferedBytes
)

// endless sends a text, then another one again and again until the connection is closed. It returns
// the number of bytes sent.
func (a arrival) endless(first, repeated string) int {
	sent, _ := io.WriteString(a.conn, first)
	// Converted once: the copies of each write would count as memory of the gateway.
	data := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	for sent < endlessBytes {
		n, err := a.conn.Write(data)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// endlessHead is a response of a replica that does not end before its body, or that belongs to no
// request.
type endlessHead struct {
	name            string
	first, repeated string
}

// endlessHeads lists the places before the body of a response.
var endlessHeads = []endlessHead{
	{"status line", "", "x"},
	{"header field", "HTTP/1.1 200 OK\r\nField: ", "x"},
	{"header fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n"},
	{"folded header field", "HTTP/1.1 200 OK\r\nField: x\r\n", " x\r\n"},
	{"header fields of an interim response", "HTTP/1.1 103 Early Hints\r\n", "Field: x\r\n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"late response", "HTTP/1.1 200 OK\r\n" + testID + ": other\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
}

// allocated returns the bytes that the process allocates while a function runs.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestHeadsWithoutEndAreCutOff: a replica that sent a head without end took a gateway over its memory. The
// connection is closed at a limit; a request that may be repeated is served by another replica, one that
// may not gets its failure, which does not state that it has not run.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	for _, endless := range endlessHeads {
		t.Run(endless.name, func(t *testing.T) {
			testEndlessHead(t, endless, catalog.Safe, http.StatusOK)
			testEndlessHead(t, endless, catalog.Unsafe, http.StatusBadGateway)
		})
	}
}

func testEndlessHead(t *testing.T, endless endlessHead, kind catalog.Kind, want int) {
	is := is.New(t)
	sent := make(chan int, 4)
	faulty := newReplica(t, "faulty", func(a arrival) bool {
		sent <- a.endless(endless.first, endless.repeated)
		return false
	})
	b := newBench(t, route(kind, 2), faulty)
	sound := newReplica(t, "sound", whole)
	if kind == catalog.Safe {
		b.register(faulty, sound)
	}
	// The faulty replica is chosen for one of two requests at the latest.
	for i := 0; faulty.count() == 0; i++ {
		is.True(i < 50)
		var got clientResponse
		allocs := allocated(func() { got = b.do("POST", fmt.Sprint("request-", i), "x") })
		is.Equal(got.status, want)
		if allocs > maxEndlessAllocs {
			t.Errorf("%v: %d bytes allocated, %d are allowed", kind, allocs, maxEndlessAllocs)
		}
	}
	if n := <-sent; n > maxEndlessSent {
		t.Errorf("%v: %d bytes sent, %d are allowed", kind, n, maxEndlessSent)
	}
	is.True(b.fleet.Peer("faulty").loadEstimate(b.handler.options.Now()).ejected)
	is.Equal(len(b.handler.crashDetector.candidates), 0) // no evidence of a crash
}

// TestStartReportsWithoutEndAreCutOff: the question for a replica's start is asked in the middle of a
// stream, and read its response without a limit as well. A report that was cut at its limit was taken for
// a whole one, and its rest for the response to the request that follows on the connection.
func TestStartReportsWithoutEndAreCutOff(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"
	for _, endless := range append([]endlessHead{{"report", start, " "}, {"report after its start", start + "1234", " "}}, endlessHeads...) {
		t.Run(endless.name, func(t *testing.T) {
			is := is.New(t)
			here, there := net.Pipe()
			defer here.Close()
			a := arrival{conn: there}
			go func() {
				defer there.Close()
				_, _ = http.ReadRequest(bufio.NewReader(there))
				a.endless(endless.first, endless.repeated)
			}()
			codec := testCodec()
			codec.Start.Parse = func(status int, body []byte) (int64, bool) {
				ms, err := strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
				return ms, err == nil && status == http.StatusOK
			}
			var err error
			allocs := allocated(func() {
				_, err = newConn(here).askStart(&codec, newPeer(registry.Record{}, Dial), time.Now().Add(time.Minute))
			})
			var tooLong *LimitError
			is.True(errors.As(err, &tooLong))
			if allocs > maxEndlessAllocs {
				t.Errorf("%d bytes allocated, %d are allowed", allocs, maxEndlessAllocs)
			}
		})
	}
}

// TestInterimResponsesAreLimited: a replica that went on sending interim responses held a request until its
// deadline, though other replicas were idle.
func TestInterimResponsesAreLimited(t *testing.T) {
	is := is.New(t)
	after := func(interim int) behaviour {
		return func(a arrival) bool {
			_, _ = io.WriteString(a.conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", interim))
			return whole(a)
		}
	}
	x := newReplica(t, "x", after(maxInterimResponses))
	b := newBench(t, route(catalog.Unsafe, 1), x)
	is.Equal(b.do("POST", "one", "x").status, http.StatusOK)
	x.setAct(after(maxInterimResponses + 1))
	is.Equal(b.do("POST", "two", "x").status, http.StatusBadGateway)
}

// TestLateResponsesAreSkippedUpToALimit: a late response of any length was read to its end.
func TestLateResponsesAreSkippedUpToALimit(t *testing.T) {
	is := is.New(t)
	after := func(late int) behaviour {
		return func(a arrival) bool {
			_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: %d\r\n\r\n%s", testID, late, strings.Repeat("x", late))
			return whole(a)
		}
	}
	x := newReplica(t, "x", after(maxLateBytes))
	b := newBench(t, route(catalog.Unsafe, 1), x)
	is.Equal(b.do("POST", "one", "x").body, "answer to one by x")
	x.setAct(after(maxLateBytes + 1))
	is.Equal(b.do("POST", "two", "x").status, http.StatusBadGateway)
}

// rejecting states that the request has not run and sends a body that is shorter than stated.
func rejecting(length, sent int) behaviour {
	return func(a arrival) bool {
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", testID, a.name(), testNotRun, length, strings.Repeat("x", sent))
		return true
	}
}

// TestRejectionsBodyIsReadUpToALimit: a connection was used again although the body of a rejection had not
// been read to its end, so that its rest would be taken for the response to the next request.
func TestRejectionsBodyIsReadUpToALimit(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", rejecting(2*maxRejectionBytes, maxRejectionBytes))
	b := newBench(t, route(catalog.Unsafe, 1), x)
	is.Equal(b.do("POST", "one", "x").status, http.StatusServiceUnavailable)
	x.setAct(whole)
	is.Equal(b.do("POST", "two", "x").status, http.StatusOK)
	is.Equal(x.last().number, 1)
}

// TestRejectionWhoseBodyDoesNotArriveHoldsNoRequest: a request waited until its deadline for the body of a
// rejection, and had no time left for another replica.
func TestRejectionWhoseBodyDoesNotArriveHoldsNoRequest(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", rejecting(10, 5))
	y := newReplica(t, "y", rejecting(10, 5))
	b := newBench(t, route(catalog.Unsafe, 2), x, y)
	x.setAct(func(a arrival) bool {
		y.setAct(whole)
		return rejecting(10, 5)(a)
	})
	y.setAct(func(a arrival) bool {
		x.setAct(whole)
		return rejecting(10, 5)(a)
	})
	is.Equal(b.do("POST", "one", "x").status, http.StatusOK)
}

// endlessBody is a response of a replica with a body that does not end.
type endlessBody struct {
	name string
	kind catalog.Kind
	// fields are the status and the header fields after the ID of the request.
	status          int
	fields          string
	first, repeated string
	// want is the status that a client gets if no other replica may be tried, 0 for a response that
	// breaks off. elsewhere is set if another replica may be tried.
	want      int
	elsewhere bool
}

const (
	endlessLength = "Content-Length: 1000000000000\r\n"
	chunkedBody   = "Transfer-Encoding: chunked\r\n"
	endlessChunk  = "ffffffffff\r\n"
	eventType     = "Content-Type: text/event-stream\r\n"
)

// endlessBodies lists the kinds of bodies and the places within them.
var endlessBodies = []endlessBody{
	{"success with a length", catalog.Unsafe, 200, endlessLength, "", "x", 200, false},
	{"success without a length", catalog.Unsafe, 200, "", "", "x", 200, false},
	{"success in one chunk", catalog.Unsafe, 200, chunkedBody, endlessChunk, "x", 200, false},
	{"success in chunks", catalog.Unsafe, 200, chunkedBody, "", "10\r\n0123456789abcdef\r\n", 200, false},
	{"chunk extension", catalog.Unsafe, 200, chunkedBody, "1;", "x", 502, true},
	{"trailer", catalog.Unsafe, 200, chunkedBody, "0\r\n", "Field: x\r\n", 502, true},
	{"failure with a length", catalog.Unsafe, 500, endlessLength, "", "x", 500, false},
	{"failure without a length", catalog.Unsafe, 500, "", "", "x", 500, false},
	{"failure in one chunk", catalog.Unsafe, 500, chunkedBody, endlessChunk, "x", 500, false},
	{"rejection", catalog.Unsafe, 503, testNotRun + ": 1\r\n" + endlessLength, "", "x", 503, true},
	{"rejection without a length", catalog.Unsafe, 503, testNotRun + ": 1\r\n", "", "x", 503, true},
	{"event", catalog.Streaming, 200, eventType + endlessLength, "data: ", "x", 502, true},
	{"lines of an event", catalog.Streaming, 200, eventType + endlessLength, "", "data: x\n", 502, true},
	{"comments", catalog.Streaming, 200, eventType + endlessLength, "", ": x\n", 502, true},
	{"events", catalog.Streaming, 200, eventType + endlessLength, "", "data: x\n\n", 200, false},
	{"body of a stream that is none", catalog.Streaming, 200, "Content-Type: text/plain\r\n" + endlessLength, "", "x", 200, false},
}

// TestBodiesWithoutEndTakeLittleMemory lists what becomes of a body that does not end, by its kind and the
// place. What is passed on ends with the client's patience, and takes no memory.
func TestBodiesWithoutEndTakeLittleMemory(t *testing.T) {
	for _, body := range endlessBodies {
		t.Run(body.name, func(t *testing.T) {
			is := is.New(t)
			faulty := newReplica(t, "faulty", func(a arrival) bool {
				head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s\r\n", body.status, testID, a.name(), body.fields)
				a.endless(head+body.first, body.repeated)
				return false
			})
			b := newBench(t, route(body.kind, 1), faulty)
			before, held := liveBytes(), uint64(0)
			status := b.readPart("alone", func() { held = liveBytes() })
			is.Equal(status, body.want)
			if held > before+maxEndlessAllocs {
				t.Errorf("%d bytes are held, %d are allowed", held-before, maxEndlessAllocs)
			}
			b.awaitNothingRetained()
			if !body.elsewhere {
				return
			}
			repeatable := route(body.kind, 2)
			repeatable.Resumable = body.kind == catalog.Streaming
			if body.kind == catalog.Unsafe && body.status == http.StatusOK {
				repeatable.Kind = catalog.Safe
			}
			b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{repeatable}, Services: testServices()}))
			b.register(faulty, newReplica(t, "sound", whole))
			for i := range 4 {
				is.Equal(b.readPart(fmt.Sprint("request-", i), func() {}), http.StatusOK)
			}
		})
	}
}

// awaitNothingRetained waits until a gateway counts no bytes as buffered: its requests end after their clients
// have closed.
func (b *bench) awaitNothingRetained() {
	b.t.Helper()
	counted := func() int64 { return b.handler.retention.used.Load() }
	for wait := 0; counted() != 0 && wait < 10_000; wait++ {
		time.Sleep(time.Millisecond)
	}
	if counted() != 0 {
		b.t.Errorf("%d bytes are counted as buffered after the last request", counted())
	}
}

// liveBytes returns the bytes that the process holds.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// readPart sends a request, reads the start of its response, calls a function before it closes the connection
// and returns the status.
func (b *bench) readPart(id string, meanwhile func()) int {
	request, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", strings.NewReader("x"))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(testID, id)
	response, err := b.server.Client().Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, 4*maxBufferedBytes)
	meanwhile()
	return response.StatusCode
}

// TestWhatReplicasSendTakesLittleMemoryInTheEvents: the latest events kept up to 128 KB of each head that was no answer.
func TestWhatReplicasSendTakesLittleMemoryInTheEvents(t *testing.T) {
	const events, maxHeld = 512, 8 << 20
	long := strings.Repeat("\x01", 30_000)
	for name, head := range map[string]string{
		"status line":   long + "\r\n\r\n",
		"header line":   "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"reason phrase": "HTTP/1.1 503 " + strings.Repeat("x", 30_000) + "\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n",
		"failure":       "HTTP/1.1 500 " + strings.Repeat("x", 30_000) + "\r\nContent-Length: 0\r\n\r\n",
		"chunk":         "HTTP/1.1 200 OK\r\n" + chunkedBody + "\r\n" + strings.Repeat("x", 4000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newReplica(t, "x", func(a arrival) bool {
				_, _ = io.WriteString(a.conn, head)
				return false
			})
			b := newBench(t, route(catalog.Unsafe, 1), x)
			ring := event.NewRing("g", events, nil, time.Now)
			b.handler.options.Ring = ring
			before := liveBytes()
			for ring.Last() < events {
				is.True(b.do("POST", "one", "x").status >= http.StatusInternalServerError)
			}
			b.awaitHandlers()
			if held := int64(liveBytes()) - int64(before); held > maxHeld {
				t.Errorf("%d events hold %d KB, %d are allowed", events, held>>10, maxHeld>>10)
			}
			runtime.KeepAlive(ring)
		})
	}
}
