package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newPacedServer returns the address of a server whose answers come in pieces with a pause before each.
func newPacedServer(t *testing.T, pause time.Duration, pieces ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for _, piece := range pieces {
					time.Sleep(pause)
					_, _ = io.WriteString(conn, piece)
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestAStreamIsNotBrokenOffWhileItsTokensArrive: the wait for a token bounded the whole stream.
func TestAStreamIsNotBrokenOffWhileItsTokensArrive(t *testing.T) {
	const wait, tokens = 200 * time.Millisecond, 20
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	end := "data: " + StreamEnd + "\n\n"
	whole := make([]string, 0, tokens+2)
	for id := 1; id <= tokens; id++ {
		whole = append(whole, fmt.Sprintf("id: %d\ndata: x\n\n", id))
	}
	whole = append(whole, end)
	chunks := []string{head + "Transfer-Encoding: chunked\r\n\r\n"}
	for _, event := range whole {
		chunks = append(chunks, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	}
	length := len(strings.Join(whole, ""))
	framed := append([]string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)}, whole...)
	oneChunk := append([]string{head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", length)}, append(whole, "\r\n0\r\n\r\n")...)
	for name, pieces := range map[string][]string{"chunks": chunks, "length": framed, "one chunk": oneChunk} {
		for _, c := range []struct {
			pause  time.Duration
			silent bool
		}{{wait / 8, false}, {wait * 2, true}} {
			t.Run(fmt.Sprint(name, ", a token each ", c.pause), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				client, err := NewStreamClient(nil, wait)
				is.NoErr(err)
				stream, err := client.Open(context.Background(), newPacedServer(t, c.pause, pieces...), Request{Path: PathCompletions, ID: "one", Body: []byte("{}")})
				read := 0
				for err == nil {
					if _, err = stream.Next(); err == nil {
						read++
					}
				}
				if stream != nil {
					stream.Close()
				}
				is.Equal(errors.Is(err, io.EOF), !c.silent)
				is.Equal(read == tokens, !c.silent)
			})
		}
	}
}

// TestAReportThatArrivesSlowlyHoldsNoControlCall: its time counts as a whole.
func TestAReportThatArrivesSlowlyHoldsNoControlCall(t *testing.T) {
	is := is.New(t)
	client, err := NewControlClient(nil, func(int, int) {})
	is.NoErr(err)
	pieces := append([]string{"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"}, strings.Split(strings.Repeat(" ", 50), "")...)
	began := time.Now()
	_, err = client.Report(context.Background(), newPacedServer(t, controlTimeout/10, pieces...), Report{})
	is.True(err != nil)
	is.True(time.Since(began) < 2*controlTimeout)
}
