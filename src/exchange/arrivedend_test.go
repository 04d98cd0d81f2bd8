package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// lateConn is a connection whose reader gets no processor, from the first event of a stream on until the connection is
// being closed. What arrives meanwhile is kept by the kernel.
type lateConn struct {
	*net.TCPConn
	late    bool
	isLate  chan struct{}
	closing chan struct{}
	once    sync.Once
}

// Read reads from the connection. A single goroutine calls it.
func (c *lateConn) Read(p []byte) (int, error) {
	if c.late {
		<-c.closing
	}
	n, err := c.TCPConn.Read(p)
	if !c.late && bytes.Contains(p[:n], []byte("first")) {
		c.late = true
		close(c.isLate)
	}
	return n, err
}

func (c *lateConn) CloseRead() error {
	err := c.TCPConn.CloseRead()
	c.once.Do(func() { close(c.closing) })
	return err
}

func (c *lateConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { close(c.closing) })
	return err
}

// TestAnEndThatArrivedBeforeTheCloseIsReadAsAStopEnds: the close of the connection dropped what the kernel held.
func TestAnEndThatArrivedBeforeTheCloseIsReadAsAStopEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + testID + ": one\r\n"
	event := func(text string) string { return fmt.Sprintf("data: %s\n\n", text) }
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name        string
		kind        catalog.Kind
		begin, rest string
		want        string
	}{
		{"stream, its last chunk", catalog.Streaming, head + chunked + chunk(event("first")), "0\r\n\r\n", event("first")},
		{"stream, its last event", catalog.Streaming, head + chunked + chunk(event("first")), chunk(event("last")) + "0\r\n\r\n", event("first") + event("last")},
		{"stream with a length", catalog.Streaming, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event("first")+event("last"))) + event("first"), event("last"), event("first") + event("last")},
		{"answer in chunks", catalog.Unsafe, head + chunked + chunk("first"), chunk("last") + "0\r\n\r\n", "firstlast"},
		{"answer with a length", catalog.Unsafe, head + "Content-Length: 9\r\n\r\nfirst", "last", "firstlast"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cut := make(chan struct{})
			x := newReplica(t, "x", func(a arrival) bool {
				_, _ = io.WriteString(a.conn, c.begin)
				<-cut
				_, _ = io.WriteString(a.conn, c.rest)
				return true
			})
			b := newBench(t, route(c.kind, 1))
			isLate := make(chan struct{})
			b.fleet.dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := Dial(ctx, address)
				if err != nil {
					return nil, err
				}
				return &lateConn{TCPConn: conn.(*net.TCPConn), isLate: isLate, closing: make(chan struct{})}, nil
			}
			b.register(x)
			go func() {
				<-isLate
				b.handler.Stop()
				b.handler.CutOff()
				close(cut)
			}()
			got := b.do("POST", "one", "body")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, c.want)
		})
	}
}

// TestAnAnswerToTheCloseThatAStopCutsIsNoWholeOne: its end is the gateway's close, not that of its server.
func TestAnAnswerToTheCloseThatAStopCutsIsNoWholeOne(t *testing.T) {
	for name, c := range map[string]struct {
		kind   catalog.Kind
		fields string
	}{
		"answer": {catalog.Unsafe, "Content-Type: text/plain\r\n"},
		"stream": {catalog.Streaming, "Content-Type: text/event-stream\r\n"},
	} {
		for _, long := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", long: ", long), func(t *testing.T) {
				is := is.New(t)
				begun, release := make(chan struct{}), make(chan struct{})
				defer close(release)
				b := newBench(t, route(c.kind, 1), newReplica(t, "x", func(a arrival) bool {
					text := "data: x\n\n"
					if long {
						text += string(bytes.Repeat([]byte(text), maxBufferedBytes/len(text)+1))
					}
					_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: one\r\n%s\r\n%s", testID, c.fields, text)
					close(begun)
					<-release
					return false
				}))
				go func() {
					<-begun
					time.Sleep(50 * time.Millisecond) // until it is read
					b.handler.Stop()
					b.handler.CutOff()
				}()
				got := b.do("POST", "one", "body")
				is.True(got.err != nil || got.status != http.StatusOK)
			})
		}
	}
}
