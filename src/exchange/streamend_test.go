package exchange

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// doProtocol sends a request in a protocol on a connection of its own.
func (b *bench) doProtocol(protocol string) framedResponse {
	b.t.Helper()
	conn := openRequest(b.t, b.server.Listener.Addr().String(), protocol)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return framedResponse{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return framedResponse{status: response.StatusCode, body: string(body), err: err}
}

// The host of a replica that ended closes its connections in order, and so may a faulty replica.
func TestAStreamThatEndsWithItsConnectionIsNotEndedInOrder(t *testing.T) {
	for _, c := range []struct {
		name     string
		route    catalog.Route
		protocol string
	}{
		{"may not be taken up, HTTP/1.1", route(catalog.Streaming, 1), "HTTP/1.1"},
		{"may not be taken up, HTTP/1.0", route(catalog.Streaming, 1), "HTTP/1.0"},
		{"may be taken up, HTTP/1.1", resumableRoute(2), "HTTP/1.1"},
		{"may be taken up, HTTP/1.0", resumableRoute(2), "HTTP/1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, c.route, newReplica(t, "a", unframed(200, twoEvents, false)))
			got := b.doProtocol(c.protocol)
			is.Equal(got.status, 200)
			is.True(got.err != nil)       // the stream looks complete
			is.Equal(got.body, twoEvents) // an event that came is lost
		})
	}
}
