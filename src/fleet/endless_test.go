package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/exchange"
)

const (
	// endlessBytes is what an endless sender sends at most, so that a test without limits ends.
	endlessBytes = 64 << 20
	// maxEndlessAllocs allows for a body at its limit and its decoded form.
	maxEndlessAllocs = 32 * maxOrderBodyBytes
)

// serveEndless accepts a connection and answers its request with a text, then with another one again and
// again until the connection is closed.
func serveEndless(listener net.Listener, first, repeated string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	sent, _ := io.WriteString(conn, first)
	repeated = strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	for sent < endlessBytes {
		n, err := io.WriteString(conn, repeated)
		sent += n
		if err != nil {
			return
		}
	}
}

// TestResponsesToControlNodesAreLimited: a replica that sent a report or a head without end took a control node
// over its memory.
func TestResponsesToControlNodesAreLimited(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name            string
		first, repeated string
		// reported is set if the limit is this project's and not the HTTP library's.
		reported bool
	}{
		{"status line", "", "x", true},
		{"header field", "HTTP/1.1 200 OK\r\nField: ", "x", true},
		{"header fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n", true},
		{"header fields of an interim response", "HTTP/1.1 103 Early Hints\r\n", "Field: x\r\n", true},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", " ", true},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n[", "[],", true},
		{"body of names", "HTTP/1.1 200 OK\r\n\r\n[\"", "\",\"", true},
		{"body of one name", "HTTP/1.1 200 OK\r\n\r\n[\"", "x", true},
		{"body of a failure", "HTTP/1.1 503 X\r\n\r\n", "x", true},
		{"chunks", chunked, "1\r\n \r\n", true},
		{"chunk extension", chunked + "1;", "x", false},
		{"trailer", chunked + "0\r\n", "Field: x\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go serveEndless(listener, c.first, c.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var reported []string
			client := orderClient(func(address string, err *exchange.LimitError) { reported = append(reported, address) })
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
			is.NoErr(err)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := client.Do(request)
			if err == nil {
				var decoded any
				is.True(json.NewDecoder(response.Body).Decode(&decoded) != nil)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(response.Body.Close())
			}
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			if allocs := after.TotalAlloc - before.TotalAlloc; allocs > maxEndlessAllocs {
				t.Errorf("%d bytes allocated, %d are allowed", allocs, maxEndlessAllocs)
			}
			is.Equal(len(reported) == 1, c.reported)
			if c.reported {
				is.Equal(reported[0], listener.Addr().String())
			}
		})
	}
}

// TestALongReportIsReadWhole: a report may be far longer than usual.
func TestALongReportIsReadWhole(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	body := strings.Repeat("x", maxOrderBodyBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	client := orderClient(func(_ string, err *exchange.LimitError) { t.Error(err) })
	for range 3 { // on one connection
		response, err := client.Get("http://" + listener.Addr().String())
		is.NoErr(err)
		read, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(string(read) == body)
		is.NoErr(response.Body.Close())
	}
}
