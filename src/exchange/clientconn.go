package exchange

import (
	"context"
	"net"
	"net/http"
	"time"
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

// The wait of a request that counts: in the listener, or in the socket of its connection, for a process that stood
// still or is busy.
const (
	// minSocketWait is longer than the ticks in which kernels measure it.
	minSocketWait = 20 * time.Millisecond
	maxSocketWait = 10 * time.Second
)

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

// ConnContext makes the connections of a server known to the handler; each http.Server that serves it
// needs it as its ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// socketState is what the kernel tells of a connection. The zero value stands for what it does not tell.
type socketState struct {
	// sinceArrival is how long ago the last data reached this host.
	sinceArrival time.Duration
	// closed is set once the other end has closed it, whether or not all data was read.
	closed bool
}

// socket returns the state of a client's connection.
func (h *Handler) socket(ctx context.Context) socketState {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return socketState{}
	}
	return h.examineSocket(conn)
}

// arrivedAt returns when the head of a request that is read now has reached this host at the latest: when the last data
// did that has come of the request.
func (s *socketState) arrivedAt(now time.Time) time.Time {
	if s.sinceArrival < minSocketWait || s.sinceArrival > maxSocketWait {
		return now
	}
	return now.Add(-s.sinceArrival)
}

// setLinger sets what a close of the client's connection does.
func (c *call) setLinger(seconds int) {
	if tcp, ok := c.request.Context().Value(connKey{}).(lingerConn); ok {
		_ = tcp.SetLinger(seconds)
	}
}

// guardClose makes whatever closes the client's connection from now on reset it, if its close would look
// like the end of the response. That includes the kernel, should this process end.
func (c *call) guardClose() {
	if c.framing == framedByClose {
		c.setLinger(lingerReset)
	}
}

// completeResponse lets the client's connection be closed in order after the whole response was written.
func (c *call) completeResponse() {
	if c.framing != framedByClose {
		return
	}
	if http.NewResponseController(c.writer).Flush() == nil {
		c.setLinger(lingerDefault)
	}
}

// resetConnection resets the client's connection.
func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.writer).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(lingerConn); ok {
		_ = tcp.SetLinger(lingerReset)
	}
	_ = conn.Close()
}
