package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	stopRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	stopLimit   = 10 * time.Second
	// stopSeeds and stopConns are the stops of a test and the connections of each.
	stopSeeds = 30
	stopConns = 64
)

// keptConn is a client's connection that was used before.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// keepConn opens a connection to a server and uses it once.
func keepConn(t *testing.T, address string) *keptConn {
	t.Helper()
	c := newKeptConn(t, address)
	c.send(t, stopRequest)
	if body := c.answer(); body != "whole" {
		t.Fatalf("the answer before the stop is %q", body)
	}
	return c
}

func newKeptConn(t *testing.T, address string) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *keptConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Errorf("sending: %v", err)
	}
}

// answer returns the body of the next answer, or how the connection ended.
func (c *keptConn) answer() string {
	_ = c.SetReadDeadline(time.Now().Add(stopLimit))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// stoppingServer is a server whose answers say while it stops that the connection will be closed.
type stoppingServer struct {
	server   *server
	address  string
	stopping atomic.Bool
	// begun is told of each request to /slow, which is answered once goOn is closed.
	begun, goOn chan struct{}
}

func newStoppingServer(t *testing.T) *stoppingServer {
	t.Helper()
	s := &stoppingServer{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	server, err := listen("127.0.0.1:0", http.HandlerFunc(s.serve))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	s.server, s.address = server, server.listener.Addr().String()
	return s
}

func (s *stoppingServer) serve(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/slow" {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		s.begun <- struct{}{}
		<-s.goOn
	}
	_, _ = io.WriteString(w, "whole")
}

// stop begins to stop the server and returns a channel that is closed at the end.
func (s *stoppingServer) stop() <-chan struct{} {
	ended := make(chan struct{})
	s.stopping.Store(true)
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		_ = s.server.stop(ctx)
	}()
	return ended
}

// TestNoRequestThatArrivedIsDroppedAtAStop: the HTTP library's Shutdown closed connections whose requests had
// arrived.
func TestNoRequestThatArrivedIsDroppedAtAStop(t *testing.T) {
	for _, c := range []struct {
		name string
		open func(*testing.T, string) *keptConn
	}{
		{"kept connections", keepConn},
		{"new connections", newKeptConn},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost, sent := 0, 0
			for seed := range uint64(stopSeeds) {
				random := rand.New(rand.NewPCG(seed, 0))
				s := newStoppingServer(t)
				var used []*keptConn
				for range stopConns {
					conn := c.open(t, s.address)
					if random.IntN(2) == 0 {
						used = append(used, conn)
					}
				}
				for _, conn := range used {
					conn.send(t, stopRequest)
				}
				s.stop()
				for _, conn := range used {
					sent++
					if answer := conn.answer(); answer != "whole" {
						lost++
					}
				}
			}
			if lost > 0 {
				t.Errorf("%d of %d requests got no answer", lost, sent)
			}
		})
	}
}

// TestRequestsUnderWayAtAStopAreAnswered: a stop began while these were on their way.
func TestRequestsUnderWayAtAStopAreAnswered(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		play func(t *testing.T, s *stoppingServer) string
	}{
		{"a connection without a request yet", func(t *testing.T, s *stoppingServer) string {
			conn := newKeptConn(t, s.address)
			time.Sleep(late)
			s.stop()
			time.Sleep(late)
			conn.send(t, stopRequest)
			return conn.answer()
		}},
		{"a head in two parts", func(t *testing.T, s *stoppingServer) string {
			conn := keepConn(t, s.address)
			conn.send(t, stopRequest[:9])
			time.Sleep(late)
			s.stop()
			time.Sleep(late)
			conn.send(t, stopRequest[9:])
			return conn.answer()
		}},
		{"the next one after an answer that began before", func(t *testing.T, s *stoppingServer) string {
			conn := newKeptConn(t, s.address)
			conn.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
			<-s.begun
			s.stop()
			time.Sleep(late)
			close(s.goOn)
			if answer := conn.answer(); answer != "whole" {
				return answer
			}
			time.Sleep(late)
			conn.send(t, stopRequest)
			return conn.answer()
		}},
		{"one that was sent before such an answer ended", func(t *testing.T, s *stoppingServer) string {
			conn := newKeptConn(t, s.address)
			conn.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"+stopRequest)
			<-s.begun
			s.stop()
			time.Sleep(late)
			close(s.goOn)
			if answer := conn.answer(); answer != "whole" {
				return answer
			}
			return conn.answer()
		}},
		{"a client that keeps no connection", func(t *testing.T, s *stoppingServer) string {
			conn := newKeptConn(t, s.address)
			conn.send(t, "GET /slow HTTP/1.0\r\n\r\n")
			<-s.begun
			s.stop()
			time.Sleep(late)
			close(s.goOn)
			return conn.answer()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(c.play(t, newStoppingServer(t)), "whole")
		})
	}
}

// TestAStopEndsWithIdleConnections: a server must not wait for clients that send nothing.
func TestAStopEndsWithIdleConnections(t *testing.T) {
	is := is.New(t)
	s := newStoppingServer(t)
	for range stopConns {
		keepConn(t, s.address)
		newKeptConn(t, s.address)
	}
	began := time.Now()
	<-s.stop()
	is.True(time.Since(began) < stopLimit/4)
}

