package exchange

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// envPaused holds the settings of the gateway process that a test stops for a while.
const envPaused = "EXCHANGE_TEST_PAUSED"

// pausedSettings are the settings of a gateway process and the addresses of its replicas by ID.
type pausedSettings struct {
	Kind     catalog.Kind
	Attempts int
	Timeout  time.Duration
	Replicas map[string]string
}

// newsDrained is the line that tells the gateway process that replica a is leaving.
const newsDrained = "drained\n"

// TestGatewayProcessToBePaused is no test: it is the gateway process of the tests that pause one.
func TestGatewayProcessToBePaused(t *testing.T) {
	if os.Getenv(envPaused) == "" {
		t.Skip("not started as a gateway process")
	}
	var settings pausedSettings
	if err := json.Unmarshal([]byte(os.Getenv(envPaused)), &settings); err != nil {
		t.Fatal(err)
	}
	r := route(settings.Kind, settings.Attempts)
	r.Timeout = settings.Timeout
	b := newBench(t, r)
	for id, address := range settings.Replicas {
		b.registerAddress(id, address)
	}
	fmt.Println(b.server.Listener.Addr())
	news := bufio.NewReader(os.Stdin)
	for {
		line, err := news.ReadString('\n')
		if err != nil {
			return
		}
		if line == newsDrained {
			b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "a", Service: "s", Address: settings.Replicas["a"], Zone: "z", SoftwareVersion: "v1", Slots: 4, Draining: true}}}})
		}
	}
}

// pausedGateway is a gateway process that can be stopped for a while.
type pausedGateway struct {
	t       *testing.T
	address string
	process *os.Process
	news    io.Writer
}

func startPausedGateway(t *testing.T, settings pausedSettings, replicas ...*fakeReplica) *pausedGateway {
	t.Helper()
	settings.Replicas = map[string]string{}
	for _, replica := range replicas {
		settings.Replicas[replica.id] = replica.listener.Addr().String()
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "-test.run=^TestGatewayProcessToBePaused$")
	command.Env = append(os.Environ(), envPaused+"="+string(encoded))
	news, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return &pausedGateway{t: t, address: strings.TrimSpace(line), process: command.Process, news: news}
}

// pause stops the process for a time, in which meanwhile is called.
func (g *pausedGateway) pause(length time.Duration, meanwhile func()) {
	g.t.Helper()
	g.signal(syscall.SIGSTOP)
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(g.process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		g.t.Fatal(err, status)
	}
	until := time.Now().Add(length)
	meanwhile()
	time.Sleep(time.Until(until))
	g.signal(syscall.SIGCONT)
}

func (g *pausedGateway) signal(s os.Signal) {
	g.t.Helper()
	if err := g.process.Signal(s); err != nil {
		g.t.Fatal(err)
	}
}

