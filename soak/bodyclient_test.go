package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testBodyTime is the time over which tests send a body, testTimeout how long they wait.
const (
	testBodyTime = 200 * time.Millisecond
	testTimeout  = 10 * time.Second
)

// bodyPlans are all ways of sending a body.
func bodyPlans(duration time.Duration) []bodyPlan {
	var plans []bodyPlan
	for _, bytes := range []int{smallBodyBytes, largeBodyBytes} {
		for flags := range 8 {
			p := bodyPlan{bytes: bytes, chunked: flags&1 > 0, lateEnd: flags&2 > 0, readsLast: flags&4 > 0, duration: duration, kept: true}
			plans = append(plans, p)
			if p.duration, p.lateEnd = 0, false; flags&2 == 0 {
				plans = append(plans, p)
			}
		}
	}
	return plans
}

// bodyServer serves connections with a function; it returns what clients use.
func bodyServer(t *testing.T, serve func(conn net.Conn)) *keptConns {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := &keptConns{address: listener.Addr().String()}
	t.Cleanup(func() {
		conns.close()
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return conns
}

func testHead(p bodyPlan) string { return "POST /u/x HTTP/1.1\r\nHost: a\r\n" + p.header() + "\r\n" }

// TestBodiesArriveWholeByEachPlan checks that each plan sends the whole body, over its time and on a connection that
// takes the next request as well.
func TestBodiesArriveWholeByEachPlan(t *testing.T) {
	for _, plan := range bodyPlans(testBodyTime) {
		t.Run(plan.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bodies := make(chan string, 2)
			conns := bodyServer(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					bodies <- string(body)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
				}
			})
			for turn := range 2 {
				answer, reused, err := conns.send(plan, "q1", testHead(plan), testTimeout)
				is.NoErr(err)
				is.Equal(reused, turn == 1)
				is.Equal([]any{answer.status, answer.body, answer.whole, answer.err}, []any{200, "done", true, nil})
				is.True(answer.lastByteAt.Sub(answer.firstByteAt) >= plan.duration)
				body := <-bodies
				is.Equal(len(body), plan.bytes)
				is.True(strings.HasPrefix(body, "body of q1\n"))
			}
		})
	}
}

// TestAnEarlyAnswerEndsTheWriting checks that a client that reads while it writes has the answer before its body
// would have ended, also while its write waits for the window, and does not use the connection again.
func TestAnEarlyAnswerEndsTheWriting(t *testing.T) {
	for _, plan := range []bodyPlan{
		{bytes: smallBodyBytes, duration: testTimeout, kept: true},
		{bytes: smallBodyBytes, duration: testTimeout, chunked: true, lateEnd: true, kept: true},
		{bytes: 50 * largeBodyBytes, kept: true},
	} {
		t.Run(plan.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conns := bodyServer(t, func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
			})
			answer, _, err := conns.send(plan, "q1", testHead(plan), testTimeout)
			is.NoErr(err)
			is.Equal([]any{answer.status, answer.body, answer.whole}, []any{503, "no", true})
			is.True(answer.lastByteAt.IsZero())
			is.True(answer.endedAt.Sub(answer.firstByteAt) < testTimeout/2)
			is.Equal(len(conns.idle), 0)
		})
	}
}

// TestAResetWhileTheClientWritesIsCounted: an answer that is lost since its server closed with unread bytes must not
// count as a connection that ended in order.
func TestAResetWhileTheClientWritesIsCounted(t *testing.T) {
	for _, readsLast := range []bool{false, true} {
		is := is.New(t)
		plan := bodyPlan{bytes: smallBodyBytes, duration: testBodyTime, readsLast: readsLast}
		conns := bodyServer(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			resetConnection(conn)
		})
		answer, _, err := conns.send(plan, "q1", testHead(plan), testTimeout)
		is.NoErr(err)
		is.True(answer.wasReset())
		is.Equal(answer.status, 0)
	}
}

// TestAClosedConnectionIsNotUsedAgain: a request on a connection that its gateway closed while it was idle counts
// for nothing.
func TestAClosedConnectionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	closed := make(chan bool)
	conns := bodyServer(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-closed
		_ = conn.Close()
		closed <- true
	})
	plan := bodyPlan{bytes: smallBodyBytes, kept: true}
	_, _, err := conns.send(plan, "q1", testHead(plan), testTimeout)
	is.NoErr(err)
	is.Equal(len(conns.idle), 1)
	is.True(isOpen(conns.idle[0]))
	closed <- true
	<-closed
	for end := time.Now().Add(testTimeout); isOpen(conns.idle[0]) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	conn, reused, err := conns.take(testTimeout)
	is.NoErr(err)
	defer conn.Close()
	is.Equal(reused, false)
}
