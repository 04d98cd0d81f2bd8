package main

import (
	"bytes"
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
	// killed is closed once the process has ended, in a pause or not.
	killed chan struct{}
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

// newPause returns the pauses of a process that has started.
func newPause() *pause { return &pause{killed: make(chan struct{})} }

// kill ends the process, also in the middle of a pause.
func (p *pause) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isKilled() {
		close(p.killed)
	}
}

// isKilled reports whether the process has ended.
func (p *pause) isKilled() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
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

// wait waits while the whole process is paused and lives. It reports whether it was paused.
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
	select {
	case <-over:
	case <-p.killed:
	}
	return true
}

// waitToAccept waits while the process accepts no connections and lives.
func (p *pause) waitToAccept() {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over == nil {
		return
	}
	select {
	case <-over:
	case <-p.killed:
	}
}

// pausedListener accepts no connections while its replica is paused.
type pausedListener struct {
	*net.TCPListener
	pause *pause
	// arrived is told the ID of each request and when its bytes arrived.
	arrived func(id string, at time.Time)
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
	paused := &pausedConn{Conn: conn, pause: l.pause, arrived: l.arrived}
	paused.held.Store(l.pause.endedWithin(acceptTime))
	return paused, nil
}

// pausedConn reads and writes nothing while its replica is paused.
type pausedConn struct {
	net.Conn
	pause   *pause
	arrived func(id string, at time.Time)
	// arrivedAt is when the last request arrived, which the replica may have read later.
	arrivedAt atomic.Pointer[time.Time]
	// held is set once a pause held up bytes that were not taken for a request yet.
	held atomic.Bool
}

// Read reads what has arrived, after the end of a pause.
func (c *pausedConn) Read(p []byte) (int, error) {
	before := c.pause.wait()
	n, err := c.Conn.Read(p)
	if id := requestID(p[:n]); id != "" {
		at := lastArrival(c.Conn)
		c.arrivedAt.Store(&at)
		c.arrived(id, at)
	}
	after := c.pause.wait()
	if c.pause.isKilled() {
		return 0, net.ErrClosed
	}
	if n > 0 && (before || after) {
		c.held.Store(true)
	}
	return n, err
}

// Write writes after the end of a pause.
func (c *pausedConn) Write(p []byte) (int, error) {
	c.pause.wait()
	if c.pause.isKilled() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
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

// listenShort listens with a queue of the given length for connections that are not accepted yet.
func listenShort(address string, backlog int) (*net.TCPListener, error) {
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
	return listener.(*net.TCPListener), nil
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

// listen listens at the replica's address for a server that the replica's pauses hold up. arrived is told the ID
// of each request that reaches the replica, also of those that it does not read.
func (rep *replica) listen(backlog int, arrived func(id string, at time.Time)) (err error) {
	rep.listener.pause, rep.listener.arrived = rep.pause, arrived
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
