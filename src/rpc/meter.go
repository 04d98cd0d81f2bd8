package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter counts what a process spends on control; it is safe for concurrent use.
type Meter struct {
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	messages atomic.Int64
}

// Count adds an exchange of the given bytes that went another way than rpc.
func (m *Meter) Count(in, out int) {
	m.bytesIn.Add(int64(in))
	m.bytesOut.Add(int64(out))
	m.messages.Add(2)
}

// BytesIn returns the bytes received.
func (m *Meter) BytesIn() int64 { return m.bytesIn.Load() }

// BytesOut returns the bytes sent.
func (m *Meter) BytesOut() int64 { return m.bytesOut.Load() }

// Messages returns the messages sent and received.
func (m *Meter) Messages() int64 { return m.messages.Load() }

// meteredConn counts bytes and bounds every write, so that a peer that stopped
// reading can't hold a sender for long.
type meteredConn struct {
	net.Conn
	meter  *Meter
	readAt atomic.Int64
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytesIn.Add(int64(n))
	c.readAt.Store(time.Now().UnixNano())
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.meter.bytesOut.Add(int64(n))
	return n, err
}