func (g *pausedGateway) dial() net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends a request on a connection of its own and returns the connection.
func (g *pausedGateway) send(name string) net.Conn {
	g.t.Helper()
	conn := g.dial()
	if _, err := fmt.Fprintf(conn, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n%s: %s\r\n\r\n", testID, name); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// readAnswer reads the response on a connection.
func readAnswer(conn net.Conn) clientResponse {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// TestAPauseOfTheGatewayIsNoSilenceOfItsReplica: a gateway that had stood still took the time for its replica's silence,
// and a closed listener for its end, before it read the news that the replica was leaving or the rest of the answer.
func TestAPauseOfTheGatewayIsNoSilenceOfItsReplica(t *testing.T) {
	const (
		pause   = 1500 * time.Millisecond
		streams = 20
		// newsDelay is how long a process that goes on takes to read its news.
		newsDelay = 20 * time.Millisecond
	)
	for _, c := range []struct {
		name string
		// inPause is set if the replica ends its streams while the gateway stands still.
		inPause bool
	}{
		{"the replica leaves, and is at work", false},
		{"the whole answer waits", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			finish := make(chan struct{})
			begun := make(chan struct{}, streams)
			replica := newReplica(t, "a", func(a arrival) bool {
				beginStream(a)
				begun <- struct{}{}
				<-finish
				finishStream(a)
				return true
			})
			g := startPausedGateway(t, pausedSettings{Kind: catalog.Streaming, Attempts: 1, Timeout: 10 * time.Second}, replica)
			conns := make([]net.Conn, streams)
			for i := range conns {
				conns[i] = g.send(fmt.Sprint("request ", i))
				<-begun
			}
			time.Sleep(200 * time.Millisecond)
			g.pause(pause, func() {
				_ = replica.listener.Close()
				if c.inPause {
					close(finish)
				}
			})
			if !c.inPause {
				time.Sleep(newsDelay)
				_, err := io.WriteString(g.news, newsDrained)
				is.NoErr(err)
				time.Sleep(300 * time.Millisecond)
				close(finish)
			}
			lost := 0
			for _, conn := range conns {
				if got := readAnswer(conn); got.err != nil || answerText(catalog.Streaming, got) != "1 2" {
					lost++
				}
			}
			is.Equal(lost, 0)
		})
	}
}

// TestADeadlineCountsFromTheArrivalOfARequestThatWaited: a request that had waited for a gateway that stood still was sent
// on with all of its client's time, and answered that much later than its client waits.
func TestADeadlineCountsFromTheArrivalOfARequestThatWaited(t *testing.T) {
	const (
		pause     = 1200 * time.Millisecond
		timeout   = 2 * time.Second
		tolerance = 200 * time.Millisecond
	)
	const request = "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n" + testID + ": one\r\n"
	for _, c := range []struct {
		name string
		kept bool
		// header limits the client's time, limit is what is left of it or of the route's after the pause, negative if it
		// is over.
		header string
		limit  time.Duration
	}{
		{"in the listener", false, "", timeout - pause},
		{"in a kept connection", true, "", timeout - pause},
		{"in the listener, with less time", false, testDeadline + ": 1700\r\n", 500 * time.Millisecond},
		{"in the listener, for longer than its client waits", false, testDeadline + ": 900\r\n", -1},
		{"in a kept connection, for longer than its client waits", true, testDeadline + ": 100\r\n", -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ended := make(chan struct{})
			defer close(ended)
			replica := newReplica(t, "a", func(a arrival) bool {
				if a.name() == "first" {
					return whole(a)
				}
				<-ended
				return false
			})
			g := startPausedGateway(t, pausedSettings{Kind: catalog.Safe, Attempts: 1, Timeout: timeout}, replica)
			conn := g.send("first")
			is.Equal(readAnswer(conn).status, http.StatusOK)
			is.Equal(replica.count(), 1)
			var sent time.Time
			g.pause(pause, func() {
				if !c.kept {
					conn = g.dial()
				}
				sent = time.Now()
				_, err := io.WriteString(conn, request+c.header+"\r\nab")
				is.NoErr(err)
			})
			got := readAnswer(conn)
			is.NoErr(got.err)
			if c.limit < 0 {
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(replica.count(), 1)
				return
			}
			is.Equal(got.status, http.StatusGatewayTimeout)
			is.True(time.Since(sent) < pause+c.limit+tolerance)
			left, err := strconv.Atoi(replica.last().request.Header.Get(testDeadline))
			is.NoErr(err)
			is.True(time.Duration(left)*time.Millisecond <= c.limit)
			is.True(time.Duration(left)*time.Millisecond > c.limit-tolerance)
		})
	}
}

// TestAnArrivalThatCannotBeIsNotBelieved: the kernel may not tell when a request arrived, or tell it with the accuracy of
// its ticks.
func TestAnArrivalThatCannotBeIsNotBelieved(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ told, want time.Duration }{
		{0, 0},
		{minSocketWait - time.Millisecond, 0},
		{minSocketWait, minSocketWait},
		{maxSocketWait, maxSocketWait},
		{maxSocketWait + time.Millisecond, 0},
		{-time.Second, 0},
	} {
		t.Run(c.told.String(), func(t *testing.T) {
			is := is.New(t)
			h := &Handler{examineSocket: func(net.Conn) socketState { return socketState{sinceArrival: c.told} }}
			conn, _ := dialPair(t)
			told, untold := h.socket(ConnContext(context.Background(), conn)), h.socket(context.Background())
			is.Equal(now.Sub(told.arrivedAt(now)), c.want)
			is.Equal(untold, socketState{})
		})
	}
}

func BenchmarkExamineSocket(b *testing.B) {
	conn, _ := dialPair(b)
	b.ReportAllocs()
	for b.Loop() {
		examineSocket(conn)
	}
}

// TestNothingRunsForClientsThatLeftWhileTheirRequestsWaited: a gateway that had stood still sent requests on before it read
// that their clients had left.
func TestNothingRunsForClientsThatLeftWhileTheirRequestsWaited(t *testing.T) {
	const (
		pause   = 700 * time.Millisecond
		clients = 200
	)
	for _, c := range []struct {
		name string
		kept bool
		body string
	}{
		{"in the listener", false, ""},
		{"in the listener, with a body", false, "body"},
		{"in a kept connection", true, ""},
		{"in a kept connection, with a body", true, "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			replica := newReplica(t, "a", whole)
			g := startPausedGateway(t, pausedSettings{Kind: catalog.Safe, Attempts: 1, Timeout: 5 * time.Second}, replica)
			conns := make([]net.Conn, clients)
			for i := range conns {
				if c.kept {
					conns[i] = g.send("first")
					is.Equal(readAnswer(conns[i]).status, http.StatusOK)
				}
			}
			before := replica.count()
			g.pause(pause, func() {
				for i, conn := range conns {
					if !c.kept {
						conn = g.dial()
					}
					_, err := fmt.Fprintf(conn, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s: left %d\r\n\r\n%s", len(c.body), testID, i, c.body)
					is.NoErr(err)
					is.NoErr(conn.Close())
				}
			})
			last := g.send("last")
			is.Equal(readAnswer(last).status, http.StatusOK)
			time.Sleep(200 * time.Millisecond)
			is.Equal(replica.count()-before, 1) // the last one
		})
	}
}
