package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
)

// TestRequestsOnTheirWayAtAStopAreAnswered: the process ended while requests were being read.
func TestRequestsOnTheirWayAtAStopAreAnswered(t *testing.T) {
	const (
		text = "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"
		sent = 9 // bytes before the stop
	)
	for _, c := range []struct {
		name string
		// used is set if the connection was used before.
		used bool
	}{
		{"a kept connection", true},
		{"a new connection", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestGateway(t)
			b.server.settings.BalancerLag = config.Duration(10 * time.Millisecond)
			b.server.settings.DrainLimit = config.Duration(20 * time.Second)
			proc, err := process.New("gateway", option.Common{Node: "e1", Log: option.LogSetting{Level: "error"}, Events: 16}, nil)
			is.NoErr(err)
			conn, err := net.Dial("tcp", b.address)
			is.NoErr(err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			answered := func() {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			if c.used {
				_, err = io.WriteString(conn, text)
				is.NoErr(err)
				answered()
			}
			_, err = io.WriteString(conn, text[:sent])
			is.NoErr(err)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				b.server.stop(proc)
			}()
			time.Sleep(700 * time.Millisecond)
			select {
			case <-stopped: // the process has ended
				t.Fatal("the request was dropped")
			default:
			}
			_, err = io.WriteString(conn, text[sent:])
			is.NoErr(err)
			answered()
			<-stopped
		})
	}
}

// TestARequestThatMayOutlastTheStopIsRefusedUnsent: it was passed on late in the stop, and cut off without an answer at its
// end.
func TestARequestThatMayOutlastTheStopIsRefusedUnsent(t *testing.T) {
	for name, c := range map[string]struct {
		deadline string
		want     int
	}{
		"no deadline":                     {"", http.StatusServiceUnavailable},
		"a deadline after the stop's end": {engine.HeaderDeadline + ": 5000\r\n", http.StatusServiceUnavailable},
		"a deadline before it":            {engine.HeaderDeadline + ": 300\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestGateway(t)
			b.server.settings.BalancerLag = config.Duration(10 * time.Millisecond)
			b.server.settings.DrainLimit = config.Duration(1200 * time.Millisecond)
			proc, err := process.New("gateway", option.Common{Node: "e1", Log: option.LogSetting{Level: "error"}, Events: 16}, nil)
			is.NoErr(err)
			var calls atomic.Int64
			b.fakeHost("h1", func(h *server.Hertz) {
				h.POST("/late", countCalls(&calls, func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") }))
			})
			conn, err := net.Dial("tcp", b.address)
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /services/desk/late HTTP/1.1\r\nHost: a\r\n"+c.deadline+"Content-Length: 4\r\n\r\nfo")
			is.NoErr(err)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				b.server.stop(proc)
			}()
			time.Sleep(800 * time.Millisecond)
			_, err = io.WriteString(conn, "rm")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.want)
			is.Equal(calls.Load() == 1, c.want == http.StatusOK)
			is.Equal(strings.Contains(string(body), `"not_run":true`), c.want != http.StatusOK)
			<-stopped
		})
	}
}
