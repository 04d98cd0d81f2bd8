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
// IDs of the requests that reach it go to arrived.
func pausable(t *testing.T, backlog int, arrived chan string) *replica {
	t.Helper()
	return newPausable(t, backlog, func(id string, _ time.Time) { arrived <- id }, func(w http.ResponseWriter, request *http.Request) { _, _ = fmt.Fprint(w, heldByPause(request)) })
}

func newPausable(t *testing.T, backlog int, arrived func(id string, at time.Time), handler http.HandlerFunc) *replica {
	t.Helper()
	free, err := net.Listen("tcp", replicaNet+"9:0")
	if err != nil {
		t.Fatal(err)
	}
	rep := &replica{pause: newPause(), address: free.Addr().String()}
	_ = free.Close()
	if err := rep.listen(backlog, arrived); err != nil {
		t.Fatal(err)
	}
	rep.serve(handler)
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
			rep := pausable(t, minBacklog, make(chan string, 4*minBacklog))
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
		rep := pausable(t, minBacklog, make(chan string, 4*minBacklog))
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
	rep := pausable(t, minBacklog, make(chan string, 4*minBacklog))
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

// TestRequestsThatAReplicaNeverReadAreKnown checks that a replica that ends in a pause tells which requests had
// reached it: on an open connection, and on one that it had not accepted.
func TestRequestsThatAReplicaNeverReadAreKnown(t *testing.T) {
	is := is.New(t)
	arrived := make(chan string, 2)
	rep := pausable(t, minBacklog, arrived)
	open, err := net.Dial("tcp", rep.address)
	is.NoErr(err)
	defer open.Close()
	_, _ = ask(t, open)
	is.True(rep.pause.begin(false))
	waiting, err := net.Dial("tcp", rep.address)
	is.NoErr(err)
	defer waiting.Close()
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\n" + idHeader + ": %s\r\n\r\n"
	_, err = fmt.Fprintf(open, request, "on an open one")
	is.NoErr(err)
	is.Equal(<-arrived, "on an open one")
	_, err = fmt.Fprintf(waiting, request, "in the queue")
	is.NoErr(err)
	time.Sleep(testHalfPause)
	closed := time.Now()
	rep.close()
	is.True(time.Since(closed) < testPause)
	is.Equal(<-arrived, "in the queue")
}

// TestArrivalIsKnownThroughAPause checks that the time at which a request arrived is known although it was read
// later: on an open connection, and on one that had to wait.
func TestArrivalIsKnownThroughAPause(t *testing.T) {
	for _, opened := range []bool{false, true} {
		is := is.New(t)
		arrivals := make(chan time.Time, 1)
		rep := newPausable(t, minBacklog, func(_ string, at time.Time) { arrivals <- at }, func(http.ResponseWriter, *http.Request) {})
		if !opened {
			is.True(rep.pause.begin(false))
		}
		conn, err := net.Dial("tcp", rep.address)
		is.NoErr(err)
		if opened {
			_, _ = ask(t, conn)
			is.True(rep.pause.begin(false))
		}
		sentAt := time.Now()
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n%s: q1\r\n\r\n", idHeader)
		is.NoErr(err)
		time.Sleep(testPause)
		rep.pause.end()
		is.True((<-arrivals).Sub(sentAt) < testHalfPause)
		_ = conn.Close()
	}
}

// TestOnePauseAtATime checks that a pause is not begun again by another strike.
func TestOnePauseAtATime(t *testing.T) {
	is := is.New(t)
	p := newPause()
	is.True(p.begin(false))
	is.True(!p.begin(true))
	is.True(p.active())
	p.end()
	is.True(!p.active())
	is.True(!p.wait())
}
