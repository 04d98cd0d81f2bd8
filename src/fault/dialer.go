package fault

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// NewDialer returns hertz's standard dialer, whose connections the cut applies to.
func (c *Cut) NewDialer() network.Dialer {
	if c == nil {
		return standard.NewDialer()
	}
	return &dialer{Dialer: standard.NewDialer(), cut: c}
}

// dialer is a hertz dialer to which a cut applies.
type dialer struct {
	network.Dialer
	cut *Cut
}

// DialConnection opens a connection; see Cut.Dial.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	if d.cut.CutsOff(address) {
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

// SetReadTimeout sets the timeout, which also applies to a stalled read.
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

// Flush sends the written bytes; while the address is cut off, they are lost.
func (c *cutHTTPConn) Flush() error {
	if c.cut.CutsOff(c.address) {
		c.lost.Store(true)
		return nil
	}
	if c.lost.Load() {
		return ErrCut
	}
	return c.Conn.Flush()
}

// stall waits while the address is cut off, at most for the read timeout. It returns ErrCut if
// bytes were lost.
func (c *cutHTTPConn) stall() error {
	if !c.cut.CutsOff(c.address) && !c.lost.Load() {
		return nil
	}
	c.lost.Store(true)
	deadline := time.Now().Add(c.timeout)
	for c.cut.CutsOff(c.address) && (c.timeout == 0 || time.Now().Before(deadline)) {
		time.Sleep(pollInterval)
	}
	return ErrCut
}