// TestAServerEndsAfterItsHandlers: the process ended before the requests that it had cut off were logged.
func TestAServerEndsAfterItsHandlers(t *testing.T) {
	is := is.New(t)
	var logged atomic.Int64
	begun := make(chan struct{}, stopConns)
	server, err := listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		time.Sleep(time.Millisecond)
		logged.Add(1)
	}))
	is.NoErr(err)
	for range stopConns {
		newKeptConn(t, server.listener.Addr().String()).send(t, stopRequest)
		<-begun
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(server.stop(ctx) != nil)
	server.close()
	is.Equal(logged.Load(), int64(stopConns))
}

// TestAServerAwaitsHandlersThatOnlyAClosedConnectionEnds: the process ended before the lines of requests whose clients did
// not read were written.
func TestAServerAwaitsHandlersThatOnlyAClosedConnectionEnds(t *testing.T) {
	is := is.New(t)
	logged := make(chan struct{})
	begun := make(chan struct{})
	server, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		_, err := io.Copy(w, endlessAnswer{})
		if err != nil {
			time.Sleep(closeWait / 5)
			close(logged)
		}
	}))
	is.NoErr(err)
	newKeptConn(t, server.listener.Addr().String()).send(t, stopRequest)
	<-begun
	server.close()
	select {
	case <-logged:
	default:
		t.Error("the handler still runs")
	}
}

// endlessAnswer is read without end.
type endlessAnswer struct{}

func (endlessAnswer) Read(p []byte) (int, error) { return len(p), nil }

// TestWhatASlowClientHasNotReadOutlivesTheServer: a client that read slowly lost the rest of an answer that was in the
// kernel when the connections were closed, also if it was sending.
func TestWhatASlowClientHasNotReadOutlivesTheServer(t *testing.T) {
	const answerBytes = 512 << 10
	for _, sends := range []bool{false, true} {
		t.Run(fmt.Sprintf("sends %t", sends), func(t *testing.T) {
			is := is.New(t)
			written := make(chan struct{})
			server, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
				_, _ = io.Copy(w, io.LimitReader(endlessAnswer{}, answerBytes))
				_ = http.NewResponseController(w).Flush()
				close(written)
				<-r.Context().Done()
			}))
			is.NoErr(err)
			conn := newKeptConn(t, server.listener.Addr().String())
			conn.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
			if sends {
				conn.send(t, "pin")
			} else {
				conn.send(t, "ping")
			}
			<-written
			if sends {
				conn.send(t, "g"+strings.Repeat("x", 64<<10))
			}
			server.close()
			response, err := http.ReadResponse(conn.reader, nil)
			is.NoErr(err)
			read := 0
			for buffer := make([]byte, answerBytes/20); err == nil; {
				var n int
				n, err = response.Body.Read(buffer)
				read += n
				time.Sleep(time.Millisecond)
			}
			is.Equal(err, io.EOF)
			is.Equal(read, answerBytes)
		})
	}
}

// TestAServerThatEndsAnswersWhatItCancels: calls that took longer than the handing over of a control node got no
// answer.
func TestAServerThatEndsAnswersWhatItCancels(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	server, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		_, _ = io.WriteString(w, "whole")
	}))
	is.NoErr(err)
	conn := newKeptConn(t, server.listener.Addr().String())
	conn.send(t, stopRequest)
	<-begun
	server.close()
	is.Equal(conn.answer(), "whole")
}

// TestEachResponseOfAServerThatStopsClosesItsConnection: clients of control nodes went on sending to one that
// stopped.
func TestEachResponseOfAServerThatStopsClosesItsConnection(t *testing.T) {
	is := is.New(t)
	server, err := listen("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	defer server.close()
	conn := newKeptConn(t, server.listener.Addr().String())
	ended := make(chan error, 1)
	go func() { ended <- server.stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	conn.send(t, stopRequest)
	response, err := http.ReadResponse(conn.reader, nil)
	is.NoErr(err)
	is.True(response.Close)
	is.NoErr(<-ended)
}

// TestAPipelinedRequestIsNotClosedAsIdle: a request that had arrived together with the one before it was closed while its
// handler ran.
func TestAPipelinedRequestIsNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	s := newStoppingServer(t)
	conn := newKeptConn(t, s.address)
	conn.send(t, stopRequest+"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(conn.answer(), "whole")
	<-s.begun
	time.Sleep(600 * time.Millisecond)
	s.stop()
	time.Sleep(200 * time.Millisecond)
	close(s.goOn)
	is.Equal(conn.answer(), "whole")
}

// TestAnswersToRequestsThatAreCutOffReachTheirClients: connections were closed between the end of a handler and the write of its
// response.
func TestAnswersToRequestsThatAreCutOffReachTheirClients(t *testing.T) {
	lost, sent := 0, 0
	for range 60 {
		cut := make(chan struct{})
		var begun sync.WaitGroup
		begun.Add(stopConns)
		server, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			begun.Done()
			<-cut
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, "whole")
		}))
		if err != nil {
			t.Fatal(err)
		}
		var conns []*keptConn
		for range stopConns {
			c := newKeptConn(t, server.listener.Addr().String())
			c.send(t, stopRequest)
			conns = append(conns, c)
		}
		begun.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.stop(ctx)
		close(cut) // as CutOff does
		awaitServers(closeWait, server)
		server.close()
		for _, c := range conns {
			sent++
			if c.answer() != "whole" {
				lost++
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d answers to requests that were cut off did not arrive", lost, sent)
	}
}
