package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The bodies of clients that are answered before they have sent all.
const (
	// windowBytes is more than a connection takes in that nobody reads from.
	windowBytes  = 24 << 20
	earlyBytes   = 4 << 20
	earlyPieces  = 64
	slowEarlyFor = time.Second
	earlyAnswer  = "refused at once"
)

// earlyClient is a client that is answered while it sends its body.
type earlyClient struct {
	name string
	// head are the request line and the header fields without those that frame the body.
	head string
	// size is the size of the body, chunked whether it has no Content-Length.
	size    int
	chunked bool
	// pause is the time between two pieces of the body.
	pause time.Duration
	// readsLast is set if the client reads nothing until it has sent all.
	readsLast bool
}

func earlyClients() []earlyClient {
	const (
		kept   = "POST / HTTP/1.1\r\nHost: a\r\n"
		closed = kept + "Connection: close\r\n"
		old    = "POST / HTTP/1.0\r\n"
	)
	var clients []earlyClient
	for _, head := range []struct{ name, text string }{{"kept", kept}, {"closed by the client", closed}, {"HTTP/1.0", old}} {
		for _, chunked := range []bool{false, true} {
			if chunked && head.text == old {
				continue
			}
			for _, readsLast := range []bool{false, true} {
				name := head.name
				if chunked {
					name += ", chunks"
				}
				if readsLast {
					name += ", reads last"
				}
				clients = append(clients,
					earlyClient{name + ", at once", head.text, earlyBytes, chunked, 0, readsLast},
					earlyClient{name + ", beyond the window", head.text, windowBytes, chunked, 0, readsLast},
					earlyClient{name + ", slowly", head.text, earlyPieces * 100, chunked, slowEarlyFor / earlyPieces, readsLast},
				)
			}
		}
	}
	return clients
}

// sendHead sends the head of the request and the first byte of its body.
func (e earlyClient) sendHead(conn net.Conn) error {
	framing := "Content-Length: " + strconv.Itoa(e.size+1)
	first := "x"
	if e.chunked {
		framing, first = "Transfer-Encoding: chunked", "1\r\nx\r\n"
	}
	_, err := io.WriteString(conn, e.head+framing+"\r\n\r\n"+first)
	return err
}

// sendBody sends the rest of the body.
func (e earlyClient) sendBody(conn net.Conn) error {
	piece := strings.Repeat("x", e.size/earlyPieces)
	if e.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	for range earlyPieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
		time.Sleep(e.pause)
	}
	if e.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// play sends a request and returns how it ended for the client: the answer, an error of reading, an error of
// sending.
func (e earlyClient) play(address string) (answer string, sending error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error(), nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(stopLimit))
	if err := e.sendHead(conn); err != nil {
		return "", err
	}
	sent := make(chan error, 1)
	go func() { sent <- e.sendBody(conn) }()
	if e.readsLast {
		sending = <-sent
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer = err.Error()
	} else {
		body, err := io.ReadAll(response.Body)
		answer = string(body)
		if err != nil {
			answer += "; " + err.Error()
		}
	}
	if !e.readsLast {
		sending = <-sent
	}
	return answer, sending
}

// refuseEarly answers a request after the first byte of its body.
func refuseEarly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadFull(r.Body, make([]byte, 1))
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(earlyAnswer)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, earlyAnswer)
	_ = http.NewResponseController(w).Flush()
}

// playAll plays all clients at once, each with a server of its own, and reports those that do not get the whole
// answer or can't send their whole body.
func playAll(t *testing.T, name string, newServer func(t *testing.T) *server) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		var plays sync.WaitGroup
		for _, client := range earlyClients() {
			address := newServer(t).listener.Addr().String()
			plays.Go(func() {
				if answer, sending := client.play(address); answer != earlyAnswer || sending != nil {
					t.Errorf("%s: the answer is %q, sending ended with %v", client.name, answer, sending)
				}
			})
		}
		plays.Wait()
	})
}

// listenEarly starts a server that ends with the test.
func listenEarly(t *testing.T, handler http.HandlerFunc) *server {
	t.Helper()
	server, err := listen("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	server.closeWait = stopLimit // the clients of all tests keep the processors busy
	t.Cleanup(server.close)
	return server
}

// TestAnAnswerBeforeTheEndOfTheBodyIsNotReset: the kernel resets a connection that is closed with unread bytes, or to
// which bytes come after its close, and the client that still sent them lost the answer.
func TestAnAnswerBeforeTheEndOfTheBodyIsNotReset(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"the handler reads on": func(w http.ResponseWriter, r *http.Request) {
			refuseEarly(w, r)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"the handler returns": refuseEarly,
	} {
		playAll(t, name, func(t *testing.T) *server { return listenEarly(t, handler) })
	}
}

// TestTheEndOfAServerResetsNoClientThatStillSends: a stop closed the connections of clients that were sending at its
// limit.
func TestTheEndOfAServerResetsNoClientThatStillSends(t *testing.T) {
	// early is how long before its end the server answers.
	const early = 200 * time.Millisecond
	// The handlers tell when they answer, or wait for the end of the server to do so.
	for name, serve := range map[string]func(w http.ResponseWriter, r *http.Request, answered chan<- struct{}){
		"answered before, read on": func(w http.ResponseWriter, r *http.Request, answered chan<- struct{}) {
			refuseEarly(w, r)
			close(answered)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"answered before, not read on": func(w http.ResponseWriter, r *http.Request, answered chan<- struct{}) {
			refuseEarly(w, r)
			close(answered)
			<-r.Context().Done()
		},
		"answered at the end": func(w http.ResponseWriter, r *http.Request, answered chan<- struct{}) {
			close(answered)
			<-r.Context().Done()
			refuseEarly(w, r)
		},
	} {
		playAll(t, name, func(t *testing.T) *server {
			answered := make(chan struct{})
			server := listenEarly(t, func(w http.ResponseWriter, r *http.Request) { serve(w, r, answered) })
			go func() {
				<-answered
				ctx, cancel := context.WithTimeout(context.Background(), early)
				defer cancel()
				_ = server.stop(ctx)
				server.close()
			}()
			return server
		})
	}
}
