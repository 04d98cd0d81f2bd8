package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times of the tests of pauses.
const (
	testPause     = 200 * time.Millisecond
	testHalfPause = testPause / 2
)

// pausable is a replica that answers with whether a pause held the request up.
func pausable(t *testing.T, backlog int) *replica {
	t.Helper()
	free, err := net.Listen("tcp", replicaNet+"9:0")
	if err != nil {
		t.Fatal(err)
	}
	rep := &replica{address: free.Addr().String()}
	_ = free.Close()
	listener, err := rep.listen(backlog)
	if err != nil {
		t.Fatal(err)
	}
	rep.serve(listener, func(w http.ResponseWriter, request *http.Request) { _, _ = fmt.Fprint(w, heldByPause(request)) })
	t.Cleanup(func() { rep.pause.end(); rep.close() })
	return rep
}

// ask sends a request on an open connection and returns the answer and the time that it took.
func ask(t *testing.T, conn net.Conn) (string, time.Duration) {
	t.Helper()
	began := time.Now()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body), time.Since(began)
}

// TestOpenConnectionsLiveThroughAPause checks that a paused replica answers nothing and then goes on, and that
// requests that waited are told from others.
func TestOpenConnectionsLiveThroughAPause(t *testing.T) {
	for _, test := range []struct {
		name      string
		accepting bool
		held      string
		silent    bool
	}{
		{"everything", false, "true", true},
		{"accepting alone", true, "false", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rep := pausable(t, minBacklog)
			conn, err := net.Dial("tcp", rep.address)
			is.NoErr(err)
			defer conn.Close()
			answer, _ := ask(t, conn)
			is.Equal(answer, "false")
			is.True(rep.pause.begin(test.accepting))
			time.AfterFunc(testPause, rep.pause.end)
			answer, took := ask(t, conn)
			is.Equal(answer, test.held)
			is.Equal(took >= testHalfPause, test.silent)
			rep.pause.waitToAccept()
			answer, _ = ask(t, conn)
			is.Equal(answer, "false")
		})
	}
}

// TestConnectionsWaitForTheEndOfAPause checks that a paused replica takes no new connection but has it wait, and
// that its request counts as held up.
func TestConnectionsWaitForTheEndOfAPause(t *testing.T) {
	for _, accepting := range []bool{false, true} {
		is := is.New(t)
		rep := pausable(t, minBacklog)
		is.True(rep.pause.begin(accepting))
		time.AfterFunc(testPause, rep.pause.end)
		conn, err := net.Dial("tcp", rep.address)
		is.NoErr(err)
		answer, took := ask(t, conn)
		is.Equal(answer, "true")
		is.True(took >= testHalfPause)
		_ = conn.Close()
	}
}

// TestDialsAreNotAnsweredWhileTheQueueIsFull checks that the queue of new connections is as short as asked for.
func TestDialsAreNotAnsweredWhileTheQueueIsFull(t *testing.T) {
	is := is.New(t)
	rep := pausable(t, minBacklog)
	is.True(rep.pause.begin(true))
	taken := 0
	for range 4 * minBacklog {
		conn, err := net.DialTimeout("tcp", rep.address, crowdDialTimeout)
		if err != nil {
			break
		}
		defer conn.Close()
		taken++
	}
	is.True(taken >= minBacklog)
	is.True(taken <= 2*minBacklog)
}

// TestOnePauseAtATime checks that a pause is not begun again by another strike.
func TestOnePauseAtATime(t *testing.T) {
	is := is.New(t)
	var p pause
	is.True(p.begin(false))
	is.True(!p.begin(true))
	is.True(p.active())
	p.end()
	is.True(!p.active())
	is.True(!p.wait())
}
