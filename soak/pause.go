package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// pause holds up what a replica does, as a pause of its process does: its open connections live on, and
// it goes on where it was. It is safe for concurrent use.
type pause struct {
	mu sync.Mutex
	// over is closed at the end of the current pause, nil while there is none.
	over chan struct{}
	// accepting is set if only the accepting of connections is paused.
	accepting bool
	// spans are all pauses, the last of which may be under way.
	spans []pauseSpan
}

// pauseSpan is the time of a pause; to is the zero time while it is under way.
type pauseSpan struct{ from, to time.Time }

// begin begins a pause of everything or of accepting alone. It reports false if one is under way.
func (p *pause) begin(accepting bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over != nil {
		return false
	}
	p.over, p.accepting = make(chan struct{}), accepting
	p.spans = append(p.spans, pauseSpan{from: time.Now()})
	return true
}

func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over == nil {
		return
	}
	close(p.over)
	p.over, p.spans[len(p.spans)-1].to = nil, time.Now()
}

// paused reports whether the whole process is paused.
func (p *pause) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over != nil && !p.accepting
}

// active reports whether a pause of everything or of accepting is under way.
func (p *pause) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over != nil
}

// describe describes the pauses between two times.
func (p *pause) describe(from, to time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	const layout = "15:04:05.000"
	text := "not paused meanwhile"
	for i, span := range p.spans {
		if span.from.After(to) || !span.to.IsZero() && span.to.Before(from) {
			continue
		}
		if text = "paused from " + span.from.Format(layout); i < len(p.spans)-1 || p.over == nil {
			text += " to " + span.to.Format(layout)
		}
	}
	return text
}

// endedWithin reports whether a pause ended within the last time.
func (p *pause) endedWithin(last time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over == nil && len(p.spans) > 0 && time.Since(p.spans[len(p.spans)-1].to) < last
}

// wait waits while the whole process is paused. It reports whether it was.
func (p *pause) wait() bool {
	p.mu.Lock()
	over := p.over
	if p.accepting {
		over = nil
	}
	p.mu.Unlock()
	if over == nil {
		return false
	}
	<-over
	return true
}

// waitToAccept waits while the process accepts no connections.
func (p *pause) waitToAccept() {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over != nil {
		<-over
	}
}

// pausedListener accepts no connections while its replica is paused.
type pausedListener struct {
	net.Listener
	pause *pause
}

// Accept waits for the next connection and for the end of a pause.
func (l pausedListener) Accept() (net.Conn, error) {
	l.pause.waitToAccept()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.pause.waitToAccept()
	paused := &pausedConn{Conn: conn, pause: l.pause}
	paused.held.Store(l.pause.endedWithin(acceptTime))
	return paused, nil
}

// pausedConn reads and writes nothing while its replica is paused.
type pausedConn struct {
	net.Conn
	pause *pause
	// held is set once a pause held up bytes that were not taken for a request yet.
	held atomic.Bool
}

// Read reads what has arrived, after the end of a pause.
func (c *pausedConn) Read(p []byte) (int, error) {
	before := c.pause.wait()
	n, err := c.Conn.Read(p)
	if after := c.pause.wait(); n > 0 && (before || after) {
		c.held.Store(true)
	}
	return n, err
}

// Write writes after the end of a pause.
func (c *pausedConn) Write(p []byte) (int, error) {
	c.pause.wait()
	return c.Conn.Write(p)
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

// heldByPause reports whether a pause of the replica held the request up, so that it may have been sent long
// before it was read.
func heldByPause(request *http.Request) bool {
	conn, ok := request.Context().Value(connKey{}).(*pausedConn)
	return ok && conn.held.Swap(false)
}

// acceptTime is how long after a pause a replica accepts connections that may have waited for its end.
const acceptTime = 500 * time.Millisecond

// listenShort listens with a queue of the given length for connections that are not accepted yet.
func listenShort(address string, backlog int) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of a replica")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "socket of a replica")
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Wrap(err, "socket of a replica")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, errors.Wrap(err, "address of a replica")
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Wrap(err, "listener of a replica")
	}
	if err := setBacklog(listener, backlog); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}

// setBacklog sets the length of a listener's queue; net.FileListener sets the default one.
func setBacklog(listener net.Listener, backlog int) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener of a replica")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return errors.Wrap(err, "listener of a replica")
	}
	return errors.Wrap(listenErr, "listener of a replica")
}

// listen listens at the replica's address for a server that the replica's pauses hold up.
func (rep *replica) listen(backlog int) (net.Listener, error) {
	listener, err := listenShort(rep.address, backlog)
	if err != nil {
		return nil, err
	}
	return pausedListener{listener, &rep.pause}, nil
}

// serve answers the connections of a listener with a handler until the server is closed.
func (rep *replica) serve(listener net.Listener, handler http.HandlerFunc) {
	rep.server = &http.Server{Handler: handler, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}}
	go func() { _ = rep.server.Serve(listener) }()
}
