package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// pausedListener accepts no connections while its replica is paused.
type pausedListener struct {
	*net.TCPListener
	pause *pause
	// arrived is told the ID of each request and when its bytes arrived.
	arrived func(id string, at time.Time)
	conns   *openConns
}

// Accept waits for the next connection and for the end of a pause.
func (l pausedListener) Accept() (net.Conn, error) {
	l.pause.waitToAccept()
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.pause.waitToAccept()
	if l.pause.isKilled() {
		l.readUnread(conn.(*net.TCPConn))
		return nil, net.ErrClosed
	}
	paused := &pausedConn{Conn: conn, pause: l.pause, arrived: l.arrived, conns: l.conns}
	paused.held.Store(l.pause.endedWithin(acceptTime))
	l.conns.add(paused)
	return paused, nil
}

// pausedConn reads and writes nothing while its replica is paused.
type pausedConn struct {
	net.Conn
	pause   *pause
	arrived func(id string, at time.Time)
	conns   *openConns
	// arrivedAt is when the last request arrived, which the replica may have read later.
	arrivedAt atomic.Pointer[time.Time]
	// lastID is the ID of that request.
	lastID string
	// held is set once a pause held up bytes that were not taken for a request yet.
	held atomic.Bool
}

// Read returns what has arrived after the end of a pause. That it arrived is known at once.
func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// The server ends its look for further bytes after each request.
		return n, err
	}
	if id := requestID(c.withUnread(p[:n])); id != "" && id != c.lastID {
		c.lastID = id
		at := lastArrival(c.Conn)
		c.arrivedAt.Store(&at)
		c.arrived(id, at)
		if c.pause.activeAt(at) {
			c.held.Store(true)
		}
	}
	held := c.pause.wait()
	if c.pause.isKilled() {
		return 0, net.ErrClosed
	}
	if n > 0 && held {
		c.held.Store(true)
	}
	return n, err
}

// withUnread returns what was read together with what has arrived beyond it: the server may read a request's first
// byte alone.
func (c *pausedConn) withUnread(read []byte) []byte {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || len(read) == 0 {
		return read
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return read
	}
	buffer, n := make([]byte, 4<<10), 0
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return append(bytes.Clone(read), buffer[:max(n, 0)]...)
}

// Write writes after the end of a pause.
func (c *pausedConn) Write(p []byte) (int, error) {
	c.pause.wait()
	if c.pause.isKilled() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close closes the connection, also during a pause.
func (c *pausedConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// endWriting ends what the replica sends in order; the connection stays open.
func (c *pausedConn) endWriting() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// requestID returns the ID of the request that begins in what was read, "" if there is none.
func requestID(read []byte) string {
	_, rest, _ := bytes.Cut(read, []byte("\r\n"+idHeader+": "))
	id, _, whole := bytes.Cut(rest, []byte("\r\n"))
	if !whole {
		return ""
	}
	return string(id)
}

// readQueue reads what waits in the queue of connections that are not accepted yet, for a replica that ends.
func (l pausedListener) readQueue() {
	_ = l.SetDeadline(time.Now().Add(queueReadTime))
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		l.readUnread(conn)
	}
}

// readUnread reads what has arrived on a connection of a replica that ends, and closes it.
func (l pausedListener) readUnread(conn *net.TCPConn) {
	defer conn.Close()
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	buffer, n := make([]byte, 4<<10), 0
	_ = raw.Read(func(fd uintptr) bool {
		n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
		return true
	})
	if id := requestID(buffer[:max(n, 0)]); id != "" {
		l.arrived(id, lastArrival(conn))
	}
}

// SetLinger sets what becomes of unsent bytes when the connection is closed.
func (c *pausedConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// arrivalOf returns when a request reached the replica's host.
func arrivalOf(request *http.Request) time.Time {
	conn, ok := request.Context().Value(connKey{}).(*pausedConn)
	if !ok {
		return time.Now()
	}
	if at := conn.arrivedAt.Load(); at != nil {
		return *at
	}
	return time.Now()
}

// heldByPause reports whether a pause of the replica held the request up, so that it may have been sent long
// before it was read.
func heldByPause(request *http.Request) bool {
	conn, ok := request.Context().Value(connKey{}).(*pausedConn)
	return ok && conn.held.Swap(false)
}

// queueReadTime is how long a replica that ends looks at its queue of new connections.
const queueReadTime = 10 * time.Millisecond

// acceptTime is how long after a pause a replica accepts connections that may have waited for its end.
const acceptTime = 500 * time.Millisecond

// listen listens at the replica's address for a server that the replica's pauses hold up. arrived is told the ID
// of each request that reaches the replica, also of those that it does not read.
func (rep *replica) listen(backlog int, arrived func(id string, at time.Time)) (err error) {
	rep.listener.pause, rep.listener.arrived, rep.listener.conns = rep.pause, arrived, &rep.conns
	rep.listener.TCPListener, err = listenShort(rep.address, backlog)
	return err
}

// serve answers connections with a handler until the server is closed.
func (rep *replica) serve(handler http.HandlerFunc) {
	rep.server = &http.Server{Handler: handler, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}}
	go func() { _ = rep.server.Serve(rep.listener) }()
}
