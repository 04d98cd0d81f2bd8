package rpc

import (
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Meter counts the control traffic of a process. It is safe for concurrent use.
type Meter struct {
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	messages atomic.Int64
	methods  sync.Map // method -> *methodCounters
}

// MethodCount holds the messages of one method received and sent since the process started. Byte counts
// include only the parameters.
type MethodCount struct {
	Method      string
	MessagesIn  int64
	BytesIn     int64
	MessagesOut int64
	BytesOut    int64
}

type methodCounters struct {
	messagesIn, bytesIn, messagesOut, bytesOut atomic.Int64
}

func (m *Meter) counters(method string) *methodCounters {
	if known, found := m.methods.Load(method); found {
		return known.(*methodCounters)
	}
	known, _ := m.methods.LoadOrStore(method, &methodCounters{})
	return known.(*methodCounters)
}

// received counts a received message.
func (m *Meter) received(method string, bytes int) {
	m.messages.Add(1)
	k := m.counters(method)
	k.messagesIn.Add(1)
	k.bytesIn.Add(int64(bytes))
}

// sent counts a sent message.
func (m *Meter) sent(method string, bytes int) {
	m.messages.Add(1)
	k := m.counters(method)
	k.messagesOut.Add(1)
	k.bytesOut.Add(int64(bytes))
}

// MethodCounts returns the counts of all methods, sorted by method.
func (m *Meter) MethodCounts() []MethodCount {
	var all []MethodCount
	m.methods.Range(func(method, counts any) bool {
		k := counts.(*methodCounters)
		all = append(all, MethodCount{
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

// AddExternal adds a request and response of the given sizes that were not sent through rpc.
func (m *Meter) AddExternal(in, out int) {
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

// meteredConn counts bytes and sets a deadline for every write, so that a peer that stopped
// reading cannot block a sender for long.
type meteredConn struct {
	net.Conn
	meter *Meter
	// readAt is the time of the last read, as the monotonic time since processStart. If it used
	// wall time, a clock set back would delay the detection of an unresponsive peer.
	readAt atomic.Int64
}

// processStart is when the process started.
var processStart = time.Now()

// silentFor returns the time since the last read.
func (c *meteredConn) silentFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.readAt.Load())
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytesIn.Add(int64(n))
	c.readAt.Store(int64(time.Since(processStart)))
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
