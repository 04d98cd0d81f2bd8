package fault

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrCut is what a dial or read ends with when the address is cut off.
var ErrCut = errors.New("timed out: the address is cut off by a test")

// poll is how often a stalled read looks whether the cut has healed.
const poll = 50 * time.Millisecond

// Cut is the set of addresses that a process can't reach now; nil is never cut.
// A cut is silent, as a real one is: writes vanish and reads stall.
type Cut struct {
	prefixes atomic.Pointer[[]string]
}

// Set replaces the prefixes of the addresses that are cut off.
func (c *Cut) Set(prefixes []string) {
	copied := append([]string(nil), prefixes...)
	c.prefixes.Store(&copied)
}

// Active reports whether an address is cut off.
func (c *Cut) Active(address string) bool {
	if c == nil {
		return false
	}
	prefixes := c.prefixes.Load()
	if prefixes == nil {
		return false
	}
	for _, prefix := range *prefixes {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// Dial opens a connection that the cut can silence; while cut off, it takes
// the whole timeout to fail.
func (c *Cut) Dial(network, address string, timeout time.Duration) (net.Conn, error) {
	if c.Active(address) {
		time.Sleep(timeout)
		return nil, ErrCut
	}
	conn, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, cut: c, address: address}, nil
}

// cutConn is a connection that goes silent while its address is cut off. Once
// bytes were lost it can only fail, even after the cut has healed.
type cutConn struct {
	net.Conn
	cut     *Cut
	address string
	lost    atomic.Bool
	closed  atomic.Bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.Active(c.address) {
		c.lost.Store(true)
		return len(p), nil
	}
	if c.lost.Load() {
		return 0, ErrCut
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.cut.Active(c.address) && !c.lost.Load() {
		return n, err
	}
	c.lost.Store(true)
	for c.cut.Active(c.address) && !c.closed.Load() {
		time.Sleep(poll)
	}
	return 0, ErrCut
}

func (c *cutConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
