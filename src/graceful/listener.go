// Package graceful stops servers of HTTP/1 without losing requests that have arrived.
package graceful

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times of a stop.
const (
	// acceptWait is how long no new connection must have come before the listener is closed. The kernel
	// resets those that it holds then.
	acceptWait = 2 * time.Millisecond
	// idleWait is how long a connection is kept for its client's next request.
	idleWait = 500 * time.Millisecond
	// pollInterval is how often connections are checked.
	pollInterval = 20 * time.Millisecond
)

// The dropping of what a client sends after its response.
const (
	dropLimit = 5 * time.Second
	// dropIdleWait is how long nothing must have come from a client that does not close its connection.
	dropIdleWait = 2 * time.Second
	minDropPause = time.Millisecond
	maxDropPause = 20 * time.Millisecond
	dropBytes    = 16 << 10
	dropBurst    = 1 << 20
)

// Listener is a TCP listener that knows the open connections that it accepted. It is safe for concurrent
// use.
type Listener struct {
	*net.TCPListener

	idleAfterWrites bool
	raw             syscall.RawConn
	now             func() time.Time

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	accepting bool
	stopping  bool
}

// Listen returns a listener at an address.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	tcp := ln.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "listening")
	}
	return &Listener{TCPListener: tcp, raw: raw, now: time.Now, conns: map[*Conn]struct{}{}, accepting: true}, nil
}

// SetIdleAfterWrites makes each write to a connection count as SetIdle. It is for servers that do not read while
// they respond, and must be called before Accept.
func (l *Listener) SetIdleAfterWrites() { l.idleAfterWrites = true }

// Accept returns the next connection, a *Conn. Once the listener stops and no connection comes any more, it
// closes the listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.extendDeadline()
	tcp, err := l.AcceptTCP()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.pending() {
		l.extendDeadline()
		tcp, err = l.AcceptTCP()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()
		err = net.ErrClosed
	}
	if errors.Is(err, net.ErrClosed) {
		l.mu.Lock()
		l.accepting = false
		l.mu.Unlock()
	}
	if err != nil {
		return nil, err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "accepting")
	}
	conn := &Conn{TCPConn: tcp, raw: raw, listener: l, idleSince: time.Now()}
	conn.tryRead = conn.readOnce
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// extendDeadline limits the wait for a connection to acceptWait if the listener stops.
func (l *Listener) extendDeadline() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		_ = l.SetDeadline(l.now().Add(acceptWait))
	}
}

// pending reports whether a connection waits to be accepted. On busy processors the deadline can pass before the
// listener has looked.
func (l *Listener) pending() bool {
	found := 0
	err := l.raw.Control(func(fd uintptr) {
		for {
			var err error
			found, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			if err != unix.EINTR {
				return
			}
		}
	})
	return err == nil && found > 0
}

// Stop accepts what has connected and closes the listener; then it closes each connection that has no
// request. It returns once no connection is open, or the context's error. Requests that still come are
// served: their responses should close the connection.
func (l *Listener) Stop(ctx context.Context) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.extendDeadline()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.closeIdle(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle closes the connections without a request. It reports whether there may be further requests.
func (l *Listener) closeIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.closeIdle(now)
	}
	return l.accepting || len(l.conns) > 0
}

// Busy reports whether a request was read to which the server has not responded, or whose response it has not
// written to the connection yet.
func (l *Listener) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if conn.isBusy() {
			return true
		}
	}
	return false
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
