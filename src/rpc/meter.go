package rpc

import (
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Meter counts what a process spends on control; it is safe for concurrent use.
type Meter struct {
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	messages atomic.Int64
	kinds    sync.Map // method -> *kindCounts
}

// Kind is what a process has received and sent of one method since it started. Bytes
// are those of the parameters.
type Kind struct {
	Method      string
	MessagesIn  int64
	BytesIn     int64
	MessagesOut int64
	BytesOut    int64
}

type kindCounts struct {
	messagesIn, bytesIn, messagesOut, bytesOut atomic.Int64
}

func (m *Meter) kind(method string) *kindCounts {
	if known, found := m.kinds.Load(method); found {
		return known.(*kindCounts)
	}
	known, _ := m.kinds.LoadOrStore(method, &kindCounts{})
	return known.(*kindCounts)
}

// received counts a message that came.
func (m *Meter) received(method string, bytes int) {
	m.messages.Add(1)
	k := m.kind(method)
	k.messagesIn.Add(1)
	k.bytesIn.Add(int64(bytes))
}

// sent counts a message that goes out.
func (m *Meter) sent(method string, bytes int) {
	m.messages.Add(1)
	k := m.kind(method)
	k.messagesOut.Add(1)
	k.bytesOut.Add(int64(bytes))
}

// Kinds returns what was received and sent, by method.
func (m *Meter) Kinds() []Kind {
	var all []Kind
	m.kinds.Range(func(method, counts any) bool {
		k := counts.(*kindCounts)
		all = append(all, Kind{
			Method:      method.(string),
			MessagesIn:  k.messagesIn.Load(),
			BytesIn:     k.bytesIn.Load(),
			MessagesOut: k.messagesOut.Load(),
			BytesOut:    k.bytesOut.Load(),
		})
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Method < all[j].Method })
	return all
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
	meter *Meter
	// readAt is when something was read last, as the steady time since started: the time of
	// day may be set back, and a silent peer would be waited for all the longer.
	readAt atomic.Int64
}

// started is when the process started.
var started = time.Now()

// silentFor returns how long nothing was read.
func (c *meteredConn) silentFor() time.Duration {
	return time.Since(started) - time.Duration(c.readAt.Load())
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytesIn.Add(int64(n))
	c.readAt.Store(int64(time.Since(started)))
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
