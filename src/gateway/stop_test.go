package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
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
