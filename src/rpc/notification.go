package rpc

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Notification is an encoded message that wants no answer; it may be sent to many peers.
//
// The library encodes a message four times on its way out. Of a control node to which 120
// gateways came back at once that took 59 % of the processor time (profile of three nodes
// over 3 s), for bytes that are the same for all of them; now it is done once for all.
// A message of 10 KB: 325 microseconds by the library, 3.3 encoded for one peer, 0.6 for each
// of many (BenchmarkNotify, one machine beside other load).
type Notification struct {
	method string
	frame  []byte
	// params is the part of the frame with the parameters.
	params json.RawMessage
}

// NewNotification encodes a notification; parameters that are JSON already stay as they are.
func NewNotification(method string, params any) (Notification, error) {
	raw, err := encode(params)
	if err != nil {
		return Notification{}, errors.Wrap(err, method)
	}
	name, err := json.Marshal(method)
	if err != nil {
		return Notification{}, errors.Wrap(err, method)
	}
	const head, middle, tail = `{"jsonrpc":"2.0","method":`, `,"params":`, `}`
	length := len(head) + len(name) + len(middle) + len(raw) + len(tail)
	frame := make([]byte, 0, binary.MaxVarintLen64+length)
	frame = binary.AppendUvarint(frame, uint64(length))
	frame = append(frame, head...)
	frame = append(frame, name...)
	frame = append(frame, middle...)
	begin := len(frame)
	frame = append(frame, raw...)
	encoded := json.RawMessage(frame[begin:len(frame):len(frame)])
	frame = append(frame, tail...)
	return Notification{method: method, frame: frame, params: encoded}, nil
}

// Params returns the encoded parameters, which must not be changed.
func (n *Notification) Params() json.RawMessage { return n.params }

// frameStream lets encoded notifications go out between the library's own messages.
type frameStream struct {
	jsonrpc2.ObjectStream
	raw io.Writer

	mu sync.Mutex
}

func newFrameStream(raw io.ReadWriteCloser) *frameStream {
	return &frameStream{ObjectStream: jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), raw: raw}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *frameStream) WriteObject(obj any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ObjectStream.WriteObject(obj)
}

// write sends an encoded message.
func (s *frameStream) write(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.raw.Write(frame)
	return err
}

// connection is JSON-RPC on one connection.
type connection struct {
	*jsonrpc2.Conn
	stream *frameStream
	meter  *Meter
}

// notify sends an encoded notification. After a failure, which may have left a part of it
// behind, the connection is of no more use.
func (c *connection) notify(n Notification) error {
	if c.ended() {
		return jsonrpc2.ErrClosed
	}
	c.meter.sent(n.method, len(n.params))
	if err := c.stream.write(n.frame); err != nil {
		_ = c.Close()
		return errors.Wrap(err, n.method)
	}
	return nil
}

// ended reports whether the connection has ended.
func (c *connection) ended() bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}
