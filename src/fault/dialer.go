package fault

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// NewDialer returns hertz's standard dialer with connections that the cut can silence.
func (c *Cut) NewDialer() network.Dialer {
	if c == nil {
		return standard.NewDialer()
	}
	return &dialer{Dialer: standard.NewDialer(), cut: c}
}

type dialer struct {
	network.Dialer
	cut *Cut
}

// DialConnection opens a connection; see Cut.Dial.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	if d.cut.Active(address) {
		time.Sleep(timeout)
		return nil, ErrCut
	}
	conn, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &cutHTTPConn{Conn: conn, cut: d.cut, address: address}, nil
}

// cutHTTPConn is cutConn for hertz's buffered connections.
type cutHTTPConn struct {
	network.Conn
	cut     *Cut
	address string
	timeout time.Duration
	lost    atomic.Bool
}

// SetReadTimeout remembers the timeout, so that a stalled read keeps to it.
func (c *cutHTTPConn) SetReadTimeout(t time.Duration) error {
	c.timeout = t
	return c.Conn.SetReadTimeout(t)
}

// Peek returns the next bytes, or stalls while the address is cut off.
func (c *cutHTTPConn) Peek(n int) ([]byte, error) {
	p, err := c.Conn.Peek(n)
	if stalled := c.stall(); stalled != nil {
		return nil, stalled
	}
	return p, err
}

// Read reads bytes, or stalls while the address is cut off.
func (c *cutHTTPConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if stalled := c.stall(); stalled != nil {
		return 0, stalled
	}
	return n, err
}

// Flush sends what was written; while cut off the bytes vanish.
func (c *cutHTTPConn) Flush() error {
	if c.cut.Active(c.address) {
		c.lost.Store(true)
		return nil
	}
	if c.lost.Load() {
		return ErrCut
	}
	return c.Conn.Flush()
}

func (c *cutHTTPConn) stall() error {
	if !c.cut.Active(c.address) && !c.lost.Load() {
		return nil
	}
	c.lost.Store(true)
	ends := time.Now().Add(c.timeout)
	for c.cut.Active(c.address) && (c.timeout == 0 || time.Now().Before(ends)) {
		time.Sleep(poll)
	}
	return ErrCut
}
