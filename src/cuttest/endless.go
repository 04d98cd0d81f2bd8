package cuttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessBytes is what an endless server sends at most for a request, so that a test of a reader without limits ends.
const endlessBytes = 128 << 20

// Endless is an answer that does not end: a text, then another one again and again until the connection is
// closed.
type Endless struct{ Name, First, Repeated string }

// EndlessHeads returns answers that do not end before their body.
func EndlessHeads() []Endless {
	return []Endless{
		{"status line", "", "x"},
		{"header field", "HTTP/1.1 200 OK\r\nField: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
}

// EndlessBodies returns answers with a status and fields whose body does not end, in each framing and in the places
// of chunks beside their data.
func EndlessBodies(status, fields, content string) []Endless {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	head := "HTTP/1.1 " + status + "\r\n" + fields
	return []Endless{
		{"length", head + "Content-Length: 1000000000000\r\n\r\n", content},
		{"neither length nor chunks", head + "\r\n", content},
		{"one chunk", head + chunked + "ffffffffff\r\n", content},
		{"chunks", head + chunked, "400\r\n" + strings.Repeat("\n", 1024) + "\r\n"},
		{"spaces after the size of a chunk", head + chunked + "1", " "},
		{"chunk extension", head + chunked + "1;", "x"},
		{"trailer", head + chunked + "0\r\n", "Field: x\r\n"},
		{"trailer field", head + chunked + "0\r\nField: ", "x"},
	}
}

// EndlessServer gives one answer that does not end to each request.
type EndlessServer struct {
	Address string

	sent     atomic.Int64
	requests atomic.Int64
}

// NewEndlessServer starts a server. It stops when the test ends.
func NewEndlessServer(t testing.TB, answer Endless) *EndlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &EndlessServer{Address: listener.Addr().String()}
	// Converted once: the copies of each write would count as memory of the reader.
	repeated := []byte(strings.Repeat(answer.Repeated, 1+(16<<10)/len(answer.Repeated)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer.First, repeated)
		}
	}()
	return s
}

// Sent returns the bytes that were sent to all clients.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Requests returns how many requests have arrived.
func (s *EndlessServer) Requests() int64 { return s.requests.Load() }

func (s *EndlessServer) serve(conn net.Conn, first string, repeated []byte) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	n, err := io.WriteString(conn, first)
	s.sent.Add(int64(n))
	for sent := 0; sent < endlessBytes && err == nil; sent += n {
		n, err = conn.Write(repeated)
		s.sent.Add(int64(n))
	}
}

// Allocated returns the bytes that the process allocates while a function runs.
func Allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
