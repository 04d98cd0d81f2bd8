package fault

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// LinkState is the state of simulated links.
type LinkState string

const (
	// LinksUp lets all connections work.
	LinksUp LinkState = ""
	// LinksReset refuses new connections and has closed the open ones.
	LinksReset LinkState = "reset"
	// LinksHang answers nothing, on new connections and on open ones.
	LinksHang LinkState = "hang"
	// LinksRefuse refuses new connections; open ones live on.
	LinksRefuse LinkState = "refuse"
)

// hangPollInterval is how often a read on a hanging link looks whether it still hangs.
const hangPollInterval = 5 * time.Millisecond

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, address string) (net.Conn, error)

// Links simulates the links of one process to all that it connects to. It is safe for concurrent use.
type Links struct {
	dial  DialFunc
	state atomic.Value

	mu   sync.Mutex
	open map[*linkConn]bool
}

// NewLinks returns links that are up.
func NewLinks(dial DialFunc) *Links {
	l := &Links{dial: dial, open: map[*linkConn]bool{}}
	l.state.Store(LinksUp)
	return l
}

// Set changes the state. Open connections are lost if they are reset, or hung before.
func (l *Links) Set(state LinkState) {
	before := l.state.Swap(state).(LinkState)
	if before == state || state != LinksReset && before != LinksHang {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.Conn.Close()
	}
}

func (l *Links) hang() bool { return l.state.Load() == LinksHang }

// Dial opens a connection if the links allow it.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch l.state.Load().(LinkState) {
	case LinksReset, LinksRefuse:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case LinksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case LinksUp:
	}
	raw, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{Conn: raw, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = true
	return conn, nil
}

// linkConn is a connection over a link that may hang.
type linkConn struct {
	net.Conn
	links  *Links
	once   sync.Once
	closed chan struct{}
	// deadline is in Unix nanoseconds, 0 for none.
	deadline atomic.Int64
}

// SyscallConn lets callers look for bytes that have arrived.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// CloseRead ends reading once what has arrived was read.
func (c *linkConn) CloseRead() error {
	half, found := c.Conn.(interface{ CloseRead() error })
	if !found {
		return errors.ErrUnsupported
	}
	return half.CloseRead()
}

// SetDeadline sets the deadline, which also ends reads while the link hangs.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.deadline.Store(0)
	if !t.IsZero() {
		c.deadline.Store(t.UnixNano())
	}
	return c.Conn.SetDeadline(t)
}

// Read returns nothing while the link hangs.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.links.hang() {
		if deadline := c.deadline.Load(); deadline > 0 && time.Now().UnixNano() > deadline {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(hangPollInterval):
		}
	}
	return n, err
}

// Write loses what is written while the link hangs.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.links.hang() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}
