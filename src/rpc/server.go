package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Transport timeouts.
const (
	writeTimeout = 3 * time.Second
	// dialTimeout is well below one second, after which the kernel repeats a lost SYN
	// packet. This way the next dial reaches a host that is back up.
	dialTimeout = 250 * time.Millisecond
	methodPing  = "rpc.ping"
)

// Peer is the process at the other end of a connection. It is nil for a caller
// of the administration API, which cannot be notified.
type Peer struct {
	conn *connection
}

// Notify sends a message without a response.
func (p *Peer) Notify(method string, params any) error {
	n, err := NewNotification(method, params)
	if err != nil {
		return err
	}
	return p.Send(n)
}

// Send sends an encoded notification.
func (p *Peer) Send(n Notification) error { return p.conn.notify(n) }

// encode returns parameters as JSON. Parameters that are already JSON are not changed.
func encode(params any) (json.RawMessage, error) {
	if raw, done := params.(json.RawMessage); done {
		return raw, nil
	}
	return json.Marshal(params)
}

// Done returns a channel that is closed when the connection ends.
func (p *Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Server accepts connections and serves the handlers of a Mux.
type Server struct {
	mux   *Mux
	meter *Meter
	ln    net.Listener
	mu    sync.Mutex
	conns map[*connection]struct{}
}

// Listen starts a server at an address. It fails if the address is not available.
func Listen(address string, mux *Mux, meter *Meter) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{mux: mux, meter: meter, ln: ln, conns: map[*connection]struct{}{}}
	go s.accept()
	return s, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.serve(conn)
	}
}

func (s *Server) serve(raw net.Conn) {
	conn := connect(&meteredConn{Conn: raw, meter: s.meter}, s.mux)
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// connect starts JSON-RPC on a network connection.
func connect(raw *meteredConn, mux *Mux) *connection {
	stream := newFrameStream(raw)
	peer := &Peer{}
	ready := make(chan struct{})
	handler := handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		<-ready
		raw.meter.received(req.Method, paramBytes(req))
		mux.handle(ctx, peer, conn, req)
	})
	conn := jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger))
	peer.conn = &connection{Conn: conn, stream: stream, meter: raw.meter, raw: raw}
	close(ready)
	return peer.conn
}

func paramBytes(req *jsonrpc2.Request) int {
	if req.Params == nil {
		return 0
	}
	return len(*req.Params)
}

// discardLogger drops the library's log lines about closed connections, which are expected.
var discardLogger = log.New(io.Discard, "", 0)

type handlerFunc func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}
