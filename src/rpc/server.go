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

// The transport's times.
const (
	writeTimeout = 3 * time.Second
	// dialTimeout is well below the second after which the kernel sends a lost opening
	// packet again: a host that comes back is found by the next dial.
	dialTimeout = 250 * time.Millisecond
	methodPing  = "rpc.ping"
)

// Peer is the process at the other end of a connection; nil stands for a caller
// over the administration API, which can't be notified.
type Peer struct {
	conn *connection
}

// Notify sends a message that wants no answer.
func (p *Peer) Notify(method string, params any) error {
	n, err := NewNotification(method, params)
	if err != nil {
		return err
	}
	return p.Send(n)
}

// Send sends an encoded notification.
func (p *Peer) Send(n Notification) error { return p.conn.notify(n) }

// encode returns parameters as JSON; what is JSON already stays as it is.
func encode(params any) (json.RawMessage, error) {
	if raw, done := params.(json.RawMessage); done {
		return raw, nil
	}
	return json.Marshal(params)
}

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Server accepts connections and runs a mux's handlers.
type Server struct {
	mux   *Mux
	meter *Meter
	ln    net.Listener
	mu    sync.Mutex
	conns map[*connection]struct{}
}

// Listen starts to serve the mux at an address; it fails if the address can't be had.
func Listen(address string, mux *Mux, meter *Meter) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{mux: mux, meter: meter, ln: ln, conns: map[*connection]struct{}{}}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens at.
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

// Close ends the listener and every connection.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// connect starts JSON-RPC on a connection.
func connect(raw *meteredConn, mux *Mux) *connection {
	stream := newFrameStream(raw)
	peer := &Peer{}
	ready := make(chan struct{})
	handler := handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		<-ready
		raw.meter.received(req.Method, paramBytes(req))
		mux.handle(ctx, peer, conn, req)
	})
	conn := jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(quietLogger))
	peer.conn = &connection{Conn: conn, stream: stream, meter: raw.meter}
	close(ready)
	return peer.conn
}

func paramBytes(req *jsonrpc2.Request) int {
	if req.Params == nil {
		return 0
	}
	return len(*req.Params)
}

// quietLogger drops the library's lines on connections that ended: peers come and go.
var quietLogger = log.New(io.Discard, "", 0)

type handlerFunc func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}
