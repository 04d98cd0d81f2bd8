package fleet

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/graceful"
)

// headerTimeout and idleTimeout apply to clients' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
)

// closeWait is how long a server that ends waits for its handlers, closePoll how often it looks.
const (
	closeWait = 100 * time.Millisecond
	closePoll = time.Millisecond
)

// server is an HTTP server. It does without the HTTP library's Shutdown, which closes connections whose
// requests have arrived or are being read.
type server struct {
	http     *http.Server
	listener *graceful.Listener
	// running is the number of requests whose handlers have not returned.
	running atomic.Int64
}

// listen starts a server for a handler at an address.
func listen(address string, handler http.Handler) (*server, error) {
	listener, err := graceful.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.running.Add(1)
			defer s.running.Add(-1)
			handler.ServeHTTP(w, r)
		}),
		ConnContext:       exchange.ConnContext,
		ConnState:         noteIdle,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func noteIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*graceful.Conn); ok && state == http.StateIdle {
		c.SetIdle(time.Now())
	}
}

// stop ends the server once its requests have their responses. It returns the context's error if some are
// left.
func (s *server) stop(ctx context.Context) error { return s.listener.Stop(ctx) }

// close closes the listener and the open connections, and waits for what their handlers have yet to do.
func (s *server) close() {
	_ = s.http.Close()
	s.await()
}

// await waits until no handler runs, up to closeWait.
func (s *server) await() {
	for until := time.Now().Add(closeWait); s.running.Load() > 0 && time.Now().Before(until); {
		time.Sleep(closePoll)
	}
}
