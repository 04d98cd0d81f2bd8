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

// closeWait is how long a server that ends waits for its handlers at each step, closePoll how often it looks.
const (
	closeWait = 50 * time.Millisecond
	closePoll = time.Millisecond
)

// server is an HTTP server. It does without the HTTP library's Shutdown, which closes connections whose
// requests have arrived or are being read.
type server struct {
	http     *http.Server
	listener *graceful.Listener
	// running is the number of requests whose handlers have not returned.
	running atomic.Int64
	// stopping is set once the server stops.
	stopping atomic.Bool
	// cancel ends the contexts of the requests.
	cancel    context.CancelFunc
	closeWait time.Duration
}

// listen starts a server for a handler at an address.
func listen(address string, handler http.Handler) (*server, error) {
	listener, err := graceful.Listen(address)
	if err != nil {
		return nil, err
	}
	requests, cancel := context.WithCancel(context.Background())
	s := &server{listener: listener, cancel: cancel, closeWait: closeWait}
	s.http = &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.running.Add(1)
			defer s.running.Add(-1)
			noteBusy(r.Context())
			if s.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ConnContext:       connContext,
		ConnState:         noteIdle,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return exchange.ConnContext(context.WithValue(ctx, connKey{}, conn), conn)
}

func noteBusy(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*graceful.Conn); ok {
		c.SetBusy()
	}
}

func noteIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*graceful.Conn); ok && state == http.StateIdle {
		c.SetIdle(time.Now())
	}
}

// stop ends the server once its requests have their responses. It returns the context's error if some are
// left.
func (s *server) stop(ctx context.Context) error {
	s.stopping.Store(true)
	return s.listener.Stop(ctx)
}

// close cancels the requests in progress, so that their handlers can answer, and closes the listener and the
// connections.
func (s *server) close() { closeServers(s) }

// closeServers closes servers at the same time.
func closeServers(servers ...*server) {
	for _, s := range servers {
		s.cancel()
	}
	awaitServers(servers[0].closeWait, servers...)
	for _, s := range servers {
		_ = s.http.Close()
	}
	awaitServers(servers[0].closeWait, servers...)
}

// awaitServers waits until no handler of the servers runs and the responses are written, up to a time.
func awaitServers(limit time.Duration, servers ...*server) {
	began := time.Now()
	for _, s := range servers {
		for s.busy() && time.Since(began) < limit {
			time.Sleep(closePoll)
		}
	}
}

// busy reports whether a handler runs or a response is not written yet.
func (s *server) busy() bool { return s.running.Load() > 0 || s.listener.Busy() }
