package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerInPieces returns the address of a server whose answer comes in pieces with a pause after each.
func answerInPieces(t *testing.T, pause time.Duration, pieces ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, piece := range pieces {
			_, _ = io.WriteString(conn, piece)
			time.Sleep(pause)
		}
	}()
	return listener.Addr().String()
}

// TestAnAnswerIsNotBrokenOffWhileItArrives: the longest silence bounded the whole answer.
func TestAnAnswerIsNotBrokenOffWhileItArrives(t *testing.T) {
	const wait = 200 * time.Millisecond
	body := strings.Repeat("x", 20)
	for name, pieces := range map[string][]string{
		"length":    append([]string{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"}, strings.Split(body, "")...),
		"one chunk": append([]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n"}, append(strings.Split(body, ""), "\r\n0\r\n\r\n")...),
		"neither":   append([]string{"HTTP/1.1 200 OK\r\n\r\n"}, strings.Split(body, "")...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client, err := New(nil, wait)
			is.NoErr(err)
			answer, err := client.Do(context.Background(), answerInPieces(t, wait/8, pieces...), Call{Method: "GET", Path: "/"})
			is.NoErr(err)
			is.Equal(string(answer.Body), body)
			_, err = client.Do(context.Background(), answerInPieces(t, wait*2, pieces...), Call{Method: "GET", Path: "/"})
			is.True(err != nil)
		})
	}
}

// TestALongAnswerInOneChunkIsRead: limits on what a server sends are no limits on the pieces in which it sends.
func TestALongAnswerInOneChunkIsRead(t *testing.T) {
	is := is.New(t)
	client, err := New(nil, 5*time.Second)
	is.NoErr(err)
	body := strings.Repeat("x", 12<<20)
	answer, err := client.Do(context.Background(), answerInPieces(t, 0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc00000\r\n"+body+"\r\n0\r\n\r\n"), Call{Method: "GET", Path: "/"})
	is.NoErr(err)
	is.Equal(len(answer.Body), len(body))
}
