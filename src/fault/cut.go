package fault

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrCut is the error of a dial, read or write at an address that is cut off.
var ErrCut = errors.New("timed out: the address is cut off by a test")

// pollInterval is how often a stalled read checks whether the cut has ended.
const pollInterval = 50 * time.Millisecond

// Cut is a simulated network cut: the set of addresses that a process can't reach. A nil Cut cuts
// nothing off. As in a real cut, there are no errors: written bytes are lost and reads stall.
type Cut struct {
	prefixes atomic.Pointer[[]string]
}

// Set replaces the prefixes of the addresses that are cut off.
func (c *Cut) Set(prefixes []string) {
	copied := append([]string(nil), prefixes...)
	c.prefixes.Store(&copied)
}

// CutsOff reports whether an address is cut off.
func (c *Cut) CutsOff(address string) bool {
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

// Dial opens a connection to which the cut applies. While the address is cut off, it fails after
// the full timeout.
func (c *Cut) Dial(network, address string, timeout time.Duration) (net.Conn, error) {
	if c.CutsOff(address) {
		time.Sleep(timeout)
		return nil, ErrCut
	}
	conn, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, cut: c, address: address}, nil
}

// cutConn is a connection to which a cut applies. Once bytes were lost it only returns errors, even
// after the cut has ended.
type cutConn struct {
	net.Conn
	cut     *Cut
	address string
	lost    atomic.Bool
	closed  atomic.Bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.CutsOff(c.address) {
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
	if !c.cut.CutsOff(c.address) && !c.lost.Load() {
		return n, err
	}
	c.lost.Store(true)
	for c.cut.CutsOff(c.address) && !c.closed.Load() {
		time.Sleep(pollInterval)
	}
	return 0, ErrCut
}

func (c *cutConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
