package gateway

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// lingerConn is a connection whose close can be set to reset it, as *net.TCPConn.
type lingerConn interface {
	SetLinger(seconds int) error
}

// Values for lingerConn.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// clientConnKey is the key of the client's connection in the context of a request.
type clientConnKey struct{}

// withClientConn makes the connections of a server known to its handlers.
func withClientConn(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), clientConnKey{}, conn)
}

// unframedWriter writes a response with neither a length nor chunks, which ends with its connection.
// The body of a backend server's answer whose end is known in no other way is passed on like this: a
// length would state that it is complete.
type unframedWriter struct {
	response *protocol.Response
	// conn is the client's connection, nil if it is not known.
	conn    lingerConn
	out     network.Writer
	body    []byte
	written bool
}

// writeUnframed sets the body of a response that ends with its connection.
func writeUnframed(ctx context.Context, c *app.RequestContext, body []byte) {
	conn, _ := ctx.Value(clientConnKey{}).(lingerConn)
	c.Response.HijackWriter(&unframedWriter{response: &c.Response, conn: conn, out: c.GetWriter(), body: body})
	c.Response.Header.SetConnectionClose(true)
}

// Write adds to the body.
func (w *unframedWriter) Write(p []byte) (int, error) {
	w.body = append(w.body, p...)
	return len(p), nil
}

// Flush does nothing; the response is sent as a whole.
func (w *unframedWriter) Flush() error { return nil }

// Finalize sends the response once. Until all of it is sent, whatever closes the connection resets it: the
// kernel closes the connections of a process that has ended in order.
func (w *unframedWriter) Finalize() error {
	if w.written {
		return nil
	}
	w.written = true
	w.setLinger(lingerReset)
	if err := resp.WriteHeader(&w.response.Header, w.out); err != nil {
		return err
	}
	if _, err := w.out.WriteBinary(w.body); err != nil {
		return err
	}
	if err := w.out.Flush(); err != nil {
		return err
	}
	w.setLinger(lingerDefault)
	return nil
}

func (w *unframedWriter) setLinger(seconds int) {
	if w.conn != nil {
		_ = w.conn.SetLinger(seconds)
	}
}
